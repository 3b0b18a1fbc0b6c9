package loadbalancer.capacity;

import java.io.File;
import java.io.IOException;
import loadbalancer.sidecar.CpuTime;

/**
 * What one process has used since its start.
 *
 * @param timeMicros         when it was asked, Unix time in microseconds
 * @param cpuMillis        processor time, user and system
 * @param residentKilobytes   memory that is in the machine, kilobytes
 * @param openFileDescriptors  open descriptors
 * @param datagramsIn  datagrams received; with {@code datagramsOut}, {@code bytesIn} and {@code bytesOut} without headers
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
    private static final int FIELDS = 8;

    /** What this process has used; {@code now} in Unix time, microseconds. */
    static ResourceUsage ofThisProcess(long now, TrafficCounters traffic) throws IOException {
        String[] open = new File("/proc/self/fd").list();
        return new ResourceUsage(
                now,
                CpuTime.usedMillis(),
                ProcessMemory.residentKilobytes("self"),
                open == null ? -1 : open.length,
                traffic.datagramsIn(),
                traffic.datagramsOut(),
                traffic.bytesIn(),
                traffic.bytesOut());
    }

    /** As one line of fields apart by spaces. */
    String line() {
        return timeMicros + " " + cpuMillis + " " + residentKilobytes + " " + openFileDescriptors + " " + datagramsIn
                + " " + datagramsOut + " " + bytesIn + " " + bytesOut;
    }

    /** @throws IllegalArgumentException where the line is not what {@link #line} writes */
    static ResourceUsage parse(String line) {
        String[] fields = line.trim().split(" ");
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException("usage of " + fields.length + " fields, " + FIELDS + " wanted: " + line);
        }
        long[] values = new long[FIELDS];
        for (int i = 0; i < FIELDS; i++) {
            values[i] = Long.parseLong(fields[i]);
        }
        return new ResourceUsage(
                values[0], values[1], values[2], (int) values[3], values[4], values[5], values[6], values[7]);
    }

    /** What was used between an earlier moment and this one; memory and descriptors are those of this one. */
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

    /** The use of two processes together, over the longer of their times. */
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

    /** Parts of one core. */
    public double cores() {
        return cpuMillis * 1_000.0 / timeMicros;
    }

    /** So much of a count in each second. */
    public double perSecond(long count) {
        return count * 1e6 / timeMicros;
    }
}
