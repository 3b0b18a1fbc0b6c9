package loadbalancer.membership.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WriteRateLimiterTest {
    @Test
    void limitsWritesToABurstAndThenToTheRate() {
        WriteRateLimiter limiter = new WriteRateLimiter(6, 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(0, limiter.acquireOrWaitMicros(0));
        }
        long waitMicros = limiter.acquireOrWaitMicros(0);
        assertEquals(10_000_000, waitMicros, 10);
        assertEquals(0, limiter.acquireOrWaitMicros(waitMicros));
        assertTrue(limiter.acquireOrWaitMicros(waitMicros + 1) > 9_000_000);
        assertTrue(limiter.acquireOrWaitMicros(-5_000_000) > 0, "a clock that was set back must not add tokens");
    }
}
