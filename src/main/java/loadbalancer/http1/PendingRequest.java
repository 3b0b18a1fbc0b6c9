package loadbalancer.http1;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request that waits in the pipeline of a client connection.
 *
 * @param message         without a body if that is large
 * @param largeBody       null if the body is in the message
 * @param lastByteMicros  earliest time at which the client may have written its last byte, or the last one so far of a large body
 * @param maxUnreadMicros upper bound on the time for which its first byte was in the kernel's buffer
 * @param bytes           approximate memory that it occupies
 */
record PendingRequest(
        FullHttpRequest message,
        RequestBodyForwarder largeBody,
        long lastByteMicros,
        long maxUnreadMicros,
        int bytes) {}
