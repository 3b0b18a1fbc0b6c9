package loadbalancer.http1;

/** Size limits for buffered and for accepted bodies. */
final class HttpLimits {
    /** Largest body that is buffered; larger ones are streamed. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Largest body in either direction. The protocol's bodies reach 32 MiB. */
    static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private HttpLimits() {}
}
