package loadbalancer.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.balancing.RoutingConstraints;
import org.junit.jupiter.api.Test;

class SlowStartOwnershipTest {
    /** Others are open to both. */
    @Test
    void allowsUpstreamsInSlowStartToOneProcessAtATime() {
        long nowMicros = 1_000_000_000_000L;
        SlowStartOwnership ownership = new SlowStartOwnership(1_000_000);
        RoutingConstraints constraints = ownership.restrict(RoutingConstraints.NONE, 24_000_000);
        Upstream starting = new Upstream("c", "z", "k", 1, nowMicros - 1_000_000, 1, UpstreamState.READY);
        Upstream warm = new Upstream("w", "z", "k", 1, nowMicros - 25_000_000, 1, UpstreamState.READY);
        assertTrue(constraints.allows(nowMicros, null, starting));
        ownership.assignToOtherProcess();
        assertFalse(constraints.allows(nowMicros, null, starting));
        assertTrue(constraints.allows(nowMicros, null, warm));
        ownership.onReady(nowMicros);
        assertFalse(
                constraints.allows(nowMicros + 500_000 + SlowStartOwnership.NOTIFICATION_MICROS - 1, null, starting));
        assertTrue(constraints.allows(nowMicros + 500_000 + SlowStartOwnership.NOTIFICATION_MICROS, null, starting));
        ownership.assignToOtherProcess();
        ownership.onOtherProcessEnded();
        assertTrue(constraints.allows(nowMicros, null, starting));
    }
}
