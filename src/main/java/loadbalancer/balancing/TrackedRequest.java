package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;

/** State of one request, from its arrival to its final answer and the end of its last attempt. */
final class TrackedRequest {
    /** The request as it arrived. */
    final Request arrival;

    final RequestClass requestClass;
    /** Expected work on a standard core, microseconds. */
    final double workMicros;
    /** Largest number of attempts. */
    final int maxAttempts;

    final List<TrackedAttempt> attempts = new ArrayList<>(1);
    /** Time at which the client gives up, microseconds. */
    long deadlineMicros;
    /**
     * Time until which a response is useful, microseconds: the deadline, or the latency objective if late
     * responses have no weight.
     */
    long usefulUntilMicros;
    /**
     * Sort key in the queue, microseconds: the latency objective, later for low priorities and clients'
     * retries.
     */
    long queueOrderMicros;
    /**
     * Random number in [0, 1); requests with low values are the first to leave contended capacity to others.
     */
    double contentionDraw;

    boolean queued;
    boolean finished;
    /** The response has started as a stream, so no other attempt can replace it. */
    boolean responseStarted;
    /** First upstream of the pair being sampled; null if there is none. */
    TrackedUpstream firstCandidate;
    /** Second upstream of the pair being sampled; null if only one upstream had capacity. */
    TrackedUpstream secondCandidate;
    /** Time at which the pair was drawn and its health checks were sent, microseconds. */
    long pairSampledMicros;
    /** Earliest time at which another pair may be drawn, microseconds. */
    long nextPairMicros;

    int pairsSampled;
    /** Time at which the upstream of the overdue attempt was last health-checked, microseconds. */
    long hedgeCheckMicros;

    TrackedRequest(Request arrival, RequestClass requestClass, double workMicros, int maxAttempts) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.workMicros = workMicros;
        this.maxAttempts = maxAttempts;
    }

    /** Returns the attempt with this number, counted from 0 in the order of the sends, or null. */
    TrackedAttempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    /** Returns whether no attempt is in flight. */
    boolean allAttemptsEnded() {
        for (TrackedAttempt attempt : attempts) {
            if (!attempt.ended) {
                return false;
            }
        }
        return true;
    }
}
