package loadbalancer.http1;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.core.Clock;
import loadbalancer.core.EndReasons;
import loadbalancer.core.RequestClasses;
import loadbalancer.core.Requests;
import loadbalancer.core.ShutdownDeadline;
import loadbalancer.metrics.Metrics.RequestOutcome;
import loadbalancer.trace.SpanContext;
import loadbalancer.trace.Trace;
import loadbalancer.trace.Tracer;

/** Validates clients' HTTP requests and determines their request class, deadline and trace. */
final class RequestAdmission {
    /** Margin between the deadline and the client's own timeout, so that a response arrives in time on a busy core. */
    private static final long RESPONSE_MARGIN_MICROS = 15_000;
    /** Limit for receiving a large body; the response timeout starts at its last byte. */
    private static final long MAX_BODY_MICROS = 600_000_000;

    private final Clock clock;
    private final Requests requests;
    private final Upstreams upstreams;
    private final RequestClasses classes;
    private final ShutdownDeadline shutdownDeadline;

    RequestAdmission(
            Clock clock,
            Requests requests,
            Upstreams upstreams,
            RequestClasses classes,
            ShutdownDeadline shutdownDeadline) {
        this.shutdownDeadline = shutdownDeadline;
        this.clock = clock;
        this.requests = requests;
        this.upstreams = upstreams;
        this.classes = classes;
    }

    /** Returns the request for the balancer and the upstreams; null, and counted as failed, for an invalid message. */
    ClientExchange admit(PendingRequest pending, ClientConnection connection) {
        FullHttpRequest message = pending.message();
        HttpHeaders headers = message.headers();
        String id = RequestFields.singleToken(headers, HeaderNames.REQUEST_ID);
        String className = RequestFields.singleToken(headers, HeaderNames.REQUEST_CLASS);
        RequestClass requestClass =
                classes.bind(clock.nowMicros(), className, candidate -> matchesClass(pending, candidate));
        long remainingMillis = RequestFields.parseNumber(headers, HeaderNames.REMAINING_MILLIS);
        if (id.isEmpty() || requests.contains(id) || requestClass == null || remainingMillis <= 0) {
            // Not forwarded, because it would count as an upstream's failure.
            requests.metrics().requestAnsweredWithoutAdmission(className, RequestOutcome.FAILED);
            requests.endReasons()
                    .record(
                            EndReasons.Subject.REQUEST_FAILED,
                            requests.contains(id) ? "id is in flight" : "invalid request",
                            id.isEmpty() ? null : id);
            return null;
        }
        // Limited to the class's deadline, because a client could otherwise keep its request in flight for days.
        long remainingMicros = Math.min(remainingMillis * 1000, requestClass.deadlineMicros());
        long responseTimeoutMicros = remainingMicros - Math.min(RESPONSE_MARGIN_MICROS, remainingMicros / 4);
        long sentMicros = sentMicros(pending);
        long deadlineMicros = shutdownDeadline.limit(sentMicros + responseTimeoutMicros);
        Request request = request(message, id, requestClass, deadlineMicros);
        OutgoingRequest outgoing = new OutgoingRequest(
                message.method(),
                message.uri(),
                id,
                headers.get(HeaderNames.IDEMPOTENCY_KEY),
                ByteBufUtil.getBytes(message.content()));
        Trace trace = trace(request, outgoing.idempotencyKey(), headers, sentMicros, pending.maxUnreadMicros());
        ClientExchange exchange = new ClientExchange(
                connection, upstreams, pending, outgoing, trace, responseTimeoutMicros, shutdownDeadline);
        exchange.begin(request, isBodyIncomplete(pending) ? sentMicros + MAX_BODY_MICROS : deadlineMicros);
        return exchange;
    }

    /** Counts a request that is rejected without being admitted. */
    void reject(PendingRequest pending, String reason) {
        HttpHeaders headers = pending.message().headers();
        String id = RequestFields.singleToken(headers, HeaderNames.REQUEST_ID);
        requests.metrics()
                .requestAnsweredWithoutAdmission(
                        RequestFields.singleToken(headers, HeaderNames.REQUEST_CLASS), RequestOutcome.REJECTED);
        requests.endReasons().record(EndReasons.Subject.REQUEST_REJECTED, reason, id.isEmpty() ? null : id);
    }

    private static boolean matchesClass(PendingRequest pending, RequestClass requestClass) {
        return RequestFields.matchesClass(pending.message(), requestClass)
                && !(pending.largeBody() != null && requestClass.idempotency() == Idempotency.IDEMPOTENT);
    }

    private static boolean isBodyIncomplete(PendingRequest pending) {
        return pending.largeBody() != null && !pending.largeBody().isComplete();
    }

    private long sentMicros(PendingRequest pending) {
        if (pending.largeBody() == null) {
            return pending.lastByteMicros();
        }
        return isBodyIncomplete(pending)
                ? clock.nowMicros()
                : pending.largeBody().completeAtMicros();
    }

    private Request request(FullHttpRequest message, String id, RequestClass requestClass, long deadlineMicros) {
        HttpHeaders headers = message.headers();
        return new Request(
                id,
                RequestFields.affinityKey(headers.get(HttpHeaderNames.COOKIE)),
                "1".equals(headers.get(HeaderNames.RETRIED)),
                false,
                Math.max(0, RequestFields.parseNumber(headers, HeaderNames.COST_ESTIMATE)),
                Math.max(1, deadlineMicros - clock.nowMicros()),
                headers.get(HeaderNames.TENANT),
                requestClass.name(),
                Balancer.HTTP1,
                false,
                requestClass.idempotency() == Idempotency.WITH_KEY ? headers.get(HeaderNames.IDEMPOTENCY_KEY) : null,
                requestClass);
    }

    private Trace trace(Request request, String key, HttpHeaders headers, long sentMicros, long maxUnreadMicros) {
        Tracer tracer = requests.tracer();
        if (tracer == null) {
            return null;
        }
        RequestClass requestClass = request.classAtAdmission();
        List<String> parents = headers.getAll(HeaderNames.TRACE_PARENT);
        return tracer.begin(
                parents.isEmpty() ? null : SpanContext.parse(parents, headers.getAll(HeaderNames.TRACE_STATE)),
                new Tracer.Start(
                        request,
                        requestClass.idempotency(),
                        "http",
                        key,
                        request.retriedByClient(),
                        requestClass.latencyObjectiveMicros(),
                        sentMicros,
                        maxUnreadMicros));
    }
}
