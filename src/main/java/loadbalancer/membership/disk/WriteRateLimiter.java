package loadbalancer.membership.disk;

/** A token bucket that limits the rate of writes. Time is a parameter, in microseconds. */
final class WriteRateLimiter {
    /** Number of writes that may follow each other without a wait. */
    private static final double MAX_BURST = 3;

    private static final double MICROS_PER_MINUTE = 60e6;

    private final double tokensPerMicro;
    private double tokens = MAX_BURST;
    private long updatedMicros;

    WriteRateLimiter(int maxWritesPerMinute, long nowMicros) {
        tokensPerMicro = maxWritesPerMinute / MICROS_PER_MINUTE;
        updatedMicros = nowMicros;
    }

    /** Takes a token for a write and returns 0; if there is none, returns the time to wait before trying again. */
    long acquireOrWaitMicros(long nowMicros) {
        tokens = Math.min(MAX_BURST, tokens + Math.max(0, nowMicros - updatedMicros) * tokensPerMicro);
        updatedMicros = nowMicros;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) / tokensPerMicro));
    }
}
