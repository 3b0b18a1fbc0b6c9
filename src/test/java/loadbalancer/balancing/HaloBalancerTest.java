package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests properties of the balancer as a whole. */
class HaloBalancerTest {
    @Test
    void issuesTheSameActionsForTheSameEventsWhileAnotherBalancerRuns() {
        BalancerHarness alone = new BalancerHarness().start().endpointList(A, B);
        runEvents(alone, 0, 200);
        BalancerHarness interleaved = new BalancerHarness().start().endpointList(A, B);
        BalancerHarness other =
                new BalancerHarness().start().endpointList(A, B, BalancerHarness.upstream("c", "zc", 3));
        for (int i = 0; i < 200; i += 10) {
            runEvents(interleaved, i, i + 10);
            runEvents(other, i, i + 10);
        }

        assertEquals(alone.actions, interleaved.actions);
        assertFalse(new ArrayList<>(interleaved.actions).equals(other.actions));
    }

    private static void runEvents(BalancerHarness harness, int from, int to) {
        for (int i = from; i < to; i++) {
            harness.advance(3_000).request("r" + i);
            if (i % 3 == 0 && harness.sentTo("r" + i, 0) != null) {
                harness.outcome(
                        "r" + i, 0, harness.sentTo("r" + i, 0), i % 9 == 0 ? Outcome.ERROR : Outcome.OK, 70_000);
            }
            harness.fireTimer("hold");
        }
    }
}
