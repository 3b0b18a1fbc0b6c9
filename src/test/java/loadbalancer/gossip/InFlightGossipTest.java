package loadbalancer.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loadbalancer.balancing.Balancer.Settings;
import org.junit.jupiter.api.Test;

class InFlightGossipTest {
    private static final long NOW = 5_000_000;
    private static final int SIDECAR_COUNT = 14;

    private final InFlightGossip sender = sidecar();
    private final InFlightGossip receiver = sidecar();

    private static InFlightGossip sidecar() {
        return InFlightGossip.forSettings(GossipSettings.of(0, SIDECAR_COUNT)).orElseThrow();
    }

    /** Creates the message of a sidecar with requests in flight at these upstreams. */
    private byte[] messageWith(String... upstreamIds) {
        for (String upstreamId : upstreamIds) {
            sender.attemptStarted(upstreamId);
        }
        byte[] message = sender.nextMessage(NOW);
        for (String upstreamId : upstreamIds) {
            sender.attemptEnded(upstreamId);
        }
        return message;
    }

    @Test
    void messageReplacesAllEarlierRequestsOfItsSender() {
        receiver.receive(NOW, 3, messageWith("u1", "u2", "u1"));
        receiver.receive(NOW, 4, messageWith("u1"));
        assertEquals(3, receiver.inFlight(NOW, "u1"));
        assertEquals(1, receiver.inFlight(NOW, "u2"));
        assertEquals(0, receiver.inFlight(NOW, "u3"));
        receiver.receive(NOW, 3, messageWith("u2"));
        assertEquals(1, receiver.inFlight(NOW, "u1"));
        receiver.receive(NOW, 3, messageWith());
        receiver.receive(NOW, 4, messageWith());
        assertEquals(0, receiver.inFlight(NOW, "u1") + receiver.inFlight(NOW, "u2"));
    }

    /** Datagrams may arrive in another order than they were sent. */
    @Test
    void messageOlderThanTheLastOneIsDropped() {
        // given
        byte[] older = messageWith("u1");
        byte[] newer = messageWith("u2");
        // when
        receiver.receive(NOW, 3, newer);
        receiver.receive(NOW + 5_000, 3, older);
        receiver.receive(NOW + 6_000, 3, newer);
        // then
        assertEquals(0, receiver.inFlight(NOW, "u1"));
        assertEquals(1, receiver.inFlight(NOW, "u2"));
    }

    @Test
    void messageOfARestartedPeerIsAccepted() {
        // given
        for (int i = 0; i < 50; i++) {
            receiver.receive(NOW, 3, messageWith("u1"));
        }
        // when
        byte[] firstAfterRestart = sidecar().nextMessage(NOW);
        receiver.receive(NOW + PeerInFlight.EXPIRY_MICROS, 3, firstAfterRestart);
        // then
        assertEquals(0, receiver.inFlight(NOW + PeerInFlight.EXPIRY_MICROS, "u1"));
    }

    @Test
    void requestsOfAPeerExpireAfterItsLastMessage() {
        // given
        receiver.receive(NOW, 3, messageWith("u1"));
        receiver.receive(NOW + 200_000, 4, messageWith("u1"));
        // then
        assertEquals(2, receiver.inFlight(NOW + PeerInFlight.EXPIRY_MICROS - 1, "u1"));
        assertEquals(1, receiver.inFlight(NOW + PeerInFlight.EXPIRY_MICROS, "u1"));
        assertEquals(0, receiver.inFlight(NOW + 200_000 + PeerInFlight.EXPIRY_MICROS, "u1"));
    }

    @Test
    void claimOfOnePeerAtOneUpstreamIsLimited() {
        // given
        String[] all = new String[InFlightMessage.MAX_ENTRIES];
        Arrays.fill(all, "u1");
        byte[] honest = messageWith(all);
        byte[] forged = new byte[2 + 2 * InFlightMessage.MAX_ENTRIES];
        forged[0] = honest[0];
        for (int i = 2; i < forged.length; i++) {
            forged[i] = honest[2 + i % 2];
        }
        // when
        receiver.receive(NOW, 3, forged);
        // then
        assertEquals(InFlightMessage.MAX_PER_UPSTREAM, receiver.inFlight(NOW, "u1"));
    }

    /**
     * Requests are rejected if all upstreams seem full. The false claims of one of 14 sidecars must have far too little
     * effect for that.
     */
    @Test
    void totalClaimOfOnePeerIsLimitedByTheMedian() {
        // given
        String[] all = new String[InFlightMessage.MAX_ENTRIES];
        for (int i = 0; i < all.length; i++) {
            all[i] = "u" + i % 60;
        }
        byte[] falseClaim = messageWith(all);
        for (int peer = 1; peer <= 12; peer++) {
            receiver.receive(NOW, peer, messageWith("u1", "u2"));
        }
        // when
        receiver.receive(NOW, 13, falseClaim);
        // then
        int counted = 0;
        for (int i = 0; i < 60; i++) {
            counted += receiver.inFlight(NOW, "u" + i);
        }
        assertTrue(
                counted - 24 <= PeerInFlight.ENTRY_ALLOWANCE + PeerInFlight.MAX_MEDIAN_MULTIPLE * 2,
                counted + " requests are counted, of which 24 are in flight");
    }

    @Test
    void malformedMessagesAndUnknownPeersAreDropped() {
        // given
        byte[] valid = messageWith("u1");
        // when
        receiver.receive(NOW, 99, valid);
        receiver.receive(NOW, -1, valid);
        receiver.receive(NOW, 3, Arrays.copyOf(valid, 3));
        receiver.receive(NOW, 3, new byte[0]);
        receiver.receive(NOW, 3, new byte[300]);
        // then
        assertEquals(0, receiver.inFlight(NOW, "u1"));
        assertTrue(InFlightGossip.isMessage(valid));
        assertFalse(InFlightGossip.isMessage(new byte[] {'R', 0}));
    }

