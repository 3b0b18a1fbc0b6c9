package loadbalancer.balancing;

import static loadbalancer.balancing.RequestFixtures.protocolRequest;
import static loadbalancer.balancing.RequestFixtures.streamRequest;
import static loadbalancer.balancing.UpstreamFixtures.upstreamSpeaking;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests long-lived streams and ordinary requests on the same upstreams. */
class StreamsTest {
    /** A stream may stay open for an hour and must not look like a stalled request. */
    @Test
    void doesNotCountStartedStreamsAsInFlight() {
        BalancerHarness harness = new BalancerHarness();
        harness.streamingClass = true;
        harness.start().endpointList(BalancerHarness.upstream("s1", "za", 1));
        for (int i = 0; i < 200; i++) {
            harness.request("r" + i);

            assertEquals("s1", harness.sentTo("r" + i, 0), "stream " + i + " was not sent");

            harness.balancer.onStreamStart(harness.nowMicros, "r" + i, 0, "s1", 1_000);
            harness.advance(100_000);
        }
        for (int i = 0; i < 200; i++) {
            harness.balancer.onOutcome(harness.nowMicros, "r" + i, 0, "s1", Outcome.OK, 60_000_000, true, null);
        }

        assertEquals(0, harness.tracked("s1").inFlight);
    }

    /**
     * A stream beyond the stream capacity of the upstream waits within its objective; requests are still
     * sent.
     */
    @Test
    void queuesAStreamUntilAnotherOneEnds() {
        BalancerHarness harness = new BalancerHarness();
        harness.start().endpointList(upstreamSpeaking("s1", Balancer.GRPC));
        for (int i = 0; i < 3; i++) {
            harness.balancer.onRequest(harness.nowMicros, streamRequest("r" + i));
        }
        harness.outcome("r2", 0, "s1", Outcome.NOT_SENT, 0);
        harness.balancer.onRequest(harness.nowMicros, streamRequest("late"));

        assertNull(harness.sentTo("late", 0));
        assertEquals(
                1,
                harness.actionsStartingWith("send r2").size(),
                "the stream was sent again although the upstream has no streams left");

        harness.balancer.onRequest(harness.nowMicros, protocolRequest("unary", Balancer.GRPC));

        assertEquals("s1", harness.sentTo("unary", 0));

        harness.advance(10_000).outcome("r0", 0, "s1", Outcome.OK, 10_000);

        assertEquals("s1", harness.sentTo("r2", 1));
        assertNull(harness.sentTo("late", 0));

        for (int i = 0; i < 100; i++) {
            harness.advance(5_000).fireTimer("hold");
        }

        assertEquals(List.of("reject late"), harness.actionsStartingWith("reject"));
        // After half a second the upstream is tried again, as its stream capacity may have grown.
        harness.balancer.onRequest(harness.nowMicros, streamRequest("next"));

        assertEquals("s1", harness.sentTo("next", 0));
    }

    /**
     * The upstream with fewer streams is picked; streams are no load, whether or not load reports count them.
     */
    @Test
    void spreadsStreamsAndDoesNotCountThemAsLoad() {
        BalancerHarness harness = new BalancerHarness();
        harness.start().endpointList(upstreamSpeaking("s1", Balancer.GRPC), upstreamSpeaking("s2", Balancer.GRPC));
        for (int i = 0; i < 40; i++) {
            harness.balancer.onRequest(harness.nowMicros, streamRequest("r" + i));
        }

        assertEquals(20, harness.tracked("s1").openStreams);
        assertEquals(20, harness.tracked("s2").openStreams);

        for (String id : List.of("s1", "s2")) {
            harness.balancer.onHealthCheck(harness.nowMicros, id, Outcome.OK, 1_000, new LoadReport(21, 0, 0.1));

            assertEquals(1, harness.tracked(id).peerInFlight, 1e-9);

            harness.balancer.onHealthCheck(harness.nowMicros, id, Outcome.OK, 1_000, new LoadReport(2, 0, 0.1));

            assertEquals(2, harness.tracked(id).peerInFlight, 1e-9);
        }
    }
}
