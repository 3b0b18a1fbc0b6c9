package loadbalancer.gossip;

import java.util.List;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;

/** Settings of one sidecar of a fleet, with parameters for the values that decide whether gossip is enabled. */
final class GossipSettings {
    /** Price at which gossip is affordable. */
    static final double GOSSIP_PRICE = 0.01;

    /** Price at which a health check before each request is too expensive. */
    static final double HEALTH_CHECK_PRICE = 0.08;

    private GossipSettings() {}

    static Settings of(int sidecarIndex, int sidecarCount) {
        return of(sidecarIndex, sidecarCount, true, GOSSIP_PRICE, HEALTH_CHECK_PRICE);
    }

    static Settings of(
            int sidecarIndex, int sidecarCount, boolean gossipAllowed, double gossipPrice, double healthCheckPrice) {
        return new Settings(
                sidecarIndex,
                sidecarCount,
                "a",
                List.of("a"),
                List.of("k"),
                List.of(),
                List.of(),
                new Limits(4, true, true, true, gossipAllowed, false, 0, 15_000_000, 0),
                new Rules(500_000, 0.13, 24_000_000, 3, 1_000_000, 10_000_000, 5_000, 0),
                LoadReporting.IN_RESPONSES,
                true,
                false,
                0.1,
                new Prices(0, gossipPrice, healthCheckPrice, 0, 0),
                1_000);
    }
}
