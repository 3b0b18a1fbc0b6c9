package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.core.Attempt;
import loadbalancer.core.ClientPresence;
import loadbalancer.core.Exchange;
import loadbalancer.core.Log;
import loadbalancer.grpc.mapping.AttemptEnd;
import loadbalancer.grpc.mapping.GrpcStatus;
import loadbalancer.grpc.mapping.GrpcTimeout;
import loadbalancer.grpc.mapping.Route;
import loadbalancer.trace.SpanContext;
import loadbalancer.trace.Trace;
import loadbalancer.trace.Tracer;

/**
 * One call of a client: its request is held until no other attempt can need it, its answer is one status, told once.
 *
 * <p>A unary call is taken when its last byte has come, and answered whole. A streaming one is taken with its head; it may be
 * tried again until the first byte of an answer has gone to the client, or more of it was forwarded than is held. Its class's
 * deadline is for that first byte; after it the client's own time alone ends it, if it has set any.
 */
final class GrpcStream extends ChannelInboundHandlerAdapter implements GrpcAttempt.Caller {
    /** As for the other protocol: an answer leaves this long before its client gives up. */
    private static final long MARGIN_US = 15_000;

    private static final long NO_END = Long.MAX_VALUE;
    /** Interval at which a unary response that is forwarded past its deadline is checked. */
    private static final long SLOW_CLIENT_CHECK_MICROS = 50_000;
    /** Time for which an upstream may send nothing after the deadline, while its client has taken all it has sent. */
    private static final long MAX_UPSTREAM_PAUSE_MICROS = 200_000;
    /** Metadata that belongs to one hop, or that this hop writes itself. */
    private static final Set<String> OWN = Set.of(
            "grpc-timeout",
            "grpc-previous-rpc-attempts",
            "connection",
            "te",
            "x-remaining-ms",
            "x-txn",
            "transfer-encoding",
            "keep-alive",
            "proxy-connection",
            "upgrade");

    private final GrpcServer server;
    private final GrpcClientConnection connection;
    private final Channel client;
    private final long sentUs;
    private final long unreadUs;
    private Http2Headers head;
    private Route route;
    private RequestClass spec;
    private String id;
    private Exchange exchange;
    /** Null where calls are not traced: then what their clients said of traces goes on as it is. */
    private Trace trace;
    /** Module time by which the client hears the end of a call, or of a stream that it gave a time; else {@link #NO_END}. */
    private long endUs = NO_END;
    /** Module time by which an answer has begun. */
    private long deadlineUs;
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
    /** Time since which a unary response that is forwarded past its deadline waits for its upstream; 0 if it does not. */
    private long waitingSinceMicros;

    GrpcStream(GrpcServer server, GrpcClientConnection connection, Channel client) {
        this.server = server;
        this.connection = connection;
        this.client = client;
        body = new GrpcRequestBody(server, client, this::rejectIncompleteRequest);
        response = new ClientResponse(client, body::isComplete, () -> connection.callEnded(this));
        sentUs = server.clock().nowMicros();
        unreadUs = server.requests().maxUnreadMicros();
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
        head = frame.headers();
        connection.callBegun(this);
        CharSequence type = head.get("content-type");
        if (head.method() == null
                || !"POST".contentEquals(head.method())
                || type == null
                || !type.toString().startsWith("application/grpc")) {
            over();
            response.notGrpc();
            return;
        }
        route = server.options().route(head.path());
        if (route == null) {
            status(GrpcStatus.UNIMPLEMENTED, "the path names no method", 0);
            return;
        }
        spec = server.requestClass(route, !word(route.keyHeader()).isEmpty());
        if (spec == null) {
            status(GrpcStatus.INVALID_ARGUMENT, "a call of this class carries its key in " + route.keyHeader(), 0);
            return;
        }
        boolean bounded = head.get("grpc-timeout") != null;
        long timeoutUs = bounded ? GrpcTimeout.parse(head.get("grpc-timeout")) : spec.deadlineMicros();
        if (timeoutUs < 0) {
            status(GrpcStatus.INTERNAL, "grpc-timeout is none", 0);
            return;
        }
        String told = word("x-txn");
        id = told.isEmpty() ? server.nextId() : told;
        if (server.requests().contains(id)) {
            status(GrpcStatus.INVALID_ARGUMENT, "x-txn is in use", 0);
            return;
        }
        if (timeoutUs < 1_000) {
            status(GrpcStatus.DEADLINE_EXCEEDED, "no time is left", 0);
            return;
        }
        setDeadlines(timeoutUs, bounded);
        body.setStreaming(route.streams());
        body.add(Unpooled.EMPTY_BUFFER, 0, frame.isEndStream());
        due = body.isComplete() || route.streams();
    }

