package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.core.EndReasons;

/**
 * One connection to an upstream, which carries one call at a time. It can be reused as long as every byte received
 * belongs to a call's response; any other byte closes it. A small response is buffered and ends the call when it is
 * complete. A large one is streamed to the client, no faster than the client reads.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<UpstreamConnection> KEY =
            AttributeKey.valueOf(UpstreamConnection.class, "connection");
    /** Body bytes that must be received before a response is streamed, as a head alone may be garbage. */
    private static final int MIN_STREAMED_BYTES = 1024;

    private static final int INITIAL_BODY_BYTES = 256;
    /** Limit for pauses of an upstream in its response, once that has a complete head. Pauses up to 2 s are normal. */
    private static final long STREAM_STALL_MICROS = 5_000_000;

    private final ResponseDecoder decoder = new ResponseDecoder();
    /** Limit for pauses in the head of a response; one that stalls longer is malformed. */
    private final long stallMicros;

    private final EndReasons endReasons;
    /** Limits the bodies that are buffered here and at clients. */
    private final BufferBudget budget;

    private ChannelHandlerContext handlerContext;
    private long idleSinceMicros;
    /** The call being carried; null while idle. */
    private UpstreamCall call;
    /** Head of the response being read; null until it is received. */
    private HttpResponse head;
    /** The buffered part of its body; null if there is none. */
    private ByteBuf body;
    /** Whether the end of the connection marks the end of the body. */
    private boolean endsWithConnection;
    /** Whether an interim response is being read. */
    private boolean readingInterim;
    /** Whether the response is complete; it is delivered at the end of the read. */
    private boolean complete;
    /** Whether the response is streamed to the client. */
    private boolean streaming;
    /** Whether something was received that is no valid response to the call. */
    private boolean malformed;
    /** Whether the connection was reset, so that its end does not complete a response. */
    private boolean connectionReset;

    private long headNanos;
    /** Time at which a part of the response was last received, or reading was resumed for the client. */
    private long lastReadNanos;

    private Future<?> stallTimer;
    /** Null until a part of a response of unknown length has been received. */
    private Future<?> streamTimer;

    private UpstreamConnection(long stallMicros, EndReasons endReasons, BufferBudget budget) {
        this.budget = budget;
        this.endReasons = endReasons;
        this.stallMicros = stallMicros;
    }

    /** Adds the handlers to the pipeline of a new channel. */
    static void install(Channel channel, long stallMicros, EndReasons endReasons, BufferBudget budget) {
        UpstreamConnection connection = new UpstreamConnection(stallMicros, endReasons, budget);
        channel.attr(KEY).set(connection);
        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder, connection);
    }

    /** The connection of a channel. Not looked up in the pipeline, which has no handlers after the upstream's close. */
    static UpstreamConnection of(Channel channel) {
        return channel.attr(KEY).get();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        handlerContext = context;
    }

    /** Starts to carry {@code next}; called while idle. */
    void begin(UpstreamCall next) {
        call = next;
    }

    /** Whether nothing was received after the last response, so that the next bytes will belong to the next call. */
    boolean isClean() {
        return !malformed && !complete && !hasPartialResponse();
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    void idleSince(long nowMicros) {
        idleSinceMicros = nowMicros;
    }

    /** Reads from the upstream again, now that the client reads. */
    void resumeReading() {
        lastReadNanos = System.nanoTime();
        handlerContext.channel().config().setAutoRead(true);
    }

    /** Whether a part of the response to this call was received, and all of it was valid. */
    boolean isReceivingResponse(UpstreamCall current) {
        return call == current && head != null && !malformed;
    }

    /**
     * Streams what was received of a response that can't be complete in time, so that the client gets the rest later.
     * Returns false if the response is not long, or its call has ended.
     */
    boolean streamIfPossible() {
        boolean mayBeLong = UpstreamResponses.bodyLength(head) < 0
                ? receivedBytes() >= MIN_STREAMED_BYTES
                : UpstreamResponses.bodyLength(head) > budget.maxBufferedBodyBytes();
        if (!streaming && mayBeLong && canStream()) {
            startStreaming();
            if (streaming) {
                call.bodySink().flush();
            }
        }
        return streaming;
    }

    /** The protocol has no long error responses, and a call without a sink accepts no long response. */
    private boolean canStream() {
        return UpstreamResponses.outcome(head) == Outcome.OK && call.bodySink() != null;
    }

    private int receivedBytes() {
        return body == null ? 0 : body.readableBytes();
    }

    /** Cancels the call, since the client has disconnected or does not read the rest of the response. */
    void clientLeft() {
        if (call != null) {
            call.cancel();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            HttpObject part = (HttpObject) message;
            if (!part.decoderResult().isSuccess()) {
                malformed = true;
            }
            if (!malformed && part instanceof HttpResponse response) {
                beginResponse(response);
            }
            if (!malformed && part instanceof HttpContent content) {
                addContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Accepts only a response with a known end. A second response to one request must not answer the next request. */
    private void beginResponse(HttpResponse response) {
        if (call == null || head != null || complete) {
            malformed = true;
        } else if (UpstreamResponses.isInterim(response)) {
            readingInterim = true;
        } else {
            boolean framed = UpstreamResponses.isFramed(response);
            endsWithConnection = !framed && UpstreamResponses.endsWithConnection(response);
            // A request is executed after its last byte only, so an earlier 200 belongs to another request.
            malformed = UpstreamResponses.isProtocolSwitch(response)
                    || UpstreamResponses.isOk(response) && call.isSendingBody()
                    || !framed && !endsWithConnection
                    || framed && UpstreamResponses.bodyLength(response) > HttpLimits.MAX_BODY_BYTES;
            head = response;
            headNanos = System.nanoTime();
        }
    }

    private void addContent(HttpContent content) {
        // The decoder ends a body without a length at any end of the connection, even at a reset.
        boolean last = content instanceof LastHttpContent && !(endsWithConnection && connectionReset);
        if (readingInterim) {
            readingInterim = !last;
            return;
        }
        if (head == null) {
            malformed = true;
            return;
        }
        if (content.content().isReadable()) {
            addPiece(content.content());
        }
        complete = last;
        if (!streaming && isLarge()) {
            if (canStream()) {
                startStreaming();
            } else {
                malformed = true;
            }
        }
    }

    private void addPiece(ByteBuf piece) {
        if (streaming) {
            call.bodySink().write(piece.retain());
            return;
        }
        // Copied, because a piece of any size keeps the whole buffer that it was read into.
        int heldBytes = body == null ? 0 : body.capacity();
        if (body == null) {
            body = handlerContext.alloc().buffer(INITIAL_BODY_BYTES);
        }
        body.writeBytes(piece);
        budget.add(body.capacity() - heldBytes);
    }

    /** Passes on the buffered body, which the caller releases; null if there is none. */
    private ByteBuf takeBody() {
        ByteBuf taken = body;
        body = null;
        if (taken != null) {
            budget.add(-taken.capacity());
        }
        return taken;
    }

    private boolean isLarge() {
        long bufferedBytes = receivedBytes();
        return bufferedBytes > budget.maxBufferedBodyBytes()
                || !complete
                        && bufferedBytes >= MIN_STREAMED_BYTES
                        && (UpstreamResponses.bodyLength(head) > budget.maxBufferedBodyBytes()
                                || isSlowWithUnknownLength());
    }

    /** Whether the length is unknown and, buffered any longer, the first bytes would reach the client too late. */
    private boolean isSlowWithUnknownLength() {
        return UpstreamResponses.bodyLength(head) < 0 && System.nanoTime() - headNanos > streamDelayMicros() * 1_000;
    }

    /** Time after the head at which a response of unknown length is streamed rather than buffered. */
    private long streamDelayMicros() {
        return stallMicros / 3;
    }

    private void startStreaming() {
        UpstreamCall current = call;
        if (!current.beginStreaming()) {
            return;
        }
        streaming = true;
        current.bodySink().begin(this, UpstreamResponses.bodyLength(head));
        if (body != null) {
            current.bodySink().write(takeBody());
        }
    }

    private boolean hasPartialResponse() {
        return decoder.hasUndecodedBytes() || head != null || readingInterim;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (call != null && handlerContext.channel().isWritable()) {
            call.upstreamWritable();
        }
        handlerContext.fireChannelWritabilityChanged();
    }

    /** Completes a response only at the end of a read, when it is known whether other bytes follow it. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (streaming && call != null) {
            streamRead();
        } else if (complete) {
            deliver();
        } else if (malformed || call == null && hasPartialResponse()) {
            failMalformed("malformed response");
        } else if (hasPartialResponse()) {
            lastReadNanos = System.nanoTime();
            startStallTimer();
        }
        handlerContext.fireChannelReadComplete();
    }

    private void streamRead() {
        lastReadNanos = System.nanoTime();
        if (complete) {
            deliver();
        } else if (malformed) {
            failMalformed("malformed response");
        } else {
            call.bodySink().flush();
            handlerContext.channel().config().setAutoRead(call.bodySink().isWritable());
            startStallTimer();
        }
    }

    private long stallLimitMicros() {
        return head == null || malformed ? stallMicros : STREAM_STALL_MICROS;
    }

    /** Whether the upstream is not read because the client takes no more; the client's connection limits that time. */
    private boolean isPausedForClient() {
        return streaming && !handlerContext.channel().config().isAutoRead();
    }

    private void startStallTimer() {
        if (stallTimer == null) {
            scheduleStallCheck(stallLimitMicros());
        }
        if (!streaming && streamTimer == null && head != null && UpstreamResponses.bodyLength(head) < 0) {
            streamTimer = handlerContext
                    .executor()
                    .schedule(this::streamSlowResponse, streamDelayMicros(), TimeUnit.MICROSECONDS);
        }
    }

    /** Streams what has come of a response of unknown length, though nothing more arrives at the moment. */
    private void streamSlowResponse() {
        if (call != null && head != null && !malformed && !complete && UpstreamResponses.bodyLength(head) < 0) {
            streamIfPossible();
        }
    }

    private void scheduleStallCheck(long delayMicros) {
        stallTimer = handlerContext.executor().schedule(this::checkStall, delayMicros, TimeUnit.MICROSECONDS);
    }

    /** Fails a response that has stalled for the limit. A slow response that still makes progress is valid. */
    private void checkStall() {
        stallTimer = null;
        if (!hasPartialResponse()) {
            return;
        }
        long remainingMicros = stallLimitMicros() - (System.nanoTime() - lastReadNanos) / 1000;
        if (isPausedForClient()) {
            scheduleStallCheck(stallLimitMicros());
        } else if (remainingMicros <= 0) {
            failMalformed(streaming ? "streamed response stalled" : "response stalled");
        } else {
            scheduleStallCheck(remainingMicros);
        }
    }

    private void deliver() {
        HttpResponse response = head;
        ByteBuf taken = takeBody();
        ByteBuf buffered = taken == null ? Unpooled.EMPTY_BUFFER : taken;
        boolean streamed = streaming;
        UpstreamCall current = call;
        clearCall();
        if (!handlerContext.channel().config().isAutoRead()) {
            handlerContext.channel().config().setAutoRead(true);
        }
        try {
            if (HttpUtil.isKeepAlive(response)
                    && isClean()
                    && handlerContext.channel().isActive()) {
                current.releaseConnection();
            } else {
                handlerContext.close();
            }
            if (streamed) {
                current.bodySink().complete();
            }
            UpstreamResponses.end(current, response, buffered);
        } finally {
            buffered.release();
        }
    }

    /** Resets the state for the next call, after the body was taken. */
    private void clearCall() {
        call = null;
        head = null;
        complete = false;
        streaming = false;
        endsWithConnection = false;
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
        if (streamTimer != null) {
            streamTimer.cancel(false);
            streamTimer = null;
        }
    }

    /** Ends the call with a malformed response and closes the connection. The request may have been executed. */
    private void failMalformed(String reason) {
        malformed = true;
        endReasons.record(EndReasons.Subject.UPSTREAM_CONNECTION_CLOSED, reason);
        endCall(UpstreamCall::failMalformed);
        handlerContext.close();
    }

    /** Ends the call, if any, without a response. A partly streamed response is aborted so that the client notices. */
    private void endCall(Consumer<UpstreamCall> end) {
        UpstreamCall current = call;
        boolean streamed = streaming;
        ByteBuf abandoned = takeBody();
        if (abandoned != null) {
            abandoned.release();
        }
        clearCall();
        if (current != null && streamed) {
            current.bodySink().abort();
        }
        if (current != null) {
            end.accept(current);
        }
    }

    /** Delivers a response that ends with the connection, if the connection was closed without an error. */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (complete && call != null) {
            deliver();
        }
        endCall(UpstreamCall::failConnection);
        handlerContext.fireChannelInactive();
    }

    /** Ends the call after a reset or invalid HTTP, unless its response is complete. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (complete) {
            malformed = true;
        } else if (cause instanceof IOException) {
            connectionReset = true;
            handlerContext.close();
        } else {
            failMalformed("malformed response");
        }
    }
}
