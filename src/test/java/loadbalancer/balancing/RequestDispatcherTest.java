package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests that each request gets one final answer in time. */
class RequestDispatcherTest {
    @Test
    void rejectsBeforeTheDeadlineIfThereIsNoUpstream() {
        BalancerHarness harness = new BalancerHarness().start();
        harness.request("r");
        for (int i = 0; i < 100; i++) {
            harness.advance(5_000).fireTimer("hold");
        }

        assertEquals(List.of("reject r"), harness.actionsStartingWith("reject"));
        assertTrue(harness.actionsStartingWith("fail").isEmpty());
    }

    @Test
    void rejectsImmediatelyIfTheDeadlineIsBeforeTheNextSweep() {
        BalancerHarness harness = new BalancerHarness().start();
        harness.request("r", 3_000);

        assertEquals(1, harness.actionsStartingWith("reject r").size());
    }

    @Test
    void failsAfterATimeoutAtTheDeadline() {
        BalancerHarness harness = new BalancerHarness();
        harness.idempotency = Idempotency.WITH_KEY;
        harness.idempotencyScope = IdempotencyScope.ZONE;
        harness.start().endpointList(A);

        harness.request("r").advance(800_000).outcome("r", 0, "a", Outcome.TIMEOUT, 800_000);

        assertEquals(1, harness.actionsStartingWith("fail r").size());
        assertEquals(1, harness.actionsStartingWith("send r").size());
    }

    @Test
    void doesNotRetryOrAnswerAfterTheClientHasDisconnected() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);
        harness.request("r");
        harness.balancer.onExpired(harness.nowMicros, "r");
        harness.advance(10_000).outcome("r", 0, harness.sentTo("r", 0), Outcome.CONNECT_FAILED, 10_000);

        assertEquals(1, harness.actionsStartingWith("send r").size());
        assertTrue(harness.actionsStartingWith("fail").isEmpty()
                && harness.actionsStartingWith("reject").isEmpty());
    }

    @Test
    void neitherRetriesNorAnswersARequestWhoseStreamHasStarted() {
        BalancerHarness harness = new BalancerHarness();
        harness.streamingClass = true;
        harness.start().endpointList(A, B);

        harness.request("r");
        harness.balancer.onStreamStart(harness.nowMicros, "r", 0, harness.sentTo("r", 0), 5_000);
        harness.balancer.onOutcome(harness.nowMicros, "r", 0, harness.sentTo("r", 0), Outcome.RESET, 9_000, true, null);

        assertEquals(1, harness.actionsStartingWith("send").size());
        assertTrue(harness.actionsStartingWith("fail").isEmpty()
                && harness.actionsStartingWith("reject").isEmpty());
    }

    /**
     * A rejection implies that nothing has run, so even an idempotent request that may have run is failed.
     */
    @Test
    void failsRequestsThatMayHaveRunAndRejectsRequestsThatHaveNot() {
        for (Outcome outcome : new Outcome[] {Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.REJECTED}) {
            BalancerHarness harness = new BalancerHarness();
            harness.maxAttempts = 1;
            harness.start().endpointList(A, B);

            harness.request("r").advance(10_000).outcome("r", 0, harness.sentTo("r", 0), outcome, 10_000);

            assertEquals(
                    outcome.mayHaveRun ? 1 : 0,
                    harness.actionsStartingWith("fail r").size(),
                    outcome.name());
            assertEquals(
                    outcome.mayHaveRun ? 0 : 1,
                    harness.actionsStartingWith("reject r").size(),
                    outcome.name());
        }
    }

    /** No other upstream would accept an invalid request either, and the upstream is not at fault. */
    @Test
    void failsAnInvalidRequestWithoutRetryOrEjection() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);
        for (int i = 0; i < 6; i++) {
            harness.request("r" + i).outcome("r" + i, 0, harness.sentTo("r" + i, 0), Outcome.INVALID, 1_000);

            assertNull(harness.sentTo("r" + i, 1));
        }

        assertEquals(6, harness.actionsStartingWith("fail").size());
        assertEquals(
                2,
                harness.actionsStartingWith("send").stream()
                        .map(send -> send.split(" ")[2])
                        .distinct()
                        .count());
    }

    /**
     * A request sent to full upstreams would be late and delay later ones; if rejected in time it can be
     * retried.
     */
    @Test
    void rejectsInTimeIfAllUpstreamsAreFullOfOtherSidecarsRequests() {
        BalancerHarness harness = new BalancerHarness();
        harness.peerLoad = (nowMicros, upstreamId) -> 6;
        harness.start().endpointList(A, B);

        harness.request("r");

        assertNull(harness.sentTo("r", 0));

        for (int t = 0; t < 300_000 && harness.actionsStartingWith("reject").isEmpty(); t += 5_000) {
            harness.advance(5_000).fireTimer("hold");
        }

        assertEquals(1, harness.actionsStartingWith("reject r").size());
        assertTrue(harness.nowMicros - BalancerHarness.START_MICROS < harness.latencyObjectiveMicros);
    }
}
