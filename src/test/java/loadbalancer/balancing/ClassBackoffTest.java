package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import org.junit.jupiter.api.Test;

/** Tests the backoff of a request class on an upstream that does not respond to it. */
class ClassBackoffTest {
    /**
     * One of three upstreams responds to one class but never to the other. The unanswered class must be sent
     * elsewhere apart from occasional tries.
     */
    @Test
    void backsOffFromAnUpstreamThatNeverRespondsToTheClassAndRetriesIt() {
        BalancerHarness harness = new BalancerHarness();
        harness.maxAttempts = 1;
        harness.start()
                .endpointList(
                        BalancerHarness.upstream("a", "za", 1),
                        BalancerHarness.upstream("b", "za", 1),
                        BalancerHarness.upstream("silent", "za", 1));
        int unanswered = 0;
        int answered = 0;
        for (int i = 0; i < 600; i++) {
            boolean answeredClass = i % 2 == 1;
            String id = "r" + i;
            harness.balancer.onRequest(
                    harness.nowMicros,
                    new Request(id, -1, false, false, 0, 800_000, null, answeredClass ? "other" : "c"));
            String target = harness.sentTo(id, 0);
            boolean timesOut = target.equals("silent") && !answeredClass;
            unanswered += timesOut ? 1 : 0;
            answered += target.equals("silent") && answeredClass ? 1 : 0;
            harness.outcome(id, 0, target, timesOut ? Outcome.TIMEOUT : Outcome.OK, 60_000);
            harness.advance(20_000);
        }
        // Three timeouts start the backoff; the upstream is tried again after 0.5, 1, 2, 4 and 8 s.
        assertTrue(unanswered >= 5 && unanswered <= 9, "expected 5 to 9 unanswered requests, found " + unanswered);
        assertTrue(answered > 50, "expected more than 50 requests of the answered class, found " + answered);
        // A single response ends the backoff.
        harness.advance(8_000_000);
        int afterBackoff = 0;
        for (int i = 0; i < 200; i++) {
            harness.request("b" + i);
            afterBackoff += harness.sentTo("b" + i, 0).equals("silent") ? 1 : 0;
            harness.outcome("b" + i, 0, harness.sentTo("b" + i, 0), Outcome.OK, 60_000);
            harness.advance(20_000);
        }

        assertTrue(afterBackoff > 30, "expected more than 30 of 200 requests at silent, found " + afterBackoff);
    }

    /**
     * If most upstreams never respond to a class, the class or the network is the cause, not a single
     * upstream.
     */
    @Test
    void ignoresTheBackoffIfMostUpstreamsNeverRespondToTheClass() {
        BalancerHarness harness = new BalancerHarness();
        harness.maxAttempts = 1;
        harness.start().endpointList(A, B);
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            harness.balancer.onRequest(
                    harness.nowMicros, new Request("o" + i, -1, false, false, 0, 800_000, null, "other"));
            harness.outcome("o" + i, 0, harness.sentTo("o" + i, 0), Outcome.OK, 60_000);
            harness.request("r" + i);
            if (harness.sentTo("r" + i, 0) != null) {
                sent++;
                harness.outcome("r" + i, 0, harness.sentTo("r" + i, 0), Outcome.TIMEOUT, 100_000);
            } else {
                // The client gives up, so that no queued request precedes the next one.
                harness.balancer.onExpired(harness.nowMicros, "r" + i);
            }
            harness.advance(20_000);
        }

        assertTrue(sent > 20, "expected more than 20 of 60 requests to be sent, found " + sent);
    }
}
