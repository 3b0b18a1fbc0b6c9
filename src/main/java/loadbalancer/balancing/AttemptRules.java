package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Uncertainty;

/** Rules that every attempt and every rejection must satisfy, whichever component decides on it. */
final class AttemptRules {
    private final BalancerContext context;
    private final SlowStart slowStart;

    AttemptRules(BalancerContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
    }

    /** Returns whether an attempt at the request may be sent to the upstream now. */
    boolean maySend(long nowMicros, TrackedRequest request, TrackedUpstream upstream) {
        boolean noAttemptsLeft = request.attempts.size() >= request.maxAttempts;
        boolean ended = request.finished || request.responseStarted || nowMicros >= request.deadlineMicros;
        if (ended || noAttemptsLeft || !upstream.ready) {
            return false;
        }
        if ((upstream.endpoint.protocols() & request.arrival.protocol()) == 0) {
            return false;
        }
        for (TrackedAttempt attempt : request.attempts) {
            if (!attempt.ended && !context.settings.limits().hedgingAllowed()) {
                return false;
            }
            if (attempt.mayHaveRun && !isRetrySafe(attempt, upstream, nowMicros)) {
                return false;
            }
        }
        return slowStart.hasBudget(nowMicros, upstream, request.workMicros)
                && context.constraints.allows(nowMicros, request.arrival, upstream.endpoint);
    }

    /** Returns whether the request may run on the upstream although an earlier attempt may have run too. */
    static boolean isRetrySafe(TrackedAttempt earlier, TrackedUpstream upstream, long nowMicros) {
        RequestClass requestClass = earlier.request.requestClass;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT
                || nowMicros - earlier.sentMicros >= requestClass.idempotencyWindowMicros()) {
            return false;
        }
        // Without a confirmed identity the zone and cell are unknown: only the same upstream is certain to
        // deduplicate the request.
        boolean uncertain = upstream.endpoint.uncertainty() != Uncertainty.NONE
                || earlier.endpointAtSend.uncertainty() != Uncertainty.NONE;
        if (uncertain && requestClass.idempotencyScope() != IdempotencyScope.ALL) {
            return upstream == earlier.upstream && upstream.endpoint.equals(earlier.endpointAtSend);
        }
        return switch (requestClass.idempotencyScope()) {
            case ALL -> true;
            case ZONE -> upstream.endpoint.zone().equals(earlier.endpointAtSend.zone());
            case CELL -> upstream.endpoint.cell() == earlier.endpointAtSend.cell();
        };
    }

    /**
     * Returns whether the request may be rejected. A rejection implies that no attempt has run; a request of
     * which an attempt may have run can only be failed.
     */
    boolean mayReject(TrackedRequest request) {
        if (request.finished || request.responseStarted) {
            return false;
        }
        for (TrackedAttempt attempt : request.attempts) {
            if (attempt.mayHaveRun) {
                return false;
            }
        }
        return context.constraints.mayReject(request.arrival);
    }
}
