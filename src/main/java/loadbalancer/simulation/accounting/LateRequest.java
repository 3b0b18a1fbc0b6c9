package loadbalancer.simulation.accounting;

import loadbalancer.simulation.accounting.LatenessCauses.Cause;

/**
 * A request that was served late, and where its time went. All times are microseconds.
 *
 * @param overdueMicros         by how much it missed its latency objective
 * @param upstreamFaulty        whether the upstream that served it was not warm and healthy
 * @param capacityElsewhere     whether another usable upstream had an idle core when it arrived there
 * @param clientRetryMicros     the client's earlier request and the pause after it
 * @param earlierAttemptsMicros attempts before the one that served it
 * @param sidecarQueueMicros    wait in its sidecar
 * @param networkMicros         connecting and transmission
 * @param upstreamQueueMicros   wait at the upstream
 * @param serviceMicros         its service time at the upstream
 */
public record LateRequest(
        long overdueMicros,
        boolean upstreamFaulty,
        boolean capacityElsewhere,
        long clientRetryMicros,
        long earlierAttemptsMicros,
        long sidecarQueueMicros,
        long networkMicros,
        long upstreamQueueMicros,
        long serviceMicros) {

    /** The first cause, in the order of {@link Cause}, without which it would not have been late. */
    public Cause cause() {
        if (upstreamFaulty && explains(upstreamQueueMicros + serviceMicros)) {
            return Cause.UPSTREAM_FAULT;
        }
        if (explains(upstreamQueueMicros)) {
            return capacityElsewhere ? Cause.AVOIDABLE_QUEUE : Cause.UNAVOIDABLE_QUEUE;
        }
        if (explains(earlierAttemptsMicros)) {
            return Cause.EARLIER_ATTEMPT;
        }
        if (explains(clientRetryMicros)) {
            return Cause.CLIENT_RETRY;
        }
        if (explains(sidecarQueueMicros)) {
            return Cause.SIDECAR_QUEUE;
        }
        if (explains(networkMicros)) {
            return Cause.NETWORK;
        }
        return explains(serviceMicros) && !explains(allButServiceMicros()) ? Cause.SERVICE_TIME : Cause.COMBINED;
    }

    private boolean explains(long micros) {
        return micros >= overdueMicros;
    }

    private long allButServiceMicros() {
        return upstreamQueueMicros + earlierAttemptsMicros + clientRetryMicros + sidecarQueueMicros + networkMicros;
    }
}
