package loadbalancer.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;

/**
 * Remembers ids of requests that may have been executed, since a client that has left may send its request once more.
 * Idempotent requests are not remembered. No I/O; times are microseconds.
 */
final class ExecutedRequests {
    /** Time for which an id is remembered. Clients that send a request once more do so within seconds. */
    private static final long RETENTION_MICROS = 30_000_000;
    /** Limit on remembered ids; beyond it the oldest are forgotten. */
    private static final int MAX_IDS = 8_192;

    /** First times of a possible execution, in the order in which the requests ended. */
    private final Map<String, Long> executedMicros = new LinkedHashMap<>();

    private SharedExecutions shared = SharedExecutions.NONE;

    /** What may be done with a request whose id has been seen before. */
    enum Repetition {
        /** Nothing of an earlier request is known to have run. */
        NEW,
        /** An earlier one may have run; upstreams discard the repetition until the end of the window. */
        DISCARDED_BY_UPSTREAMS,
        /** An earlier one may have run, so this one must not. */
        FORBIDDEN
    }

    /** Shares the ids with another process from now on. */
    void share(SharedExecutions executions) {
        shared = executions;
    }

    /** Records that an attempt at the request was written completely. */
    void attemptWritten(String id, RequestClass requestClass) {
        if (isRemembered(requestClass)) {
            shared.add(id);
        }
    }

    /** Records that a request has ended of which no attempt was executed. */
    void notExecuted(String id, RequestClass requestClass) {
        if (isRemembered(requestClass) && !executedMicros.containsKey(id)) {
            shared.remove(id);
        }
    }

    private static boolean isRemembered(RequestClass requestClass) {
        return requestClass != null && requestClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    /** Records that a request which has ended may have been executed, from this time on. */
    void add(String id, RequestClass requestClass, long sinceMicros, long nowMicros) {
        if (!isRemembered(requestClass)) {
            return;
        }
        executedMicros.merge(id, sinceMicros, Math::min);
        Iterator<Long> oldest = executedMicros.values().iterator();
        while (oldest.hasNext() && (oldest.next() < nowMicros - RETENTION_MICROS || executedMicros.size() > MAX_IDS)) {
            oldest.remove();
        }
    }

    /** First time at which an earlier request with this id may have been executed; {@code MAX_VALUE} if none was. */
    long sinceMicros(String id) {
        return executedMicros.getOrDefault(id, Long.MAX_VALUE);
    }

    /** Whether a request may be sent though its id may have been seen before. */
    Repetition repetition(String id, RequestClass requestClass, long nowMicros) {
        Long sinceMicros = executedMicros.get(id);
        if (!isRemembered(requestClass)) {
            return Repetition.NEW;
        }
        if (sinceMicros == null) {
            // When the other process has sent it is not known, so the window may be over.
            return shared.contains(id) ? Repetition.FORBIDDEN : Repetition.NEW;
        }
        boolean isDiscarded = requestClass.idempotency() == Idempotency.WITH_KEY
                && requestClass.idempotencyScope() == IdempotencyScope.ALL
                && nowMicros < sinceMicros + requestClass.idempotencyWindowMicros();
        return isDiscarded ? Repetition.DISCARDED_BY_UPSTREAMS : Repetition.FORBIDDEN;
    }
}
