package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that wait for capacity, ordered by {@link TrackedRequest#queueOrderMicros}, and the timer of their
 * sweeps. A sweep goes through the whole queue, sends the requests that find capacity and rejects or fails
 * those that are too late.
 */
final class PendingQueue {
    /** Name of the sweep timer, part of the simulator's wire protocol. */
    static final String TIMER = "hold";
    /**
     * Interval between sweeps, microseconds; short enough to give up requests in time if they find no
     * capacity.
     */
    static final long SWEEP_MICROS = 5_000;

    private final BalancerContext context;
    private final List<TrackedRequest> requests = new ArrayList<>();
    private boolean sweepScheduled;

    PendingQueue(BalancerContext context) {
        this.context = context;
    }

    /** Inserts the request behind all requests with the same or an earlier order. */
    void add(TrackedRequest request) {
        request.queued = true;
        int position = requests.size();
        while (position > 0 && requests.get(position - 1).queueOrderMicros > request.queueOrderMicros) {
            position--;
        }
        requests.add(position, request);
        scheduleSweep();
    }

    /** Removes the request if it is queued. */
    void remove(TrackedRequest request) {
        if (request.queued) {
            requests.remove(request);
        }
        request.queued = false;
    }

    void removeAt(int position) {
        requests.remove(position).queued = false;
    }

    int size() {
        return requests.size();
    }

    TrackedRequest get(int position) {
        return requests.get(position);
    }

    /** Returns whether no request waits apart from streams. */
    boolean holdsOnlyStreams() {
        for (TrackedRequest request : requests) {
            if (!request.arrival.streaming()) {
                return false;
            }
        }
        return true;
    }

    /** Records that the sweep timer has fired. */
    void recordSweep() {
        sweepScheduled = false;
    }

    /** Starts the timer of the next sweep if requests wait and it is not running yet. */
    void scheduleSweep() {
        if (!sweepScheduled && !requests.isEmpty()) {
            sweepScheduled = true;
            context.actions.startTimer(TIMER, SWEEP_MICROS);
        }
    }
}
