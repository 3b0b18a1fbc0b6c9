package loadbalancer.grpc;

import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.grpc.mapping.GrpcTimeout;
import loadbalancer.grpc.mapping.Route;
import loadbalancer.operator.OperatorConfiguration.GrpcOptions;
import loadbalancer.trace.SpanContext;
import loadbalancer.trace.Tracer;

/** The head of one call, as its client sent it. */
final class CallHead {
    /** Metadata that belongs to one hop, or that this hop writes itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
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

    /** The balancer's key of a request that names no customer. */
    private static final long NO_CUSTOMER = -1;

    private static final int MAX_VALUE_CHARS = 128;
    private static final long MIN_TIMEOUT_MICROS = 1_000;

    private final Http2Headers headers;

    CallHead(Http2Headers headers) {
        this.headers = headers;
    }

    /** Whether this is a POST with gRPC's content type. */
    boolean isGrpc() {
        CharSequence type = headers.get("content-type");
        return headers.method() != null
                && "POST".contentEquals(headers.method())
                && type != null
                && type.toString().startsWith("application/grpc");
    }

    CharSequence path() {
        return headers.path();
    }

    /** Whether the client has set a time of its own. */
    boolean hasTimeout() {
        return headers.get("grpc-timeout") != null;
    }

    /** The client's own time in microseconds; negative if it is invalid. Requires {@link #hasTimeout}. */
    long timeoutMicros() {
        return GrpcTimeout.parse(headers.get("grpc-timeout"));
    }

    /** The one value of a metadata key; empty if there is none, or more than one. */
    String value(String key) {
        if (key == null) {
            return "";
        }
        List<CharSequence> values = headers.getAll(key);
        boolean isUsable = values.size() == 1 && values.get(0).length() <= MAX_VALUE_CHARS;
        return isUsable ? values.get(0).toString() : "";
    }

    /** The client's trace context; null if it sent none. */
    SpanContext traceContext() {
        return SpanContext.parse(headers.getAll("traceparent"), headers.getAll("tracestate"));
    }

    /** The request that the balancer decides on. */
    Request toRequest(String id, Route route, RequestClass requestClass, GrpcOptions options, long leftMicros) {
        return new Request(
                id,
                customer(options.customerHeader()),
                false,
                false,
                0,
                leftMicros,
                value(options.tenantHeader()),
                requestClass.name(),
                Balancer.GRPC,
                route.streams(),
                requestClass.idempotency() == Idempotency.WITH_KEY ? value(route.keyHeader()) : null,
                requestClass);
    }

    private long customer(String header) {
        String key = value(header);
        return key.isEmpty() ? NO_CUSTOMER : Integer.toUnsignedLong(key.hashCode());
    }

    /** What the trace of the call begins with. */
    Tracer.Start traceStart(
            Request request, Route route, RequestClass requestClass, long receivedMicros, long maxUnreadMicros) {
        String key = value(route.keyHeader());
        return new Tracer.Start(
                request,
                requestClass.idempotency(),
                "grpc",
                key.isEmpty() ? null : key,
                false,
                requestClass.latencyObjectiveMicros(),
                receivedMicros,
                maxUnreadMicros);
    }

    /**
     * The head that an upstream gets.
     *
     * @param timeoutMicros    time that is told to the upstream; {@code MAX_VALUE} for none
     * @param previousAttempts attempts before this one
     * @param span             null if the call is not traced
     */
    Http2Headers forwarded(String id, long timeoutMicros, int previousAttempts, SpanContext span) {
        Http2Headers forwarded = new DefaultHttp2Headers(false)
                .method("POST")
                .path(headers.path())
                .scheme("http")
                .authority(headers.authority() == null ? "api.internal" : headers.authority());
        for (Map.Entry<CharSequence, CharSequence> entry : headers) {
            CharSequence name = entry.getKey();
            if (name.length() > 0 && name.charAt(0) != ':' && !NOT_FORWARDED.contains(name.toString())) {
                forwarded.add(name, entry.getValue());
            }
        }
        forwarded.set("te", "trailers").set("x-txn", id);
        if (timeoutMicros != Long.MAX_VALUE) {
            forwarded.set("grpc-timeout", GrpcTimeout.format(Math.max(MIN_TIMEOUT_MICROS, timeoutMicros)));
        }
        if (span != null) {
            setTrace(forwarded, span);
        }
        if (previousAttempts > 0) {
            forwarded.set("grpc-previous-rpc-attempts", String.valueOf(previousAttempts));
        }
        return forwarded;
    }

    private static void setTrace(Http2Headers forwarded, SpanContext span) {
        forwarded.set("traceparent", span.traceparent());
        forwarded.remove("tracestate");
        if (!span.traceState().isEmpty()) {
            forwarded.set("tracestate", span.traceState());
        }
    }
}
