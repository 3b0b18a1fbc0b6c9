package loadbalancer.balancing;

/**
 * Estimates shared by all upstreams of one machine type of the endpoint list, the server type of the HALO
 * paper's Section II.
 */
final class MachineType {
    /** Time that such an upstream takes for work that takes one unit of time on a standard core. */
    double serviceTimeFactor = 1;
    /** Estimated number of requests that one such upstream processes in parallel. */
    double cores;
    /** Lowest recent service-time factor, which is that of upstreams without contention. */
    double bestServiceTimeFactor = 1;
    /** Number of responses on which the estimates are based, including those reported by gossip. */
    int responseCount;
    /** Time of the last response from any upstream of the machine type, microseconds. */
    long lastResponseMicros;

    MachineType(double cores) {
        this.cores = cores;
    }
}
