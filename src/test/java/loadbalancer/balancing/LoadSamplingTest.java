package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests the sampling of loads by health checks before a request is sent. */
class LoadSamplingTest {
    @Test
    void samplesBothDrawnUpstreamsAndPicksTheLessBusy() {
        BalancerHarness harness = samplingHarness();

        harness.request("r");

        assertEquals(2, harness.actionsStartingWith("checkHealth").size());
        assertNull(harness.sentTo("r", 0));

        harness.advance(1_000);
        harness.balancer.onHealthCheck(harness.nowMicros, "a", Outcome.OK, 1_000, new LoadReport(2, 1, 1));
        harness.balancer.onHealthCheck(harness.nowMicros, "b", Outcome.OK, 1_000, new LoadReport(0, 0, 0));

        assertEquals("b", harness.sentTo("r", 0));
    }

    /** The health check reveals a stalled upstream before a request is sent to it. */
    @Test
    void dropsACandidateThatDoesNotRespondByTheNextSweep() {
        BalancerHarness harness = samplingHarness();

        harness.request("r").advance(1_000);
        harness.balancer.onHealthCheck(harness.nowMicros, "a", Outcome.OK, 1_000, new LoadReport(0, 0, 0));

        assertNull(harness.sentTo("r", 0));

        harness.advance(5_000).fireTimer("hold");

        assertEquals("a", harness.sentTo("r", 0));
    }

    @Test
    void treatsAnUpstreamWithoutALoadReportInItsHealthCheckAsBusy() {
        BalancerHarness harness = samplingHarness();

        harness.request("r").advance(1_000);
        harness.balancer.onHealthCheck(harness.nowMicros, "a", Outcome.OK, 1_000, null);
        harness.balancer.onHealthCheck(harness.nowMicros, "b", Outcome.OK, 1_000, new LoadReport(1, 0, 1));
        for (int i = 0; i < 3 && harness.sentTo("r", 0) == null; i++) {
            harness.advance(5_000);
            harness.balancer.onHealthCheck(harness.nowMicros, "a", Outcome.OK, 1_000, null);
            harness.balancer.onHealthCheck(harness.nowMicros, "b", Outcome.OK, 1_000, new LoadReport(1, 0, 1));
            harness.fireTimer("hold");
        }

        assertEquals("b", harness.sentTo("r", 0));
    }

    /**
     * A sidecar without peers knows the load of its upstreams, so health checks would cost time and money for
     * nothing.
     */
    @Test
    void samplesNoLoadThatOtherSidecarsCanHardlyHaveChanged() {
        BalancerHarness harness = new BalancerHarness();
        harness.healthChecks = true;
        harness.sidecarCount = 1;
        harness.start().endpointList(A, B);

        harness.request("r").advance(1_000);
        harness.balancer.onHealthCheck(harness.nowMicros, "a", Outcome.OK, 1_000, new LoadReport(0, 0, 0));
        harness.balancer.onHealthCheck(harness.nowMicros, "b", Outcome.OK, 1_000, new LoadReport(0, 0, 0));
        String first = harness.sentTo("r", 0);
        harness.actions.clear();
        harness.advance(20_000).request("s");

        assertEquals(0, harness.actionsStartingWith("checkHealth").size());
        assertEquals(first.equals("a") ? "b" : "a", harness.sentTo("s", 0));
    }

    /**
     * If the sidecar itself is slow, no health check is answered in time; its requests must not wait for one.
     */
    @Test
    void picksByItsOwnRequestsInFlightIfNoLoadIsReported() {
        BalancerHarness harness = samplingHarness();

        harness.request("r").advance(5_000).fireTimer("hold");
        String first = harness.sentTo("r", 0);

        assertNotNull(first, "the request still waits for health checks that nobody answers");

        harness.request("s").advance(5_000).fireTimer("hold");

        assertEquals(first.equals("a") ? "b" : "a", harness.sentTo("s", 0));
    }

    private static BalancerHarness samplingHarness() {
        BalancerHarness harness = new BalancerHarness();
        harness.healthChecks = true;
        return harness.start().endpointList(A, B);
    }
}
