package loadbalancer.trace.export;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.trace.SamplingReason.Pool;

/**
 * Bounded buffer of traces that wait to be sent. When it is full, the oldest item of the lowest-priority pool is dropped; an item
 * of a pool below all buffered ones is dropped itself. Pure, not thread-safe.
 *
 * @param <T> the buffered item
 */
final class SpanBuffer<T> {
    private final int capacity;
    private final List<ArrayDeque<T>> pools = new ArrayList<>();
    private int size;
    private long dropped;

    SpanBuffer(int capacity) {
        this.capacity = capacity;
        for (int i = 0; i < Pool.values().length; i++) {
            pools.add(new ArrayDeque<>());
        }
    }

    void add(Pool pool, T item) {
        if (size >= capacity) {
            dropped++;
            int lowestPool = pools.size() - 1;
            while (pools.get(lowestPool).isEmpty()) {
                lowestPool--;
            }
            if (pool.ordinal() > lowestPool) {
                return;
            }
            pools.get(lowestPool).removeFirst();
            size--;
        }
        pools.get(pool.ordinal()).addLast(item);
        size++;
    }

    /** Removes up to {@code atMost} items, highest-priority pool first, oldest first within a pool. */
    List<T> take(int atMost) {
        List<T> taken = new ArrayList<>(Math.min(atMost, size));
        for (ArrayDeque<T> pool : pools) {
            while (taken.size() < atMost && !pool.isEmpty()) {
                taken.add(pool.removeFirst());
            }
        }
        size -= taken.size();
        return taken;
    }

    int size() {
        return size;
    }

    long dropped() {
        return dropped;
    }
}
