package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static loadbalancer.balancing.UpstreamFixtures.inState;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** Tests which idle connections are closed. */
class ConnectionReuseTest {
    @Test
    void closesIdleConnectionsToADrainingUpstreamIfTheRuleIsSet() {
        for (long closeOnDrainMicros : new long[] {0, 500_000}) {
            BalancerHarness harness = new BalancerHarness();
            harness.closeOnDrainMicros = closeOnDrainMicros;
            harness.start().endpointList(A);

            harness.request("r").request("s");
            harness.balancer.onEndpointList(
                    harness.nowMicros, EndpointListKind.DELTA, List.of(inState(A, UpstreamState.DRAINING)));

            assertEquals(
                    closeOnDrainMicros > 0 ? 1 : 0,
                    harness.actionsStartingWith("closeIdleConnections a").size());

            harness.advance(50_000).outcome("r", 0, "a", Outcome.OK, 50_000);

            assertEquals(
                    closeOnDrainMicros > 0 ? 2 : 0,
                    harness.actionsStartingWith("closeIdleConnections a").size());
            // The upstream is ready again, so no more connections are closed.
            harness.balancer.onEndpointList(harness.nowMicros, EndpointListKind.DELTA, List.of(A));
            harness.advance(50_000).outcome("s", 0, "a", Outcome.OK, 100_000);

            assertEquals(
                    closeOnDrainMicros > 0 ? 2 : 0,
                    harness.actionsStartingWith("closeIdleConnections a").size());
        }
    }

    @Test
    void closesIdleConnectionsToARemovedUpstreamThatWasUsed() {
        BalancerHarness harness = new BalancerHarness();
        harness.closeOnDrainMicros = 500_000;
        harness.start().endpointList(A, B);

        harness.request("r");
        String used = harness.sentTo("r", 0);
        harness.balancer.onEndpointList(harness.nowMicros, EndpointListKind.FULL, List.of());

        assertEquals(List.of("closeIdleConnections " + used), harness.actionsStartingWith("closeIdleConnections"));
    }

    /** A failure on a silently dropped connection is attributed to its idle time, not to the upstream. */
    @Test
    void closesLongIdleConnectionsAfterOneWasDropped() {
        BalancerHarness harness = new BalancerHarness();
        harness.connectionPrice = 0.05;
        harness.start().endpointList(A);

        harness.request("r0").advance(75_000).outcome("r0", 0, "a", Outcome.OK, 75_000);
        harness.advance(2_000_000).request("r1").advance(1_000).outcome("r1", 0, "a", Outcome.RESET, 1_000);

        assertEquals("a", harness.sentTo("r1", 1));

        harness.advance(75_000).outcome("r1", 1, "a", Outcome.OK, 75_000);

        assertEquals(0, harness.actionsStartingWith("closeIdleConnections").size());

        harness.advance(1_800_000).request("r2");

        assertEquals(1, harness.actionsStartingWith("closeIdleConnections a").size());

        harness.advance(75_000)
                .outcome("r2", 0, "a", Outcome.OK, 75_000)
                .advance(500_000)
                .request("r3");

        assertEquals(
                1,
                harness.actionsStartingWith("closeIdleConnections a").size(),
                "a connection that was idle for only 500 ms must be kept");
    }
}
