package loadbalancer.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

class FailureGossipTest {
    private static final long NOW = 5_000_000;
    private static final int ENDPOINT_COUNT = 20;
    private static final int SIDECAR_COUNT = 100;

    private final Upstream dead = upstream("u1", 0);
    private final FailureGossip receiver = sidecar(0);

    private static FailureGossip sidecar(int sidecarIndex) {
        return FailureGossip.forSettings(GossipSettings.of(sidecarIndex, SIDECAR_COUNT))
                .orElseThrow();
    }

    private static Upstream upstream(String id, long startedMicros) {
        return new Upstream(id, "a", "k", 0, startedMicros, 1, UpstreamState.READY);
    }

    /** Creates the message of a sidecar that could not connect to these upstreams. */
    private static byte[] messageAbout(Upstream... failed) {
        FailureGossip sender = sidecar(SIDECAR_COUNT - 1);
        for (Upstream upstream : failed) {
            sender.connectFailed(NOW, upstream, true, 0);
        }
        return sender.nextMessage(NOW).orElseThrow();
    }

    private double trustFactor(long nowMicros, Upstream upstream) {
        return receiver.trustFactor(nowMicros, upstream, ENDPOINT_COUNT);
    }

    @Test
    void failureNeedsReportsOfTwoDistinctSidecars() {
        receiver.receive(NOW, 3, messageAbout(dead));
        receiver.receive(NOW + 1, 3, messageAbout(dead));
        assertEquals(1, trustFactor(NOW + 1, dead));
        receiver.receive(NOW + 2, 4, messageAbout(dead, upstream("u2", 0)));
        assertEquals(FailureGossip.FAILED_TRUST_FACTOR, trustFactor(NOW + 2, dead));
        assertEquals(1, trustFactor(NOW + 2, upstream("u2", 0)));
        assertEquals(1, trustFactor(NOW + 2, upstream("u3", 0)));
    }

    @Test
    void ownFailureCountsAsOneReport() {
        assertTrue(receiver.connectFailed(NOW, dead, true, 0));
        assertEquals(1, trustFactor(NOW, dead));
        receiver.receive(NOW + 1, 7, messageAbout(dead));
        assertEquals(FailureGossip.FAILED_TRUST_FACTOR, trustFactor(NOW + 1, dead));
    }

    /** A connection attempt that ends early at its client's short deadline shows nothing about the upstream. */
    @Test
    void connectionAttemptGivenUpEarlyIsNoEvidence() {
        assertFalse(receiver.connectFailed(NOW, dead, false, FailureGossip.MIN_CONNECT_WAIT_MICROS - 1));
        receiver.receive(NOW, 7, messageAbout(dead));
        assertEquals(1, trustFactor(NOW, dead));
        assertTrue(sidecar(1).connectFailed(NOW, dead, false, FailureGossip.MIN_CONNECT_WAIT_MICROS));
    }

    @Test
    void reportsExpireAndNeverReduceTheWeightToZero() {
        // given
        receiver.receive(NOW, 3, messageAbout(dead));
        receiver.receive(NOW, 4, messageAbout(dead));
        // then
        assertTrue(trustFactor(NOW + FailureGossip.REPORT_EXPIRY_MICROS - 1, dead) > 0);
        assertTrue(trustFactor(NOW + FailureGossip.REPORT_EXPIRY_MICROS - 1, dead) < 1);
        assertEquals(1, trustFactor(NOW + FailureGossip.REPORT_EXPIRY_MICROS, dead));
    }

    @Test
    void reportsDoNotAffectARestartedProcess() {
        // given
        receiver.receive(NOW, 3, messageAbout(dead));
        receiver.receive(NOW, 4, messageAbout(dead));
        // then
        assertEquals(1, trustFactor(NOW, upstream("u1", NOW)));
    }

    @Test
    void ownResponseOverridesReports() {
        // given
        receiver.receive(NOW, 3, messageAbout(dead));
        receiver.receive(NOW, 4, messageAbout(dead));
        // when
        receiver.responseReceived(dead);
        // then
        assertEquals(1, trustFactor(NOW, dead));
        receiver.receive(NOW + 1, 3, messageAbout(dead));
        assertEquals(1, trustFactor(NOW + 1, dead), "a single new report must not have an effect");
        receiver.receive(NOW + 2, 5, messageAbout(dead));
        assertEquals(FailureGossip.FAILED_TRUST_FACTOR, trustFactor(NOW + 2, dead));
    }

