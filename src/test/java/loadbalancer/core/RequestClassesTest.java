package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;
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
        assertEquals(IDEMPOTENT, classes.latest("a"));
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
    void requestThatMatchesBothVersionsIsNotRetriedIfTheirScopesDiffer() {
        // given
        RequestClasses classes = classes(WITH_KEY);
        // when
        classes.replace(NOW_MICROS, List.of(requestClass("a", Idempotency.WITH_KEY, IdempotencyScope.ALL, 500_000)));
        // then
        assertEquals(
                Idempotency.NOT_IDEMPOTENT,
                classes.bind(NOW_MICROS, "a", candidate -> true).idempotency());
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
}
