package loadbalancer.trace;

import java.util.Locale;
import loadbalancer.balancing.Balancer.Outcome;

/** Names of what spans tell, for those who write them and those who read them. */
public final class SpanAttributes {
    private static final String PREFIX = "bridgecleat.";
    /** Of the request's span. */
    public static final String REQUEST_ID = PREFIX + "request.id",
            REQUEST_CLASS = PREFIX + "class",
            TENANT = PREFIX + "tenant",
            PROTOCOL = PREFIX + "protocol",
            RESULT = PREFIX + "answer",
            WEIGHT = PREFIX + "weight",
            REASONS = PREFIX + "reasons",
            LATENCY_OBJECTIVE_MILLIS = PREFIX + "aim_ms",
            ATTEMPTS = PREFIX + "attempts",
            UNREAD_MILLIS = PREFIX + "unread_ms",
            RETRY_AFTER_MILLIS = PREFIX + "retry_after_ms";
    /** Of an attempt's. */
    public static final String UPSTREAM = PREFIX + "upstream",
            ATTEMPT = PREFIX + "attempt",
            OUTCOME = PREFIX + "outcome",
            MAY_HAVE_RUN = PREFIX + "may_have_run",
            NEW_CONNECTION = PREFIX + "dialled",
            HEDGED = PREFIX + "second_copy",
            NODE_IN_FLIGHT = PREFIX + "node.in_flight",
            NODE_QUEUED = PREFIX + "node.queued",
            NODE_UTILIZATION = PREFIX + "node.utilisation";
    /** Events. */
    public static final String ANSWERED = "answered",
            WRITTEN = "written",
            STREAMING = "streaming",
            CANCELLED = "cancelled";

    private SpanAttributes() {}

    /** How an attempt's outcome is written in a span; earlier versions wrote the same. */
    public static String outcomeText(Outcome outcome) {
        return outcome == Outcome.MALFORMED ? "spoilt" : outcome.name().toLowerCase(Locale.ROOT);
    }
}
