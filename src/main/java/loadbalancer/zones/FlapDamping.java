package loadbalancer.zones;

/**
 * Keeps a flapping zone out of service for longer each time, like route flap damping (RFC 2439): each loss adds a
 * penalty, which decays exponentially. A zone whose penalty exceeds one threshold is suppressed until the penalty falls
 * below a lower one.
 */
final class FlapDamping {
    /** Penalty for one loss, in the unit of the thresholds. */
    private static final double LOSS_PENALTY = 1000;

    private static final double SUPPRESS_THRESHOLD = 2000;
    private static final double REUSE_THRESHOLD = 750;

    /** Limits suppression to four half-lives after the last loss. */
    private static final double MAX_PENALTY = REUSE_THRESHOLD * 16;

    private final long halfLifeMicros;
    private double penalty;
    private long decayedMicros;
    private boolean suppressed;

    FlapDamping(long halfLifeMicros) {
        this.halfLifeMicros = halfLifeMicros;
    }

    void zoneLost(long nowMicros) {
        decay(nowMicros);
        penalty = Math.min(MAX_PENALTY, penalty + LOSS_PENALTY);
        suppressed |= penalty > SUPPRESS_THRESHOLD;
    }

    boolean isSuppressed(long nowMicros) {
        decay(nowMicros);
        suppressed &= penalty >= REUSE_THRESHOLD;
        return suppressed;
    }

    private void decay(long nowMicros) {
        penalty *= Math.pow(0.5, Math.max(0, nowMicros - decayedMicros) / (double) halfLifeMicros);
        decayedMicros = nowMicros;
    }
}
