package loadbalancer.gossip;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.PeerLoad;

/**
 * Sends this sidecar's requests in flight to its peers, and adds up those that the peers send. If many sidecars share
 * many upstreams, a sidecar rarely uses an upstream twice within a service time, so its own evidence of the upstream's
 * load is outdated. The peers' requests in flight make up most of that load.
 *
 * <p>Messages are paced so that no sidecar receives more than {@link #MAX_RECEIVED_PER_SECOND} per second from all
 * peers. If the fleet is too large or gossip too expensive to send each message to all peers, it goes only to the
 * sidecars that share an upstream by {@link SubsetAssignment}. The peers' claims are limited by {@link PeerInFlight}
 * and checked by {@link GossipTrust}.
 */
public final class InFlightGossip implements PeerLoad {
    /**
     * Interval at which a message is repeated while requests are in flight, so that it does not expire at the peers.
     */
    static final long REFRESH_MICROS = 100_000;

    /** Message size for which the price of gossip is given, in bytes. */
    static final double PRICED_BYTES = 256;

    private static final long MIN_INTERVAL_MICROS = 10_000;

    /**
     * Interval above which messages would be outdated, because an upstream serves a request in tens of milliseconds.
     */
    private static final long MAX_INTERVAL_MICROS = 30_000;

    /** Receiving this many messages takes a few hundredths of a core. */
    private static final long MAX_RECEIVED_PER_SECOND = 1_300;

    /**
     * Maximum price of all messages caused by one request, in the unit of the platform's prices (points of the score).
     */
    private static final double MAX_PRICE_PER_REQUEST = 0.01;

    /** Bytes sent to each peer for one request. */
    private static final double BYTES_PER_REQUEST = 16;

    /** Null if each message goes to all peers. */
    private final SubsetAssignment subsets;

    private final Map<String, Integer> ownInFlight = new HashMap<>();
    private final PeerInFlight peerInFlight;
    private final GossipTrust trust = new GossipTrust();

    /** Peers that share an upstream whose requests in flight have changed since the last message. */
    private final BitSet pendingRecipients = new BitSet();

    /** Time of the last message to each peer; empty if each message goes to all peers. */
    private final long[] lastSentToMicros;

    private long intervalMicros;
    private byte sequence;
    private long lastSentMicros = Long.MIN_VALUE / 2;

    private InFlightGossip(int sidecarCount, long intervalMicros, SubsetAssignment subsets) {
        peerInFlight = new PeerInFlight(sidecarCount, ownInFlight.values());
        this.intervalMicros = intervalMicros;
        this.subsets = subsets;
        lastSentToMicros = new long[subsets == null ? 0 : sidecarCount];
    }

    /**
     * Creates in-flight gossip for a sidecar. Empty if gossip is forbidden or too expensive, if there are no peers, or
     * if it would be of no use because load is sampled before each request.
     */
    public static Optional<InFlightGossip> forSettings(Settings settings) {
        int sidecarCount = settings.sidecarCount();
        int peerCount = sidecarCount - 1;
        if (!settings.limits().gossipAllowed() || peerCount <= 0 || settings.samplesLoad()) {
            return Optional.empty();
        }
        double pricePerRequest = settings.prices().gossip() * BYTES_PER_REQUEST / PRICED_BYTES;
        int recipientCount = (int) Math.min(
                peerCount,
                Math.min(
                        MAX_INTERVAL_MICROS * MAX_RECEIVED_PER_SECOND / 1_000_000,
                        MAX_PRICE_PER_REQUEST / Math.max(1e-9, pricePerRequest)));
        long intervalMicros = intervalMicros(recipientCount);
        if (recipientCount == peerCount) {
            return Optional.of(new InFlightGossip(sidecarCount, intervalMicros, null));
        }
        if (recipientCount < SubsetAssignment.PREFERRED_MIN_SIZE) {
            return Optional.empty();
        }
        return Optional.of(new InFlightGossip(
                sidecarCount,
                intervalMicros,
                new SubsetAssignment(settings.sidecarIndex(), sidecarCount, recipientCount + 1)));
    }

    /** Whether these bytes have the format of an in-flight gossip message. */
    public static boolean isMessage(byte[] message) {
        return InFlightMessage.isMessage(message);
    }

