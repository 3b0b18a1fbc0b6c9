package rushproxy.lab;

import java.util.PriorityQueue;

/** Virtual time: events in the order of their times, those of one instant in the order in which they were made. */
final class Timeline {
    private record Event(long atUs, long number, Runnable what) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs)
            : Long.compare(a.number, b.number));
    private long nowUs;
    private long made;
    private long played;

    Timeline(long startUs) {
        nowUs = startUs;
    }

    long now() {
        return nowUs;
    }

    void at(long us, Runnable what) {
        events.add(new Event(Math.max(nowUs, us), made++, what));
    }

    void in(long us, Runnable what) {
        at(nowUs + us, what);
    }

    void play(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs <= untilUs) {
            Event e = events.poll();
            nowUs = e.atUs;
            played++;
            e.what.run();
        }
        nowUs = untilUs;
    }

    long played() {
        return played;
    }
}
