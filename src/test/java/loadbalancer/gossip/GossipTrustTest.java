package loadbalancer.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class GossipTrustTest {
    private final SplittableRandom random = new SplittableRandom(7);
    private final GossipTrust trust = new GossipTrust();

    private int randomInFlight() {
        return random.nextInt(3);
    }

    private void compareNearlyCorrectGossip(int responseCount) {
        for (int i = 0; i < responseCount; i++) {
            int inFlight = randomInFlight();
            trust.compare(inFlight + (random.nextInt(6) == 0 ? 1 : 0), inFlight);
        }
    }

    @Test
    void nearlyCorrectGossipIsCountedInFull() {
        for (int i = 0; i < 500; i++) {
            compareNearlyCorrectGossip(1);
            assertTrue(trust.isTrusted(), "after " + i + " responses, correlation " + trust.correlation());
            assertEquals(3, trust.credibleCount(3));
        }
    }

    /** Outdated gossip does not correlate with reports, because the requests that it contains have ended. */
    @Test
    void outdatedGossipIsDistrustedWithinAHundredResponsesAndTrustedAgainWithinAHundred() {
        // given
        compareNearlyCorrectGossip(100);
        // when
        int responseCount = 0;
        while (trust.isTrusted() && responseCount < 100) {
            trust.compare(randomInFlight(), randomInFlight());
            responseCount++;
        }
        // then
        assertTrue(responseCount < 100);
        assertEquals(0, trust.credibleCount(3));
        compareNearlyCorrectGossip(100);
        assertTrue(trust.isTrusted());
        assertEquals(3, trust.credibleCount(3));
    }

    /** Some sidecars claim additional requests at all upstreams that they don't have in flight. */
    @Test
    void meanExcessIsSubtracted() {
        for (int i = 0; i < 60; i++) {
            int inFlight = randomInFlight();
            trust.compare(inFlight + 3, inFlight);
        }
        assertTrue(trust.isTrusted());
        assertEquals(1, trust.credibleCount(4));
        assertEquals(0, trust.credibleCount(2));
    }

    /**
     * Gossip claims fewer requests than reports if upstreams still count the answered request or serve other clients.
     */
    @Test
    void meanDeficitIsNotAdded() {
        for (int i = 0; i < 60; i++) {
            int inFlight = randomInFlight();
            trust.compare(inFlight, inFlight + 2);
        }
        assertEquals(2, trust.credibleCount(2));
    }

    @Test
    void gossipAboutIdleUpstreamsIsTrusted() {
        for (int i = 0; i < 500; i++) {
            trust.compare(0, 0);
            assertTrue(trust.isTrusted());
        }
    }

    @Test
    void constantGossipIsDistrustedWhileReportsVary() {
        for (int i = 0; i < 100; i++) {
            trust.compare(0, randomInFlight());
        }
        assertFalse(trust.isTrusted());
    }

    /**
     * A sidecar to which all upstreams seem full sends no attempts, so it would never get a report that shows the
     * opposite.
     */
    @Test
    void consecutiveRejectionsSuspendTrustUntilAnAttemptEnds() {
        for (int i = 0; i < GossipTrust.MAX_CONSECUTIVE_REJECTIONS; i++) {
            assertEquals(5, trust.credibleCount(5));
            trust.requestRejected();
        }
        assertEquals(0, trust.credibleCount(5));
        trust.attemptEnded();
        assertEquals(5, trust.credibleCount(5));
    }
}
