package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** A replaced class stays valid during the transition; a request that matches both versions gets their combination. */
class RequestClassesTest {
    private static final long NOW_MICROS = 1_000_000_000L;
    private static final long TRANSITION_END_MICROS = NOW_MICROS + RequestClasses.TRANSITION_MICROS;
    private static final RequestClass IDEMPOTENT =
            requestClass("a", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 400_000);
    private static final RequestClass WITH_KEY =
            requestClass("a", Idempotency.WITH_KEY, IdempotencyScope.ZONE, 500_000);
    private static final RequestClass NOT_IDEMPOTENT =
            requestClass("a", Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL, 600_000);
    private static final RequestClass OTHER = requestClass("b", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 400_000);

    private static RequestClass requestClass(
            String name, Idempotency idempotency, IdempotencyScope scope, long deadlineMicros) {
        return new RequestClass(name, idempotency, scope, 4_000_000, 100_000, 0, deadlineMicros, 1, 0, false);
    }

    private static RequestClasses classes(RequestClass... initial) {
        return new RequestClasses(List.of(initial));
    }

    @Test
    void newClassIsValidAtOnceAndRemovedClassUntilTheEndOfTheTransition() {
        // given
        RequestClasses classes = classes(IDEMPOTENT);
        assertNull(classes.bind(NOW_MICROS, "b", candidate -> true));
        // when
        classes.replace(NOW_MICROS, List.of(OTHER));
        // then
        assertEquals(OTHER, classes.bind(NOW_MICROS, "b", candidate -> true));
        assertEquals(IDEMPOTENT, classes.bind(TRANSITION_END_MICROS - 1, "a", candidate -> true));
        assertNull(classes.bind(TRANSITION_END_MICROS, "a", candidate -> true));
        assertEquals(IDEMPOTENT, classes.bindRoute(TRANSITION_END_MICROS, "a", candidate -> true));
    }

    @Test
    void requestIsBoundToTheVersionThatItMatchesDuringTheTransition() {
        // given
        RequestClasses classes = classes(IDEMPOTENT);
        // when
        classes.replace(NOW_MICROS, List.of(WITH_KEY));
        // then
        assertEquals(
                IDEMPOTENT,
                classes.bind(NOW_MICROS, "a", candidate -> candidate.idempotency() == Idempotency.IDEMPOTENT));
        assertEquals(
                WITH_KEY, classes.bind(NOW_MICROS, "a", candidate -> candidate.idempotency() == Idempotency.WITH_KEY));
        assertNull(classes.bind(
                TRANSITION_END_MICROS, "a", candidate -> candidate.idempotency() == Idempotency.IDEMPOTENT));
    }

    @Test
    void requestThatMatchesBothVersionsMayOnlyBeRetriedIfBothAllowIt() {
        // given
        RequestClasses classes = classes(WITH_KEY);
        // when
        classes.replace(NOW_MICROS, List.of(NOT_IDEMPOTENT));
        // then
        RequestClass bound = classes.bind(NOW_MICROS, "a", candidate -> true);
        assertEquals(Idempotency.NOT_IDEMPOTENT, bound.idempotency());
        assertEquals(500_000, bound.deadlineMicros());
        assertEquals(600_000, classes.longestDeadlineMicros(NOW_MICROS));
    }

    @Test
    void requestThatMatchesBothVersionsIsNotRetriedIfNeitherScopeContainsTheOther() {
        // given
        RequestClasses classes = classes(WITH_KEY);
        // when
        classes.replace(NOW_MICROS, List.of(requestClass("a", Idempotency.WITH_KEY, IdempotencyScope.CELL, 500_000)));
        // then
        assertEquals(
                Idempotency.NOT_IDEMPOTENT,
                classes.bind(NOW_MICROS, "a", candidate -> true).idempotency());
    }

    @Test
    void requestThatMatchesBothVersionsIsRetriedWithinTheNarrowerScopeOnly() {
        // given
        RequestClass all = requestClass("a", Idempotency.WITH_KEY, IdempotencyScope.ALL, 500_000);
        RequestClasses widened = classes(WITH_KEY);
        RequestClasses narrowed = classes(all);
        // when
        widened.replace(NOW_MICROS, List.of(all));
        narrowed.replace(NOW_MICROS, List.of(WITH_KEY));
        // then
        assertEquals(WITH_KEY, widened.bind(TRANSITION_END_MICROS - 1, "a", candidate -> true));
        assertEquals(WITH_KEY, narrowed.bind(TRANSITION_END_MICROS - 1, "a", candidate -> true));
        assertEquals(all, widened.bind(TRANSITION_END_MICROS, "a", candidate -> true));
    }

    @Test
    void secondReplacementKeepsClassesOfTheFirstTransition() {
        // given
        RequestClasses classes = classes(IDEMPOTENT);
        classes.replace(NOW_MICROS, List.of(OTHER));
        // when
        classes.replace(NOW_MICROS + 1, List.of(requestClass("c", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 1)));
        // then
        assertEquals(IDEMPOTENT, classes.bind(NOW_MICROS + 2, "a", candidate -> true));
        assertEquals(OTHER, classes.bind(NOW_MICROS + 2, "b", candidate -> true));
    }

