package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.LoadReporting;

/** Estimates from latencies how fast upstreams and their machine types are, and predicts latencies. */
final class ServiceTimeEstimator {
    /** Gain of the estimates: about ten responses determine an upstream's speed. */
    private static final double GAIN = 0.1;
    /** Gain of the estimates that change more slowly: cores, and work by class. */
    private static final double SLOW_GAIN = GAIN / 4;

    /** Smallest multiple of the gain with which a response changes the estimate of its machine type. */
    private static final double MIN_MACHINE_TYPE_GAIN_MULTIPLE = 0.25;
    /**
     * Factor above which the difference between an upstream and its machine type counts as a deviation, so
     * that the upstream forms a group of its own; smaller differences are within the noise of the estimates.
     */
    private static final double DEVIATION_THRESHOLD = 1.6;
    /**
     * Time without responses after which an estimate starts to return to its default, so that the upstream is
     * tried again; microseconds.
     */
    private static final long EXPIRY_MICROS = 3_000_000;
    /** Fraction by which an expired estimate approaches its default each time the split is solved. */
    private static final double RETURN_GAIN = 0.02;
    /**
     * Factor by which the best service-time factor grows each time the split is solved, so that a few
     * exceptionally fast responses do not determine it for ever.
     */
    private static final double BEST_FACTOR_GROWTH = 1.0005;

    private final BalancerContext context;
    private final WorkEstimator work;
    private final SlowStart slowStart;
    private final CongestionEstimator congestion;

    ServiceTimeEstimator(
            BalancerContext context, WorkEstimator work, SlowStart slowStart, CongestionEstimator congestion) {
        this.context = context;
        this.work = work;
        this.slowStart = slowStart;
        this.congestion = congestion;
    }

    /**
     * Returns the expected latency of work on an upstream that holds {@code load} other requests and serves
     * them first come, first served; microseconds.
     */
    double expectedLatencyMicros(TrackedUpstream upstream, double workMicros, double load, long nowMicros) {
        return upstream.serviceTimeFactor()
                * (workMicros + queueingMicros(upstream, load))
                / slowStart.warmupFactor(upstream, nowMicros);
    }

    /** Returns the queueing time on an upstream of service-time factor 1, microseconds. */
    private double queueingMicros(TrackedUpstream upstream, double load) {
        double cores = Math.max(1, upstream.machineType.cores);
        return Math.max(0, load + 1 - cores) / cores * work.meanWorkMicros();
    }

    /**
     * Updates the estimates with an attempt's latency; the latency of a failed attempt is only a lower bound.
     */
    void learn(TrackedAttempt attempt, long latencyMicros, boolean success, long nowMicros) {
        TrackedUpstream upstream = attempt.upstream;
        MachineType machineType = upstream.machineType;
        double latencyRatio = latencyMicros / Math.max(1, attempt.baselineLatencyMicros);
        if (attempt.request.arrival.streaming() || !success && latencyRatio < upstream.serviceTimeFactor()) {
            return;
        }
        double gain = GAIN;
        if (context.settings.loadReporting() == LoadReporting.NONE
                && success
                && slowStart.warmupFactor(upstream, nowMicros) >= 1) {
            gain *= 1 - learnCores(attempt, latencyRatio);
        }
        congestion.recordResponse(upstream, latencyRatio);
        machineType.lastResponseMicros = nowMicros;
        upstream.lastResponseMicros = nowMicros;
        if (success && !deviates(upstream)) {
            // Move towards the observed ratio itself: adding up steps relative to the upstream's estimate
            // would drift. The first responses of a machine type change its estimate more.
            double machineTypeGain =
                    gain * Math.max(MIN_MACHINE_TYPE_GAIN_MULTIPLE, 1 / GAIN / (++machineType.responseCount + 1));
            machineType.serviceTimeFactor *= 1 + machineTypeGain * excess(latencyRatio, machineType.serviceTimeFactor);
        }
        upstream.deviationFactor *= 1 + gain * excess(latencyRatio, upstream.serviceTimeFactor());
        if (success && attempt.request.arrival.costHintMicros() <= 0) {
            double step = SLOW_GAIN * excess(latencyRatio, upstream.serviceTimeFactor());
            work.adjust(attempt.request.requestClass, step);
        }
    }

    /**
     * Adjusts the estimate of cores by the part of the latency that is due to queueing; the rest reflects the
     * upstream's speed. Returns the fraction that is due to queueing.
     */
    private double learnCores(TrackedAttempt attempt, double latencyRatio) {
        TrackedUpstream upstream = attempt.upstream;
        double queueingMicros = queueingMicros(upstream, attempt.loadAtSend);
        double fraction = queueingMicros / (queueingMicros + attempt.request.workMicros);
        double step = SLOW_GAIN * fraction * excess(latencyRatio, upstream.serviceTimeFactor());
        upstream.machineType.cores = Math.max(1, upstream.machineType.cores * (1 - step));
        return fraction;
    }

    /** Returns by how much a bounded observation exceeds the estimate, as a fraction of the estimate. */
    private static double excess(double observed, double estimate) {
        return Math.min(WorkEstimator.MAX_RATIO_TO_EXPECTED, observed / estimate) - 1;
    }

    /** Returns whether the upstream is clearly faster or slower than its machine type. */
    static boolean deviates(TrackedUpstream upstream) {
        return upstream.deviationFactor > DEVIATION_THRESHOLD || upstream.deviationFactor * DEVIATION_THRESHOLD < 1;
    }

    /**
     * Moves the estimate of a machine type without recent responses gradually back to its best value. A
     * machine type that is estimated as slow may get no requests that would correct the estimate.
     */
    static void expire(MachineType machineType, long nowMicros) {
        if (nowMicros - machineType.lastResponseMicros > EXPIRY_MICROS) {
            machineType.serviceTimeFactor +=
                    RETURN_GAIN * (machineType.bestServiceTimeFactor - machineType.serviceTimeFactor);
        }
        machineType.bestServiceTimeFactor = machineType.responseCount < FleetGossip.MAX_COUNTED_RESPONSES
                ? machineType.serviceTimeFactor
                : Math.min(machineType.serviceTimeFactor, machineType.bestServiceTimeFactor * BEST_FACTOR_GROWTH);
    }

    /**
     * Moves the estimate of an upstream without recent responses gradually back to the speed of its machine
     * type.
     */
    static void expire(TrackedUpstream upstream, long nowMicros) {
        if (nowMicros - upstream.lastResponseMicros > EXPIRY_MICROS) {
            upstream.deviationFactor += RETURN_GAIN * (1 - upstream.deviationFactor);
        }
    }
}
