package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Responses leave 0.2 s before the earliest kill, which comes at the longest deadline, 3 s at most, and 0.7 s more. */
class ShutdownDeadlineTest {
    private static final long STOP_MICROS = 1_000_000_000L;
    private static final long FAR_MICROS = STOP_MICROS + 60_000_000;

    @Test
    void isUnlimitedBeforeTheStop() {
        ShutdownDeadline deadline = new ShutdownDeadline();
        assertEquals(FAR_MICROS, deadline.limit(FAR_MICROS));
        assertFalse(deadline.isTooLateToServe(FAR_MICROS));
        assertFalse(deadline.hasPassed(FAR_MICROS));
    }

    @Test
    void countsFromTheLongestDeadlineButNoMoreThanThreeSeconds() {
        assertEquals(STOP_MICROS + 1_330_000, begun(830_000).limit(FAR_MICROS));
        assertEquals(STOP_MICROS + 3_500_000, begun(3_000_000).limit(FAR_MICROS));
        assertEquals(STOP_MICROS + 3_500_000, begun(60_000_000).limit(FAR_MICROS));
    }

    @Test
    void shortensNoDeadlineThatEndsInTime() {
        assertEquals(STOP_MICROS + 800_000, begun(830_000).limit(STOP_MICROS + 800_000));
    }

    @Test
    void rejectsOnlyWhatCanNoLongerBeServed() {
        ShutdownDeadline deadline = begun(830_000);
        assertFalse(deadline.isTooLateToServe(STOP_MICROS + 1_310_000));
        assertTrue(deadline.isTooLateToServe(STOP_MICROS + 1_310_001));
        assertFalse(deadline.hasPassed(STOP_MICROS + 1_329_999));
        assertTrue(deadline.hasPassed(STOP_MICROS + 1_330_000));
    }

    private static ShutdownDeadline begun(long longestDeadlineMicros) {
        ShutdownDeadline deadline = new ShutdownDeadline();
        deadline.begin(STOP_MICROS, longestDeadlineMicros);
        return deadline;
    }
}