    /** Handles a change of the upstreams that accept requests, with all of their ids in any order. */
    public void onEndpoints(List<String> upstreamIds) {
        if (subsets != null) {
            subsets.onEndpoints(upstreamIds);
        }
    }

    /** Handles an attempt that this sidecar has sent. */
    public void attemptStarted(String upstreamId) {
        ownInFlight.merge(upstreamId, 1, Integer::sum);
        addRecipientsFor(upstreamId);
    }

    /** Handles the end of an attempt of this sidecar. */
    public void attemptEnded(String upstreamId) {
        ownInFlight.computeIfPresent(upstreamId, (id, count) -> count > 1 ? count - 1 : null);
        trust.attemptEnded();
        addRecipientsFor(upstreamId);
    }

    /**
     * Handles a load report that arrived in a response, before {@link #attemptEnded} is called for its attempt.
     *
     * @param inFlight the upstream's own count of its requests in flight, without the one that it has just answered
     */
    public void loadReported(long nowMicros, String upstreamId, double inFlight) {
        trust.compare(
                peerInFlight.inFlight(nowMicros, upstreamId), inFlight + 1 - ownInFlight.getOrDefault(upstreamId, 0));
    }

    /** Handles a request that this sidecar has rejected. */
    public void requestRejected() {
        trust.requestRejected();
    }

    /** Time in microseconds until the next message may be sent; 0 if it may be sent now. */
    public long delayMicros(long nowMicros) {
        return Math.max(0, lastSentMicros + intervalMicros - nowMicros);
    }

    /**
     * Time in microseconds after which a message is repeated without a change; 0 for never, if no request is in flight.
     */
    public long refreshDelayMicros() {
        return ownInFlight.isEmpty() ? 0 : REFRESH_MICROS;
    }

    /**
     * Returns the indices of the peers to send the next message to; null for all peers. These are the peers that share
     * an upstream whose requests in flight have changed, and those that share an upstream with requests in flight and
     * were sent the last message at least {@link #REFRESH_MICROS} ago.
     */
    public int[] nextRecipients(long nowMicros) {
        if (subsets == null) {
            return null;
        }
        for (String upstreamId : ownInFlight.keySet()) {
            for (int peer : subsets.sharers(upstreamId)) {
                if (nowMicros - lastSentToMicros[peer] >= REFRESH_MICROS) {
                    pendingRecipients.set(peer);
                }
            }
        }
        int[] recipients = pendingRecipients.stream().toArray();
        for (int peer : recipients) {
            lastSentToMicros[peer] = nowMicros;
        }
        pendingRecipients.clear();
        intervalMicros = intervalMicros(recipients.length);
        return recipients;
    }

    /** Returns the message to send now. */
    public byte[] nextMessage(long nowMicros) {
        lastSentMicros = nowMicros;
        return InFlightMessage.encode(++sequence, ownInFlight);
    }

    /**
     * Handles a message of a peer, given by its index in the settings. Messages of other senders or formats are
     * dropped.
     */
    public void receive(long nowMicros, int peer, byte[] message) {
        peerInFlight.receive(nowMicros, peer, message);
    }

    @Override
    public int inFlight(long nowMicros, String upstreamId) {
        return trust.credibleCount(peerInFlight.inFlight(nowMicros, upstreamId));
    }

    @Override
    public boolean isUnavailable() {
        return !trust.isTrusted();
    }

    @Override
    public int subsetSize() {
        return subsets == null ? Integer.MAX_VALUE : subsets.size();
    }

    @Override
    public int subsetRank(String upstreamId) {
        return subsets == null ? 0 : subsets.rank(upstreamId);
    }

    /**
     * Interval at which no sidecar receives more than {@link #MAX_RECEIVED_PER_SECOND}, if each receives messages from
     * as many peers as it sends them to.
     */
    private static long intervalMicros(int recipientCount) {
        return Math.max(MIN_INTERVAL_MICROS, recipientCount * 1_000_000L / MAX_RECEIVED_PER_SECOND);
    }

    private void addRecipientsFor(String upstreamId) {
        if (subsets != null) {
            for (int peer : subsets.sharers(upstreamId)) {
                pendingRecipients.set(peer);
            }
        }
    }
}
