package loadbalancer.grpc;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A forwarded response ends at its deadline, unless it is only its client that is slow. */
class ForwardingDeadlineTest {
    private static final long DEADLINE = 1_000_000;
    private static final long CLIENT_END = 3_000_000;
    /** Time after the deadline in which a final answer still counts. */
    private static final long SLACK = 500_000;

    private final ForwardingDeadline deadline = new ForwardingDeadline(DEADLINE, CLIENT_END);

    @Test
    void endsAtTheDeadlineIfTheUpstreamIsWaitedFor() {
        assertFalse(deadline.hasPassed(DEADLINE - 1, false));
        assertTrue(deadline.hasPassed(DEADLINE, false));
    }

    @Test
    void goesOnWhileTheClientIsBehindUntilItsOwnEnd() {
        for (long now = DEADLINE; now < CLIENT_END; now += ForwardingDeadline.CHECK_MICROS) {
            assertFalse(deadline.hasPassed(now, true));
        }
        assertTrue(deadline.hasPassed(CLIENT_END, true));
    }

    @Test
    void shortPauseOfTheUpstreamOfSlowClientIsAllowed() {
        assertFalse(deadline.hasPassed(DEADLINE, true));
        assertFalse(deadline.hasPassed(DEADLINE + 50_000, false));
        assertFalse(deadline.hasPassed(DEADLINE + 100_000, true));
        assertFalse(deadline.hasPassed(DEADLINE + 150_000, false));
        assertTrue(deadline.hasPassed(DEADLINE + SLACK, false));
    }
}
