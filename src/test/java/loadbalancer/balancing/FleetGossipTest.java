package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Tests gossip about request rates. */
class FleetGossipTest {
    @Test
    void sendsToOneRandomPeerAtATime() {
        BalancerHarness harness = new BalancerHarness();
        harness.sidecarCount = 500;
        harness.start().endpointList(A, B);

        harness.fireTimer("tell");

        assertEquals(1, harness.actionsStartingWith("gossip").size());
        assertFalse(harness.actionsStartingWith("gossip").get(0).startsWith("gossip -1"));
        assertFalse(harness.actionsStartingWith("gossip").get(0).startsWith("gossip 0 "));

        harness.advance(1_000_000).fireTimer("tell");

        assertEquals(2, harness.actionsStartingWith("gossip").size());
    }

    /** Messages may be malformed or come from an unknown index; they must not affect requests. */
    @Test
    void ignoresMalformedMessages() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A);
        harness.balancer.onGossip(harness.nowMicros, 9, new byte[] {1, 2, 3, 4, 5});
        harness.balancer.onGossip(harness.nowMicros, 1, new byte[] {1});
        harness.balancer.onGossip(harness.nowMicros, 1, new byte[] {1, 2, 3, 4});
        harness.request("r");

        assertEquals("a", harness.sentTo("r", 0));
    }
}
