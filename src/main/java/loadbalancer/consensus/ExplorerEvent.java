package loadbalancer.consensus;

import java.util.Locale;

/**
 * An event in a schedule of {@link Explorer}. An event that is not possible in an {@link ExplorerState} has no effect
 * there.
 *
 * @param process number of the process that acts; 0 for events on a message or the clock
 * @param envelope the message that is delivered, duplicated or dropped; null for other events
 * @param argument the requested version for {@link Kind#LEAD}, the member asked for {@link Kind#SUBSCRIBE}, else 0
 */
record ExplorerEvent(Kind kind, int process, Envelope envelope, int argument) {
    static ExplorerEvent of(Kind kind, int process) {
        return new ExplorerEvent(kind, process, null, 0);
    }

    static ExplorerEvent on(Kind kind, Envelope envelope) {
        return new ExplorerEvent(kind, 0, envelope, 0);
    }

    static ExplorerEvent lead(int process, int version) {
        return new ExplorerEvent(Kind.LEAD, process, null, version);
    }

    static ExplorerEvent subscribe(int process, int member) {
        return new ExplorerEvent(Kind.SUBSCRIBE, process, null, member);
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT)
                + (envelope != null ? " " + envelope : " " + process)
                + (argument > 0 ? " to " + argument : "");
    }

    /** The kinds of events on a message, a process, or the clock. */
    enum Kind {
        DELIVER,
        DUPLICATE,
        DROP,
        RENEW,
        SUBSCRIBE,
        RESTART_SUBSCRIBER,
        STEP,
        LEAD,
        ABORT,
        CRASH,
        TICK
    }
}