    /** Guards against review case 6: a second change in quick succession ended the transition of the first. */
    @Test
    void everyVersionThatWasReplacedWithinTheTransitionBinds() {
        // given
        RequestClasses classes = classes(NOT_IDEMPOTENT);
        // when
        classes.replace(NOW_MICROS, List.of(WITH_KEY));
        classes.replace(NOW_MICROS + 400_000, List.of(withDeadline(WITH_KEY, 300_000)));
        classes.replace(NOW_MICROS + 800_000, List.of(withDeadline(WITH_KEY, 700_000)));
        // then
        assertEquals(
                Idempotency.NOT_IDEMPOTENT,
                classes.bind(TRANSITION_END_MICROS - 1, "a", candidate -> true).idempotency());
        assertEquals(withDeadline(WITH_KEY, 300_000), classes.bind(TRANSITION_END_MICROS, "a", candidate -> true));
        assertEquals(
                withDeadline(WITH_KEY, 700_000), classes.bind(TRANSITION_END_MICROS + 800_000, "a", candidate -> true));
    }

    /** Guards against a file that changes nothing here extending or ending a transition. */
    @Test
    void reloadWithoutChangeOfTheClassesLeavesTheTransitionAsItIs() {
        // given
        RequestClasses classes = classes(NOT_IDEMPOTENT);
        classes.replace(NOW_MICROS, List.of(WITH_KEY));
        // when
        classes.replace(NOW_MICROS + 400_000, List.of(WITH_KEY));
        // then
        assertEquals(
                Idempotency.NOT_IDEMPOTENT,
                classes.bind(TRANSITION_END_MICROS - 1, "a", candidate -> true).idempotency());
        assertEquals(WITH_KEY, classes.bind(TRANSITION_END_MICROS, "a", candidate -> true));
    }

    @Test
    void requestThatMatchesAnIdempotentAndAKeyedVersionIsBoundToTheKeyedOne() {
        // given
        RequestClasses classes = classes(WITH_KEY);
        // when
        classes.replace(NOW_MICROS, List.of(IDEMPOTENT));
        // then
        RequestClass bound = classes.bind(NOW_MICROS, "a", candidate -> true);
        assertEquals(Idempotency.WITH_KEY, bound.idempotency());
        assertEquals(IdempotencyScope.ZONE, bound.idempotencyScope());
        assertEquals(400_000, bound.deadlineMicros());
    }

    /** Any series of changes: no binding allows more than a version that a client may still name. */
    @Property(tries = 300)
    void bindingIsAsStrictAsEachVersionThatMayStillBeNamed(
            @ForAll @Size(min = 1, max = 100) List<@From("steps") Step> steps) {
        RequestClasses classes = classes(WITH_KEY);
        Map<RequestClass, Long> validUntil = new HashMap<>();
        RequestClass current = WITH_KEY;
        long nowMicros = NOW_MICROS;
        for (Step step : steps) {
            nowMicros += step.afterMicros();
            validUntil.put(current, nowMicros + RequestClasses.TRANSITION_MICROS);
            current = step.next();
            classes.replace(nowMicros, List.of(current));
            validUntil.put(current, Long.MAX_VALUE);
            RequestClass bound = classes.bind(nowMicros, "a", candidate -> true);
            for (Map.Entry<RequestClass, Long> version : validUntil.entrySet()) {
                if (version.getValue() > nowMicros) {
                    assertAsStrict(bound, version.getKey());
                }
            }
        }
    }

    record Step(long afterMicros, RequestClass next) {}

    @Provide
    Arbitrary<Step> steps() {
        Arbitrary<RequestClass> versions = Combinators.combine(
                        Arbitraries.of(Idempotency.class),
                        Arbitraries.of(IdempotencyScope.class),
                        Arbitraries.longs().between(100_000, 3_000_000))
                .as((idempotency, scope, deadlineMicros) -> requestClass("a", idempotency, scope, deadlineMicros));
        // Some series are faster than any operator's, for the bound on the versions that are kept apart.
        Arbitrary<Long> intervals = Arbitraries.oneOf(
                Arbitraries.longs().between(1_000, 30_000), Arbitraries.longs().between(1_000, 900_000));
        return Combinators.combine(intervals, versions).as(Step::new);
    }

    private static void assertAsStrict(RequestClass bound, RequestClass version) {
        assertTrue(bound.deadlineMicros() <= version.deadlineMicros(), bound + " for " + version);
        boolean allowsNoMore =
                switch (bound.idempotency()) {
                    case NOT_IDEMPOTENT -> true;
                    case WITH_KEY -> version.idempotency() == Idempotency.IDEMPOTENT
                            || version.idempotency() == Idempotency.WITH_KEY
                                    && (version.idempotencyScope() == bound.idempotencyScope()
                                            || version.idempotencyScope() == IdempotencyScope.ALL);
                    case IDEMPOTENT -> version.idempotency() == Idempotency.IDEMPOTENT;
                };
        assertTrue(allowsNoMore, bound + " for " + version);
    }

    private static RequestClass withDeadline(RequestClass version, long deadlineMicros) {
        return requestClass(version.name(), version.idempotency(), version.idempotencyScope(), deadlineMicros);
    }
}
