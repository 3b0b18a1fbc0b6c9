package loadbalancer.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;

/**
 * The request classes, which configuration reloads may replace, several in a row. Clients switch to new classes later
 * than the sidecar, so each replaced version stays valid for a transition. A request is bound to the versions that it
 * matches; if it matches several, to the most restrictive combination. No I/O; time is a parameter.
 */
public final class RequestClasses {
    /** Time for which replaced classes stay valid. Clients switch 1.2 s after the signal, and requests may be late. */
    public static final long TRANSITION_MICROS = 2_000_000;
    /** Limit on replaced versions that are kept apart; beyond it the two oldest are combined. */
    static final int MAX_REPLACED_VERSIONS = 32;

    private final Map<String, RequestClass> initial;
    private Map<String, RequestClass> current;
    /** Replaced versions, the oldest first, which is the first to become invalid. */
    private final ArrayDeque<Version> replaced = new ArrayDeque<>();

    /** The classes of one configuration that was replaced, valid until this time. */
    private record Version(Map<String, RequestClass> classes, long untilMicros) {}

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

    /** Replaces the classes. The former ones stay valid for {@link #TRANSITION_MICROS}. */
    public void replace(long nowMicros, List<RequestClass> next) {
        Map<String, RequestClass> nextByName = indexByName(next);
        dropInvalidVersions(nowMicros);
        if (!nextByName.equals(current)) {
            replaced.add(new Version(current, nowMicros + TRANSITION_MICROS));
            current = nextByName;
        }
        if (replaced.size() > MAX_REPLACED_VERSIONS) {
            replaced.addFirst(combine(replaced.poll(), replaced.poll()));
        }
    }

    private void dropInvalidVersions(long nowMicros) {
        while (!replaced.isEmpty() && nowMicros >= replaced.peek().untilMicros()) {
            replaced.poll();
        }
    }

    private static Version combine(Version older, Version newer) {
        Map<String, RequestClass> classes = new LinkedHashMap<>(older.classes());
        newer.classes().forEach((name, requestClass) -> classes.merge(name, requestClass, (a, b) -> strictest(b, a)));
        return new Version(classes, newer.untilMicros());
    }

    /** The class of this name that the request matches; null if there is none. */
    public RequestClass bind(long nowMicros, String name, Predicate<RequestClass> matches) {
        RequestClass bound = null;
        for (RequestClass version : validVersions(nowMicros, name)) {
            if (matches.test(version)) {
                bound = bound == null ? version : strictest(bound, version);
            }
        }
        return bound;
    }

    /**
     * As {@link #bind}, for front ends whose routes name classes of the initial configuration: if no version of the
     * class is valid any more, the initial one is.
     */
    public RequestClass bindRoute(long nowMicros, String name, Predicate<RequestClass> matches) {
        if (validVersions(nowMicros, name).isEmpty()) {
            RequestClass requestClass = initial.get(name);
            return requestClass != null && matches.test(requestClass) ? requestClass : null;
        }
        return bind(nowMicros, name, matches);
    }

    /** The valid versions of a class that differ, the current one first. */
    private List<RequestClass> validVersions(long nowMicros, String name) {
        dropInvalidVersions(nowMicros);
        List<RequestClass> versions = new ArrayList<>();
        addIfNew(versions, current.get(name));
        replaced.descendingIterator()
                .forEachRemaining(
                        version -> addIfNew(versions, version.classes().get(name)));
        return versions;
    }

    private static void addIfNew(List<RequestClass> versions, RequestClass version) {
        if (version != null && !versions.contains(version)) {
            versions.add(version);
        }
    }

    /** Combines two versions of a class: a retry is allowed only where both allow it, for as long as both do. */
    private static RequestClass strictest(RequestClass newer, RequestClass older) {
        boolean bothWithKey =
                newer.idempotency() == Idempotency.WITH_KEY && older.idempotency() == Idempotency.WITH_KEY;
        RequestClass stricter = restriction(older) > restriction(newer) ? older : newer;
        IdempotencyScope scope = bothWithKey
                ? commonScope(newer.idempotencyScope(), older.idempotencyScope())
                : stricter.idempotencyScope();
        return new RequestClass(
                newer.name(),
                scope == null ? Idempotency.NOT_IDEMPOTENT : stricter.idempotency(),
                scope == null ? stricter.idempotencyScope() : scope,
                bothWithKey
                        ? Math.min(newer.idempotencyWindowMicros(), older.idempotencyWindowMicros())
                        : stricter.idempotencyWindowMicros(),
                newer.latencyObjectiveMicros(),
                newer.latencyObjectiveWorkMultiple(),
                Math.min(newer.deadlineMicros(), older.deadlineMicros()),
                newer.priorityWeight(),
                newer.lateWeightFraction(),
                newer.streaming());
    }

    /** The scope that lies within both; null for a zone and a cell, as a cell may have upstreams of several zones. */
    private static IdempotencyScope commonScope(IdempotencyScope newer, IdempotencyScope older) {
        if (newer == older || older == IdempotencyScope.ALL) {
            return newer;
        }
        return newer == IdempotencyScope.ALL ? older : null;
    }

    private static int restriction(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> 0;
            case WITH_KEY -> 1;
            case NOT_IDEMPOTENT -> 2;
        };
    }

    /** Longest deadline of all valid classes, in microseconds. No client waits longer for a response. */
    public long longestDeadlineMicros(long nowMicros) {
        dropInvalidVersions(nowMicros);
        long longestMicros = longestDeadlineMicros(current);
        for (Version version : replaced) {
            longestMicros = Math.max(longestMicros, longestDeadlineMicros(version.classes()));
        }
        return longestMicros;
    }

    /**
     * Longest deadline in the valid version where that is least, in microseconds: whoever goes by any of the versions
     * waits at least so long.
     */
    public long assuredDeadlineMicros(long nowMicros) {
        dropInvalidVersions(nowMicros);
        long assuredMicros = longestDeadlineMicros(current);
        for (Version version : replaced) {
            assuredMicros = Math.min(assuredMicros, longestDeadlineMicros(version.classes()));
        }
        return assuredMicros;
    }

    private static long longestDeadlineMicros(Map<String, RequestClass> classes) {
        return classes.values().stream()
                .mapToLong(RequestClass::deadlineMicros)
                .max()
                .orElse(0);
    }
}
