package loadbalancer.balancing;

import java.util.List;
import loadbalancer.balancing.Balancer.Outcome;

/**
 * Ejects upstreams that fail, for a time that doubles with each ejection. While most upstreams are ejected,
 * ejections are ignored.
 */
final class OutlierDetector {
    /** Failure score at which an upstream is ejected. */
    private static final int EJECTION_THRESHOLD = 4;

    private static final int FAILURE_SCORE = 2;
    /**
     * Score of a malformed response or a reset, half a failure: a malformed response shows that the upstream
     * responds, and a reset is as often caused by the connection.
     */
    private static final int HALF_FAILURE_SCORE = 1;

    private static final long BASE_EJECTION_MICROS = 500_000;
    private static final long MAX_EJECTION_MICROS = 8_000_000;
    private static final int MAX_DOUBLINGS = 10;
    /**
     * Least number of ejections that is counted for an upstream before it is ejected for rejecting a request
     * despite free cores, so that this ejection is longer than a first one for other failures.
     */
    private static final int MIN_EJECTIONS_AFTER_REJECTION = 2;

    /**
     * Whether more than half of the ready upstreams are ejected: failures of most upstreams do not show that
     * a single one is at fault.
     */
    private boolean panicMode;

    /** Returns whether the upstream is ejected or unresponsive to a health check. */
    static boolean isEjected(TrackedUpstream upstream, long nowMicros) {
        return HealthChecks.isUnresponsive(upstream, nowMicros) || nowMicros < upstream.ejectedUntilMicros;
    }

    /** Enters or leaves panic mode according to the number of upstreams that are ejected now. */
    void refreshPanicMode(List<TrackedUpstream> ready, long nowMicros) {
        int ejected = 0;
        for (TrackedUpstream upstream : ready) {
            ejected += isEjected(upstream, nowMicros) ? 1 : 0;
        }
        panicMode = 2 * ejected > ready.size();
    }

    /**
     * Returns whether the upstream gets no requests: it is ejected, or it was ejected and already has a
     * request in flight that will show whether it has recovered.
     */
    boolean isExcluded(TrackedUpstream upstream, long nowMicros) {
        return !panicMode
                && (isEjected(upstream, nowMicros) || upstream.consecutiveEjections > 0 && upstream.inFlight > 0);
    }

    void recordSuccess(TrackedUpstream upstream) {
        upstream.failureScore = 0;
        upstream.consecutiveEjections = 0;
    }

    /** Adds the failure of an attempt to the upstream's score. */
    void recordAttempt(long nowMicros, TrackedUpstream upstream, Outcome outcome) {
        recordFailure(
                nowMicros,
                upstream,
                switch (outcome) {
                    case CONNECT_FAILED -> EJECTION_THRESHOLD;
                    case ERROR, TIMEOUT -> FAILURE_SCORE;
                    case RESET, MALFORMED -> HALF_FAILURE_SCORE;
                    default -> 0;
                });
    }

    /** Adds a failed health check to the upstream's score. */
    void recordHealthCheck(long nowMicros, TrackedUpstream upstream, Outcome outcome) {
        recordFailure(
                nowMicros,
                upstream,
                switch (outcome) {
                    case CONNECT_FAILED -> EJECTION_THRESHOLD;
                    case MALFORMED -> HALF_FAILURE_SCORE;
                    default -> FAILURE_SCORE;
                });
    }

    /** Ejects an upstream that rejects a request while it has free cores: it is shutting down or broken. */
    void recordRejection(long nowMicros, TrackedUpstream upstream) {
        if (upstream.inFlight < upstream.machineType.cores) {
            upstream.consecutiveEjections = Math.max(MIN_EJECTIONS_AFTER_REJECTION, upstream.consecutiveEjections);
            recordFailure(nowMicros, upstream, EJECTION_THRESHOLD);
        }
    }

    private static void recordFailure(long nowMicros, TrackedUpstream upstream, int score) {
        upstream.failureScore += score;
        if (upstream.failureScore < EJECTION_THRESHOLD || nowMicros < upstream.ejectedUntilMicros) {
            return;
        }
        upstream.failureScore = 0;
        long ejectionMicros = BASE_EJECTION_MICROS << Math.min(upstream.consecutiveEjections++, MAX_DOUBLINGS);
        upstream.ejectedUntilMicros = nowMicros + Math.min(MAX_EJECTION_MICROS, ejectionMicros);
    }
}
