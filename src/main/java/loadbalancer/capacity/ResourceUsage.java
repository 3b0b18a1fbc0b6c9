package loadbalancer.capacity;

import java.io.File;
import java.io.IOException;
import loadbalancer.sidecar.CpuTime;

/**
 * Resources that one process, or the sum of several, has used since the start, or within an interval if computed by
 * {@link #since}.
 *
 * @param timeMicros Unix time of the measurement, or the length of the interval, in microseconds
 * @param cpuMillis user and system processor time
 * @param residentKilobytes resident memory at the time of the measurement
 * @param openFileDescriptors number at the time of the measurement; -1 if unknown
 * @param datagramsIn number of datagrams received
 * @param datagramsOut number of datagrams sent
 * @param bytesIn bytes received, without headers
 * @param bytesOut bytes sent, without headers
 */
public record ResourceUsage(
        long timeMicros,
        long cpuMillis,
        long residentKilobytes,
        int openFileDescriptors,
        long datagramsIn,
        long datagramsOut,
        long bytesIn,
        long bytesOut) {
    private static final int FIELD_COUNT = 8;

    /** The usage of this process so far; {@code nowMicros} is Unix time. */
    static ResourceUsage ofThisProcess(long nowMicros, TrafficCounters traffic) throws IOException {
        String[] fileDescriptors = new File("/proc/self/fd").list();
        return new ResourceUsage(
                nowMicros,
                CpuTime.usedMillis(),
                ProcessMemory.residentKilobytes("self"),
                fileDescriptors == null ? -1 : fileDescriptors.length,
                traffic.datagramsIn(),
                traffic.datagramsOut(),
                traffic.bytesIn(),
                traffic.bytesOut());
    }

    /** One line with all fields in order, separated by spaces. */
    String line() {
        return timeMicros + " " + cpuMillis + " " + residentKilobytes + " " + openFileDescriptors + " " + datagramsIn
                + " " + datagramsOut + " " + bytesIn + " " + bytesOut;
    }

    /**
     * Reads a line that {@link #line} wrote.
     *
     * @throws IllegalArgumentException if the line has another number of fields or a field is no number
     */
    static ResourceUsage parse(String line) {
        String[] fields = line.trim().split(" ");
        if (fields.length != FIELD_COUNT) {
            throw new IllegalArgumentException(
                    "usage line with " + fields.length + " fields, expected " + FIELD_COUNT + ": " + line);
        }
        long[] values = new long[FIELD_COUNT];
        for (int i = 0; i < FIELD_COUNT; i++) {
            values[i] = Long.parseLong(fields[i]);
        }
        return new ResourceUsage(
                values[0], values[1], values[2], (int) values[3], values[4], values[5], values[6], values[7]);
    }

    /** The usage from an earlier measurement to this one; memory and file descriptors are those of this one. */
    public ResourceUsage since(ResourceUsage earlier) {
        return new ResourceUsage(
                timeMicros - earlier.timeMicros,
                cpuMillis - earlier.cpuMillis,
                residentKilobytes,
                openFileDescriptors,
                datagramsIn - earlier.datagramsIn,
                datagramsOut - earlier.datagramsOut,
                bytesIn - earlier.bytesIn,
                bytesOut - earlier.bytesOut);
    }

    /** The sum of two usages, over the longer of their intervals. */
    ResourceUsage plus(ResourceUsage other) {
        return new ResourceUsage(
                Math.max(timeMicros, other.timeMicros),
                cpuMillis + other.cpuMillis,
                residentKilobytes + other.residentKilobytes,
                openFileDescriptors + other.openFileDescriptors,
                datagramsIn + other.datagramsIn,
                datagramsOut + other.datagramsOut,
                bytesIn + other.bytesIn,
                bytesOut + other.bytesOut);
    }

    /** Average number of cores used in the interval. */
    public double cores() {
        return cpuMillis * 1_000.0 / timeMicros;
    }

    /** The average rate of a count in the interval. */
    public double perSecond(long count) {
        return count * 1e6 / timeMicros;
    }
}
