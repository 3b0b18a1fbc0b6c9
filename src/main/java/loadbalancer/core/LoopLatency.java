package loadbalancer.core;

/**
 * Computes an upper bound on the time for which data read now was in the kernel's buffer. An event loop that is busy or
 * has no CPU reads nothing, and no clock of this process shows when the data arrived. Each iteration of the loop waits
 * for events, handles them, then runs tasks. The bound counts from the last time at which the loop is known to have
 * polled its sockets: the first event of the previous iteration if this one did not sleep, else the first event of this
 * one. No I/O; times are {@link System#nanoTime} nanoseconds.
 */
public final class LoopLatency {
    /** An iteration whose first event is handled within this time did not sleep: the event had arrived before. */
    private static final long MAX_AWAKE_NANOS = 1_000_000;

    private static final long NONE = Long.MIN_VALUE;

    private long iterationStartNanos = NONE;
    /** Time at which the first event of this iteration was handled. */
    private long firstEventNanos = NONE;
    /** Time at which the first event of the previous iteration was handled. */
    private long previousFirstEventNanos = NONE;

    /** Records the start of an iteration. */
    void iterationStarted(long nowNanos) {
        previousFirstEventNanos = firstEventNanos;
        firstEventNanos = NONE;
        iterationStartNanos = nowNanos;
    }

    /** Records that all events of this iteration were handled and its tasks are next. */
    void iterationEventsHandled(long nowNanos) {
        eventHandled(nowNanos);
    }

    /** Records that an event is being handled. */
    public void eventHandled(long nowNanos) {
        if (firstEventNanos == NONE) {
            firstEventNanos = nowNanos;
        }
    }

    /** The bound, in nanoseconds, for data that is read now; 0 before the first event. */
    public long maxUnreadNanos(long nowNanos) {
        if (firstEventNanos == NONE || iterationStartNanos == NONE) {
            return 0;
        }
        boolean slept = firstEventNanos - iterationStartNanos > MAX_AWAKE_NANOS;
        return Math.max(
                0, nowNanos - (slept || previousFirstEventNanos == NONE ? firstEventNanos : previousFirstEventNanos));
    }
}