    @Test
    void noUpstreamIsAffectedIfHalfOfThemOrMoreWouldBe() {
        // given
        Upstream[] all = IntStream.range(0, ENDPOINT_COUNT)
                .mapToObj(i -> upstream("u" + i, 0))
                .toArray(Upstream[]::new);
        Upstream[] fewerThanHalf = Arrays.copyOf(all, ENDPOINT_COUNT / 2 - 1);
        // when, then
        receiver.receive(NOW, 3, messageAbout(fewerThanHalf));
        receiver.receive(NOW, 4, messageAbout(fewerThanHalf));
        assertEquals(FailureGossip.FAILED_TRUST_FACTOR, trustFactor(NOW, fewerThanHalf[0]));
        // when, then
        receiver.receive(NOW + 1, 3, messageAbout(all));
        receiver.receive(NOW + 1, 4, messageAbout(all));
        for (Upstream upstream : all) {
            assertEquals(1, trustFactor(NOW + 1, upstream));
        }
    }

    @Test
    void confirmedFailureIsNotReportedAgain() {
        assertTrue(receiver.connectFailed(NOW, dead, true, 0));
        assertFalse(receiver.connectFailed(NOW, dead, true, 0), "the report is already waiting to be sent");
        receiver.receive(NOW, 3, messageAbout(dead));
        assertEquals(Optional.empty(), receiver.nextMessage(NOW), "this sidecar and the sender have reported it");
        assertFalse(receiver.connectFailed(NOW + 1, dead, true, 0));
    }

    @Test
    void messagesArePacedAndBounded() {
        // given
        for (int i = 0; i < 500; i++) {
            receiver.connectFailed(NOW, upstream("u" + i, 0), true, 0);
        }
        assertEquals(0, receiver.delayMicros(NOW));
        // when
        byte[] message = receiver.nextMessage(NOW).orElseThrow();
        // then
        assertTrue(message.length <= 256, message.length + " bytes");
        assertTrue(receiver.delayMicros(NOW) >= 99 * 1_000_000L / 500);
        assertEquals(Optional.empty(), receiver.nextMessage(NOW));
    }

    @Test
    void messagesOfUnknownPeersOwnMessagesAndRandomBytesAreDropped() {
        for (int peer : new int[] {-1, 0, 100, 1_000}) {
            receiver.receive(NOW, peer, messageAbout(dead));
        }
        assertEquals(1, trustFactor(NOW, dead));
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 20_000; i++) {
            byte[] noise = new byte[random.nextInt(300)];
            random.nextBytes(noise);
            if (noise.length > 0 && i % 2 == 0) {
                noise[0] = 'L';
            }
            receiver.receive(NOW + i, 1 + random.nextInt(99), noise);
            assertFalse(FailureGossip.isMessage(noise) && noise.length > 256);
        }
        assertEquals(1, trustFactor(NOW + 20_000, dead));
        assertEquals(1, trustFactor(NOW + 20_000, upstream("u7", 0)));
    }

    @Test
    void trackedReportsAreBoundedAndExpire() {
        // given
        SplittableRandom random = new SplittableRandom(6);
        byte[] message = new byte[1 + 4 * FailureGossip.MAX_ENTRIES];
        for (int i = 0; i < 1_000; i++) {
            random.nextBytes(message);
            message[0] = 'L';
            receiver.receive(NOW, 1 + i % 99, message);
        }
        // when, then
        receiver.receive(NOW, 3, messageAbout(dead));
        receiver.receive(NOW, 4, messageAbout(dead));
        assertEquals(1, trustFactor(NOW, dead), "no new report is stored until the random ones expire");
        // when, then
        long later = NOW + FailureGossip.REPORT_EXPIRY_MICROS;
        receiver.receive(later, 3, messageAbout(dead));
        receiver.receive(later, 4, messageAbout(dead));
        assertEquals(FailureGossip.FAILED_TRUST_FACTOR, trustFactor(later, dead));
    }

    @Test
    void disabledIfForbiddenTooExpensiveOrOfNoUse() {
        assertTrue(isEnabled(GossipSettings.of(0, 100, true, 0.01, 0.08)));
        assertFalse(isEnabled(GossipSettings.of(0, 100, false, 0.01, 0.08)), "forbidden");
        assertFalse(isEnabled(GossipSettings.of(0, 100, true, 1, 0.08)), "too expensive");
        assertFalse(isEnabled(GossipSettings.of(0, 2, true, 0.01, 0.08)), "too few sidecars");
        assertFalse(
                isEnabled(GossipSettings.of(0, 100, true, 0.01, 0.001)),
                "health checks are cheap enough to sample load before each request");
    }

    private static boolean isEnabled(Settings settings) {
        return FailureGossip.forSettings(settings).isPresent();
    }
}
