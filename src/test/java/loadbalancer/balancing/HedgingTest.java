package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests when an overdue attempt is hedged. */
class HedgingTest {
    /** An upstream is stalled if it does not respond to the health check that follows an overdue attempt. */
    @Test
    void hedgesAnOverdueAttemptOnlyIfItsUpstreamIsUnresponsive() {
        for (boolean unresponsive : new boolean[] {true, false}) {
            for (Idempotency idempotency : new Idempotency[] {Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT}) {
                BalancerHarness harness = new BalancerHarness();
                harness.healthChecks = harness.hedging = true;
                harness.idempotency = idempotency;
                harness.start().endpointList(A, B);
                for (int i = 0; i < 20; i++) {
                    // Fills the budget for a hedged request and reports both upstreams as idle.
                    harness.request("w" + i).advance(1_000);
                    for (String id : new String[] {"a", "b"}) {
                        harness.balancer.onHealthCheck(
                                harness.nowMicros, id, Outcome.OK, 1_000, new LoadReport(0, 0, 0));
                    }
                    harness.outcome("w" + i, 0, harness.sentTo("w" + i, 0), Outcome.OK, 50_000);
                }
                harness.request("r").advance(1_000);
                for (String id : new String[] {"a", "b"}) {
                    harness.balancer.onHealthCheck(harness.nowMicros, id, Outcome.OK, 1_000, new LoadReport(0, 0, 0));
                }
                String slow = harness.sentTo("r", 0);
                harness.actions.clear();
                harness.advance(150_000).fireTimer("late:r");
                if (idempotency == Idempotency.IDEMPOTENT) {
                    assertEquals(List.of("checkHealth " + slow), harness.actionsStartingWith("checkHealth"));
                }
                harness.advance(5_000);
                if (!unresponsive) {
                    harness.balancer.onHealthCheck(harness.nowMicros, slow, Outcome.OK, 1_000, new LoadReport(1, 0, 1));
                }
                harness.fireTimer("mute:r");

                assertEquals(
                        unresponsive && idempotency == Idempotency.IDEMPOTENT ? 1 : 0,
                        harness.actionsStartingWith("send r").size());
            }
        }
    }
}
