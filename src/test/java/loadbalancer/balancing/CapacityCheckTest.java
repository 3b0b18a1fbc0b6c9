package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static loadbalancer.balancing.UpstreamFixtures.uncertainUpstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Uncertainty;
import org.junit.jupiter.api.Test;

/** Tests that upstreams without capacity get no requests. */
class CapacityCheckTest {
    @Test
    void sendsNothingToAnUpstreamWhoseLoadReportShowsItFull() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);

        harness.request("r");
        String target = harness.sentTo("r", 0);
        harness.balancer.onOutcome(
                harness.nowMicros, "r", 0, target, Outcome.OK, 50_000, true, new LoadReport(9, 8, 1));
        for (int i = 0; i < 3; i++) {
            harness.request("n" + i);

            assertNotEquals(target, harness.sentTo("n" + i, 0));
        }
    }

    /**
     * An address that accepts connections but is not known to be the service may lose the requests sent to
     * it.
     */
    @Test
    void sendsOnlyOneIdempotentRequestAtATimeToAnUnknownService() {
        for (Idempotency idempotency : Idempotency.values()) {
            BalancerHarness harness = new BalancerHarness();
            harness.idempotency = idempotency;
            harness.start().endpointList(uncertainUpstream("s1", "za", Uncertainty.SERVICE, 0));

            harness.request("a").request("b");

            assertEquals(
                    idempotency == Idempotency.IDEMPOTENT ? 1 : 0,
                    harness.actionsStartingWith("send").size(),
                    idempotency + ": " + harness.actions);
        }
    }
}
