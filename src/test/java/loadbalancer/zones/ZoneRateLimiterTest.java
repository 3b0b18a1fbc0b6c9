package loadbalancer.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ZoneRateLimiterTest {
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;

    private static ZoneRateLimiter limiter(long doublingMicros) {
        return new ZoneRateLimiter(5, doublingMicros, 0.13, 24 * SECOND, 0);
    }

    /**
     * Offers evenly spaced requests at a rate of {@code offeredPerSecond}, and returns the rate at which they are sent.
     */
    private static double sentPerSecond(
            ZoneRateLimiter limiter, long fromMicros, long toMicros, double offeredPerSecond) {
        int sentCount = 0;
        for (double atMicros = fromMicros; atMicros < toMicros; atMicros += SECOND / offeredPerSecond) {
            if (limiter.allows((long) atMicros, false)) {
                limiter.requestSent((long) atMicros);
                sentCount++;
            }
        }
        return sentCount * 1e6 / (toMicros - fromMicros);
    }

    @Test
    void survivingZoneTakesOverNoFasterThanTheDoublingTime() {
        // given
        ZoneRateLimiter limiter = limiter(2 * SECOND);
        assertEquals(40, sentPerSecond(limiter, 0, 3 * SECOND, 40), 1);
        // when
        limiter.startLimiting(3 * SECOND);
        // then, when the offered rate quadruples at once
        double inFirstSecond = sentPerSecond(limiter, 3 * SECOND, 4 * SECOND, 160);
        assertTrue(inFirstSecond > 40 && inFirstSecond < 85, "rate in the first second: " + inFirstSecond);
        sentPerSecond(limiter, 4 * SECOND, 5 * SECOND, 160);
        double inThirdSecond = sentPerSecond(limiter, 5 * SECOND, 6 * SECOND, 160);
        assertTrue(inThirdSecond < 140 && inThirdSecond > inFirstSecond, "rate in the third second: " + inThirdSecond);
        sentPerSecond(limiter, 6 * SECOND, 9 * SECOND, 160);
        assertTrue(sentPerSecond(limiter, 9 * SECOND, 10 * SECOND, 160) > 150);
    }

    @Test
    void limitIsReducedWhileTheZoneReportsOverload() {
        // given
        ZoneRateLimiter limiter = limiter(2 * SECOND);
        sentPerSecond(limiter, 0, 3 * SECOND, 40);
        limiter.startLimiting(3 * SECOND);
        // when
        for (int i = 0; i < 50; i++) {
            limiter.loadReported(4, 3);
        }
        sentPerSecond(limiter, 3 * SECOND, 5 * SECOND, 160);
        // then
        assertTrue(sentPerSecond(limiter, 5 * SECOND, 6 * SECOND, 160) < 40);
        assertTrue(limiter.allows(6 * SECOND, true), "top-priority requests may overdraw the token bucket");
        assertFalse(limiter.hasHeadroom());
    }

    @Test
    void returnedZoneIsRampedUpAsIfAllItsUpstreamsHadRestarted() {
        // given
        ZoneRateLimiter limiter = limiter(500 * MILLISECOND);
        sentPerSecond(limiter, 0, 5 * SECOND, 100);
        limiter.zoneLost(5 * SECOND);
        // when
        limiter.zoneRecovered(20 * SECOND);
        // then
        for (int second = 0; second < 24; second++) {
            double slowStartCapacity = 0.13 + 0.87 * (second + 1) / 24;
            double rate = sentPerSecond(limiter, (20 + second) * SECOND, (21 + second) * SECOND, 100);
            assertTrue(
                    rate <= 3 * 100 * slowStartCapacity,
                    "rate in second " + second + ": " + rate + ", capacity: " + 100 * slowStartCapacity);
        }
        assertEquals(100, sentPerSecond(limiter, 50 * SECOND, 52 * SECOND, 100), 2);
        assertEquals(1, limiter.recoveredFraction(52 * SECOND));
    }
}
