package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Upstream;

/**
 * Load of upstreams according to the gossip of other sidecars. The balancer uses it to compare upstreams and
 * to estimate their capacity, but does not eject an upstream or retry a request because of it.
 * Implementations limit the influence of any single sidecar.
 */
public interface PeerLoad {
    /** Peer load without any gossip. */
    PeerLoad NONE = new PeerLoad() {
        @Override
        public int inFlight(long nowMicros, String upstreamId) {
            return 0;
        }

        @Override
        public boolean isUnavailable() {
            return true;
        }
    };

    /** Returns the number of requests that other sidecars have in flight at the upstream. */
    int inFlight(long nowMicros, String upstreamId);

    /**
     * Returns a factor in (0, 1] for the upstream's selection weight from other sidecars' outcomes; 1 if
     * unknown.
     */
    default double trustFactor(long nowMicros, Upstream upstream) {
        return 1;
    }

    /** Returns whether there is no usable gossip, so that only load reports show other sidecars' requests. */
    default boolean isUnavailable() {
        return false;
    }

    /**
     * Returns the number of upstreams to use, those with the lowest {@link #subsetRank}; gossip covers only
     * these.
     */
    default int subsetSize() {
        return Integer.MAX_VALUE;
    }

    /** Returns the upstream's position in the order in which the subset is selected. */
    default int subsetRank(String upstreamId) {
        return 0;
    }
}
