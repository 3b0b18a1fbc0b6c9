package loadbalancer.balancing;

/**
 * Estimates how congested the upstreams are as a whole, for fleets in which the load of a single upstream is
 * not known, and decides which fraction of the requests is shed on arrival.
 */
final class CongestionEstimator {
    private static final double MAX_CONGESTION = 2 * WorkEstimator.MAX_RATIO_TO_EXPECTED;
    private static final double GAIN = 0.1;
    /** Congestion above which requests are shed. */
    private static final double SHED_THRESHOLD = 1.5;
    /** Increase of the shed fraction per multiple of the threshold by which the congestion exceeds it. */
    private static final double SHED_SLOPE = 2;

    private static final double MAX_SHED_PROBABILITY = 0.95;

    private final BalancerContext context;
    /**
     * Mean latency as a multiple of the best latency, or with {@link #reportsOnly} mean reported load per
     * core.
     */
    private double congestion = 1;
    /** Whether other sidecars' requests are only visible in load reports. */
    private boolean reportsOnly;

    CongestionEstimator(BalancerContext context) {
        this.context = context;
    }

    /** Determines again whether other sidecars' requests are only visible in load reports. */
    void refreshSources() {
        reportsOnly = !context.loadUnknown
                && !context.samplesLoad
                && context.peerLoad.isUnavailable()
                && context.settings.sidecarCount() > BalancerContext.SIDECARS_PER_UPSTREAM;
    }

    double congestion() {
        return congestion;
    }

    /**
     * @param latencyRatio a response's latency as a multiple of what an idle upstream of standard speed would
     *     take
     */
    void recordResponse(TrackedUpstream upstream, double latencyRatio) {
        if (!reportsOnly) {
            moveTowards(latencyRatio / upstream.machineType.bestServiceTimeFactor);
        }
    }

    /** @param load number of requests that the upstream has reported, without streams */
    void recordReport(TrackedUpstream upstream, double load) {
        if (reportsOnly) {
            moveTowards(load / upstream.machineType.cores);
        }
    }

    private void moveTowards(double observed) {
        congestion += GAIN * (Math.min(MAX_CONGESTION, observed) - congestion);
    }

    /** Moves the estimate halfway to a peer's estimate. */
    void mergeGossip(double peerCongestion) {
        congestion += (Math.min(MAX_CONGESTION, peerCongestion) - congestion) / 2;
    }

    /**
     * Returns whether to shed a request that arrives now; only draws a random number if shedding is possible.
     */
    boolean shouldShed() {
        return (context.loadUnknown || reportsOnly)
                && context.random.nextDouble()
                        < Math.min(MAX_SHED_PROBABILITY, SHED_SLOPE * (congestion / SHED_THRESHOLD - 1));
    }
}
