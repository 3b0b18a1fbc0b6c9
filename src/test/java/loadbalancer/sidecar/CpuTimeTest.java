package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class CpuTimeTest {
    @Test
    void parsesStatWithAnyProcessName() {
        String rest = " S 1 1 1 0 -1 4194560 100 0 0 0 42 8 0 0 20 0 14 0 100 1 1";
        assertEquals(500, CpuTime.usedMillis("77 (java)" + rest));
        assertEquals(500, CpuTime.usedMillis("77 (a) b (c 1 2)" + rest));
        assertEquals(-1, CpuTime.usedMillis("77 (java) S 1"));
        assertEquals(-1, CpuTime.usedMillis(""));
    }

    @Test
    void reportsCpuTimeOfThisProcess() {
        long ms = CpuTime.usedMillis();
        assertTrue(Files.exists(Path.of("/proc/self/stat")) ? ms > 0 : ms == -1, ms + " ms");
    }
}
