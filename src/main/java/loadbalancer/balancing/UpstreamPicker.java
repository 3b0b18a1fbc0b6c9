package loadbalancer.balancing;

/** Picks the upstream of the next attempt. */
final class UpstreamPicker {
    private final BalancerContext context;
    private final RequestSplit split;
    private final SubsetSelection subsets;
    private final CapacityCheck capacity;
    private final TwoChoices choices;
    private final LoadSampling sampling;

    UpstreamPicker(
            BalancerContext context,
            RequestSplit split,
            SubsetSelection subsets,
            CapacityCheck capacity,
            TwoChoices choices,
            LoadSampling sampling) {
        this.context = context;
        this.split = split;
        this.subsets = subsets;
        this.capacity = capacity;
        this.choices = choices;
        this.sampling = sampling;
    }

    /**
     * Returns the less busy of two upstreams drawn by p_i / k_i among those with capacity, or null if the
     * request has to wait. An upstream in slow start comes first if it has a free core and budget left for
     * this sidecar. Where crossing zones has a price, the local zone is tried next, or the other zones for
     * the share of requests that an overloaded local zone sends there; then any upstream with a free core,
     * then any with capacity.
     */
    TrackedUpstream pick(long nowMicros, TrackedRequest request) {
        split.refresh(nowMicros);
        if (request.arrival.streaming()) {
            return choices.pick(nowMicros, request, split.allZones(), false, null);
        }
        TrackedUpstream slowStarting = firstSlowStarting(nowMicros, request);
        if (context.samplesLoad) {
            return sampling.pick(nowMicros, request, split.allZones(), slowStarting);
        }
        return slowStarting != null ? slowStarting : pickByZone(nowMicros, request);
    }

    /**
     * Returns the first upstream in slow start with a free core and budget left for this sidecar, or null.
     */
    private TrackedUpstream firstSlowStarting(long nowMicros, TrackedRequest request) {
        for (TrackedUpstream upstream : split.slowStarting()) {
            if (capacity.hasCapacity(nowMicros, request, upstream, true)) {
                return upstream;
            }
        }
        return null;
    }

    private TrackedUpstream pickByZone(long nowMicros, TrackedRequest request) {
        boolean stayLocal = !context.loadUnknown
                || split.otherZones().size() == 0
                || context.random.nextDouble() < subsets.localZoneShare();
        WeightedSampler zone = stayLocal ? split.localZone() : split.otherZones();
        TrackedUpstream upstream = choices.pick(nowMicros, request, zone, false, null);
        if (upstream == null) {
            upstream = choices.pick(nowMicros, request, split.allZones(), true, null);
        }
        return upstream != null ? upstream : choices.pick(nowMicros, request, split.allZones(), false, null);
    }

    /**
     * Returns an upstream with a free core other than {@code first} for a hedged request; null if there is
     * none.
     */
    TrackedUpstream pickForHedge(long nowMicros, TrackedRequest request, TrackedUpstream first) {
        return choices.pick(nowMicros, request, split.allZones(), true, first);
    }
}
