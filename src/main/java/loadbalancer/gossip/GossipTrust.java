package loadbalancer.gossip;

/**
 * Decides how far gossip is trusted, by comparing the peers' claims with the load that upstreams report in their
 * responses. Late or false gossip looks like correct gossip and can be detected only by this comparison. If the two are
 * uncorrelated, gossip is ignored: selection by outdated gossip is worse than random selection, because all sidecars
 * follow the same outdated state (Mitzenmacher, How Useful Is Old Information?, IEEE TPDS 11(1), 2000). If they
 * correlate but gossip claims more, the mean excess is subtracted.
 *
 * <p>Consecutive rejections without an attempt also suspend trust until the next attempt ends: a sidecar to which all
 * upstreams seem full would otherwise send no attempts and never get a report that shows the opposite. All moments are
 * exponentially weighted over responses.
 */
final class GossipTrust {
    /** Weight of one response in the moments. */
    static final double SMOOTHING_FACTOR = 0.08;

    /** Correlation below which gossip is distrusted. */
    static final double DISTRUST_CORRELATION = 0.15;

    /** Correlation from which gossip is trusted again. */
    static final double TRUST_CORRELATION = 0.35;

    /** Consecutive rejections after which gossip is ignored until an attempt ends. */
    static final int MAX_CONSECUTIVE_REJECTIONS = 16;

    /** Mean excess in requests that is not subtracted, because gossip and reports are not taken at the same moment. */
    private static final double TOLERATED_EXCESS = 0.5;

    /** Added to variances and covariance, so that gossip about nearly idle upstreams counts as correlated. */
    private static final double VARIANCE_FLOOR = 0.01;

    /** Variances and covariance before the first response, so that gossip is trusted at first. */
    private static final double INITIAL_VARIANCE = 0.3;

    private double gossipMean;
    private double reportMean;
    private double gossipVariance = INITIAL_VARIANCE;
    private double reportVariance = INITIAL_VARIANCE;
    private double covariance = INITIAL_VARIANCE;
    private double meanExcess;
    private boolean distrusted;
    private int consecutiveRejections;

    /**
     * Compares the peers' requests in flight at an upstream, as counted by gossip and by the upstream's report at the
     * same time.
     */
    void compare(double gossiped, double reported) {
        double gossipDeviation = gossiped - gossipMean;
        double reportDeviation = reported - reportMean;
        gossipMean += SMOOTHING_FACTOR * gossipDeviation;
        reportMean += SMOOTHING_FACTOR * reportDeviation;
        gossipVariance =
                (1 - SMOOTHING_FACTOR) * (gossipVariance + SMOOTHING_FACTOR * gossipDeviation * gossipDeviation);
        reportVariance =
                (1 - SMOOTHING_FACTOR) * (reportVariance + SMOOTHING_FACTOR * reportDeviation * reportDeviation);
        covariance = (1 - SMOOTHING_FACTOR) * (covariance + SMOOTHING_FACTOR * gossipDeviation * reportDeviation);
        meanExcess += SMOOTHING_FACTOR * (gossiped - reported - meanExcess);
        distrusted = correlation() < (distrusted ? TRUST_CORRELATION : DISTRUST_CORRELATION);
    }

    /** Handles the end of an attempt of this sidecar. */
    void attemptEnded() {
        consecutiveRejections = 0;
    }

    /** Handles a request that this sidecar has rejected, whether because of gossip or not. */
    void requestRejected() {
        consecutiveRejections++;
    }

    double correlation() {
        return (covariance + VARIANCE_FLOOR)
                / Math.sqrt((gossipVariance + VARIANCE_FLOOR) * (reportVariance + VARIANCE_FLOOR));
    }

    /** Whether gossip correlates with reports. */
    boolean isTrusted() {
        return !distrusted;
    }

    /** Returns how many of {@code gossiped} requests in flight to count. */
    int credibleCount(int gossiped) {
        if (gossiped == 0 || distrusted || consecutiveRejections >= MAX_CONSECUTIVE_REJECTIONS) {
            return 0;
        }
        return meanExcess <= TOLERATED_EXCESS ? gossiped : (int) Math.max(0, gossiped - Math.round(meanExcess));
    }
}
