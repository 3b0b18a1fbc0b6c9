package loadbalancer.control.server;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Assigns ids to the addresses from which sidecars send datagrams, in the order of their first datagrams. The number of
 * ids is bounded. When all are in use, a new address gets the id of the address that has been idle longest, if that has
 * been idle for {@link #IDLE_TIMEOUT_MICROS}, and otherwise none. Does no I/O.
 */
final class SubscriberIds {
    static final int MAX_SUBSCRIBERS = 4_096;
    /** Far longer than any lease, so that an id is not reassigned while its old address may have a valid lease. */
    static final long IDLE_TIMEOUT_MICROS = 120_000_000;

    private static final float LOAD_FACTOR = 0.75f;

    private final int firstId;
    /** By address, ordered by the time of the last datagram, oldest first. */
    private final Map<InetSocketAddress, Subscriber> subscribers = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    private final ArrayDeque<Integer> freeIds = new ArrayDeque<>();

    /** @param firstId the lowest id that is assigned */
    SubscriberIds(int firstId) {
        this.firstId = firstId;
    }

    /** The id of an address that has just sent a datagram, newly assigned if necessary; empty if all ids are in use. */
    OptionalInt idOf(InetSocketAddress address, long nowMicros) {
        Subscriber subscriber = subscribers.get(address);
        if (subscriber == null) {
            if (subscribers.size() >= MAX_SUBSCRIBERS) {
                evictIdle(nowMicros);
            }
            if (subscribers.size() >= MAX_SUBSCRIBERS) {
                return OptionalInt.empty();
            }
            subscriber = add(address);
        }
        subscriber.lastDatagramMicros = nowMicros;
        return OptionalInt.of(subscriber.id);
    }

    private Subscriber add(InetSocketAddress address) {
        Integer freeId = freeIds.poll();
        Subscriber subscriber = new Subscriber(freeId == null ? firstId + subscribers.size() : freeId);
        subscribers.put(address, subscriber);
        addresses.put(subscriber.id, address);
        return subscriber;
    }

    private void evictIdle(long nowMicros) {
        Map.Entry<InetSocketAddress, Subscriber> oldest =
                subscribers.entrySet().iterator().next();
        Subscriber subscriber = oldest.getValue();
        if (nowMicros - subscriber.lastDatagramMicros >= IDLE_TIMEOUT_MICROS) {
            subscribers.remove(oldest.getKey());
            addresses.remove(subscriber.id);
            freeIds.add(subscriber.id);
        }
    }

    /** The address to which an id is assigned, if any. */
    Optional<InetSocketAddress> address(int id) {
        return Optional.ofNullable(addresses.get(id));
    }

    int size() {
        return subscribers.size();
    }

    private static final class Subscriber {
        private final int id;
        private long lastDatagramMicros;

        Subscriber(int id) {
            this.id = id;
        }
    }
}
