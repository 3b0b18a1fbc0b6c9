package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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
import loadbalancer.core.EndReasons;
import loadbalancer.core.Log;
import loadbalancer.core.Requests;

/**
 * One connection from the application. Its requests are handled one at a time, in the order in which they arrive, and
 * each gets one response. The connection is closed after a response with {@code Connection: close}, after bytes that
 * are not valid HTTP, and when it has been idle too long.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestTurns.Handler {
    private static final String READY_PATH = "/health/ready";
    private static final String API_PATH = "/api";
    /** Why requests are rejected that become complete late in a stop. */
    private static final String STOPPING = "no time before the process may be killed";

    private final Channel channel;
    private final Clock clock;
    private final Requests requests;
    private final HttpServer server;
    private final RequestAdmission admission;
    private final RequestAssembler assembler;
    private final RequestPipeline pipeline;
    private final ConnectionTimeouts timeouts;
    private final ClientInput input;
    private final RequestTurns turns;
    /** The response that is being sent. While none is, the connection may be idle. */
    private final OutgoingResponse response;
    /** Whether a request, the end of a body or the final status is to be handled at the end of the read. */
    private boolean hasPendingWork;
    /** Whether a request is being handled or the response with {@link #finalStatus} is being written. */
    private boolean busy;
    /** The admitted request that waits for its response; null if there is none. */
    private ClientExchange currentExchange;
    /** The large body of the request being handled, complete or not; null if it has none. */
    private RequestBodyForwarder currentBody;
    /** The complete body whose held last piece is forwarded at the end of the read; null if there is none. */
    private RequestBodyForwarder completedBody;
    /** Whether the connection has carried a request. */
    private boolean hasRequests;
    /** Status of the last response, which follows the pending ones; null if none. Later input is discarded. */
    private HttpResponseStatus finalStatus;
    /** Whether the last response is decided; later input is not read as requests. */
    private boolean closingAfterResponse;

    ClientConnection(Channel channel, Clock clock, Requests requests, RequestAdmission admission, HttpServer server) {
        this.channel = channel;
        this.clock = clock;
        this.requests = requests;
        this.admission = admission;
        this.server = server;
        assembler = new RequestAssembler(clock, server.budget(), this::updateAutoRead);
        pipeline = new RequestPipeline(server.budget());
        input = new ClientInput(this, clock, assembler, pipeline, () -> hasPendingWork);
        turns = new RequestTurns(channel, this);
        timeouts = new ConnectionTimeouts(this, assembler, server, clock.nowMicros());
        response = new OutgoingResponse(() -> timeouts.markActive(clock.nowMicros()));
    }

    Channel channel() {
        return channel;
    }

    /** The timeouts of this connection, which also record when it was last active. */
    ConnectionTimeouts timeouts() {
        return timeouts;
    }

    /** The response that is being sent. */
    OutgoingResponse response() {
        return response;
    }

    /** What is read from this connection, and when. */
    ClientInput input() {
        return input;
    }

    /** Records that bytes were received that are to be decoded. */
    void bytesReceived() {
        long nowMicros = clock.nowMicros();
        timeouts.markActive(nowMicros);
        requests.eventHandled();
        if (!assembler.isReading()) {
            assembler.startReading(nowMicros, requests.maxUnreadMicros());
        }
    }

    /** Whether the body of the request that is being handled is incomplete. */
    boolean isReceivingCurrentBody() {
        return currentBody != null && !currentBody.isComplete();
    }

    /** Time for which the client may have waited already, if its large body is incomplete; 0 otherwise. */
    long bodyBacklogMicros() {
        long nowMicros = clock.nowMicros();
        return isReceivingCurrentBody() ? nowMicros - input.earliestWriteMicros(nowMicros) : 0;
    }

    /**
     * Fails an upload that waits too long behind unread input. It may lie in the kernel whole, because its upstream does
     * not read it, and then its client waits already.
     */
    void checkInput(long nowMicros) {
        input.check(nowMicros, timeouts.lastActiveMicros());
        if (currentExchange != null
                && isReceivingCurrentBody()
                && currentBody.mayBeWritten(InputBacklog.MAX_KERNEL_BYTES)) {
            long writtenMicros = input.earliestWriteMicros(nowMicros);
            if (nowMicros >= currentExchange.deadlineAfter(writtenMicros) && !rejectIfTooLate()) {
                requests.deadlinePassed(currentExchange.exchange());
            }
        }
    }

    /** Rejects the request whose body is being received if a stop leaves no time to serve it: it has not run. */
    private boolean rejectIfTooLate() {
        boolean tooLate = server.isTooLateToServe();
        if (tooLate) {
            requests.rejectedByFrontEnd(currentExchange.exchange(), STOPPING);
        }
        return tooLate;
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
                respondAndClose(HttpResponseStatus.BAD_REQUEST);
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
            respondAndClose(rejection);
            return;
        }
        // While another response is pending, the client would take the interim response for that one. Without the
        // interim response the client sends its body anyway, after a timeout.
        if (HttpUtil.is100ContinueExpected(request) && hasNoPendingResponse()) {
            channel.writeAndFlush(HttpMessages.continueResponse());
        }
        assembler.begin(request);
    }

    private void add(HttpContent content) {
        PendingRequest request = assembler.add(content, input.earliestWriteMicros(timeouts.lastActiveMicros()));
        if (request != null) {
            server.requestArrived(hasRequests);
            hasRequests = true;
            input.add(request);
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
        if (complete && assembler.largeBody() == currentBody && currentExchange != null) {
            rejectIfTooLate();
        }
        long writtenMicros = input.earliestWriteMicros(timeouts.lastActiveMicros());
        assembler.largeBody().add(content.content().retain(), complete, writtenMicros);
        if (complete) {
            bodyComplete(assembler.endLargeBody());
        }
        updateAutoRead();
    }

    private void bodyComplete(RequestBodyForwarder body) {
        if (closingAfterResponse) {
            // The response was written before the end of the body. A close with unread input would reset the client, so
            // it had to wait until now.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (body == currentBody && currentExchange != null) {
            long deadlineMicros = currentExchange.deadlineAfter(body.completeAtMicros());
            requests.bodyComplete(currentExchange.exchange(), deadlineMicros);
            if (currentExchange.bodyCall() != null) {
                currentExchange.bodyCall().bodyComplete(deadlineMicros);
            }
        }
        // The response to a rejected request waits for the end of its body.
        hasPendingWork |= pipeline.hasRejections();
        if (body.hasHeldLastPiece()) {
            completedBody = body;
            hasPendingWork = true;
        }
    }

    /** Handles requests and forwards the end of a large body, after the socket was read until empty. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        input.readComplete(hasPendingWork && input.disconnectCheck().hasReachedEnd());
        if (completedBody != null) {
            RequestBodyForwarder body = completedBody;
            completedBody = null;
            if (channel.isActive()) {
                body.sendLastPiece();
            }
        }
        if (hasPendingWork) {
            hasPendingWork = false;
            turns.run();
        }
        context.fireChannelReadComplete();
    }

    /** Fails the request whose large body is being read and will not become complete, and ends the connection. */
    void abandonBody(HttpResponseStatus status) {
        RequestBodyForwarder body = assembler.abandonLargeBody();
        if (closingAfterResponse) {
            channel.close();
            return;
        }
        if (body == currentBody && currentExchange != null) {
            ClientExchange failed = currentExchange;
            currentExchange = null;
            busy = false;
            requests.failedByFrontEnd(failed.exchange());
        } else {
            pipeline.drop(body);
        }
        body.abort();
        respondAndClose(status);
    }

    private void updateAutoRead() {
        input.updateAutoRead();
    }

    /** Closes the connection after the pending responses and this one: later bytes can't be attributed to a request. */
    void respondAndClose(HttpResponseStatus status) {
        if (finalStatus == null) {
            finalStatus = status;
            server.endReasons().record(EndReasons.Subject.CLIENT_CONNECTION_CLOSED, "after status " + status.code());
            updateAutoRead();
            if (input.disconnectCheck().isReading()) {
                hasPendingWork = true;
            } else {
                turns.run();
            }
        }
    }

    @Override
    public void turnEnded() {
        if (!busy && !closingAfterResponse && pipeline.isEmpty() && finalStatus != null && channel.isActive()) {
            busy = true;
            respond(false, finalStatus, Unpooled.EMPTY_BUFFER, 0);
        }
    }

    @Override
    public void handleNext() {
        busy = true;
        if (pipeline.pollRejection()) {
            server.endReasons().record(EndReasons.Subject.REQUEST_REJECTED, "too many ahead on the connection");
            respond(true, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, 0);
            return;
        }
        PendingRequest pending = pipeline.poll();
        updateAutoRead();
        currentBody = pending.largeBody();
        try {
            handle(pending);
        } catch (RuntimeException cause) {
            // A defect in the handling of one request must not affect the connection's other requests.
            Log.fault("handling an HTTP request failed", cause);
            if (busy) {
                respond(pending.message(), HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        } finally {
            pending.message().release();
        }
    }

    @Override
    public boolean mustAwaitInput() {
        return input.mustAwaitEnd();
    }

    /** Whether the next request can be handled: those before it are answered, and the client reads the responses. */
    @Override
    public boolean mayHandleNext() {
        boolean bodyIncomplete = pipeline.size() == 1 && pipeline.hasRejections() && assembler.largeBody() != null;
        return !busy
                && !closingAfterResponse
                && !pipeline.isEmpty()
                && !bodyIncomplete
                && channel.isActive()
                && channel.isWritable();
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
        if (server.isTooLateToServe()) {
            admission.reject(pending, STOPPING);
            respond(false, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, 0);
            return;
        }
        ClientExchange admitted = admission.admit(pending, this);
        if (admitted == null) {
            respond(false, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER, 0);
            return;
        }
        currentExchange = admitted;
        server.requestAdmitted();
        requests.admit(admitted.exchange());
    }

    private void respond(FullHttpRequest request, HttpResponseStatus status) {
        respond(HttpUtil.isKeepAlive(request), status, Unpooled.EMPTY_BUFFER, 0);
    }

    /**
     * Responds to the request being handled; takes ownership of {@code body}. {@code retryAfterMicros} is 0 for no
     * Retry-After.
     */
    void respond(boolean keepAlive, HttpResponseStatus status, ByteBuf body, long retryAfterMicros) {
        boolean keepsOpen = keepAlive && !shouldCloseAfterResponse() && assembler.largeBody() == null;
        int heldBytes = body.capacity();
        server.responseBudget().add(heldBytes);
        timeouts.responseWritten(body.readableBytes());
        ChannelFuture written = channel.writeAndFlush(HttpMessages.response(status, body, retryAfterMicros, keepsOpen));
        written.addListener(f -> server.responseBudget().add(-heldBytes));
        responseWritten(keepsOpen, written);
    }

    /** Handles the next request or closes the connection, now that the end of a response was written. */
    void responseWritten(boolean keepsOpen, ChannelFuture written) {
        currentExchange = null;
        busy = false;
        timeouts.markActive(clock.nowMicros());
        response.written(written);
        if (currentBody != null && currentBody.isComplete()) {
            currentBody.discard();
        } else if (currentBody != null) {
            // An attempt that still receives the body would never get the rest.
            currentBody.abort();
        }
        currentBody = null;
        if (keepsOpen) {
            if (!pipeline.isEmpty() || finalStatus != null) {
                turns.scheduleSoon();
            }
        } else {
            closingAfterResponse = true;
            if (assembler.largeBody() == null) {
                written.addListener(ChannelFutureListener.CLOSE);
            } else {
                // A close while a part of the body is unread would reset the client, which could lose the response.
                assembler.largeBody().discard();
                updateAutoRead();
            }
        }
    }

    /** Forgets the current exchange: its streamed response was truncated, and the connection is about to be reset. */
    void streamAborted() {
        response.streamFrom(null);
        currentExchange = null;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable() && !response.resumeStream() && !busy) {
            turns.scheduleSoon();
        }
        context.fireChannelWritabilityChanged();
    }

    /**
     * Whether the server closes connections and has received no further request of this client. A received request
     * still needs a response, even if only a part of it was received.
     */
    boolean shouldCloseAfterResponse() {
        return server.isClosingConnections() && pipeline.isEmpty() && !assembler.isReading();
    }

    /** Marks the response being written as the last one. */
    void closeAfterResponse() {
        closingAfterResponse = true;
    }

    boolean isClosingAfterResponse() {
        return closingAfterResponse;
    }

    /** Whether the connection is between requests: no response is pending or unsent, no request partly received. */
    boolean isIdle() {
        return hasNoPendingResponse() && !assembler.isReading() && !response.isWriting();
    }

    /** Whether no request is being handled or waiting. */
    boolean hasNoPendingResponse() {
        return !busy && pipeline.isEmpty();
    }

    /** Whether the connection has carried a request. */
    boolean hasRequests() {
        return hasRequests;
    }

    /** Whether the connection will be closed after the pending responses. */
    boolean hasFinalStatus() {
        return finalStatus != null;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pipeline.clear();
        assembler.release();
        if (currentExchange != null) {
            ClientExchange abandoned = currentExchange;
            currentExchange = null;
            requests.clientLeft(abandoned.exchange());
            response.clientLeft();
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

    /** Responds to invalid HTTP and to oversized messages with an error status, if a response is still possible. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            respondAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (cause instanceof CodecException) {
            respondAndClose(HttpResponseStatus.BAD_REQUEST);
        } else {
            if (!(cause instanceof IOException)) {
                Log.fault("client connection failed", cause);
            }
            context.close();
        }
    }
}
