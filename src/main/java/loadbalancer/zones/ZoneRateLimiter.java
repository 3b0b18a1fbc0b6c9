package loadbalancer.zones;

/**
 * Measures the rate of requests from one sidecar to one zone, and limits it while a zone is lost or ramping up. The
 * limit starts near the measured rate, at most doubles per doubling time, and is reduced while the zone reports
 * overload, so that neither the number of upstreams nor their capacity has to be known.
 */
final class ZoneRateLimiter {
    private static final double RATE_AVERAGING_MICROS = 500_000;
    private static final long DECREASE_INTERVAL_MICROS = 200_000;
    private static final double DECREASE_FACTOR = 0.9;

    /** Size of the token bucket, in seconds of sending at the limit; at least {@link #MIN_BURST} requests. */
    private static final double BURST_SECONDS = 0.15;

    private static final double MIN_BURST = 3;

    /** Ratio of the first limit to the measured rate, right after another zone was lost. */
    private static final double INITIAL_HEADROOM = 1.2;

    /** Ratio of limit to measured rate from which the limit is considered to have no effect. */
    private static final double INEFFECTIVE_LIMIT_RATIO = 1.5;

    /** Ratio of queued to executing requests above which the zone counts as overloaded. */
    private static final double OVERLOAD_QUEUE_RATIO = 1.0;

    private static final double QUEUE_RATIO_GAIN = 0.1;

    /**
     * Ratio of a returned zone's limit to its rate before the loss, scaled by the capacity of upstreams in slow start.
     */
    private static final double SLOW_START_MULTIPLE = 2;

    private final double minPerSecond;
    private final long doublingMicros;
    private final double slowStartInitialFraction;
    private final long slowStartMicros;
    private double perSecondBeforeLoss;
    private long recoveredMicros;
    private double sentPerSecond;
    private double limitPerSecond;
    private double tokens;
    private long updatedMicros;
    private double queueRatio;
    private boolean requestRejected;
    private long decreasedMicros;
    private boolean limited;

    /**
     * @param minPerSecond             minimum of the limit, in requests per second
     * @param doublingMicros           shortest time in which the limit doubles
     * @param slowStartInitialFraction fraction of its full capacity that an upstream has right after its start
     * @param slowStartMicros          time from an upstream's start until it has its full capacity
     */
    ZoneRateLimiter(
            double minPerSecond,
            long doublingMicros,
            double slowStartInitialFraction,
            long slowStartMicros,
            long nowMicros) {
        this.minPerSecond = minPerSecond;
        this.doublingMicros = doublingMicros;
        this.slowStartInitialFraction = slowStartInitialFraction;
        this.slowStartMicros = Math.max(1, slowStartMicros);
        updatedMicros = nowMicros;
        limitPerSecond = minPerSecond;
    }

    /**
     * Limits the rate from now on, at first to slightly more than the measured rate. No effect if it is limited
     * already.
     */
    void startLimiting(long nowMicros) {
        advance(nowMicros);
        if (!limited) {
            limitPerSecond = Math.max(minPerSecond, INITIAL_HEADROOM * sentPerSecond);
            tokens = Math.min(tokens, burst());
        }
        limited = true;
    }

    void stopLimiting() {
        limited = false;
    }

    /**
     * Handles the loss of the zone: the measured rate becomes the reference of its recovery ramp. A loss during a ramp
     * keeps the previous reference.
     */
    void zoneLost(long nowMicros) {
        advance(nowMicros);
        if (recoveredMicros == 0 || nowMicros - recoveredMicros >= slowStartMicros) {
            perSecondBeforeLoss = Math.max(minPerSecond, sentPerSecond);
        }
    }

