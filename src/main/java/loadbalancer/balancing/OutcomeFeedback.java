package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Outcome;

/**
 * Passes the outcome of an attempt to the components that learn from it: about connections, about the request
 * class on the upstream, or about the upstream and its machine type.
 */
final class OutcomeFeedback {
    private final ServiceTimeEstimator serviceTimes;
    private final LoadEstimator loads;
    private final ConnectionReuse connections;
    private final OutlierDetector outliers;

    OutcomeFeedback(
            ServiceTimeEstimator serviceTimes,
            LoadEstimator loads,
            ConnectionReuse connections,
            OutlierDetector outliers) {
        this.serviceTimes = serviceTimes;
        this.loads = loads;
        this.connections = connections;
        this.outliers = outliers;
    }

    void apply(long nowMicros, TrackedAttempt attempt, Outcome outcome, long latencyMicros) {
        TrackedUpstream upstream = attempt.upstream;
        // Tracked separately from outlier detection, where responses to other classes would reset the
        // failures.
        ClassBackoff.recordOutcome(attempt.request.requestClass, upstream, outcome);
        boolean connectionFailed = connections.recordOutcome(nowMicros, attempt, outcome)
                || attempt.lostOnConnection && outcome == Outcome.TIMEOUT;
        if (connectionFailed) {
            return;
        }
        boolean notAccepted = outcome == Outcome.NOT_SENT || outcome == Outcome.REJECTED;
        if (attempt.request.arrival.streaming() && notAccepted) {
            // The upstream has no streams left, which implies nothing about its load.
            upstream.streamCapacity = upstream.openStreams;
            upstream.streamsExhaustedMicros = nowMicros;
            return;
        }
        switch (outcome) {
            case OK -> {
                outliers.recordSuccess(upstream);
                serviceTimes.learn(attempt, latencyMicros, true, nowMicros);
            }
            case TIMEOUT, CANCELLED -> {
                serviceTimes.learn(attempt, latencyMicros, false, nowMicros);
                outliers.recordAttempt(nowMicros, upstream, outcome);
            }
            case ERROR, RESET, MALFORMED, CONNECT_FAILED -> outliers.recordAttempt(nowMicros, upstream, outcome);
            case REJECTED -> {
                outliers.recordRejection(nowMicros, upstream);
                loads.markFull(upstream, nowMicros);
            }
            case NOT_SENT, INVALID -> {
                // Neither outcome implies anything about the upstream.
            }
        }
    }
}
