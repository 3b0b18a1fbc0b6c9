package loadbalancer.gossip;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests in flight at each upstream, from the latest gossip of all peers. The claims of one peer are limited: at each
 * upstream to {@link InFlightMessage#MAX_PER_UPSTREAM} requests, and in total to {@link #ENTRY_ALLOWANCE} plus
 * {@link #MAX_MEDIAN_MULTIPLE} times the median of all sidecars' requests in flight. A peer's claims expire
 * {@link #EXPIRY_MICROS} after its last message.
 */
final class PeerInFlight {
    static final int ENTRY_ALLOWANCE = 8;
    static final int MAX_MEDIAN_MULTIPLE = 4;

    /**
     * Time without a message after which a peer counts as dead; its requests in flight are then left to client retries.
     */
    static final long EXPIRY_MICROS = 300_000;

    /** Time without a message after which any sequence number is accepted, because the peer may have restarted. */
    private static final long SEQUENCE_EXPIRY_MICROS = InFlightGossip.REFRESH_MICROS;

    private static final int[] NO_ENTRIES = {};

    private final PeerEntries[] peers;
    private final Collection<Integer> ownCounts;
    private final Map<Integer, Integer> inFlightByHash = new HashMap<>();

    /** Peers whose claims have not expired, in order of their last message. */
    private final ArrayDeque<PeerEntries> activePeers = new ArrayDeque<>();

    /**
     * @param sidecarCount number of sidecars in the fleet; the indices of peers are below it
     * @param ownCounts    live view of this sidecar's own requests in flight at each upstream
     */
    PeerInFlight(int sidecarCount, Collection<Integer> ownCounts) {
        peers = new PeerEntries[sidecarCount];
        this.ownCounts = ownCounts;
    }

    private static final class PeerEntries {
        private int[] upstreamHashes = NO_ENTRIES;
        private byte sequence;
        private long receivedMicros = Long.MIN_VALUE / 2;
    }

    /**
     * Handles a peer's message. A message from an unknown peer, of another format or not newer than the peer's last one
     * is dropped.
     */
    void receive(long nowMicros, int peerIndex, byte[] message) {
        if (peerIndex < 0 || peerIndex >= peers.length || !InFlightMessage.isMessage(message)) {
            return;
        }
        if (peers[peerIndex] == null) {
            peers[peerIndex] = new PeerEntries();
        }
        PeerEntries peer = peers[peerIndex];
        byte sequence = InFlightMessage.sequence(message);
        if (nowMicros - peer.receivedMicros < SEQUENCE_EXPIRY_MICROS && (byte) (sequence - peer.sequence) <= 0) {
            return;
        }
        expirePeers(nowMicros);
        activePeers.remove(peer);
        addToTotals(peer, -1);
        peer.sequence = sequence;
        peer.receivedMicros = nowMicros;
        peer.upstreamHashes = sampleEvenly(
                capPerUpstream(InFlightMessage.upstreamHashes(message)),
                ENTRY_ALLOWANCE + MAX_MEDIAN_MULTIPLE * medianInFlight());
        activePeers.addLast(peer);
        addToTotals(peer, 1);
    }

    /** Number of requests that all peers have in flight at the upstream. */
    int inFlight(long nowMicros, String upstreamId) {
        expirePeers(nowMicros);
        return inFlightByHash.isEmpty() ? 0 : inFlightByHash.getOrDefault(InFlightMessage.upstreamHash(upstreamId), 0);
    }

    /** The median of the requests in flight of this sidecar and of each active peer. */
    private int medianInFlight() {
        int[] inFlightCounts = new int[activePeers.size() + 1];
        for (int count : ownCounts) {
            inFlightCounts[0] += count;
        }
        int next = 1;
        for (PeerEntries peer : activePeers) {
            inFlightCounts[next++] = peer.upstreamHashes.length;
        }
        Arrays.sort(inFlightCounts);
        return inFlightCounts[inFlightCounts.length / 2];
    }

    /** Returns at most {@code maxCount} of the hashes, evenly spaced. */
    private static int[] sampleEvenly(int[] hashes, int maxCount) {
        if (hashes.length <= maxCount) {
            return hashes;
        }
        int[] sampled = new int[maxCount];
        for (int i = 0; i < maxCount; i++) {
            sampled[i] = hashes[(int) ((long) i * hashes.length / maxCount)];
        }
        return sampled;
    }

    /** Returns the hashes in ascending order, each at most {@link InFlightMessage#MAX_PER_UPSTREAM} times. */
    private static int[] capPerUpstream(int[] hashes) {
        Arrays.sort(hashes);
        int count = 0;
        for (int hash : hashes) {
            if (count < InFlightMessage.MAX_PER_UPSTREAM || hashes[count - InFlightMessage.MAX_PER_UPSTREAM] != hash) {
                hashes[count++] = hash;
            }
        }
        return Arrays.copyOf(hashes, count);
    }

    private void addToTotals(PeerEntries peer, int delta) {
        for (int hash : peer.upstreamHashes) {
            inFlightByHash.merge(hash, delta, (count, change) -> count + change == 0 ? null : count + change);
        }
    }

    private void expirePeers(long nowMicros) {
        PeerEntries eldest = activePeers.peekFirst();
        while (eldest != null && nowMicros - eldest.receivedMicros >= EXPIRY_MICROS) {
            addToTotals(eldest, -1);
            eldest.upstreamHashes = NO_ENTRIES;
            activePeers.pollFirst();
            eldest = activePeers.peekFirst();
        }
    }
}
