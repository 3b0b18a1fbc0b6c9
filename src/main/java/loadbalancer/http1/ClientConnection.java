package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import loadbalancer.core.Clock;
import loadbalancer.core.DisconnectCheck;
import loadbalancer.core.Log;
import loadbalancer.core.Requests;

/**
 * One connection of the application. Its requests are served in the order in which they come, one at a time, and each is
 * answered once. The connection ends after a response that says so, after what can't be read as HTTP, and when idle.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Bytes behind the last valid request that are read and discarded, to see the connection's end behind them. */
    private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

    private static final String READY_PATH = "/health/ready";
    private static final String API_PATH = "/api";

    private final Channel channel;
    private final Clock clock;
    private final Requests requests;
    private final HttpServer server;
    private final RequestAdmission admission;
    private final DisconnectCheck disconnectCheck;
    private final RequestAssembler assembler;
    private final RequestPipeline pipeline;
    private final ConnectionTimeouts timeouts;
    /** Something is to be done at the end of the read. */
    private boolean hasPendingWork;
    /** A request is being handled, or a last response being written. */
    private boolean busy;
    /** The admitted request being served; null while none is. */
    private ClientExchange current;
    /** The large body of the request being handled, whether or not all of it has come; null where it has none. */
    private RequestBodyForwarder currentBody;
    /** A body whose last piece is forwarded at the end of the read; null for none. */
    private RequestBodyForwarder endingBody;
    /** The upstream whose response is being streamed; null while none is. */
    private UpstreamConnection streamingUpstream;
    /** The write of the last response until it is with the kernel, since a close would cut it off; else null. */
    private ChannelFuture responseWrite;
    /** The connection has carried a request. */
    private boolean hasRequests;
    /** The response that ends the connection after those still owed; nothing behind it is read. Null while none is due. */
    private HttpResponseStatus finalStatus;
    /** Bytes that came after {@link #finalStatus} was set. */
    private int discardedBytes;
    /** The last response is decided: whatever was sent behind its request is no request. */
    private boolean closingAfterResponse;

    ClientConnection(Channel channel, Clock clock, Requests requests, RequestAdmission admission, HttpServer server) {
        this.channel = channel;
        this.clock = clock;
        this.requests = requests;
        this.admission = admission;
        this.server = server;
        disconnectCheck = new DisconnectCheck(() -> hasPendingWork);
        assembler = new RequestAssembler(clock, server.budget(), channel.alloc(), this::updateAutoRead);
        pipeline = new RequestPipeline(server.budget());
        timeouts = new ConnectionTimeouts(this, assembler, server, clock.nowMicros());
    }

    Channel channel() {
        return channel;
    }

    /** When it was last active, and what ends it for that. */
    ConnectionTimeouts timeouts() {
        return timeouts;
    }

    /** The first handler of its pipeline. */
    DisconnectCheck disconnectCheck() {
        return disconnectCheck;
    }

    /** The handler before the decoder: notes when bytes come, and discards those behind the last valid request. */
    ChannelInboundHandler byteHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (receive(((ByteBuf) message).readableBytes())) {
                    context.fireChannelRead(message);
                } else {
                    ReferenceCountUtil.release(message);
                    updateAutoRead();
                }
            }
        };
    }

    /** Returns whether the bytes are to be decoded. */
    private boolean receive(int bytes) {
        assembler.countBytes(bytes);
        if (finalStatus != null) {
            discardedBytes += bytes;
            return false;
        }
        long nowMicros = clock.nowMicros();
        timeouts.active(nowMicros);
        requests.eventHandled();
        if (!assembler.isReading()) {
            assembler.startReading(nowMicros, requests.maxUnreadMicros());
        }
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject part) {
        if (assembler.largeBody() != null) {
            readBodyPart(part);
        } else if (finalStatus == null && !closingAfterResponse) {
            if (!part.decoderResult().isSuccess()) {
                endWith(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest request) {
                begin(request);
            }
            if (finalStatus == null && part instanceof HttpContent content) {
                add(content);
            }
        }
    }

    private void begin(HttpRequest request) {
        HttpResponseStatus rejection = RequestAssembler.rejectionOf(request);
        if (rejection != null) {
            endWith(rejection);
            return;
        }
        // Before an owed response the interim one would be taken for that; without it the client sends its body
        // all the same, after a while.
        if (HttpUtil.is100ContinueExpected(request) && owesNothing()) {
            channel.writeAndFlush(HttpMessages.continueResponse());
        }
        assembler.begin(request);
    }

    private void add(HttpContent content) {
        PendingRequest request = assembler.add(content, timeouts.activeMicros());
        if (request != null) {
            server.requestArrived(hasRequests);
            hasRequests = true;
            pipeline.add(request);
            updateAutoRead();
            hasPendingWork = true;
        }
    }

    private void readBodyPart(HttpObject part) {
        if (!part.decoderResult().isSuccess() || !(part instanceof HttpContent content)) {
            abandonBody(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        boolean complete = content instanceof LastHttpContent;
        assembler.largeBody().add(content.content().retain(), complete);
        if (complete) {
            bodyComplete(assembler.endLargeBody());
        }
        updateAutoRead();
    }

    private void bodyComplete(RequestBodyForwarder body) {
        if (closingAfterResponse) {
            // The response was written before the body's end; now that the body is read the close is no reset.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (body == currentBody && current != null) {
            long deadlineMicros = current.deadlineAfter(body.completeAtMicros());
            requests.bodyComplete(current.exchange(), deadlineMicros);
            if (current.bodyCall() != null) {
                current.bodyCall().bodyComplete(deadlineMicros);
            }
        }
        if (body.hasHeldLastPiece()) {
            endingBody = body;
            hasPendingWork = true;
        }
    }

    /** By now {@link #disconnectCheck} has looked: requests are admitted, and the end of a large body is forwarded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (endingBody != null) {
            RequestBodyForwarder body = endingBody;
            endingBody = null;
            if (channel.isActive()) {
                body.sendLastPiece();
            }
        }
        if (hasPendingWork) {
            hasPendingWork = false;
            handleNext();
        }
        context.fireChannelReadComplete();
    }

    /** The rest of the large body being read will not come: its request fails, and the connection ends. */
    void abandonBody(HttpResponseStatus status) {
        RequestBodyForwarder body = assembler.abandonLargeBody();
        if (closingAfterResponse) {
            channel.close();
            return;
        }
        if (body == currentBody && current != null) {
            ClientExchange failed = current;
            current = null;
            busy = false;
            requests.failedByFrontEnd(failed.exchange());
        } else {
            pipeline.drop(body);
        }
        body.abort();
        endWith(status);
    }

    /** Reads on only while there is a use for what would be read. */
    private void updateAutoRead() {
        boolean reads;
        if (finalStatus != null) {
            reads = discardedBytes < MAX_DISCARDED_BYTES;
        } else if (assembler.largeBody() != null) {
            reads = assembler.largeBody().wantsMore();
        } else {
            reads = pipeline.hasCapacity();
        }
        channel.config().setAutoRead(reads);
    }

    /** Sends the responses that are due, then this one, and closes: no later bytes can be attributed to a request. */
    void endWith(HttpResponseStatus status) {
        if (finalStatus == null) {
            finalStatus = status;
            updateAutoRead();
            if (disconnectCheck.isReading()) {
                hasPendingWork = true;
            } else {
                handleNext();
            }
        }
    }

    private void handleNext() {
        while (!busy && !closingAfterResponse && !pipeline.isEmpty() && channel.isActive()) {
            PendingRequest pending = pipeline.poll();
            updateAutoRead();
            busy = true;
            currentBody = pending.largeBody();
            try {
                handle(pending);
            } catch (RuntimeException cause) {
                // Any defect in handling one request: the connection's other requests are served.
                Log.fault("a handler failed", cause);
                if (busy) {
                    respond(pending.message(), HttpResponseStatus.INTERNAL_SERVER_ERROR);
                }
            } finally {
                pending.message().release();
            }
        }
        if (!busy && !closingAfterResponse && finalStatus != null && channel.isActive()) {
            busy = true;
            respond(false, finalStatus, Unpooled.EMPTY_BUFFER, 0);
        }
    }

    private void handle(PendingRequest pending) {
        FullHttpRequest message = pending.message();
        message.setUri(RequestFields.originForm(message.uri()));
        int query = message.uri().indexOf('?');
        String path = query < 0 ? message.uri() : message.uri().substring(0, query);
        if (path.equals(READY_PATH) && message.method().equals(HttpMethod.GET)) {
            respond(message, server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else if (!path.equals(API_PATH) && !path.startsWith(API_PATH + "/")) {
            respond(message, HttpResponseStatus.NOT_FOUND);
        } else {
            admit(pending);
        }
    }

    private void admit(PendingRequest pending) {
        ClientExchange admitted = admission.admit(pending, this);
        if (admitted == null) {
            respond(false, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER, 0);
            return;
        }
        current = admitted;
        server.requestAccepted();
        requests.admit(admitted.exchange());
    }

    private void respond(FullHttpRequest request, HttpResponseStatus status) {
        respond(HttpUtil.isKeepAlive(request), status, Unpooled.EMPTY_BUFFER, 0);
    }

    /** Responds to the request being handled; takes the body over. Retry-After is in microseconds, 0 for none. */
    void respond(boolean keepAlive, HttpResponseStatus status, ByteBuf body, long retryAfterMicros) {
        boolean keepsOpen = keepAlive && !closesBetweenResponses() && assembler.largeBody() == null;
        responseWritten(
                keepsOpen, channel.writeAndFlush(HttpMessages.response(status, body, retryAfterMicros, keepsOpen)));
    }

    /** The end of a response was written: the next request is handled, or the connection closed behind it. */
    void responseWritten(boolean keepsOpen, ChannelFuture written) {
        current = null;
        busy = false;
        timeouts.active(clock.nowMicros());
        responseWrite = written;
        written.addListener(f -> {
            if (responseWrite == written) {
                responseDelivered();
            }
        });
        if (currentBody != null) {
            currentBody.discard();
            currentBody = null;
        }
        if (keepsOpen) {
            // Not from here: the response may come while the request before it is still being handled.
            if (!pipeline.isEmpty() || finalStatus != null) {
                channel.eventLoop().execute(this::handleNext);
            }
        } else {
            closingAfterResponse = true;
            if (assembler.largeBody() == null) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else {
                // Closed with a part of its body unread, the client would be reset and never see the response.
                assembler.largeBody().discard();
                updateAutoRead();
            }
        }
    }

    /** The last response is with the kernel, or will not be read: the connection idles from now on. */
    void responseDelivered() {
        responseWrite = null;
        timeouts.active(clock.nowMicros());
    }

    boolean isWritingResponse() {
        return responseWrite != null;
    }

    /** The response of this upstream is being streamed from now on; null ends it. */
    void streamingFrom(UpstreamConnection upstream) {
        streamingUpstream = upstream;
    }

    /** The rest of a streamed response will not come, and the connection is about to be reset. */
    void streamAborted() {
        streamingUpstream = null;
        current = null;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (streamingUpstream != null && channel.isWritable()) {
            streamingUpstream.resumeReading();
        }
        context.fireChannelWritabilityChanged();
    }

    /** Whether the server drains, and no further request of this client has come: pipelined ones are owed a response. */
    boolean closesBetweenResponses() {
        return server.isClosingConnections() && pipeline.isEmpty() && !assembler.isReading();
    }

    /** The response being written is the last one. */
    void closeAfterResponse() {
        closingAfterResponse = true;
    }

    boolean isClosingAfterResponse() {
        return closingAfterResponse;
    }

    /** Whether the connection is between requests: no response is owed or unsent, and no part of a request has come. */
    boolean isQuiet() {
        return owesNothing() && !assembler.isReading() && responseWrite == null;
    }

    boolean owesNothing() {
        return !busy && pipeline.isEmpty();
    }

    /** Whether it has carried a request. */
    boolean hasRequests() {
        return hasRequests;
    }

    /** Whether it ends after the responses that are owed. */
    boolean isEnding() {
        return finalStatus != null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pipeline.clear();
        assembler.release();
        if (current != null) {
            ClientExchange abandoned = current;
            current = null;
            requests.clientLeft(abandoned.exchange());
            if (streamingUpstream != null) {
                streamingUpstream.clientLeft();
            }
        }
        if (assembler.largeBody() != null) {
            assembler.largeBody().abort();
        }
        if (currentBody != null) {
            currentBody.abort();
        }
        assembler.abandonLargeBody();
        currentBody = null;
    }

    /** Noise and bodies without end get a response where one can still be given. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (cause instanceof CodecException) {
            endWith(HttpResponseStatus.BAD_REQUEST);
        } else {
            if (!(cause instanceof IOException)) {
                Log.fault("a client's connection failed", cause);
            }
            context.close();
        }
    }
}
