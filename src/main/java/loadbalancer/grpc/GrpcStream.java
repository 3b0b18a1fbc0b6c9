package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.core.Attempt;
import loadbalancer.core.ClientPresence;
import loadbalancer.core.Exchange;
import loadbalancer.core.Log;
import loadbalancer.grpc.mapping.AttemptEnd;
import loadbalancer.grpc.mapping.GrpcStatus;
import loadbalancer.grpc.mapping.Route;
import loadbalancer.trace.SpanContext;
import loadbalancer.trace.Trace;
import loadbalancer.trace.Tracer;

/**
 * One call of a client: its request is held until no other attempt can need it, its answer is one status, told once.
 *
 * <p>A unary call is taken when its last byte has come, and answered whole, unless its response is
 * too long to be held. A streaming one is taken with its head; it may be
 * tried again until the first byte of an answer has gone to the client, or more of it was forwarded than is held. Its class's
 * deadline is for that first byte; after it the client's own time alone ends it, if it has set any.
 */
final class GrpcStream extends ChannelInboundHandlerAdapter implements GrpcAttempt.Caller {
    /** As for the other protocol: an answer leaves this long before its client gives up. */
    private static final long RESPONSE_MARGIN_MICROS = 15_000;

    private static final long NO_END = Long.MAX_VALUE;

    private final GrpcServer server;
    private final GrpcClientConnection connection;
    private final Channel client;
    private final long receivedMicros;
    private final long maxUnreadMicros;
    private CallHead head;
    private Route route;
    private RequestClass spec;
    private String id;
    private Exchange exchange;
    /** Null where calls are not traced: then what their clients said of traces goes on as it is. */
    private Trace trace;
    /** Time of the end that upstreams are told; {@link #NO_END} for a stream whose client has set none. */
    private long upstreamEndMicros = NO_END;
    /** Module time by which an answer has begun. */
    private long deadlineMicros;
    /** Time at which the client gives up by its own word; {@link #NO_END} if it has set no time. */
    private long clientEndMicros = NO_END;

    /** Ends the call at a time of its own; null if there is none. */
    private Future<?> end;

    private final GrpcRequestBody body;
    private final ClientResponse response;
    /** To be taken at the end of the reading. */
    private boolean due;

    private int attempts;
    private GrpcAttempt current;
    private GrpcAttempt winner;
    private AttemptEnd lastEnding;
    private Http2Headers lastTrailers;
    private boolean over;

    GrpcStream(GrpcServer server, GrpcClientConnection connection, Channel client) {
        this.server = server;
        this.connection = connection;
        this.client = client;
        body = new GrpcRequestBody(server, client, this::rejectIncompleteRequest);
        response = new ClientResponse(client, body::isComplete, () -> connection.callEnded(this));
        receivedMicros = server.clock().nowMicros();
        maxUnreadMicros = server.requests().maxUnreadMicros();
    }

