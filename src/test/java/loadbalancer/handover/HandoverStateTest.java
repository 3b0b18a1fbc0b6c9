package loadbalancer.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.membership.OutOfServiceUpstreams;
import org.junit.jupiter.api.Test;

class HandoverStateTest {
    private static final OutOfServiceUpstreams.Snapshot SNAPSHOT =
            new OutOfServiceUpstreams.Snapshot(Map.of("a", 5L, "\u00fc \"b\"", 6L), Map.of("c", 7L));

    /** The bytes are torn, damaged, of another sidecar or of another version. */
    @Test
    void unusableBytesAreRejected() throws Exception {
        byte[] intact = new HandoverState("n0", SNAPSHOT).encode();
        assertEquals(SNAPSHOT, HandoverState.decode(intact, "n0").outOfService());
        assertThrows(IOException.class, () -> HandoverState.decode(intact, "n1"));
        for (int cut = 0; cut < intact.length; cut++) {
            byte[] torn = Arrays.copyOf(intact, cut);
            assertThrows(IOException.class, () -> HandoverState.decode(torn, "n0"), "cut at " + cut);
        }
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 2_000; i++) {
            byte[] damaged = intact.clone();
            damaged[random.nextInt(damaged.length)] ^= (byte) (1 << random.nextInt(8));
            assertThrows(IOException.class, () -> HandoverState.decode(damaged, "n0"));
        }
        byte[] newer = new String(intact, StandardCharsets.UTF_8)
                .replace("handover 1 ", "handover 2 ")
                .getBytes(StandardCharsets.UTF_8);
        assertThrows(IOException.class, () -> HandoverState.decode(newer, "n0"));
    }
}
