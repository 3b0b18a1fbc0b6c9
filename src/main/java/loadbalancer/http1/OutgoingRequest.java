package loadbalancer.http1;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import loadbalancer.trace.SpanContext;

/**
 * The part of a client's request that is sent to upstreams. Each text was validated as one token.
 *
 * @param idempotencyKey null if the request has none
 * @param body           empty if the body is large
 */
record OutgoingRequest(HttpMethod method, String uri, String id, String idempotencyKey, byte[] body) {
    /** Creates the message of one attempt; {@code span} is the attempt's span, null if not traced. */
    FullHttpRequest toMessage(long remainingMicros, SpanContext span) {
        FullHttpRequest message = HttpMessages.request(method, uri, Unpooled.wrappedBuffer(body));
        message.headers()
                .set(HeaderNames.REQUEST_ID, id)
                .set(HeaderNames.REMAINING_MILLIS, Math.max(1, remainingMicros / 1000));
        if (idempotencyKey != null) {
            message.headers().set(HeaderNames.IDEMPOTENCY_KEY, idempotencyKey);
        }
        if (span != null) {
            message.headers().set(HeaderNames.TRACE_PARENT, span.traceparent());
            if (!span.traceState().isEmpty()) {
                message.headers().set(HeaderNames.TRACE_STATE, span.traceState());
            }
        }
        return message;
    }
}
