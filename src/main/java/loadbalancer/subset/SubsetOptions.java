package loadbalancer.subset;

/**
 * The operator's settings for subsets.
 *
 * @param minUpstreams                 minimum size of a subset
 * @param requestsPerSecondPerUpstream maximum mean rate from this sidecar to each upstream; at a higher rate the subset
 *                                     grows
 * @param drainMicros                  how long upstreams that leave the subset are kept as draining
 * @param sidecarCountOverride         number of sidecars in the fleet, if the platform's number is wrong; 0 to use that
 *                                     of the platform
 */
public record SubsetOptions(
        int minUpstreams, double requestsPerSecondPerUpstream, long drainMicros, int sidecarCountOverride) {

    /** Number of sidecars in the fleet: the operator's override if there is one, else the platform's number. */
    int fleetSize(int platformSidecarCount) {
        return sidecarCountOverride > 0 ? sidecarCountOverride : platformSidecarCount;
    }
}
