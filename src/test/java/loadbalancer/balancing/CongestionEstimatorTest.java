package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests load shedding if the load of a single upstream is unknown. */
class CongestionEstimatorTest {
    /**
     * Latencies far above the best are caused by other sidecars' requests, so load is shed before an
     * overload.
     */
    @Test
    void shedsLoadByLatencyIfNoLoadIsReported() {
        assertEquals(0, shedAfterSlowdown(4, LoadReporting.NONE));
        assertTrue(shedAfterSlowdown(400, LoadReporting.NONE) > 30);
    }

    /**
     * Load reports in responses show the load even without health checks, so slow responses alone are no
     * congestion.
     */
    @Test
    void shedsNothingByLatencyIfResponsesReportTheLoad() {
        assertEquals(0, shedAfterSlowdown(400, LoadReporting.IN_RESPONSES));
    }

    private static int shedAfterSlowdown(int sidecarCount, LoadReporting loadReporting) {
        BalancerHarness harness = new BalancerHarness();
        harness.sidecarCount = sidecarCount;
        harness.loadReporting = loadReporting;
        harness.latencyObjectiveMicros = 700_000;
        harness.start().endpointList(A, B);
        int shed = 0;
        for (int i = 0; i < 200; i++) {
            harness.actions.clear();
            harness.advance(700_000).request("r" + i);
            String target = harness.sentTo("r" + i, 0);
            shed += target == null ? 1 : 0;
            if (target != null) {
                harness.outcome("r" + i, 0, target, Outcome.OK, i < 100 ? 100_000 : 300_000);
            }
            assertTrue(i > 100 || target != null, "request " + i + " was shed before the slowdown");
        }
        return shed;
    }
}