    @Test
    void messageSizeIsLimited() {
        // given
        for (int i = 0; i < 1_000; i++) {
            sender.attemptStarted("u" + i);
        }
        // when
        byte[] message = sender.nextMessage(NOW);
        // then
        assertEquals(256, message.length);
        receiver.receive(NOW, 3, message);
    }

    /** Random traffic with message loss, after which all peers expire. */
    @Test
    void totalsAreNeverNegativeAndEndAtZero() {
        SplittableRandom random = new SplittableRandom(4);
        List<InFlightGossip> fleet = new ArrayList<>();
        for (int i = 0; i < SIDECAR_COUNT; i++) {
            fleet.add(sidecar());
        }
        long nowMicros = NOW;
        for (int i = 0; i < 20_000; i++) {
            nowMicros += random.nextLong(20_000);
            int peer = 1 + random.nextInt(13);
            InFlightGossip gossip = fleet.get(peer);
            String upstreamId = "u" + random.nextInt(20);
            if (random.nextBoolean()) {
                gossip.attemptStarted(upstreamId);
            } else {
                gossip.attemptEnded(upstreamId);
            }
            byte[] message = gossip.nextMessage(nowMicros);
            if (random.nextInt(10) > 0) {
                receiver.receive(nowMicros, peer, message);
            }
            assertTrue(receiver.inFlight(nowMicros, upstreamId) >= 0);
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(0, receiver.inFlight(nowMicros + PeerInFlight.EXPIRY_MICROS, "u" + i));
        }
    }

    @Test
    void messagesArePacedAndRefreshedOnlyWhileRequestsAreInFlight() {
        assertEquals(0, sender.delayMicros(NOW));
        assertEquals(0, sender.refreshDelayMicros());
        sender.attemptStarted("u1");
        sender.nextMessage(NOW);
        assertTrue(sender.delayMicros(NOW) >= 10_000);
        assertEquals(0, sender.delayMicros(NOW + 1_000_000));
        assertTrue(sender.refreshDelayMicros() > 0 && sender.refreshDelayMicros() < PeerInFlight.EXPIRY_MICROS);
    }

    @Test
    void disabledIfForbiddenOfNoUseOrTooExpensive() {
        assertTrue(isEnabled(GossipSettings.of(0, 14, true, 0.01, 0.08)));
        assertFalse(isEnabled(GossipSettings.of(0, 14, false, 0.01, 0.08)), "forbidden");
        assertFalse(isEnabled(GossipSettings.of(0, 1, true, 0.01, 0.08)), "no peers");
        assertFalse(
                isEnabled(GossipSettings.of(0, 14, true, 0.01, 0.002)),
                "health checks are cheap enough to sample load before each request");
        assertFalse(isEnabled(GossipSettings.of(0, 14, true, 0.1, 0.08)), "too expensive");
    }

    private static boolean isEnabled(Settings settings) {
        return InFlightGossip.forSettings(settings).isPresent();
    }

    @Test
    void messagesInALargeFleetGoOnlyToPeersThatShareAnUpstream() {
        // given
        InFlightGossip inSmallFleet = sidecar();
        assertNull(inSmallFleet.nextRecipients(NOW), "in a small fleet messages go to all peers");
        assertEquals(Integer.MAX_VALUE, inSmallFleet.subsetSize());
        InFlightGossip inLargeFleet =
                InFlightGossip.forSettings(GossipSettings.of(0, 100)).orElseThrow();
        List<String> upstreamIds =
                IntStream.range(0, 200).mapToObj(i -> "n" + i).toList();
        inLargeFleet.onEndpoints(upstreamIds);
        assertTrue(inLargeFleet.subsetSize() >= 8 && inLargeFleet.subsetSize() <= 30);
        assertEquals(0, inLargeFleet.nextRecipients(NOW).length);
        // when
        String first = upstreamOfRank(0, inLargeFleet, upstreamIds);
        inLargeFleet.attemptStarted(first);
        // then
        int[] recipients = inLargeFleet.nextRecipients(NOW);
        assertTrue(recipients.length > 2 && recipients.length < 20, recipients.length + " recipients");
        inLargeFleet.nextMessage(NOW);
        assertTrue(inLargeFleet.delayMicros(NOW) >= recipients.length * 1_000_000L / 1_300);
        // A change at another upstream is sent only to the peers that share it, until the first upstream is due again.
        String second = upstreamOfRank(1, inLargeFleet, upstreamIds);
        inLargeFleet.attemptStarted(second);
        assertTrue(inLargeFleet.nextRecipients(NOW + 20_000).length < 20);
        assertEquals(0, inLargeFleet.nextRecipients(NOW + 40_000).length);
        inLargeFleet.attemptEnded(second);
        inLargeFleet.nextRecipients(NOW + 40_000);
        inLargeFleet.nextMessage(NOW + 40_000);
        assertTrue(inLargeFleet.nextRecipients(NOW + 140_000).length >= recipients.length);
        inLargeFleet.attemptEnded(first);
        assertEquals(recipients.length, inLargeFleet.nextRecipients(NOW + 150_000).length);
        assertEquals(0, inLargeFleet.nextRecipients(NOW + 400_000).length);
        assertEquals(0, inLargeFleet.refreshDelayMicros());
    }

    private static String upstreamOfRank(int rank, InFlightGossip gossip, List<String> upstreamIds) {
        return upstreamIds.stream()
                .filter(upstreamId -> gossip.subsetRank(upstreamId) == rank)
                .findFirst()
                .orElseThrow();
    }
}