    /** Nobody waits longer for the first byte of a response than the class allows; a stream ends at the client's own time. */
    private void setDeadlines(long timeoutUs, boolean bounded) {
        deadlineUs = server.shutdownDeadline().limit(sentUs + lessMargin(Math.min(timeoutUs, spec.deadlineMicros())));
        if (bounded) {
            clientEndMicros = server.shutdownDeadline().limit(sentUs + lessMargin(timeoutUs));
        }
        if (!route.streams()) {
            endUs = deadlineUs;
        } else if (bounded) {
            endUs = sentUs + lessMargin(timeoutUs);
            end = server.at(
                    endUs, () -> endHere(GrpcStatus.DEADLINE_EXCEEDED, "the client's time for the stream is over"));
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
            end = server.at(deadlineUs, () -> {
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
        return us - Math.min(MARGIN_US, us / 4);
    }

    /** The one value of a metadata key, or empty. */
    private String word(String key) {
        if (key == null) {
            return "";
        }
        List<CharSequence> values = head.getAll(key);
        return values.size() == 1 && values.get(0).length() <= 128
                ? values.get(0).toString()
                : "";
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
        Request request = new Request(
                id,
                customer(),
                false,
                false,
                0,
                Math.max(1, deadlineUs - server.clock().nowMicros()),
                word(server.options().tenantHeader()),
                spec.name(),
                Balancer.GRPC,
                route.streams(),
                spec.idempotency() == Idempotency.WITH_KEY ? word(route.keyHeader()) : null,
                spec);
        Tracer tracer = server.requests().tracer();
        if (tracer != null) {
            String key = word(route.keyHeader());
            trace = tracer.begin(
                    SpanContext.parse(head.getAll("traceparent"), head.getAll("tracestate")),
                    new Tracer.Start(
                            request,
                            spec.idempotency(),
                            "grpc",
                            key.isEmpty() ? null : key,
                            false,
                            spec.latencyObjectiveMicros(),
                            sentUs,
                            unreadUs));
        }
        exchange = new Exchange(request, deadlineUs, this::attempt, new Final(), trace);
        server.requests().admit(exchange);
    }

    private long customer() {
        String key = word(server.options().customerHeader());
        return key.isEmpty() ? -1 : Integer.toUnsignedLong(key.hashCode());
    }

    private Attempt attempt(String upstream, long untilUs, Attempt.Listener result) {
        int before = attempts++;
        SpanContext span = trace == null ? null : trace.latestAttemptContext();
        GrpcAttempt made = new GrpcAttempt(
                server.upstreams(),
                server.clock(),
                upstream,
                untilUs,
                route.streams(),
                left -> out(left, before, span),
                this,
                new AttemptObserver(result));
        current = made;
        return made;
    }

    /** Listens to an attempt for this call, before the request's own listener. */
    private final class AttemptObserver implements Attempt.Listener {
        private final Attempt.Listener result;

        AttemptObserver(Attempt.Listener result) {
            this.result = result;
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
            result.onEnd(attempt, outcome, report, response);
        }

        @Override
        public boolean isWanted() {
            return result.isWanted();
        }

        @Override
        public long responseDeadlineMicros() {
            return result.responseDeadlineMicros();
        }

        @Override
        public void onWritten(Attempt attempt) {
            result.onWritten(attempt);
        }

        @Override
        public boolean beginStreaming(Attempt attempt) {
            return result.beginStreaming(attempt);
        }
    }

    /** The head that a node gets: the client's, but for what belongs to a hop. */
    private Http2Headers out(long leftUs, int before, SpanContext span) {
        Http2Headers h = new DefaultHttp2Headers(false)
                .method("POST")
                .path(head.path())
                .scheme("http")
                .authority(head.authority() == null ? "api.internal" : head.authority());
        for (Map.Entry<CharSequence, CharSequence> e : head) {
            if (e.getKey().length() > 0
                    && e.getKey().charAt(0) != ':'
                    && !OWN.contains(e.getKey().toString())) {
                h.add(e.getKey(), e.getValue());
            }
        }
        h.set("te", "trailers").set("x-txn", id);
        // A node ends a call at this time, streams too: what bounds the wait for their first byte is none of its
        // business.
        long left = route.streams() ? endUs - server.clock().nowMicros() : leftUs;
        if (endUs != NO_END) {
            h.set("grpc-timeout", GrpcTimeout.format(Math.max(1_000, left)));
        }
        if (span != null) {
            h.set("traceparent", span.traceparent());
            h.remove("tracestate");
            if (!span.traceState().isEmpty()) {
                h.set("tracestate", span.traceState());
            }
        }
        if (before > 0) {
            h.set("grpc-previous-rpc-attempts", String.valueOf(before));
        }
        return h;
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
            end = server.at(deadlineUs, this::limitForwardedResponse);
        }
    }

    /**
     * Ends a unary response that is forwarded at its deadline, unless it is only its client that takes it slowly. After
     * that it goes on until the upstream is waited for again, or the client stops reading or reaches its own end.
     */
    private void limitForwardedResponse() {
        if (over) {
            return;
        }
        long nowMicros = server.clock().nowMicros();
        boolean behind = response.isBehind();
        if (behind) {
            waitingSinceMicros = 0;
        } else if (waitingSinceMicros == 0 && nowMicros - deadlineUs >= SLOW_CLIENT_CHECK_MICROS) {
            waitingSinceMicros = nowMicros;
        }
        boolean clientAwaits = nowMicros < clientEndMicros;
        boolean upstreamDelivers =
                behind || waitingSinceMicros > 0 && nowMicros - waitingSinceMicros < MAX_UPSTREAM_PAUSE_MICROS;
        if (clientAwaits && upstreamDelivers) {
            end = server.at(nowMicros + SLOW_CLIENT_CHECK_MICROS, this::limitForwardedResponse);
        } else {
            endHere(GrpcStatus.DEADLINE_EXCEEDED, "no complete answer in time");
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
        public void reject(long retryAfterUs) {
            status(GrpcStatus.UNAVAILABLE, "refused: nothing has run", retryAfterUs);
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
            if (lastEnding == null || server.clock().nowMicros() >= deadlineUs - 1_000) {
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
    private void status(GrpcStatus code, String message, long retryAfterUs) {
        if (!over) {
            over();
            response.status(code, message, retryAfterUs);
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
