package loadbalancer.consensus;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A discrete-event clock in microseconds. Events at the same time run in the order in which they were scheduled. */
public final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long nextSequence;

    /** @param nowMicros time at the start */
    public VirtualTime(long nowMicros) {
        this.nowMicros = nowMicros;
    }

    /** Returns the current virtual time. */
    public long nowMicros() {
        return nowMicros;
    }

    /** Runs an action after a delay. */
    public void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + delayMicros, nextSequence++, action));
    }

    /**
     * Runs until a condition holds. Returns the elapsed time, or -1 if the condition did not hold within
     * {@code timeoutMicros}.
     */
    public long runUntil(BooleanSupplier condition, long timeoutMicros) {
        long startMicros = nowMicros;
        while (!condition.getAsBoolean()) {
            Event next = events.peek();
            if (next == null || next.atMicros > startMicros + timeoutMicros) {
                nowMicros = startMicros + timeoutMicros;
                return -1;
            }
            events.remove();
            nowMicros = next.atMicros;
            next.action.run();
        }
        return nowMicros - startMicros;
    }

    /** Runs for a duration. */
    public void run(long durationMicros) {
        runUntil(() -> false, durationMicros);
    }

    private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMicros != other.atMicros
                    ? Long.compare(atMicros, other.atMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }
}
