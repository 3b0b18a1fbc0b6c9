package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.gossip.FailureGossip;
import loadbalancer.gossip.InFlightGossip;
import org.junit.jupiter.api.Test;

/** Compatibility of gossip messages between sidecars: requests in flight and unreachable upstreams. */
class GossipMessagesTest {
    private static final String IN_FLIGHT = "gossip-in-flight", UNREACHABLE = "gossip-unreachable";
    private static final long NOW_MICROS = 5_000_000;

    private static Settings settings() {
        return new Settings(
                0,
                3,
                "a",
                List.of("a"),
                List.of("k"),
                List.of(),
                List.of(),
                new Limits(4, true, true, true, true, false, 0, 15_000_000, 0),
                new Rules(500_000, 0.13, 24_000_000, 3, 1_000_000, 10_000_000, 5_000, 0),
                LoadReporting.IN_RESPONSES,
                true,
                false,
                0.1,
                new Prices(0, 0.01, 0.08, 0, 0),
                1_000);
    }

    private static Upstream upstream(String id, long startedMicros) {
        return new Upstream(id, "a", "k", 0, startedMicros, 1, UpstreamState.READY);
    }

    @Test
    void storedInFlightMessageIsReceivedAndSentByteForByte() {
        InFlightGossip sender = InFlightGossip.forSettings(settings()).orElseThrow();
        sender.attemptStarted("orders-1");
        sender.attemptStarted("orders-2");
        sender.attemptStarted("orders-1");
        StoredSamples.assertSent(IN_FLIGHT, sender.nextMessage(NOW_MICROS));

        byte[] stored = StoredSamples.message(IN_FLIGHT);
        assertTrue(InFlightGossip.isMessage(stored));
        assertFalse(FailureGossip.isMessage(stored));
        InFlightGossip receiver = InFlightGossip.forSettings(settings()).orElseThrow();
        receiver.receive(NOW_MICROS, 1, stored);
        assertEquals(2, receiver.inFlight(NOW_MICROS, "orders-1"));
        assertEquals(1, receiver.inFlight(NOW_MICROS, "orders-2"));
        assertEquals(0, receiver.inFlight(NOW_MICROS, "orders-3"));
    }

    @Test
    void storedUnreachableMessageIsReceivedAndSentByteForByte() {
        Upstream refused = upstream("orders-1", 1_764_600_000_500_000L);
        Upstream unresponsive = upstream("orders-2", 1_764_600_001_000_000L);
        FailureGossip sender = FailureGossip.forSettings(settings()).orElseThrow();
        assertTrue(sender.connectFailed(NOW_MICROS, refused, true, 100));
        assertTrue(sender.connectFailed(NOW_MICROS, unresponsive, false, 250_000));
        StoredSamples.assertSent(UNREACHABLE, sender.nextMessage(NOW_MICROS).orElseThrow());

        byte[] stored = StoredSamples.message(UNREACHABLE);
        assertTrue(FailureGossip.isMessage(stored));
        assertFalse(InFlightGossip.isMessage(stored));
        FailureGossip receiver = FailureGossip.forSettings(settings()).orElseThrow();
        receiver.receive(NOW_MICROS, 1, stored);
        assertEquals(
                1,
                receiver.trustFactor(NOW_MICROS, refused, 20),
                "a report of a single sidecar must not reduce the trust");
        receiver.receive(NOW_MICROS + 1, 2, stored);
        assertEquals(0.02, receiver.trustFactor(NOW_MICROS + 1, refused, 20));
        assertEquals(0.02, receiver.trustFactor(NOW_MICROS + 1, unresponsive, 20));
        assertEquals(
                1,
                receiver.trustFactor(NOW_MICROS + 1, upstream("orders-1", 1_764_600_009_000_000L), 20),
                "a report must not apply to a restarted upstream");
    }
}
