package loadbalancer.trace;

/**
 * Lets through no more traces than a rate, chosen so that those which pass stand for those which do not: each one that
 * passes is told its weight. The probability follows from the arrivals of the last windows and is fixed before a trace is
 * looked at, so that the weights are true; a burst that is faster than it meets a bucket, whose drops are counted. Pure.
 */
final class TraceRateLimiter {
    private static final long WINDOW_MICROS = 1_000_000;
    /** Share of the last window in the rate of arrivals, where that falls; where it rises it is believed at once. */
    private static final double FALLING_RATE_WEIGHT = 0.5;
    /** The bucket holds what the rate lets through in so many seconds. */
    private static final double BURST_SECONDS = 4;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledMicros;
    private long windowStartMicros;
    private int arrivedInWindow;
    private double arrivalsPerWindow;
    private long threshold;
    private long dropped;

    TraceRateLimiter(double perSecond, long nowMicros) {
        this.perSecond = perSecond;
        burst = Math.max(1, perSecond * BURST_SECONDS);
        tokens = burst;
        refilledMicros = nowMicros;
        windowStartMicros = nowMicros;
        threshold = Randomness.threshold(perSecond > 0 ? 1 : 0);
    }

    /** One more has arrived: whether its randomness passes, before anything is known of it but its id. */
    boolean passes(long nowMicros, long randomness) {
        rollWindow(nowMicros);
        arrivedInWindow++;
        return randomness >= threshold;
    }

    /** What one stands for that passes now. */
    double weight() {
        return 1 / Randomness.probability(threshold);
    }

    /** The threshold in force, for the next hop. */
    long threshold() {
        return threshold;
    }

    /** Takes the place of one that passed; false, and counted, where a burst has used up all of them. */
    boolean tryAcquire(long nowMicros) {
        tokens = Math.min(burst, tokens + (nowMicros - refilledMicros) * perSecond / 1e6);
        refilledMicros = nowMicros;
        if (tokens < 1) {
            dropped++;
            return false;
        }
        tokens--;
        return true;
    }

    long dropped() {
        return dropped;
    }

    private void rollWindow(long nowMicros) {
        long windows = (nowMicros - windowStartMicros) / WINDOW_MICROS;
        if (windows <= 0) {
            return;
        }
        double last = arrivedInWindow;
        arrivalsPerWindow = Math.max(last, arrivalsPerWindow + FALLING_RATE_WEIGHT * (last - arrivalsPerWindow));
        if (windows > 1) {
            arrivalsPerWindow *= Math.pow(1 - FALLING_RATE_WEIGHT, Math.min(60, windows - 1));
        }
        arrivedInWindow = 0;
        windowStartMicros += windows * WINDOW_MICROS;
        threshold = Randomness.threshold(
                perSecond <= 0 ? 0 : arrivalsPerWindow <= perSecond ? 1 : perSecond / arrivalsPerWindow);
    }
}
