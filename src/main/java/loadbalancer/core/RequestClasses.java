package loadbalancer.core;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.RequestClass;

/**
 * The request classes, which a new configuration may replace. Clients change over later than the sidecar: during the
 * transition a request is bound to whichever of the previous and the current class it fits, and where it fits both, to
 * the most restrictive combination. No I/O; time is a parameter.
 */
public final class RequestClasses {
    /** For so long after a replacement the previous classes still bind: clients change over 1.2 s after the signal, and requests may be late. */
    public static final long TRANSITION_MICROS = 2_000_000;

    private final Map<String, RequestClass> initial;
    private Map<String, RequestClass> current;
    private Map<String, RequestClass> previous = Map.of();
    private long previousUntilMicros;

    /** Starts with these classes. */
    public RequestClasses(List<RequestClass> classes) {
        current = indexByName(classes);
        initial = current;
    }

    private static Map<String, RequestClass> indexByName(List<RequestClass> classes) {
        Map<String, RequestClass> map = new LinkedHashMap<>();
        classes.forEach(requestClass -> map.put(requestClass.name(), requestClass));
        return map;
    }

    /** Replaces the classes; those before stay valid for the transition. */
    public void replace(long nowMicros, List<RequestClass> next) {
        Map<String, RequestClass> before = new HashMap<>(nowMicros < previousUntilMicros ? previous : Map.of());
        before.putAll(current);
        previous = before;
        previousUntilMicros = nowMicros + TRANSITION_MICROS;
        current = indexByName(next);
    }

    /** The class of this name that the request fits; null where there is none. */
    public RequestClass bind(long nowMicros, String name, Predicate<RequestClass> fits) {
        RequestClass requestClass = current.get(name);
        RequestClass previousClass = nowMicros < previousUntilMicros ? previous.get(name) : null;
        boolean fitsNow = requestClass != null && fits.test(requestClass);
        if (previousClass == null || previousClass.equals(requestClass) || !fits.test(previousClass)) {
            return fitsNow ? requestClass : null;
        }
        return fitsNow ? mostRestrictive(requestClass, previousClass) : previousClass;
    }

    /** What both allow: retries only where both allow the same ones. */
    private static RequestClass mostRestrictive(RequestClass requestClass, RequestClass previousClass) {
        boolean same = requestClass.idempotency() == previousClass.idempotency()
                && (requestClass.idempotency() != Idempotency.WITH_KEY
                        || requestClass.idempotencyScope() == previousClass.idempotencyScope());
        return new RequestClass(
                requestClass.name(),
                same ? requestClass.idempotency() : Idempotency.NOT_IDEMPOTENT,
                requestClass.idempotencyScope(),
                Math.min(requestClass.idempotencyWindowMicros(), previousClass.idempotencyWindowMicros()),
                requestClass.latencyObjectiveMicros(),
                requestClass.latencyObjectiveWorkMultiple(),
                Math.min(requestClass.deadlineMicros(), previousClass.deadlineMicros()),
                requestClass.priorityWeight(),
                requestClass.lateWeightFraction(),
                requestClass.streaming());
    }

    /** The current class of this name, or the one at the start if the name is gone. */
    public RequestClass latest(String name) {
        return current.getOrDefault(name, initial.get(name));
    }

    /** Longest deadline of any class in force, in microseconds: no client waits longer for a response. */
    public long longestDeadlineMicros(long nowMicros) {
        long longestMicros = 0;
        for (RequestClass requestClass : current.values()) {
            longestMicros = Math.max(longestMicros, requestClass.deadlineMicros());
        }
        for (RequestClass requestClass :
                nowMicros < previousUntilMicros ? previous.values() : List.<RequestClass>of()) {
            longestMicros = Math.max(longestMicros, requestClass.deadlineMicros());
        }
        return longestMicros;
    }
}
