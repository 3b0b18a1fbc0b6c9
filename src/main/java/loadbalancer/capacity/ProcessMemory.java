package loadbalancer.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Memory that a process uses: resident memory as the kernel reports it (proc(5)), and the Java heap. */
public final class ProcessMemory {
    private static final String RESIDENT = "VmRSS:";

    private ProcessMemory() {}

    /**
     * Resident memory of a process, given by its id or {@code self}, in kilobytes; -1 if the system does not report it.
     */
    public static long residentKilobytes(String process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", process, "status"))) {
            if (line.startsWith(RESIDENT)) {
                return Long.parseLong(
                        line.substring(RESIDENT.length()).replace("kB", "").trim());
            }
        }
        return -1;
    }

    /** Heap of this process in use after a garbage collection, in kilobytes. */
    static long heapKilobytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1024;
    }
}
