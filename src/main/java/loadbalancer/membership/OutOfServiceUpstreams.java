package loadbalancer.membership;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Upstreams that operators took out of service, regardless of what endpoint lists contain. An upstream is out of
 * service until an operator brings it back, or until no list has contained it for {@link #EXPIRY_MICROS}. No I/O; time
 * is a parameter.
 */
public final class OutOfServiceUpstreams {
    /**
     * An upstream that no list has contained for this long is not expected to return under the same id, and is
     * forgotten.
     */
    static final long EXPIRY_MICROS = 24 * 3_600_000_000L;

    static final int MAX_UPSTREAMS = Membership.MAX_ENDPOINTS;

    private final Map<String, Long> outOfService = new TreeMap<>();
    private final Map<String, Long> returned = new TreeMap<>();

    /**
     * The upstreams that are out of service and those that have returned, each with a Unix time in microseconds, by id.
     *
     * @param outOfService when a list last contained the upstream, or when it was taken out of service if that is later
     * @param returned     when the slow start after the upstream's return begins
     */
    public record Snapshot(Map<String, Long> outOfService, Map<String, Long> returned) {
        /** No upstream is out of service, and none has been. */
        public static final Snapshot EMPTY = new Snapshot(Map.of(), Map.of());

        /** Copies both maps. */
        public Snapshot {
            outOfService = Map.copyOf(outOfService);
            returned = Map.copyOf(returned);
        }
    }

    boolean contains(String id) {
        return outOfService.containsKey(id);
    }

    /**
     * When the slow start after the upstream's last return begins; 0 if it never was out of service, or returned long
     * ago.
     */
    long returnedMicros(String id) {
        return returned.getOrDefault(id, 0L);
    }

    /** Returns false if the upstream is out of service already, or if {@link #MAX_UPSTREAMS} are. */
    boolean takeOut(long nowMicros, String id) {
        return outOfService.size() < MAX_UPSTREAMS && outOfService.putIfAbsent(id, nowMicros) == null;
    }

    /** Returns false if the upstream is not out of service. */
    boolean bringBack(long nowMicros, String id) {
        if (outOfService.remove(id) == null) {
            return false;
        }
        long slowStartFromMicros = Membership.nextGridMicros(nowMicros);
        returned.values().removeIf(atMicros -> slowStartFromMicros - atMicros > Membership.RESTART_EXPIRY_MICROS);
        returned.put(id, slowStartFromMicros);
        return true;
    }

    /** Returns the snapshot with one upstream taken out of service or brought back. */
    public static Snapshot withChange(Snapshot snapshot, long nowMicros, String id, boolean takeOut) {
        OutOfServiceUpstreams upstreams = new OutOfServiceUpstreams();
        upstreams.restore(snapshot);
        if (takeOut) {
            upstreams.takeOut(nowMicros, id);
        } else {
            upstreams.bringBack(nowMicros, id);
        }
        return upstreams.snapshot();
    }

    /** Handles an endpoint list that contains {@code ids}. */
    void onEndpointList(long nowMicros, Set<String> ids) {
        outOfService.replaceAll((id, listedMicros) -> ids.contains(id) ? nowMicros : listedMicros);
        outOfService.values().removeIf(listedMicros -> nowMicros - listedMicros > EXPIRY_MICROS);
    }

    Snapshot snapshot() {
        return new Snapshot(outOfService, returned);
    }

    /**
     * Takes over the state of another process. Returns false if it has the same upstreams out of service and the same
     * returns.
     */
    boolean restore(Snapshot snapshot) {
        boolean same =
                outOfService.keySet().equals(snapshot.outOfService().keySet()) && returned.equals(snapshot.returned());
        if (!same) {
            outOfService.clear();
            outOfService.putAll(snapshot.outOfService());
            returned.clear();
            returned.putAll(snapshot.returned());
        }
        return !same;
    }
}
