package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;

/** Test entries of endpoint lists. */
final class UpstreamFixtures {
    static final Upstream A = BalancerHarness.upstream("a", "za", 1);
    static final Upstream B = BalancerHarness.upstream("b", "zb", 2);

    private UpstreamFixtures() {}

    static Upstream inState(Upstream listed, UpstreamState state) {
        return new Upstream(
                listed.id(), listed.zone(), listed.machineType(), listed.cell(), listed.startedMicros(), 1, state);
    }

    static Upstream uncertainUpstream(String id, String zone, Uncertainty uncertainty, long slowStartFromMicros) {
        return new Upstream(
                id, zone, "k", 1, 0, 1, UpstreamState.READY, uncertainty, slowStartFromMicros, Balancer.HTTP1);
    }

    static Upstream upstreamSpeaking(String id, int protocols) {
        return new Upstream(id, "za", "k", 1, 0, 1, UpstreamState.READY, Uncertainty.NONE, 0, protocols);
    }
}
