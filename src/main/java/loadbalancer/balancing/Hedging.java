package loadbalancer.balancing;

/**
 * Decides about hedged requests. The upstream of an overdue attempt gets a health check. Unless the check
 * shows that the upstream is working on the request, the request is also sent to another upstream, within a
 * budget.
 */
final class Hedging {
    /**
     * Name prefix of the timer that fires when an attempt is overdue, part of the simulator's wire protocol.
     */
    static final String OVERDUE_TIMER = "late:";
    /**
     * Name prefix of the timer that ends the wait for the health check, part of the simulator's wire
     * protocol.
     */
    static final String CHECK_TIMER = "mute:";
    /** Hedged requests that each arriving request adds to the budget. */
    private static final double BUDGET_RATIO = 0.05;
    /** Largest number of hedged requests in the budget. */
    private static final double MAX_BUDGET = 10;

    private final BalancerContext context;
    private final RequestSplit split;
    private final UpstreamPicker picker;
    private final HealthChecks healthChecks;
    /** Hedging is allowed, and health checks can tell a stalled upstream from a working one. */
    private final boolean enabled;

    private double budget;

    Hedging(BalancerContext context, RequestSplit split, UpstreamPicker picker, HealthChecks healthChecks) {
        this.context = context;
        this.split = split;
        this.picker = picker;
        this.healthChecks = healthChecks;
        enabled = context.samplesLoad && context.settings.limits().hedgingAllowed();
    }

    /** Adds to the budget for a request that has arrived. */
    void recordArrival() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_RATIO);
    }

    /** Starts the timer that fires when the attempt is overdue, if the attempt may be hedged. */
    void startOverdueTimer(long nowMicros, TrackedAttempt attempt) {
        boolean hedgeable = enabled && !attempt.request.arrival.streaming();
        if (hedgeable && AttemptRules.isRetrySafe(attempt, attempt.upstream, nowMicros)) {
            startTimer(OVERDUE_TIMER, attempt.request, LoadEstimator.OVERDUE_FACTOR * attempt.expectedLatencyMicros);
        }
    }

    private void startTimer(String prefix, TrackedRequest request, double delayMicros) {
        long boundedDelayMicros = Math.max(PendingQueue.SWEEP_MICROS, (long) delayMicros);
        context.actions.startTimer(prefix + request.arrival.id(), boundedDelayMicros);
    }

    /** Sends a health check to the upstream of an overdue attempt; {@code request} may be null. */
    void checkOverdue(long nowMicros, TrackedRequest request) {
        TrackedAttempt attempt = hedgeableAttempt(nowMicros, request);
        if (attempt == null || attempt.upstream.removed) {
            return;
        }
        request.hedgeCheckMicros = nowMicros;
        healthChecks.check(nowMicros, attempt.upstream);
        startTimer(CHECK_TIMER, request, PendingQueue.SWEEP_MICROS);
    }

    /**
     * Evaluates the health check of an overdue attempt and returns the upstream for a hedged request, or null
     * if none is to be sent; {@code request} may be null.
     */
    TrackedUpstream pickAfterCheck(long nowMicros, TrackedRequest request) {
        TrackedAttempt attempt = hedgeableAttempt(nowMicros, request);
        if (attempt == null) {
            return null;
        }
        boolean answered = attempt.upstream.loadReportedMicros >= request.hedgeCheckMicros;
        // If the upstream responds but does not hold the request, the connection is dead or the response was
        // lost.
        attempt.lostOnConnection = answered && attempt.upstream.lostAttempts > 0;
        if (!answered) {
            attempt.upstream.unresponsiveSinceMicros = nowMicros;
        }
        if (answered && !attempt.lostOnConnection) {
            startTimer(OVERDUE_TIMER, request, attempt.expectedLatencyMicros / 2);
            return null;
        }
        split.refresh(nowMicros);
        TrackedUpstream upstream = budget < 1 ? null : picker.pickForHedge(nowMicros, request, attempt.upstream);
        if (upstream != null) {
            budget--;
        }
        return upstream;
    }

    /** Returns the request's only attempt in flight if a second one could still finish in time, else null. */
    private TrackedAttempt hedgeableAttempt(long nowMicros, TrackedRequest request) {
        if (request == null || request.finished || request.queued || request.responseStarted) {
            return null;
        }
        if (nowMicros + split.bestServiceTimeFactor() * request.workMicros > request.usefulUntilMicros) {
            return null;
        }
        TrackedAttempt only = null;
        for (TrackedAttempt attempt : request.attempts) {
            if (!attempt.ended) {
                if (only != null) {
                    return null;
                }
                only = attempt;
            }
        }
        return only;
    }
}
