package loadbalancer.http1;

import io.netty.util.AsciiString;

/** The protocol's header and cookie names. Headers are {@link AsciiString}s, whose cached hash speeds up lookups. */
public final class HeaderNames {
    /** Request id, unique among requests in flight. */
    public static final AsciiString REQUEST_ID = AsciiString.cached("X-Txn");
    /** Name of the request class. */
    public static final AsciiString REQUEST_CLASS = AsciiString.cached("X-Lane");
    /** Name of the tenant. */
    public static final AsciiString TENANT = AsciiString.cached("X-Org");
    /** Time until the client's own timeout, in milliseconds. */
    public static final AsciiString REMAINING_MILLIS = AsciiString.cached("X-Remaining-Ms");
    /** "1" if the client itself retries the request. */
    public static final AsciiString RETRIED = AsciiString.cached("X-Resent");
    /** The client's estimate of the request's work, in microseconds. */
    public static final AsciiString COST_ESTIMATE = AsciiString.cached("X-Estimate");
    /** Idempotency key, which makes retries of the request idempotent within the window of its class. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    /** W3C Trace Context: trace, parent span and flags. */
    public static final AsciiString TRACE_PARENT = AsciiString.cached("traceparent");
    /** W3C Trace Context: vendors' state. */
    public static final AsciiString TRACE_STATE = AsciiString.cached("tracestate");
    /** "1" if an upstream rejected the request without executing it. */
    public static final AsciiString REJECTED = AsciiString.cached("X-Turned-Away");
    /** Load report of an upstream in its response. */
    public static final AsciiString LOAD_REPORT = AsciiString.cached("X-Pressure");
    /** Cookie with the affinity key, which identifies the data that the request uses. */
    public static final String KEY_COOKIE = "k";

    private HeaderNames() {}
}
