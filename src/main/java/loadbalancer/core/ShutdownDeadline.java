package loadbalancer.core;

/**
 * Latest time for the responses of a process that was told to stop, since the platform may kill it soon after. No I/O;
 * times are microseconds.
 */
public final class ShutdownDeadline {
    /** The platform waits for the longest deadline of all requests before it kills a process, but no longer than this. */
    private static final long MAX_AWAITED_DEADLINE_MICROS = 3_000_000;
    /** Time beyond that deadline, until the earliest kill. */
    private static final long KILL_GRACE_MICROS = 700_000;
    /** A response leaves so long before the earliest kill, as the process may be held up for 150 ms. */
    private static final long RESPONSE_MARGIN_MICROS = 200_000;
    /** A request with less time left is not forwarded. */
    private static final long MIN_SERVICE_MICROS = 20_000;

    private long latestMicros = Long.MAX_VALUE;

    /** Records that the process is told to stop; {@code longestDeadlineMicros} is a request's longest one. */
    public void begin(long nowMicros, long longestDeadlineMicros) {
        latestMicros = nowMicros
                + Math.min(longestDeadlineMicros, MAX_AWAITED_DEADLINE_MICROS)
                + KILL_GRACE_MICROS
                - RESPONSE_MARGIN_MICROS;
    }

    /** The deadline of a request that is admitted now, given the time for which its client waits. */
    public long limit(long deadlineMicros) {
        return Math.min(deadlineMicros, latestMicros);
    }

    /** Whether a request that arrives now can't be served any more, and is to be rejected. */
    public boolean isTooLateToServe(long nowMicros) {
        return nowMicros > latestMicros - MIN_SERVICE_MICROS;
    }

    /** Whether all that is held must be answered now. */
    public boolean hasPassed(long nowMicros) {
        return nowMicros >= latestMicros;
    }
}
