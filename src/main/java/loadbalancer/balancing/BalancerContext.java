package loadbalancer.balancing;

import java.util.SplittableRandom;
import loadbalancer.balancing.Balancer.Actions;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Settings;

/**
 * State that all components of a balancer share: settings, actions, inputs from other modules and the random
 * generator.
 */
final class BalancerContext {
    /**
     * Number of sidecars that share an upstream if connections have a price: enough to even out their
     * requests.
     */
    static final int SIDECARS_PER_UPSTREAM = 10;
    /** Initial estimate of an upstream's cores if there are no load reports. */
    private static final double UNREPORTED_CORES = 2;

    /**
     * Current settings; {@link Settings#reloadedFrom} defines which of them may change.
     */
    Settings settings;

    final Actions actions;
    final RoutingConstraints constraints;
    final PeerLoad peerLoad;
    /** The only source of randomness; the order of draws is part of the behaviour. */
    final SplittableRandom random;
    /**
     * Whether both upstreams of a pair are health-checked for their load: the sampled load of Power-of-D in
     * the HALO paper.
     */
    final boolean samplesLoad;
    /**
     * Whether connections and handshakes have a price, so that the sidecar uses a subset of each machine
     * type.
     */
    final boolean connectionSubset;
    /**
     * Whether upstream loads are unknown: no load reports, and more than {@link #SIDECARS_PER_UPSTREAM}
     * sidecars.
     */
    final boolean loadUnknown;
    /** Initial estimate of an upstream's cores. */
    final double defaultCores;
    /** Index of the sidecar's zone in the settings. */
    final int localZoneIndex;

    BalancerContext(Settings settings, RoutingConstraints constraints, PeerLoad peerLoad, long seed, Actions actions) {
        this.settings = settings;
        this.constraints = constraints;
        this.peerLoad = peerLoad;
        this.actions = actions;
        random = new SplittableRandom(seed);
        boolean unreported = settings.loadReporting() == LoadReporting.NONE;
        samplesLoad = settings.samplesLoad();
        connectionSubset =
                settings.prices().connection() > 0 && settings.prices().handshake() > 0;
        loadUnknown = unreported && settings.sidecarCount() > SIDECARS_PER_UPSTREAM;
        defaultCores = unreported ? UNREPORTED_CORES : 1;
        localZoneIndex = Math.max(0, settings.zones().indexOf(settings.zone()));
    }
}
