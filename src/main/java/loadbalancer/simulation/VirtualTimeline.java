package loadbalancer.simulation;

import java.util.Arrays;
import loadbalancer.core.Timers;

/**
 * Virtual time: events in the order of their times, those of one instant in the order in which they were made. A heap of four
 * children a node: with ten thousands of events waiting it looks at fewer cache lines than one of two.
 */
final class VirtualTimeline implements Timers {
    /** One thing to happen; cancelled, it stays in the heap as nothing until its time. */
    private static final class Event implements Timer {
        final long atUs;
        final long number;
        Runnable what;

        Event(long atUs, long number, Runnable what) {
            this.atUs = atUs;
            this.number = number;
            this.what = what;
        }

        @Override
        public void cancel() {
            what = null;
        }

        boolean before(Event other) {
            return atUs != other.atUs ? atUs < other.atUs : number < other.number;
        }
    }

    private Event[] heap = new Event[1024];
    private int size;
    private long nowUs;
    private long made;
    private long played;

    VirtualTimeline(long startUs) {
        nowUs = startUs;
    }

    long now() {
        return nowUs;
    }

    Timer at(long us, Runnable what) {
        Event e = new Event(Math.max(nowUs, us), made++, what);
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        int i = size++;
        while (i > 0 && e.before(heap[(i - 1) / 4])) {
            heap[i] = heap[(i - 1) / 4];
            i = (i - 1) / 4;
        }
        heap[i] = e;
        return e;
    }

    @Override
    public Timer schedule(long us, Runnable what) {
        return at(nowUs + us, what);
    }

    private Event poll() {
        Event first = heap[0];
        Event last = heap[--size];
        heap[size] = null;
        int i = 0;
        while (4 * i + 1 < size) {
            int least = 4 * i + 1;
            for (int c = least + 1; c < Math.min(4 * i + 5, size); c++) {
                least = heap[c].before(heap[least]) ? c : least;
            }
            if (!heap[least].before(last)) {
                break;
            }
            heap[i] = heap[least];
            i = least;
        }
        if (size > 0) {
            heap[i] = last;
        }
        return first;
    }

    /** An interrupted thread plays no further; {@link RunStoppedException} tells. */
    void play(long untilUs) {
        while (size > 0 && heap[0].atUs <= untilUs) {
            if ((played & 4095) == 0 && Thread.currentThread().isInterrupted()) {
                throw new RunStoppedException();
            }
            Event e = poll();
            Runnable what = e.what;
            if (what != null) {
                nowUs = e.atUs;
                e.what = null;
                played++;
                what.run();
            }
        }
        nowUs = untilUs;
    }

    /** Events that have happened. */
    long played() {
        return played;
    }
}
