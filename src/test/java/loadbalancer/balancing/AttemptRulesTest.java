package loadbalancer.balancing;

import static loadbalancer.balancing.RequestFixtures.protocolRequest;
import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static loadbalancer.balancing.UpstreamFixtures.uncertainUpstream;
import static loadbalancer.balancing.UpstreamFixtures.upstreamSpeaking;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Uncertainty;
import org.junit.jupiter.api.Test;

/** Tests which attempts and which rejections the rules allow. */
class AttemptRulesTest {
    @Test
    void neitherRetriesNorRejectsANonIdempotentRequestThatMayHaveRun() {
        BalancerHarness harness = new BalancerHarness();
        harness.idempotency = Idempotency.NOT_IDEMPOTENT;
        harness.start().endpointList(A, B);

        harness.request("r").advance(10_000);
        harness.outcome("r", 0, harness.sentTo("r", 0), Outcome.ERROR, 10_000);

        assertEquals(1, harness.actionsStartingWith("send r").size());
        assertEquals(1, harness.actionsStartingWith("fail r").size());
        assertTrue(harness.actionsStartingWith("reject").isEmpty());
    }

    @Test
    void retriesANonIdempotentRequestThatNeverRan() {
        BalancerHarness harness = new BalancerHarness();
        harness.idempotency = Idempotency.NOT_IDEMPOTENT;
        harness.start().endpointList(A, B);

        harness.request("r").advance(10_000);
        harness.outcome("r", 0, harness.sentTo("r", 0), Outcome.CONNECT_FAILED, 10_000);

        assertNotNull(harness.sentTo("r", 1));
        assertNotEquals(harness.sentTo("r", 0), harness.sentTo("r", 1));
    }

    @Test
    void retriesWithIdempotencyKeyOnlyInTheSameZoneIfTheScopeIsAZone() {
        for (int seed = 0; seed < 20; seed++) {
            BalancerHarness harness = new BalancerHarness();
            harness.seed = seed;
            harness.idempotency = Idempotency.WITH_KEY;
            harness.idempotencyScope = IdempotencyScope.ZONE;
            harness.start().endpointList(A, B, BalancerHarness.upstream("c", "zb", 3));

            harness.request("r").advance(10_000);
            String first = harness.sentTo("r", 0);
            harness.outcome("r", 0, first, Outcome.RESET, 10_000);
            String second = harness.sentTo("r", 1);
            if (second != null) {
                assertEquals(
                        first.equals("a"), second.equals("a"), "first attempt at " + first + ", second at " + second);
            }

            assertTrue(harness.actionsStartingWith("reject").isEmpty());
        }
    }

    @Test
    void retriesWithIdempotencyKeyOnlyInTheSameCellAndWithinTheWindow() {
        BalancerHarness harness = new BalancerHarness();
        harness.idempotency = Idempotency.WITH_KEY;
        harness.idempotencyScope = IdempotencyScope.CELL;
        harness.start().endpointList(A, B);

        harness.request("r").advance(10_000).outcome("r", 0, harness.sentTo("r", 0), Outcome.ERROR, 10_000);
        String second = harness.sentTo("r", 1);

        assertTrue(second == null || second.equals(harness.sentTo("r", 0)));

        BalancerHarness expired = new BalancerHarness();
        expired.idempotency = Idempotency.WITH_KEY;
        expired.idempotencyWindowMicros = 5_000;
        expired.start().endpointList(A, B);

        expired.request("r").advance(10_000).outcome("r", 0, expired.sentTo("r", 0), Outcome.ERROR, 10_000);

        assertNull(expired.sentTo("r", 1));
        // The request may have run and no upstream deduplicates it any more, so it must not be rejected as
        // safe to retry.
        assertEquals(1, expired.actionsStartingWith("fail r").size());
        assertTrue(expired.actionsStartingWith("reject").isEmpty());
    }

    @Test
    void stopsAtTheMaximumNumberOfAttempts() {
        BalancerHarness harness = new BalancerHarness();
        harness.maxAttempts = 2;
        harness.start().endpointList(A, B, BalancerHarness.upstream("c", "zc", 3));

        harness.request("r");
        for (int i = 0; i < 2; i++) {
            harness.advance(1_000).outcome("r", i, harness.sentTo("r", i), Outcome.CONNECT_FAILED, 1_000);
        }

        assertEquals(2, harness.actionsStartingWith("send r").size());
        assertEquals(1, harness.actionsStartingWith("reject r").size());
    }

    @Test
    void allowsSecondAttemptInFlightOnlyWithHedging() {
        for (boolean hedging : new boolean[] {false, true}) {
            BalancerHarness harness = new BalancerHarness();
            harness.hedging = hedging;
            harness.start().endpointList(A, B);

            harness.request("r");
            TrackedUpstream candidate = harness.tracked(harness.sentTo("r", 0).equals("a") ? "b" : "a");

            assertEquals(
                    hedging,
                    harness.balancer
                            .rules()
                            .maySend(
                                    harness.nowMicros,
                                    harness.balancer.dispatcher().find("r"),
                                    candidate));
        }
    }

    /**
     * A zone that is only known from an outdated list does not guarantee that the request is deduplicated
     * there.
     */
    @Test
    void retriesWithIdempotencyKeyOnlyOnTheSameUpstreamWhileIdentityIsUncertain() {
        for (Uncertainty uncertainty : List.of(Uncertainty.NONE, Uncertainty.IDENTITY)) {
            BalancerHarness harness = new BalancerHarness();
            harness.idempotency = Idempotency.WITH_KEY;
            harness.idempotencyScope = IdempotencyScope.ZONE;
            harness.start()
                    .endpointList(
                            uncertainUpstream("s1", "za", uncertainty, 0),
                            uncertainUpstream("s2", "za", uncertainty, 0));

            harness.request("a");
            String first = harness.sentTo("a", 0);
            harness.advance(50_000).outcome("a", 0, first, Outcome.RESET, 50_000);
            String second = harness.sentTo("a", 1);

            assertTrue(
                    uncertainty == Uncertainty.NONE ? second != null : second == null || second.equals(first),
                    uncertainty + ": first attempt at " + first + ", second at " + second);
        }
    }

    @Test
    void sendsOnlyToUpstreamsThatSpeakTheProtocol() {
        BalancerHarness harness = new BalancerHarness();
        harness.start().endpointList(upstreamSpeaking("h", Balancer.HTTP1), upstreamSpeaking("g", Balancer.GRPC));
        harness.balancer.onRequest(harness.nowMicros, protocolRequest("a", Balancer.GRPC));
        harness.balancer.onRequest(harness.nowMicros, protocolRequest("b", Balancer.HTTP1));

        assertEquals("g", harness.sentTo("a", 0));
        assertEquals("h", harness.sentTo("b", 0));
    }
}
