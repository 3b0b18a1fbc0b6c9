package loadbalancer.gossip;

import java.util.Arrays;
import java.util.Map;

/**
 * Wire format of in-flight gossip: a tag, a sequence number and, for each request in flight, a 16-bit hash of its
 * upstream. A message contains all requests that its sender has in flight, up to {@link #MAX_PER_UPSTREAM} for each
 * upstream and {@link #MAX_ENTRIES} in total, so the next message makes up for a lost one.
 */
final class InFlightMessage {
    static final int MAX_BYTES = 256;

    static final int HEADER_BYTES = 2;
    static final int ENTRY_BYTES = 2;

    /** Maximum number of requests in one message. */
    static final int MAX_ENTRIES = (MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES;

    /**
     * Maximum number of requests of one sidecar at one upstream, both in a message that is sent and when one is
     * received.
     */
    static final int MAX_PER_UPSTREAM = 8;

    /** First byte, which differs from that of other gossip messages. */
    private static final byte TAG = 'H';

    private InFlightMessage() {}

    static byte[] encode(byte sequence, Map<String, Integer> inFlightByUpstream) {
        int entryCount = 0;
        byte[] message = new byte[HEADER_BYTES + ENTRY_BYTES * MAX_ENTRIES];
        message[0] = TAG;
        message[1] = sequence;
        for (Map.Entry<String, Integer> upstream : inFlightByUpstream.entrySet()) {
            int hash = upstreamHash(upstream.getKey());
            int sentCount = Math.min(upstream.getValue(), Math.min(MAX_PER_UPSTREAM, MAX_ENTRIES - entryCount));
            for (int i = 0; i < sentCount; i++) {
                message[HEADER_BYTES + ENTRY_BYTES * entryCount] = (byte) (hash >> 8);
                message[HEADER_BYTES + ENTRY_BYTES * entryCount + 1] = (byte) hash;
                entryCount++;
            }
        }
        return Arrays.copyOf(message, HEADER_BYTES + ENTRY_BYTES * entryCount);
    }

    /** Whether these bytes have the format of an in-flight gossip message. */
    static boolean isMessage(byte[] message) {
        return message.length >= HEADER_BYTES
                && message[0] == TAG
                && message.length % ENTRY_BYTES == 0
                && message.length <= HEADER_BYTES + ENTRY_BYTES * MAX_ENTRIES;
    }

    /** The sequence number of the message, modulo 256. */
    static byte sequence(byte[] message) {
        return message[1];
    }

    /** The upstream hash of each entry. */
    static int[] upstreamHashes(byte[] message) {
        int[] hashes = new int[(message.length - HEADER_BYTES) / ENTRY_BYTES];
        for (int i = 0; i < hashes.length; i++) {
            int offset = HEADER_BYTES + ENTRY_BYTES * i;
            hashes[i] = (message[offset] & 255) << 8 | message[offset + 1] & 255;
        }
        return hashes;
    }

    /**
     * A 16-bit hash of an upstream's id, which is equal at all sidecars. If two upstreams have the same hash, the
     * requests of both are counted for each.
     */
    static int upstreamHash(String upstreamId) {
        int bits = upstreamId.hashCode() * 0x9e3779b9;
        return (bits ^ bits >>> 16) & 0xffff;
    }
}
