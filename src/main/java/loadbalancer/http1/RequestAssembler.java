package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import loadbalancer.core.Clock;

/**
 * Assembles the requests of one client connection from the decoder's message parts. A request is complete with its last
 * byte, or as soon as its body is too large to buffer; the rest of a large body goes to a {@link RequestBodyForwarder}.
 */
final class RequestAssembler {
    /** Approximate memory of the objects that represent a request, in addition to its bytes. */
    private static final int REQUEST_OVERHEAD_BYTES = 1024;

    private static final int INITIAL_BODY_BYTES = 256;

    private final Clock clock;
    private final BufferBudget budget;
    private final Runnable onDemandChange;
    /** The request being read; null between requests. */
    private HttpRequest head;
    /** The part of its body that has been received; null if there is none. */
    private ByteBuf body;
    /** The large body being read; null if there is none. */
    private RequestBodyForwarder largeBody;
    /** Bytes received since the previous request was complete. */
    private int receivedBytes;
    /** Time at which the first byte of the request being read was received; 0 between requests. */
    private long readingSinceMicros;
    /** Upper bound on the time for which that byte was in the kernel's buffer before it was read. */
    private long maxUnreadMicros;

    /** {@code onDemandChange} runs when {@link RequestBodyForwarder#wantsMore} of a large body may have changed. */
    RequestAssembler(Clock clock, BufferBudget budget, Runnable onDemandChange) {
        this.clock = clock;
        this.budget = budget;
        this.onDemandChange = onDemandChange;
    }

    /** Returns the error status for a request whose body can't be read; null if the body can be read. */
    static HttpResponseStatus rejectionOf(HttpRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        // The end of a body in any other transfer encoding can't be found, so the next request can't be either.
        boolean framed = encodings.isEmpty()
                || encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        if (!framed) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        return HttpUtil.getContentLength(request, 0L) > HttpLimits.MAX_BODY_BYTES
                ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                : null;
    }

    /** Counts bytes that were received, before they are decoded. */
    void countBytes(int bytes) {
        receivedBytes += bytes;
    }

    /** Whether a request has been received in part. */
    boolean isReading() {
        return readingSinceMicros != 0;
    }

    /** Time at which the first byte of the request being read was received; 0 between requests. */
    long readingSinceMicros() {
        return readingSinceMicros;
    }

    /** Records the first byte of a request, which was in the kernel's buffer for at most {@code unreadBoundMicros}. */
    void startReading(long nowMicros, long unreadBoundMicros) {
        readingSinceMicros = nowMicros;
        maxUnreadMicros = unreadBoundMicros;
    }

    /** Whether the head of a request is complete and its body is not. */
    boolean isReadingBody() {
        return head != null;
    }

    /** Number of buffered bytes of the body being read. */
    int bufferedBytes() {
        return body == null ? 0 : body.readableBytes();
    }

    /** The large body being read; null if there is none. */
    RequestBodyForwarder largeBody() {
        return largeBody;
    }

    /** Starts a request whose head was received and has no {@link #rejectionOf rejection}. */
    void begin(HttpRequest request) {
        head = request;
    }

    /**
     * Adds a part of the body, which the caller still releases. Returns the request once it is complete or its body is
     * too large to buffer, otherwise null.
     *
     * @param writtenMicros time at which the client wrote the part, or earlier
     */
    PendingRequest add(HttpContent content, long writtenMicros) {
        boolean complete = content instanceof LastHttpContent;
        if (content.content().isReadable()) {
            // Copied, because a piece of any size keeps the whole buffer that it was read into.
            int heldBytes = body == null ? 0 : body.capacity();
            if (body == null) {
                body = Unpooled.buffer(INITIAL_BODY_BYTES);
            }
            body.writeBytes(content.content());
            budget.add(body.capacity() - heldBytes);
        }
        boolean large = !complete && body != null && body.readableBytes() > budget.maxBufferedBodyBytes();
        return complete || large ? finish(large, writtenMicros) : null;
    }

    private PendingRequest finish(boolean large, long writtenMicros) {
        ByteBuf buffered = body == null ? Unpooled.EMPTY_BUFFER : body;
        budget.add(-buffered.capacity());
        HttpRequest request = head;
        head = null;
        body = null;
        if (large) {
            boolean chunked = HttpUtil.isTransferEncodingChunked(request);
            long lengthBytes = chunked ? -1 : HttpUtil.getContentLength(request, -1L);
            largeBody = new RequestBodyForwarder(clock, budget, lengthBytes, buffered, onDemandChange);
        } else {
            readingSinceMicros = 0;
        }
        FullHttpRequest message = new DefaultFullHttpRequest(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                large ? Unpooled.EMPTY_BUFFER : buffered,
                request.headers(),
                EmptyHttpHeaders.INSTANCE);
        message.setDecoderResult(request.decoderResult());
        // A client measures its timeout from its last byte, no matter how long the bytes before took.
        PendingRequest pending = new PendingRequest(
                message, largeBody, writtenMicros, maxUnreadMicros, receivedBytes + REQUEST_OVERHEAD_BYTES);
        receivedBytes = 0;
        return pending;
    }

    /** Ends the large body after its last part was received. Returns the body. */
    RequestBodyForwarder endLargeBody() {
        readingSinceMicros = 0;
        receivedBytes = 0;
        return abandonLargeBody();
    }

    /** Ends the large body without the rest of it. Returns the body; null if none is being read. */
    RequestBodyForwarder abandonLargeBody() {
        RequestBodyForwarder ended = largeBody;
        largeBody = null;
        return ended;
    }

    /** Releases the buffered part of a body after the connection was closed. */
    void release() {
        if (body != null) {
            budget.add(-body.capacity());
            body.release();
            body = null;
        }
    }
}
