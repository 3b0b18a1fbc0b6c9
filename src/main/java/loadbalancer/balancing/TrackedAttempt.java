package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Upstream;

/** State of one attempt at a request. */
final class TrackedAttempt {
    final TrackedRequest request;
    final TrackedUpstream upstream;
    /** The upstream's entry in the endpoint list at the time of the send. */
    final Upstream endpointAtSend;
    /** Time of the send, microseconds. */
    final long sentMicros;
    /** Estimated number of requests that the upstream held at the time of the send. */
    final double loadAtSend;
    /** Expected latency, microseconds. */
    final double expectedLatencyMicros;
    /** Expected latency on an upstream of service-time factor 1, microseconds. */
    final double baselineLatencyMicros;
    /** Idle time of the connection before the send, microseconds; 0 if it was in use or new. */
    long connectionIdleMicros;

    boolean ended;
    /** False once the outcome proves that the upstream has not processed it. */
    boolean mayHaveRun = true;
    /** The response has started as a stream: it no longer counts as in flight; load reports show its load. */
    boolean streamStarted;
    /** The upstream does not hold the request, so a timeout is attributed to the connection. */
    boolean lostOnConnection;

    TrackedAttempt(
            TrackedRequest request,
            TrackedUpstream upstream,
            long sentMicros,
            double loadAtSend,
            double expectedLatencyMicros) {
        this.request = request;
        this.upstream = upstream;
        endpointAtSend = upstream.endpoint;
        this.sentMicros = sentMicros;
        this.loadAtSend = loadAtSend;
        this.expectedLatencyMicros = expectedLatencyMicros;
        baselineLatencyMicros = expectedLatencyMicros / upstream.serviceTimeFactor();
    }

    /**
     * Marks the response as a started stream, so that one open for minutes does not count as a stalled
     * request.
     */
    void startStream() {
        request.responseStarted = true;
        if (!streamStarted && !ended && !request.arrival.streaming()) {
            upstream.inFlight--;
        }
        streamStarted = true;
    }

    /** Ends the attempt and removes it from its upstream's requests in flight or open streams. */
    void end(long nowMicros, Outcome outcome) {
        ended = true;
        mayHaveRun = outcome.mayHaveRun;
        if (request.arrival.streaming()) {
            upstream.openStreams--;
        } else if (!streamStarted) {
            upstream.inFlight--;
        }
        upstream.lastUsedMicros = nowMicros;
    }
}
