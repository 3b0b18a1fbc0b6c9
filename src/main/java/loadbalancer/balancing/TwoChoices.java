package loadbalancer.balancing;

/** Power of two choices: draws two upstreams by their weights and picks the less busy one. */
final class TwoChoices {
    /** Number of random draws for an upstream with capacity before all upstreams are scanned. */
    private static final int MAX_DRAWS_BEFORE_SCAN = 4;
    /** Difference up to which sampled loads per core count as equal; sampled loads are whole numbers. */
    private static final double SAMPLED_TIE_TOLERANCE = 0.5;
    /** Difference up to which estimated loads per core count as equal. */
    private static final double ESTIMATED_TIE_TOLERANCE = 1e-9;

    private final BalancerContext context;
    private final LoadEstimator loads;
    private final CapacityCheck capacity;

    TwoChoices(BalancerContext context, LoadEstimator loads, CapacityCheck capacity) {
        this.context = context;
        this.loads = loads;
        this.capacity = capacity;
    }

    /** Returns the less busy of two drawn upstreams with capacity, or null; {@code excluded} may be null. */
    TrackedUpstream pick(
            long nowMicros,
            TrackedRequest request,
            WeightedSampler sampler,
            boolean freeCore,
            TrackedUpstream excluded) {
        TrackedUpstream first = draw(nowMicros, request, sampler, freeCore, excluded);
        TrackedUpstream second = first == null ? null : draw(nowMicros, request, sampler, freeCore, first);
        return second == null || second == excluded ? first : lessBusy(nowMicros, request, first, second);
    }

    /**
     * Draws an upstream with capacity by weight: makes a few random draws, then scans. Returns null if there is none.
     */
    TrackedUpstream draw(
            long nowMicros,
            TrackedRequest request,
            WeightedSampler sampler,
            boolean freeCore,
            TrackedUpstream excluded) {
        for (int i = 0; i < MAX_DRAWS_BEFORE_SCAN && sampler.size() > 0; i++) {
            TrackedUpstream upstream = sampler.sample(context.random.nextDouble());
            if (upstream != excluded && capacity.hasCapacity(nowMicros, request, upstream, freeCore)) {
                return upstream;
            }
        }
        return capacity.skipsScan(request) ? null : scan(nowMicros, request, sampler, freeCore, excluded);
    }

    /** Draws by weight among all upstreams with capacity, in one pass. */
    private TrackedUpstream scan(
            long nowMicros,
            TrackedRequest request,
            WeightedSampler sampler,
            boolean freeCore,
            TrackedUpstream excluded) {
        double sum = 0;
        TrackedUpstream chosen = null;
        for (int i = 0; i < sampler.size(); i++) {
            TrackedUpstream upstream = sampler.get(i);
            if (upstream != excluded && capacity.hasCapacity(nowMicros, request, upstream, freeCore)) {
                sum += upstream.selectionWeight;
                chosen = context.random.nextDouble() * sum < upstream.selectionWeight ? upstream : chosen;
            }
        }
        return chosen;
    }

    /**
     * Returns the upstream with the lower load per core, or for a stream the one with fewer streams per core.
     * Ties are broken at random by weight.
     */
    TrackedUpstream lessBusy(long nowMicros, TrackedRequest request, TrackedUpstream first, TrackedUpstream second) {
        boolean streaming = request.arrival.streaming();
        double difference = streaming
                ? first.openStreams / first.machineType.cores - second.openStreams / second.machineType.cores
                : loads.load(first, nowMicros) / first.machineType.cores
                        - loads.load(second, nowMicros) / second.machineType.cores;
        if (Math.abs(difference)
                > (context.samplesLoad && !streaming ? SAMPLED_TIE_TOLERANCE : ESTIMATED_TIE_TOLERANCE)) {
            return difference < 0 ? first : second;
        }
        double weights = first.selectionWeight + second.selectionWeight;
        return context.random.nextDouble() * weights < first.selectionWeight ? first : second;
    }
}