    // ---- from the client -------------------------------------------------------------------------

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object frame) {
        try {
            if (over) {
                if (frame instanceof Http2DataFrame unneeded) {
                    body.discard(unneeded.initialFlowControlledBytes());
                }
                return;
            }
            if (frame instanceof Http2HeadersFrame h) {
                headers(h);
            } else if (frame instanceof Http2DataFrame d) {
                data(d.content(), d.initialFlowControlledBytes(), d.isEndStream());
            } else if (frame instanceof Http2ResetFrame) {
                left();
            }
        } finally {
            ReferenceCountUtil.release(frame);
        }
    }

    private void headers(Http2HeadersFrame frame) {
        if (head != null) {
            // A client's trailers: gRPC knows none.
            data(Unpooled.EMPTY_BUFFER, 0, true);
            return;
        }
        head = new CallHead(frame.headers());
        connection.callBegun(this);
        if (!head.isGrpc()) {
            over();
            response.notGrpc();
            return;
        }
        route = server.options().route(head.path());
        if (route == null) {
            status(GrpcStatus.UNIMPLEMENTED, "the path names no method", 0);
            return;
        }
        spec = server.requestClass(route, !head.value(route.keyHeader()).isEmpty());
        if (spec == null) {
            status(GrpcStatus.INVALID_ARGUMENT, "a call of this class carries its key in " + route.keyHeader(), 0);
            return;
        }
        boolean bounded = head.hasTimeout();
        long timeoutMicros = bounded ? head.timeoutMicros() : spec.deadlineMicros();
        if (timeoutMicros < 0) {
            status(GrpcStatus.INTERNAL, "grpc-timeout is none", 0);
            return;
        }
        String told = head.value("x-txn");
        id = told.isEmpty() ? server.nextId() : told;
        if (server.requests().contains(id)) {
            status(GrpcStatus.INVALID_ARGUMENT, "x-txn is in use", 0);
            return;
        }
        if (timeoutMicros < 1_000) {
            status(GrpcStatus.DEADLINE_EXCEEDED, "no time is left", 0);
            return;
        }
        setDeadlines(timeoutMicros, bounded);
        body.setStreaming(route.streams());
        body.add(Unpooled.EMPTY_BUFFER, 0, frame.isEndStream());
        due = body.isComplete() || route.streams();
    }

    /** Nobody waits longer for the first byte of a response than the class allows; a stream ends at the client's own time. */
    private void setDeadlines(long timeoutMicros, boolean bounded) {
        deadlineMicros = server.shutdownDeadline()
                .limit(receivedMicros + lessMargin(Math.min(timeoutMicros, spec.deadlineMicros())));
        if (bounded) {
            clientEndMicros = server.shutdownDeadline().limit(receivedMicros + lessMargin(timeoutMicros));
        }
        if (!route.streams()) {
            upstreamEndMicros = deadlineMicros;
        } else if (bounded) {
            upstreamEndMicros = receivedMicros + lessMargin(timeoutMicros);
            end = server.at(
                    upstreamEndMicros,
                    () -> endHere(GrpcStatus.DEADLINE_EXCEEDED, "the client's time for the stream is over"));
        }
    }

    /** Its client may have left behind what it sent: that has been looked for by now. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (due) {
            due = false;
            if (!over && client.parent().isActive()) {
                take();
            }
        }
        if (!over) {
            body.forward();
            limitIncompleteRequest();
        }
        ctx.fireChannelReadComplete();
    }

    /** A unary request must be complete by the call's deadline, which nothing else watches before it is taken. */
    private void limitIncompleteRequest() {
        if (route != null && !route.streams() && exchange == null && end == null) {
            end = server.at(deadlineMicros, () -> {
                if (exchange == null) {
                    endHere(GrpcStatus.DEADLINE_EXCEEDED, "the request was not complete in time");
                }
            });
        }
    }

    /** The memory for the request is needed by others. */
    private void rejectIncompleteRequest() {
        status(GrpcStatus.UNAVAILABLE, "refused: nothing has run", 0);
    }

    private static long lessMargin(long us) {
        return us - Math.min(RESPONSE_MARGIN_MICROS, us / 4);
    }

    private void data(ByteBuf content, int windowBytes, boolean last) {
        boolean held = body.add(content, windowBytes, last);
        if (!route.streams() && body.heldBytes() > GrpcServer.MAX_REQUEST) {
            tooLarge("a message of more than " + GrpcServer.MAX_REQUEST + " bytes");
        } else if (!held && route.streams()) {
            tooLarge("more came than is held while no upstream receives it");
        } else if (!held) {
            rejectIncompleteRequest();
        } else {
            due |= last && exchange == null;
        }
    }

    private void tooLarge(String message) {
        endHere(GrpcStatus.RESOURCE_EXHAUSTED, message);
    }

    private void take() {
        if (server.shutdownDeadline().isTooLateToServe(server.clock().nowMicros())) {
            status(GrpcStatus.UNAVAILABLE, "refused: the sidecar ends, and nothing has run", 0);
            return;
        }
        long leftMicros = Math.max(1, deadlineMicros - server.clock().nowMicros());
        Request request = head.toRequest(id, route, spec, server.options(), leftMicros);
        Tracer tracer = server.requests().tracer();
        if (tracer != null) {
            trace = tracer.begin(
                    head.traceContext(), head.traceStart(request, route, spec, receivedMicros, maxUnreadMicros));
        }
        exchange = new Exchange(request, deadlineMicros, this::attempt, new Final(), trace);
        server.requests().admit(exchange);
    }

    private Attempt attempt(String upstream, long attemptDeadlineMicros, Attempt.Listener result) {
        int before = attempts++;
        SpanContext span = trace == null ? null : trace.latestAttemptContext();
        GrpcAttempt made = new GrpcAttempt(
                server.upstreams(),
                server.clock(),
                upstream,
                attemptDeadlineMicros,
                route.streams(),
                left -> forwardedHead(left, before, span),
                this,
                new AttemptObserver(result));
        current = made;
        return made;
    }

    /** Listens to an attempt for this call, before the request's own listener. */
    private final class AttemptObserver extends ForwardingAttemptListener {
        AttemptObserver(Attempt.Listener result) {
            super(result);
        }

        @Override
        public void onEnd(Attempt attempt, Outcome outcome, Balancer.LoadReport report, ByteBuf response) {
            GrpcAttempt ended = (GrpcAttempt) attempt;
            body.attemptEnded(ended);
            lastEnding = ended.ending();
            lastTrailers = ended.trailers();
            if (outcome == Outcome.OK) {
                winner = ended;
            }
            if (!body.canStart() && !over && outcome != Outcome.OK && outcome.mayHaveRun) {
                // It can't be sent again. Where it surely has not run, the balancer refuses it.
                finish(lastEnding.code(), lastEnding.message(), lastTrailers);
                server.requests().failedByFrontEnd(exchange);
            }
            super.onEnd(attempt, outcome, report, response);
        }
    }

    /** The head that an upstream gets, told how long an answer is waited for, or how long the client keeps a stream. */
    private Http2Headers forwardedHead(long leftMicros, int previousAttempts, SpanContext span) {
        long timeoutMicros =
                route.streams() ? upstreamEndMicros - server.clock().nowMicros() : leftMicros;
        return head.forwarded(id, upstreamEndMicros == NO_END ? Long.MAX_VALUE : timeoutMicros, previousAttempts, span);
    }

    // ---- from an attempt -------------------------------------------------------------------------

    @Override
    public boolean canStart() {
        return body.canStart();
    }

    @Override
    public void replay(GrpcAttempt to) {
        if (!body.canStart()) {
            // The call is answered, or bound to an attempt.
            to.cancel();
            return;
        }
        body.start(to);
    }

    @Override
    public void headers(GrpcAttempt from, Http2Headers headers, StreamRelay messages) {
        body.release();
        current = from;
        response.begin(headers, messages);
        if (!route.streams()) {
            ForwardingDeadline deadline = new ForwardingDeadline(deadlineMicros, clientEndMicros);
            end = server.at(deadlineMicros, () -> checkForwardedResponse(deadline));
        }
    }

    private void checkForwardedResponse(ForwardingDeadline deadline) {
        if (over) {
            return;
        }
        long nowMicros = server.clock().nowMicros();
        if (deadline.hasPassed(nowMicros, response.isBehind())) {
            endHere(GrpcStatus.DEADLINE_EXCEEDED, "no complete answer in time");
        } else {
            long nextMicros = Math.max(deadline.deadlineMicros(), nowMicros + ForwardingDeadline.CHECK_MICROS);
            end = server.at(nextMicros, () -> checkForwardedResponse(deadline));
        }
    }

    @Override
    public void ended(GrpcAttempt from, AttemptEnd ending, Http2Headers trailers) {
        if (over) {
            return;
        }
        over();
        response.end(
                trailers != null && ending.outcome() != Outcome.MALFORMED
                        ? ClientResponse.copy(trailers, null)
                        : ClientResponse.failure(failure(ending.code()), ending.message()));
    }

    // ---- to the client ---------------------------------------------------------------------------

    private final class Final implements Exchange.Responder {
        @Override
        public void serve(ByteBuf empty) {
            empty.release();
            if (over) {
                return;
            }
            over();
            body.release();
            response.send(winner.headers(), winner.takeMessages(), winner.trailers());
        }

        @Override
        public void reject(long retryAfterMicros) {
            status(GrpcStatus.UNAVAILABLE, "refused: nothing has run", retryAfterMicros);
        }

        @Override
        public long clientSeenMicros() {
            return over || !client.isActive() ? 0 : connection.disconnectCheck().seenMicros();
        }

        @Override
        public ClientPresence clientPresence() {
            ClientPresence presence = connection.disconnectCheck().check();
            return over || !client.isActive() ? ClientPresence.GONE : presence;
        }

        @Override
        public void fail() {
            if (lastEnding == null || server.clock().nowMicros() >= deadlineMicros - 1_000) {
                finish(GrpcStatus.DEADLINE_EXCEEDED, "no answer in time", null);
            } else {
                finish(lastEnding.code(), lastEnding.message(), lastTrailers);
            }
        }
    }

    /** Whether the response is decided, if not yet sent, or no client waits for it any more. */
    boolean isOver() {
        return over;
    }

    /** Nothing more goes to the client after what is written next. */
    private void over() {
        over = true;
        if (end != null) {
            end.cancel(false);
        }
    }

    /** A failure passes on what the service said for what it was asked, with its details; else it says what is known. */
    private void finish(GrpcStatus code, String message, Http2Headers trailers) {
        if (trailers == null || lastEnding == null || lastEnding.outcome() != Outcome.INVALID) {
            status(failure(code), message, 0);
        } else if (!over) {
            over();
            response.serviceStatus(trailers);
            body.release();
        }
    }

    /** UNAVAILABLE is this sidecar's refusal, a promise that nothing ran: a failure must not sound like one. */
    static GrpcStatus failure(GrpcStatus code) {
        return code == GrpcStatus.UNAVAILABLE || code == GrpcStatus.OK ? GrpcStatus.UNKNOWN : code;
    }

    /** The one final status, in a head that is the trailer too where no head has gone before. */
    private void status(GrpcStatus code, String message, long retryAfterMicros) {
        if (!over) {
            over();
            response.status(code, message, retryAfterMicros);
            body.release();
        }
    }

    /** The call's id; null before its head was read. */
    String id() {
        return id;
    }

    /** Whether the client has not taken all that has arrived of a unary response; a stream may pause for any time. */
    boolean isBehind() {
        return response.isBehind() && !route.streams();
    }

    /** Time at which the client last took a part of the response. Requires {@link #isBehind}. */
    long progressMicros() {
        return response.progressMicros();
    }

    /** Ends the call, as its client does not read the response. */
    void endUnread() {
        response.reset();
        left();
    }

    /** The sidecar ends and can't wait for this stream any longer. */
    void cutShort() {
        endHere(GrpcStatus.CANCELLED, "the sidecar ends");
    }

    /** Ends it for a reason that is no attempt's: the client is told, and the node that holds it. */
    private void endHere(GrpcStatus code, String message) {
        if (!over) {
            if (exchange != null) {
                server.requests().failedByFrontEnd(exchange);
            }
            GrpcAttempt a = current;
            status(code, message, 0);
            if (a != null) {
                a.cancel();
            }
        }
    }

    private void left() {
        connection.callEnded(this);
        body.close();
        response.release();
        if (over) {
            return;
        }
        over();
        if (exchange != null) {
            server.requests().clientLeft(exchange);
            if (current != null) {
                // A cancel stops nothing for sure, but a stream that nobody reads must end.
                current.cancel();
            }
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof Http2ResetFrame) {
            left();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        left();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)
                && !(cause instanceof io.netty.handler.codec.http2.Http2Exception)) {
            Log.fault("a gRPC call failed", cause);
        }
        left();
        ctx.close();
    }
}
