package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.core.Attempt;
import loadbalancer.core.ClientPresence;
import loadbalancer.core.Exchange;
import loadbalancer.core.ShutdownDeadline;
import loadbalancer.trace.SpanContext;
import loadbalancer.trace.Trace;

/** An admitted request of a client connection: creates its attempts and sends the response to the client. */
final class ClientExchange implements Exchange.Responder, Attempt.Factory {
    private final ClientConnection connection;
    private final Upstreams upstreams;
    private final OutgoingRequest outgoing;
    /** Null if the body is in the outgoing request. */
    private final RequestBodyForwarder largeBody;
    /** Null if requests are not traced. */
    private final Trace trace;

    private final long responseTimeoutMicros;
    private final ShutdownDeadline shutdownDeadline;
    private final boolean keepAlive;
    private final boolean clientSupportsChunked;
    private Exchange exchange;
    /** The latest attempt of a request with a large body; null otherwise. */
    private UpstreamCall bodyCall;

    /** {@code responseTimeoutMicros} counts from the request's last byte; {@code trace} is null if not traced. */
    ClientExchange(
            ClientConnection connection,
            Upstreams upstreams,
            PendingRequest pending,
            OutgoingRequest outgoing,
            Trace trace,
            long responseTimeoutMicros,
            ShutdownDeadline shutdownDeadline) {
        this.connection = connection;
        this.shutdownDeadline = shutdownDeadline;
        this.upstreams = upstreams;
        this.outgoing = outgoing;
        this.trace = trace;
        this.responseTimeoutMicros = responseTimeoutMicros;
        largeBody = pending.largeBody();
        keepAlive = HttpUtil.isKeepAlive(pending.message());
        clientSupportsChunked = pending.message().protocolVersion().minorVersion() > 0;
    }

    /** Creates the exchange; called once, before all other methods. */
    void begin(Request request, long deadlineMicros) {
        exchange = new Exchange(request, deadlineMicros, this, this, trace);
    }

    Exchange exchange() {
        return exchange;
    }

    /** Deadline of a request whose large body was complete at {@code completeAtMicros}. */
    long deadlineAfter(long completeAtMicros) {
        return shutdownDeadline.limit(completeAtMicros + responseTimeoutMicros);
    }

    /** Longest time for which the client may still wait, as the deadline of an incomplete body is not known yet. */
    private long clientRemainingMicros() {
        return responseTimeoutMicros - connection.bodyBacklogMicros();
    }

    /** The latest attempt of a request with a large body; null otherwise. */
    UpstreamCall bodyCall() {
        return bodyCall;
    }

    @Override
    public Attempt create(String upstream, long deadlineMicros, Attempt.Listener listener) {
        SpanContext span = trace == null ? null : trace.latestAttemptContext();
        UpstreamCall call = upstreams.newCall(
                upstream,
                deadlineMicros,
                remainingMicros -> outgoing.toMessage(Math.min(remainingMicros, clientRemainingMicros()), span),
                listener,
                new StreamedResponse(connection, keepAlive, clientSupportsChunked),
                largeBody);
        bodyCall = largeBody == null ? null : call;
        return call;
    }

    @Override
    public void serve(ByteBuf body) {
        connection.respond(keepAlive, HttpResponseStatus.OK, body, 0);
    }

    @Override
    public void reject(long retryAfterMicros) {
        connection.respond(keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER, retryAfterMicros);
    }

    @Override
    public void fail() {
        connection.respond(keepAlive, HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
    }

    @Override
    public long clientSeenMicros() {
        return connection.input().disconnectCheck().seenMicros();
    }

    @Override
    public ClientPresence clientPresence() {
        return connection.input().checkPresence();
    }
}
