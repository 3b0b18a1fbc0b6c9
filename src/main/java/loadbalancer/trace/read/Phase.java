package loadbalancer.trace.read;

/** Phases of a request's duration, as far as the sidecar can tell them apart. */
public enum Phase {
    /** In the sidecar, before the first attempt. */
    QUEUED("waited in the sidecar"),
    /** In failed attempts, with no other attempt in flight. */
    FAILED_ATTEMPTS("lost on attempts that came to nothing"),
    /** Between two attempts, with none in flight. */
    BACKOFF("waited between attempts"),
    /** Connecting, and until the request was written. */
    SENDING("took to be sent"),
    /** At the upstream, network included. */
    NODE("at the node"),
    /** From the upstream's response to the client's. */
    RESPONSE("on the way back");

    final String description;

    Phase(String description) {
        this.description = description;
    }
}
