package loadbalancer.balancing;

/** Sends health checks, which also bring load reports, and tracks which upstreams left one unanswered. */
final class HealthChecks {
    /** Time after which an unanswered health check may be sent again, microseconds. */
    private static final long TIMEOUT_MICROS = 100_000;

    private final BalancerContext context;

    HealthChecks(BalancerContext context) {
        this.context = context;
    }

    /** Sends a health check unless one is in flight. */
    void check(long nowMicros, TrackedUpstream upstream) {
        if (nowMicros - upstream.healthCheckSentMicros > TIMEOUT_MICROS) {
            upstream.healthCheckSentMicros = nowMicros;
            context.actions.checkHealth(upstream.id);
        }
    }

    /**
     * Returns whether the upstream left a health check for an overdue attempt unanswered; expires after the
     * timeout.
     */
    static boolean isUnresponsive(TrackedUpstream upstream, long nowMicros) {
        return upstream.unresponsiveSinceMicros > upstream.loadReportedMicros
                && nowMicros - upstream.unresponsiveSinceMicros < TIMEOUT_MICROS;
    }
}
