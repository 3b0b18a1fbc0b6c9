package loadbalancer.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Datagrams sent and received by one host process, and their bytes without headers. Used on the host's event loop only.
 */
final class TrafficCounters {
    private long datagramsIn;
    private long datagramsOut;
    private long bytesIn;
    private long bytesOut;
    /** Datagrams received, by the number of the sending member; at most one entry per member. */
    private final Map<Integer, Long> datagramsBySender = new HashMap<>();

    void countReceived(int from, int bytes) {
        datagramsIn++;
        bytesIn += bytes;
        datagramsBySender.merge(from, 1L, Long::sum);
    }

    /** Datagrams received from a member. */
    long datagramsFrom(int member) {
        return datagramsBySender.getOrDefault(member, 0L);
    }

    void countSent(int bytes) {
        datagramsOut++;
        bytesOut += bytes;
    }

    long datagramsIn() {
        return datagramsIn;
    }

    long datagramsOut() {
        return datagramsOut;
    }

    long bytesIn() {
        return bytesIn;
    }

    long bytesOut() {
        return bytesOut;
    }
}
