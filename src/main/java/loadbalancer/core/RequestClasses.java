package loadbalancer.core;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.RequestClass;

/**
 * The request classes, which a configuration reload may replace. Clients switch to new classes later than the sidecar,
 * so during a transition a request is bound to whichever of the previous and the current class it matches; if it
 * matches both, to the most restrictive combination. No I/O; time is a parameter.
 */
public final class RequestClasses {
    /** Time for which replaced classes stay valid. Clients switch 1.2 s after the signal, and requests may be late. */
    public static final long TRANSITION_MICROS = 2_000_000;

    private final Map<String, RequestClass> initial;
    private Map<String, RequestClass> current;
    private Map<String, RequestClass> previous = Map.of();
    private long previousUntilMicros;

    /** Starts with the classes of the initial configuration. */
    public RequestClasses(List<RequestClass> classes) {
        current = indexByName(classes);
        initial = current;
    }

    private static Map<String, RequestClass> indexByName(List<RequestClass> classes) {
        Map<String, RequestClass> map = new LinkedHashMap<>();
        classes.forEach(requestClass -> map.put(requestClass.name(), requestClass));
        return map;
    }

    /** Replaces the classes. The previous ones stay valid for {@link #TRANSITION_MICROS}. */
    public void replace(long nowMicros, List<RequestClass> next) {
        Map<String, RequestClass> before = new HashMap<>(nowMicros < previousUntilMicros ? previous : Map.of());
        before.putAll(current);
        previous = before;
        previousUntilMicros = nowMicros + TRANSITION_MICROS;
        current = indexByName(next);
    }

    /** The class of this name that the request matches; null if there is none. */
    public RequestClass bind(long nowMicros, String name, Predicate<RequestClass> matches) {
        RequestClass requestClass = current.get(name);
        RequestClass previousClass = nowMicros < previousUntilMicros ? previous.get(name) : null;
        boolean matchesCurrent = requestClass != null && matches.test(requestClass);
        if (previousClass == null || previousClass.equals(requestClass) || !matches.test(previousClass)) {
            return matchesCurrent ? requestClass : null;
        }
        return matchesCurrent ? mostRestrictive(requestClass, previousClass) : previousClass;
    }

    /** Combines two versions of a class. Retries are allowed only if both versions allow them in the same way. */
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

    /** The current class of this name, or that of the initial configuration if the current one has no such class. */
    public RequestClass latest(String name) {
        return current.getOrDefault(name, initial.get(name));
    }

    /** Longest deadline of all valid classes, in microseconds. No client waits longer for a response. */
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
