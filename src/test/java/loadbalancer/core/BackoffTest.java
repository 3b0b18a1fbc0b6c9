package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BackoffTest {
    private static final long SECOND = 1_000_000;

    @Test
    void delayDoublesWithJitterUpToTheMaximumUntilReset() {
        Backoff backoff = new Backoff(SECOND, 8 * SECOND, 3);
        long maxMicros = SECOND;
        for (int i = 0; i < 20; i++) {
            long delayMicros = backoff.nextDelayMicros();
            assertTrue(delayMicros >= maxMicros / 2 && delayMicros <= maxMicros * 3 / 2, i + ": " + delayMicros);
            maxMicros = Math.min(8 * SECOND, maxMicros * 2);
        }
        backoff.reset();
        assertTrue(backoff.nextDelayMicros() <= SECOND * 3 / 2);
        assertTrue(IntStream.range(0, 9)
                        .mapToLong(seed -> new Backoff(SECOND, SECOND, seed).nextDelayMicros())
                        .distinct()
                        .count()
                > 5);
    }
}
