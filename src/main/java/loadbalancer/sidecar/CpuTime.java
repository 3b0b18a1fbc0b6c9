package loadbalancer.sidecar;

import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * CPU time of a process, read from /proc (see proc(5)), because loading the JVM's management beans would slow the
 * start.
 */
public final class CpuTime {
    /** Length of a clock tick of /proc (USER_HZ), which doesn't depend on the kernel's internal tick. */
    private static final long TICK_MILLIS = 10;
    /** Indexes of utime and stime among the fields after the process name, which may hold any character. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    private CpuTime() {}

    /** CPU time used since this process started, milliseconds in steps of ten; -1 if /proc can't be read. */
    public static long usedMillis() {
        try (InputStream stat = new FileInputStream("/proc/self/stat")) {
            return usedMillis(new String(stat.readNBytes(1024), StandardCharsets.ISO_8859_1));
        } catch (IOException exception) {
            return -1;
        }
    }

    /** Parses the CPU time from the text of a process's {@code /proc/PID/stat}; -1 if the text is malformed. */
    public static long usedMillis(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 1).trim().split(" ");
        try {
            return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD])) * TICK_MILLIS;
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException exception) {
            return -1;
        }
    }
}
