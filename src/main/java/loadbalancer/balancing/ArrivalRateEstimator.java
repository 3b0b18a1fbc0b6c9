package loadbalancer.balancing;

/** Estimates this sidecar's request rate as an exponential moving average. */
final class ArrivalRateEstimator {
    /** Time constant of the average, microseconds; short enough to show a burst within a second or two. */
    private static final double AVERAGING_MICROS = 2_000_000;

    private static final double MICROS_PER_SECOND = 1e6;

    private final long startedMicros;
    private long measuredMicros;
    private int arrivals;
    private double requestsPerSecond;

    ArrivalRateEstimator(long nowMicros) {
        startedMicros = nowMicros;
        measuredMicros = nowMicros;
    }

    /** Returns the requests per second as of the last measurement. */
    double requestsPerSecond() {
        return requestsPerSecond;
    }

    void recordArrival() {
        arrivals++;
    }

    /**
     * Updates the rate with the arrivals since the last measurement; soon after the start the average covers
     * all arrivals.
     */
    void measure(long nowMicros) {
        double elapsedMicros = Math.max(1, nowMicros - measuredMicros);
        double windowMicros = Math.max(elapsedMicros, Math.min(AVERAGING_MICROS, nowMicros - startedMicros));
        double retained = Math.exp(-elapsedMicros / windowMicros);
        requestsPerSecond =
                retained * requestsPerSecond + (1 - retained) * arrivals * MICROS_PER_SECOND / elapsedMicros;
        arrivals = 0;
        measuredMicros = nowMicros;
    }
}
