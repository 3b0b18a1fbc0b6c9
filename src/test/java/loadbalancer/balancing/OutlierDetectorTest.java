package loadbalancer.balancing;

import static loadbalancer.balancing.RequestFixtures.protocolRequest;
import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static loadbalancer.balancing.UpstreamFixtures.upstreamSpeaking;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests which failures eject an upstream. */
class OutlierDetectorTest {
    /**
     * Failures of all upstreams say little about a single one, and with all ejected no request would be
     * served.
     */
    @Test
    void ejectsNoUpstreamIfMostFail() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);

        harness.request("r");
        for (int attempt = 0; attempt < 2; attempt++) {
            harness.outcome("r", attempt, harness.sentTo("r", attempt), Outcome.CONNECT_FAILED, 1_000);
        }

        assertEquals(2, harness.actionsStartingWith("send").size());

        harness.advance(150_000).fireTimer("hold").request("s");

        assertTrue(harness.actionsStartingWith("send").size() > 2, "all upstreams are ejected");
    }

    /**
     * Occasional malformed responses are the network's fault; an upstream that sends nothing else is ejected.
     */
    @Test
    void countsAMalformedResponseAsHalfAFailure() {
        BalancerHarness harness =
                new BalancerHarness().start().endpointList(A, B, BalancerHarness.upstream("c", "zc", 3));
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i);
            for (int attempt = 0; harness.sentTo("r" + i, attempt) != null; attempt++) {
                String target = harness.sentTo("r" + i, attempt);
                targets.add(target);
                harness.outcome("r" + i, attempt, target, target.equals("a") ? Outcome.MALFORMED : Outcome.OK, 75_000);
            }
            harness.advance(10_000);
        }
        long attemptsAtA = targets.stream().filter("a"::equals).count();

        assertTrue(
                attemptsAtA >= 4 && attemptsAtA <= 5,
                "expected 4 or 5 attempts at a, found " + attemptsAtA + " of " + targets.size());
    }

    /**
     * An upstream that drains before the endpoint list shows it rejects requests although it is nearly idle.
     */
    @Test
    void ejectsAnIdleUpstreamThatRejects() {
        assertEjectedAfter(Outcome.REJECTED, 30_000);
    }

    @Test
    void ejectsAnUpstreamThatRefusesConnections() {
        assertEjectedAfter(Outcome.CONNECT_FAILED, 1_000);
    }

    /** The failures of an upstream are tracked for all protocols together. */
    @Test
    void ejectsAnUpstreamForOneProtocolAfterFailuresOfTheOther() {
        for (int failing : new int[] {Balancer.HTTP1, Balancer.GRPC}) {
            int other = failing == Balancer.HTTP1 ? Balancer.GRPC : Balancer.HTTP1;
            BalancerHarness harness = new BalancerHarness();
            int both = Balancer.HTTP1 | Balancer.GRPC;
            harness.maxAttempts = 1;
            harness.start()
                    .endpointList(
                            upstreamSpeaking("s1", both), upstreamSpeaking("s2", both), upstreamSpeaking("s3", both));
            for (int i = 0; i < 40; i++) {
                harness.balancer.onRequest(harness.nowMicros, protocolRequest("f" + i, failing));
                String target = harness.sentTo("f" + i, 0);
                harness.outcome("f" + i, 0, target, target.equals("s1") ? Outcome.ERROR : Outcome.OK, 10_000);
                harness.advance(1_000);
                if (harness.actionsStartingWith("send f").stream()
                                .filter(send -> send.contains(" s1 "))
                                .count()
                        >= 2) {
                    break;
                }
            }
            for (int i = 0; i < 30; i++) {
                harness.balancer.onRequest(harness.nowMicros, protocolRequest("o" + i, other));

                assertNotEquals(
                        "s1",
                        harness.sentTo("o" + i, 0),
                        "a request of the other protocol went to the failing upstream");

                harness.outcome("o" + i, 0, harness.sentTo("o" + i, 0), Outcome.OK, 10_000);
                harness.advance(1_000);
            }
        }
    }

    private static void assertEjectedAfter(Outcome outcome, long stepMicros) {
        BalancerHarness harness =
                new BalancerHarness().start().endpointList(A, B).request("r").advance(1_000);
        String ejected = harness.sentTo("r", 0);
        harness.outcome("r", 0, ejected, outcome, 1_000);
        harness.outcome("r", 1, harness.sentTo("r", 1), Outcome.OK, 50_000);
        for (int i = 0; i < 10; i++) {
            harness.advance(stepMicros).request("n" + i);
            assertNotNull(harness.sentTo("n" + i, 0));
            assertNotEquals(ejected, harness.sentTo("n" + i, 0));
            harness.outcome("n" + i, 0, harness.sentTo("n" + i, 0), Outcome.OK, 50_000);
        }
    }
}
