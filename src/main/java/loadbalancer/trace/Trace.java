package loadbalancer.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;

/**
 * What is known of one request's way: when it came, each attempt with its upstream and its end, and the one final answer. It
 * is written by who carries the request, on one thread, until the request is settled: answered and without an attempt that
 * is still out. From then on nothing changes it any more.
 */
public final class Trace {
    /** The one final answer, or that nobody was there to hear it. */
    public enum RequestResult {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** More attempts are none that the settings allow; they would be as many spans. */
    private static final int MAX_ATTEMPTS = 16;

    /** One attempt: one span. Times are module time, 0 for never. */
    public static final class Attempt {
        public final int number;
        public final String upstream;
        public final long spanIdBits;
        public final long startMicros;
        /** An earlier attempt was still out. */
        public final boolean hedged;

        final SpanContext context;
        long cancelledMicros;
        long writtenMicros;
        long streamingMicros;
        long endMicros;
        boolean newConnection;
        Outcome outcome;
        LoadReport loadReport;

        private Attempt(int number, String upstream, long startMicros, boolean hedged, SpanContext context) {
            this.number = number;
            this.upstream = upstream;
            this.spanIdBits = context.spanIdBits();
            this.startMicros = startMicros;
            this.hedged = hedged;
            this.context = context;
        }

        /** When this side gave it up, whether or not the upstream works on. */
        public long cancelledMicros() {
            return cancelledMicros;
        }

        /** When its last byte was written: from then on it may run. */
        public long writtenMicros() {
            return writtenMicros;
        }

        /** When the first byte of an answer was passed on, of a stream. */
        public long streamingMicros() {
            return streamingMicros;
        }

        public long endMicros() {
            return endMicros;
        }

        /** It needed a new connection. */
        public boolean newConnection() {
            return newConnection;
        }

        public Outcome outcome() {
            return outcome;
        }

        /** Null where its answer had none. */
        public LoadReport loadReport() {
            return loadReport;
        }

        /** False where it is proven that the upstream never began. */
        public boolean mayHaveRun() {
            return outcome.mayHaveRun && writtenMicros > 0;
        }
    }

    private final Tracer tracer;
    private final LongSupplier clock;
    private final SpanContext parent;
    private final SpanContext context;
    private final Tracer.Start start;
    private final List<Attempt> attempts = new ArrayList<>(1);
    /** The same request's earlier try, from the client's own retry; null where none is known. */
    private final SpanContext link;
    /** That try itself, until this one is judged: a chain of retries must not hold on to all of its links. */
    private Trace previous;
    /** The probability with which its mark was set by lot, as a threshold; negative where it was not by lot. */
    private final long headThreshold;

    private RequestResult result;
    private long answeredMicros;
    private long retryAfterMicros;
    private boolean closed;
    boolean exported;

    Trace(
            Tracer tracer,
            LongSupplier clock,
            SpanContext parent,
            SpanContext context,
            long headThreshold,
            Tracer.Start start,
            Trace previous) {
        this.tracer = tracer;
        this.clock = clock;
        this.parent = parent;
        this.context = context;
        this.headThreshold = headThreshold;
        this.start = start;
        this.previous = previous;
        link = previous == null ? null : previous.context;
    }

    /** An attempt is about to begin; what its upstream is told is {@link #latestAttemptContext} then. */
    public void attemptStarted(String upstream) {
        if (closed || attempts.size() >= MAX_ATTEMPTS) {
            return;
        }
        boolean hedged = false;
        for (Attempt attempt : attempts) {
            hedged |= attempt.outcome == null;
        }
        attempts.add(new Attempt(
                attempts.size(),
                upstream,
                clock.getAsLong(),
                hedged,
                tracer.attemptContext(this, !attempts.isEmpty())));
    }

    /** What the upstream of the newest attempt is told. */
    public SpanContext latestAttemptContext() {
        return attempts.isEmpty() ? context : attempts.get(attempts.size() - 1).context;
    }

    /** The module wants this attempt given up. */
    public void attemptCancelled(int number) {
        if (isInFlight(number)) {
            attempts.get(number).cancelledMicros = clock.getAsLong();
        }
    }

    public void attemptStreaming(int number) {
        if (isInFlight(number)) {
            attempts.get(number).streamingMicros = clock.getAsLong();
        }
    }

    /** {@code writtenMicros} is 0 where its last byte was not. */
    public void attemptEnded(
            int number, Outcome outcome, long writtenMicros, boolean newConnection, LoadReport report) {
        if (isInFlight(number)) {
            Attempt attempt = attempts.get(number);
            attempt.outcome = outcome;
            attempt.writtenMicros = writtenMicros;
            attempt.newConnection = newConnection;
            attempt.loadReport = report;
            attempt.endMicros = clock.getAsLong();
        }
    }

    private boolean isInFlight(int number) {
        return !closed && number < attempts.size() && attempts.get(number).outcome == null;
    }

    /** The first word counts: there is one final answer. */
    public void answered(RequestResult finalResult, long retryAfterMicros) {
        if (result == null) {
            result = finalResult;
            this.retryAfterMicros = retryAfterMicros;
            answeredMicros = clock.getAsLong();
        }
    }

    /** Answered, and nothing is out any more: it is judged now. */
    public void settled() {
        if (!closed && result != null) {
            closed = true;
            for (Attempt attempt : attempts) {
                if (attempt.outcome == null) {
                    // Never told: none the less this one has an end.
                    attempt.outcome = Outcome.NOT_SENT;
                    attempt.endMicros = answeredMicros;
                }
            }
            tracer.traceEnded(this);
        }
    }

    public Tracer.Start start() {
        return start;
    }

    public Request request() {
        return start.request();
    }

    /** The client's span; null where it named none. */
    public SpanContext parent() {
        return parent;
    }

    /** Its own span. */
    public SpanContext context() {
        return context;
    }

    public List<Attempt> attempts() {
        return attempts;
    }

    /** The span of the same request's earlier try, or null. */
    public SpanContext link() {
        return link;
    }

    /** Null once it is judged. */
    Trace takePrevious() {
        Trace taken = previous;
        previous = null;
        return taken;
    }

    public RequestResult result() {
        return result;
    }

    public long answeredMicros() {
        return answeredMicros;
    }

    public long retryAfterMicros() {
        return retryAfterMicros;
    }

    long headThreshold() {
        return headThreshold;
    }

    /** When the last of it ended: an attempt may outlive the answer. */
    public long settledMicros() {
        long last = answeredMicros;
        for (Attempt attempt : attempts) {
            last = Math.max(last, attempt.endMicros);
        }
        return last;
    }
}
