package loadbalancer.balancing;

/**
 * Health-checks the two drawn upstreams for their load before a request is sent, which is the sampled load of
 * the HALO paper.
 */
final class LoadSampling {
    /** Number of sampled pairs from which on an upstream without a free core is accepted. */
    private static final int MIN_PAIRS_FOR_BUSY_UPSTREAM = 3;
    /**
     * A load report is current until this many requests of other sidecars are expected to have arrived since.
     */
    private static final double MAX_UNSEEN_ARRIVALS = 0.15;

    /** Largest number of times that the delay before the next pair is doubled. */
    private static final int MAX_DELAY_DOUBLINGS = 2;

    private static final double MICROS_PER_SECOND = 1e6;

    private final UpstreamDirectory directory;
    private final Estimators estimators;
    private final CapacityCheck capacity;
    private final TwoChoices choices;
    private final HealthChecks healthChecks;

    LoadSampling(
            UpstreamDirectory directory,
            Estimators estimators,
            CapacityCheck capacity,
            TwoChoices choices,
            HealthChecks healthChecks) {
        this.directory = directory;
        this.estimators = estimators;
        this.capacity = capacity;
        this.choices = choices;
        this.healthChecks = healthChecks;
    }

    /**
     * Returns the upstream to send to, or null while there is none. The less busy upstream of a pair is taken
     * if it has a free core, and from the third pair on in any case. An upstream that has not responded to
     * its health check by the next sweep is dropped from the pair. A request that has already sampled a pair
     * in vain goes to the upstream whose load report has just shown a free core.
     *
     * @param slowStarting an upstream in slow start with a free core, or null
     */
    TrackedUpstream pick(
            long nowMicros, TrackedRequest request, WeightedSampler sampler, TrackedUpstream slowStarting) {
        TrackedUpstream reporter = estimators.loads().lastReporter();
        if (reporter != null && request.pairsSampled > 0 && capacity.hasCapacity(nowMicros, request, reporter, true)) {
            request.firstCandidate = null;
            return reporter;
        }
        if (request.firstCandidate == null && !drawPair(nowMicros, request, sampler, slowStarting)) {
            return null;
        }
        if (!isPairLoadKnown(nowMicros, request) && nowMicros - request.pairSampledMicros < PendingQueue.SWEEP_MICROS) {
            return null;
        }
        TrackedUpstream best = best(nowMicros, request, false);
        if (best == null && estimators.loads().lastReportMicros() < request.pairSampledMicros) {
            // No upstream has reported since the pair was drawn, so this sidecar is slow rather than both
            // upstreams. Choose by the requests that it has in flight itself.
            best = best(nowMicros, request, true);
            request.firstCandidate = null;
            return best;
        }
        request.firstCandidate = null;
        request.pairsSampled++;
        if (best != null
                && (request.pairsSampled >= MIN_PAIRS_FOR_BUSY_UPSTREAM
                        || capacity.hasCapacity(nowMicros, request, best, true))) {
            return best;
        }
        if (request.pairsSampled < MIN_PAIRS_FOR_BUSY_UPSTREAM) {
            return pick(nowMicros, request, sampler, slowStarting);
        }
        // Sample less and less often, which bounds the health checks that a waiting request costs.
        int doublings = Math.min(request.pairsSampled - MIN_PAIRS_FOR_BUSY_UPSTREAM, MAX_DELAY_DOUBLINGS);
        request.nextPairMicros = nowMicros + (PendingQueue.SWEEP_MICROS << doublings);
        return null;
    }

    /** Draws a pair and samples its loads; returns false if it is too early or no upstream has capacity. */
    private boolean drawPair(
            long nowMicros, TrackedRequest request, WeightedSampler sampler, TrackedUpstream slowStarting) {
        if (nowMicros < request.nextPairMicros) {
            return false;
        }
        request.firstCandidate =
                slowStarting != null ? slowStarting : choices.draw(nowMicros, request, sampler, false, null);
        if (request.firstCandidate == null) {
            return false;
        }
        request.secondCandidate = choices.draw(nowMicros, request, sampler, false, request.firstCandidate);
        request.pairSampledMicros = nowMicros;
        sample(nowMicros, request, request.firstCandidate);
        if (request.secondCandidate != null) {
            sample(nowMicros, request, request.secondCandidate);
        }
        return true;
    }

    private void sample(long nowMicros, TrackedRequest request, TrackedUpstream upstream) {
        if (!isLoadKnown(nowMicros, request, upstream)) {
            healthChecks.check(nowMicros, upstream);
        }
    }

    private boolean isPairLoadKnown(long nowMicros, TrackedRequest request) {
        return isLoadKnown(nowMicros, request, request.firstCandidate)
                && (request.secondCandidate == null || isLoadKnown(nowMicros, request, request.secondCandidate));
    }

    /**
     * Returns whether the load was reported since the pair was drawn, or so recently that other sidecars have
     * hardly sent requests since.
     */
    private boolean isLoadKnown(long nowMicros, TrackedRequest request, TrackedUpstream upstream) {
        if (upstream.loadReportedMicros >= request.pairSampledMicros) {
            return true;
        }
        double peersRate = Math.max(
                        0,
                        estimators.gossip().fleetRate() - estimators.arrivals().requestsPerSecond())
                / Math.max(1, directory.ready().size())
                / MICROS_PER_SECOND;
        return (nowMicros - upstream.loadReportedMicros) * peersRate < MAX_UNSEEN_ARRIVALS;
    }

    /**
     * Returns the less busy upstream of the pair among those with capacity, or null. Unless
     * {@code allowUnknownLoad} is set, only upstreams whose load is known are considered.
     */
    private TrackedUpstream best(long nowMicros, TrackedRequest request, boolean allowUnknownLoad) {
        TrackedUpstream first = eligibleOrNull(nowMicros, request, request.firstCandidate, allowUnknownLoad);
        TrackedUpstream second = eligibleOrNull(nowMicros, request, request.secondCandidate, allowUnknownLoad);
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return choices.lessBusy(nowMicros, request, first, second);
    }

    private TrackedUpstream eligibleOrNull(
            long nowMicros, TrackedRequest request, TrackedUpstream candidate, boolean allowUnknownLoad) {
        boolean eligible = candidate != null
                && (allowUnknownLoad || isLoadKnown(nowMicros, request, candidate))
                && capacity.hasCapacity(nowMicros, request, candidate, false);
        return eligible ? candidate : null;
    }
}
