package loadbalancer.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RendezvousOrderTest {
    private static final int REPLICAS = 11;
    private static final int SIDECARS = 2_100;

    @Test
    void firstAndSecondChoicesAreSpreadEvenlyOverTheReplicas() {
        // given
        int[] firstChoices = new int[REPLICAS];
        int[] secondChoices = new int[REPLICAS];
        int[] allReplicas = IntStream.range(0, REPLICAS).toArray();
        // when
        for (int sidecar = REPLICAS; sidecar < REPLICAS + SIDECARS; sidecar++) {
            int[] order = RendezvousOrder.forSidecar(sidecar, REPLICAS);
            firstChoices[order[0]]++;
            secondChoices[order[1]]++;
            assertArrayEquals(allReplicas, Arrays.stream(order).sorted().toArray());
        }
        // then
        for (int replica = 0; replica < REPLICAS; replica++) {
            assertTrue(firstChoices[replica] > 130 && firstChoices[replica] < 260, Arrays.toString(firstChoices));
            assertTrue(secondChoices[replica] > 130 && secondChoices[replica] < 260, Arrays.toString(secondChoices));
        }
    }
}