    /**
     * Starts the recovery ramp of a zone that has returned, as if all of its upstreams had just restarted, because
     * discovery may report restarts late or never. Each sidecar ramps up its own rate, so the fleet's total stays a
     * small multiple of the rate that the zone had.
     */
    void zoneRecovered(long nowMicros) {
        advance(nowMicros);
        recoveredMicros = nowMicros;
        limited = true;
        limitPerSecond = slowStartCeiling(nowMicros);
        tokens = Math.min(tokens, 1);
    }

    /** Whether another request may be sent now. Top-priority requests may overdraw the token bucket by one burst. */
    boolean allows(long nowMicros, boolean topPriority) {
        advance(nowMicros);
        return !limited || tokens >= (topPriority ? 1 - burst() : 1);
    }

    void requestSent(long nowMicros) {
        advance(nowMicros);
        sentPerSecond += 1e6 / RATE_AVERAGING_MICROS;
        tokens = Math.max(-burst(), tokens - 1);
    }

    /** Handles a load report of an upstream in the zone: its requests in flight, and how many of these are queued. */
    void loadReported(double inFlight, double queuedRequests) {
        double executing = Math.max(1, inFlight - queuedRequests);
        queueRatio += QUEUE_RATIO_GAIN * (queuedRequests / executing - queueRatio);
    }

    void requestRejected() {
        requestRejected = true;
    }

    /** Fraction of its rate before the loss that the zone may get during its recovery ramp, up to 1. */
    double recoveredFraction(long nowMicros) {
        advance(nowMicros);
        return slowStartCeiling(nowMicros) == Double.MAX_VALUE ? 1 : Math.min(1, limitPerSecond / perSecondBeforeLoss);
    }

    /** Whether the limit is far enough above the measured rate to have no effect, and the zone is not overloaded. */
    boolean hasHeadroom() {
        return limitPerSecond >= Math.max(INEFFECTIVE_LIMIT_RATIO * sentPerSecond, minPerSecond)
                && queueRatio <= OVERLOAD_QUEUE_RATIO;
    }

    private double slowStartCeiling(long nowMicros) {
        if (recoveredMicros == 0 || nowMicros - recoveredMicros >= slowStartMicros) {
            return Double.MAX_VALUE;
        }
        return SLOW_START_MULTIPLE
                * perSecondBeforeLoss
                * (slowStartInitialFraction
                        + (1 - slowStartInitialFraction) * (nowMicros - recoveredMicros) / slowStartMicros);
    }

    private double burst() {
        return Math.max(MIN_BURST, limitPerSecond * BURST_SECONDS);
    }

    private void advance(long nowMicros) {
        long elapsedMicros = nowMicros - updatedMicros;
        if (elapsedMicros <= 0) {
            return;
        }
        updatedMicros = nowMicros;
        sentPerSecond *= Math.exp(-elapsedMicros / RATE_AVERAGING_MICROS);
        if (limited) {
            adjustLimit(nowMicros, elapsedMicros);
        }
        tokens = Math.min(burst(), tokens + limitPerSecond * elapsedMicros / 1e6);
    }

    private void adjustLimit(long nowMicros, long elapsedMicros) {
        boolean overloaded = requestRejected || queueRatio > OVERLOAD_QUEUE_RATIO;
        if (overloaded && nowMicros - decreasedMicros >= DECREASE_INTERVAL_MICROS) {
            limitPerSecond = Math.max(
                    minPerSecond, DECREASE_FACTOR * Math.min(limitPerSecond, Math.max(sentPerSecond, minPerSecond)));
            decreasedMicros = nowMicros;
            requestRejected = false;
        } else if (!overloaded) {
            // The limit grows to at most twice the measured rate: the zone has not proved that it can take more.
            limitPerSecond = Math.min(
                    limitPerSecond * Math.pow(2, (double) elapsedMicros / doublingMicros),
                    Math.max(limitPerSecond, Math.max(2 * minPerSecond, 2 * sentPerSecond)));
        }
        limitPerSecond = Math.min(limitPerSecond, slowStartCeiling(nowMicros));
    }
}
