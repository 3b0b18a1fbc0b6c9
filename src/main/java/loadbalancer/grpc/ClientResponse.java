package loadbalancer.grpc;

import io.netty.channel.Channel;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Headers;
import java.util.Map;
import java.util.function.BooleanSupplier;
import loadbalancer.grpc.mapping.GrpcStatus;

/** The response to one call: a head, messages, and one final status. Flow control holds it back until the client reads. */
final class ClientResponse {
    private final Channel client;
    /** Whether the client has sent its whole request. */
    private final BooleanSupplier requestComplete;
    /** Runs when the last frame is with the kernel, or can't be sent any more. */
    private final Runnable onDelivered;

    private boolean headSent;
    /** Null while there are no messages. */
    private StreamRelay messages;

    ClientResponse(Channel client, BooleanSupplier requestComplete, Runnable onDelivered) {
        this.client = client;
        this.requestComplete = requestComplete;
        this.onDelivered = onDelivered;
    }

    /** Sends the head of an upstream's response, and its messages as they arrive. */
    void begin(Http2Headers head, StreamRelay arriving) {
        headSent = true;
        messages = arriving;
        client.writeAndFlush(new DefaultHttp2HeadersFrame(copy(head, "200"), false));
        messages.start(client);
    }

    /** Sends the last headers behind all messages. */
    void end(Http2Headers trailers) {
        if (messages == null) {
            writeLast(trailers);
        } else {
            messages.finish(() -> writeLast(trailers));
        }
    }

    /** Sends a complete response of an upstream; {@code head} is null if it has trailers only. */
    void send(Http2Headers head, StreamRelay complete, Http2Headers trailers) {
        if (head == null) {
            writeLast(copy(trailers, "200"));
            return;
        }
        headSent = true;
        client.write(new DefaultHttp2HeadersFrame(copy(head, "200"), false));
        messages = complete;
        end(copy(trailers, null));
        if (messages != null) {
            messages.start(client);
        }
    }

    /** Sends a status of this sidecar. Messages that the client has not taken are dropped. */
    void status(GrpcStatus code, String message, long retryAfterMicros) {
        Http2Headers headers = new DefaultHttp2Headers();
        if (!headSent) {
            headers.status("200").set("content-type", "application/grpc");
        }
        setStatus(headers, code, message);
        if (retryAfterMicros > 0) {
            headers.set("grpc-retry-pushback-ms", String.valueOf((retryAfterMicros + 999) / 1000));
        }
        replaceMessages(headers);
    }

    /** Sends the status that an upstream's service gave, with its details. */
    void serviceStatus(Http2Headers details) {
        replaceMessages(copy(details, headSent ? null : "200"));
    }

    /** Sends the one frame that answers a request which is not gRPC. */
    void notGrpc() {
        writeLast(setStatus(new DefaultHttp2Headers().status("415"), GrpcStatus.INTERNAL, "no gRPC"));
    }

    private void replaceMessages(Http2Headers last) {
        release();
        writeLast(last);
    }

    private void writeLast(Http2Headers headers) {
        client.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true)).addListener(done -> {
            if (!requestComplete.getAsBoolean() && client.isActive()) {
                // What the client still sends is for nobody (RFC 9113, section 8.1).
                client.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.NO_ERROR));
            }
            onDelivered.run();
        });
    }

    /** Resets the stream of a client that does not read, which drops what was written for it. */
    void reset() {
        release();
        client.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
    }

    /** Drops the messages that are not written yet. */
    void release() {
        if (messages != null) {
            messages.release();
        }
    }

    /** Whether the client has not taken all messages that have arrived. */
    boolean isBehind() {
        return messages != null && messages.isBehind();
    }

    /** Time at which the client last took a part of the messages, or they began to be sent. */
    long progressMicros() {
        return messages.progressMicros();
    }

    /** A copy without what belongs to one hop; {@code status} is null for trailers. */
    static Http2Headers copy(Http2Headers from, String status) {
        // The decoder has validated each of them.
        Http2Headers headers = new DefaultHttp2Headers(false);
        if (status != null) {
            headers.status(status);
        }
        for (Map.Entry<CharSequence, CharSequence> entry : from) {
            CharSequence name = entry.getKey();
            if (name.length() > 0 && name.charAt(0) != ':' && !"connection".contentEquals(name)) {
                headers.add(name, entry.getValue());
            }
        }
        return headers;
    }

    /** The trailers of a response that failed on its way. */
    static Http2Headers failure(GrpcStatus code, String message) {
        return setStatus(new DefaultHttp2Headers(), code, message);
    }

    private static Http2Headers setStatus(Http2Headers headers, GrpcStatus code, String message) {
        return headers.set("grpc-status", "" + code.number()).set("grpc-message", printable(message));
    }

    /** grpc-message is percent-encoded; these messages are this program's own, so other characters are replaced. */
    private static String printable(String message) {
        return message.replaceAll("[^\\x20-\\x24\\x26-\\x7e]", "?");
    }
}
