package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static loadbalancer.balancing.UpstreamFixtures.inState;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** Tests that the endpoint list determines the upstreams. */
class UpstreamDirectoryTest {
    @Test
    void sendsNothingToDrainingOrRemovedUpstreams() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);
        harness.balancer.onEndpointList(
                harness.nowMicros,
                EndpointListKind.DELTA,
                List.of(new Upstream("a", "za", "k", 1, 0, 1, UpstreamState.DRAINING)));
        harness.request("r1").request("r2");
        harness.balancer.onEndpointList(harness.nowMicros, EndpointListKind.FULL, List.of(A));
        harness.advance(1).request("r3");

        assertEquals("b", harness.sentTo("r1", 0));
        assertEquals("b", harness.sentTo("r2", 0));
        assertEquals("a", harness.sentTo("r3", 0));
    }

    /** Upstreams are replaced under new ids, so removed ones would leak memory if they were kept. */
    @Test
    void forgetsARemovedUpstreamAfterItsLastAttempt() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A);
        harness.request("r");
        for (int i = 0; i < 50; i++) {
            harness.balancer.onEndpointList(
                    harness.nowMicros,
                    EndpointListKind.DELTA,
                    List.of(
                            BalancerHarness.upstream("n" + i, "za", 1),
                            inState(
                                    i == 0 ? A : BalancerHarness.upstream("n" + (i - 1), "za", 1),
                                    UpstreamState.GONE)));
        }

        assertEquals(2, harness.balancer.directory().size());

        harness.outcome("r", 0, "a", Outcome.OK, 1_000);

        assertEquals(1, harness.balancer.directory().size());

        harness.endpointList(B);

        assertEquals(1, harness.balancer.directory().size());
    }
}
