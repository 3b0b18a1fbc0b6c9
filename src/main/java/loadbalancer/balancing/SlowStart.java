package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Rules;

/**
 * Slow start of upstreams that have started recently: their expected capacity, and the budget with which all
 * sidecars together avoid overloading them ({@link Rules#overloadMultiple}) without exchanging messages.
 */
final class SlowStart {
    /** Fraction of the budget that is used, as costs and speeds are only estimates. */
    private static final double BUDGET_FRACTION = 0.8;
    /** Number of slots that an overload window can overlap. */
    private static final double SLOTS_PER_WINDOW = 3;
    /**
     * Used in place of {@link #SLOTS_PER_WINDOW} if loads are sampled; lower, because each sidecar sees what
     * others have sent before it.
     */
    private static final double SAMPLED_SLOTS_PER_WINDOW = 1.5;

    private final BalancerContext context;
    private final WorkEstimator work;

    SlowStart(BalancerContext context, WorkEstimator work) {
        this.context = context;
        this.work = work;
    }

    /**
     * Returns the fraction of its full capacity, in (0, 1], that an upstream has at least: that of the
     * slowest ramp that the rules allow.
     */
    double warmupFactor(TrackedUpstream upstream, long nowMicros) {
        return warmupFactor(upstream.endpoint.startedMicros(), nowMicros);
    }

    private double warmupFactor(long startedMicros, long nowMicros) {
        Rules rules = context.settings.rules();
        double fraction = Math.max(0, nowMicros - startedMicros) / Math.max(1.0, rules.slowStartMicros());
        return startedMicros <= 0 || fraction >= 1 ? 1 : fraction + (1 - fraction) * rules.slowStartInitialFraction();
    }

    /**
     * Returns whether this sidecar's share of the budget of an upstream in slow start allows this much more
     * work.
     *
     * <p>A slot is half an overload window. In each slot the sidecars together may send as many requests of
     * mean work as fit a third of a window's budget. Each sidecar gets an equal share; the remainder goes to
     * the first sidecars in an order that depends on upstream and slot. If loads are sampled there are twice
     * as many requests per slot, and the sidecars take their turns one after the other.
     */
    boolean hasBudget(long nowMicros, TrackedUpstream upstream, double workMicros) {
        // An upstream that may have restarted gets the budget of a restarted one, but its expected capacity
        // is kept.
        long fromMicros = upstream.endpoint.latestStartMicros();
        if (warmupFactor(fromMicros, nowMicros) >= 1) {
            return true;
        }
        long slot = slot(upstream, nowMicros);
        long windowMicros = context.settings.rules().overloadWindowMicros();
        long slotStartMicros = fromMicros + slot * (windowMicros / 2);
        double serviceTimeFactor = upstream.machineType.serviceTimeFactor * Math.max(1, upstream.deviationFactor);
        double capacity =
                warmupFactor(fromMicros, slotStartMicros) * Math.max(1, upstream.machineType.cores) / serviceTimeFactor;
        double budget = BUDGET_FRACTION * context.settings.rules().overloadMultiple() * capacity * windowMicros;
        double meanWorkMicros = work.meanWorkMicros();
        long requestsPerSlot =
                (long) (budget / (context.samplesLoad ? SAMPLED_SLOTS_PER_WINDOW : SLOTS_PER_WINDOW) / meanWorkMicros);
        int sidecarCount = context.settings.sidecarCount();
        long turn =
                Math.floorMod(context.settings.sidecarIndex() - hash(upstream.id.hashCode(), (int) slot), sidecarCount);
        long ownRequests = requestsPerSlot / sidecarCount + (turn < requestsPerSlot % sidecarCount ? 1 : 0);
        long spacingMicros = context.samplesLoad ? windowMicros / 4 / Math.max(1, requestsPerSlot) : 0;
        double sentMicros = upstream.warmupSlot == slot ? upstream.warmupSlotWorkMicros : 0;
        boolean due = ownRequests > 0 && nowMicros >= slotStartMicros + turn * spacingMicros;
        return due
                && workMicros <= WorkEstimator.MAX_RATIO_TO_EXPECTED * meanWorkMicros
                && (sentMicros == 0 || sentMicros + workMicros <= ownRequests * meanWorkMicros);
    }

    /** Charges the work of a request to the current slot's budget. */
    void recordSend(long nowMicros, TrackedUpstream upstream, double workMicros) {
        long slot = slot(upstream, nowMicros);
        upstream.warmupSlotWorkMicros = workMicros + (slot == upstream.warmupSlot ? upstream.warmupSlotWorkMicros : 0);
        upstream.warmupSlot = slot;
        if (warmupFactor(upstream.endpoint.latestStartMicros(), nowMicros) < 1) {
            upstream.warmupSentMicros = nowMicros;
        }
    }

    private long slot(TrackedUpstream upstream, long nowMicros) {
        return Math.max(0, nowMicros - upstream.endpoint.latestStartMicros())
                / (context.settings.rules().overloadWindowMicros() / 2);
    }

    /** Returns a hash that spreads neighbouring numbers and is the same at every sidecar. */
    static int hash(int value, int salt) {
        int mixed = (value ^ salt * 0x9e3779b9) * 0x85ebca6b;
        mixed = (mixed ^ mixed >>> 15) * 0xc2b2ae35;
        return mixed ^ mixed >>> 16;
    }
}
