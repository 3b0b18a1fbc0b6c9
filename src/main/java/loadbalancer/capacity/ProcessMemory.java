package loadbalancer.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the kernel's account of a process's memory (proc(5)). */
public final class ProcessMemory {
    private static final String RESIDENT = "VmRSS:";

    private ProcessMemory() {}

    /** Kilobytes; -1 where the system does not tell. {@code process}: its number, or {@code self}. */
    public static long residentKilobytes(String process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", process, "status"))) {
            if (line.startsWith(RESIDENT)) {
                return Long.parseLong(
                        line.substring(RESIDENT.length()).replace("kB", "").trim());
            }
        }
        return -1;
    }

    /** Heap of this process in use behind a collection, kilobytes. */
    static long heapKb() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1024;
    }
}
