package loadbalancer.trace;

import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Request;

/**
 * Follows requests from their first byte to the end of their last attempt, and decides which of them are kept. It is told and
 * never asked: nothing that it does changes what happens to a request, and whatever goes wrong in it turns it off instead of
 * going up to its caller. One thread; the clock is module time.
 */
public final class Tracer {
    /**
     * What a front end knows of an admitted request. Times are microseconds.
     *
     * @param protocol        name of the protocol
     * @param idempotencyKey  null where the request has none
     * @param clientRetry     the client marked the request as a retry
     * @param receivedMicros  when the first byte was read
     * @param maxUnreadMicros upper bound on the time for which it may have waited unread before
     */
    public record Start(
            Request request,
            Idempotency idempotency,
            String protocol,
            String idempotencyKey,
            boolean clientRetry,
            long latencyObjectiveMicros,
            long receivedMicros,
            long maxUnreadMicros) {}

    /** Since the start; {@code dropped} passed by lot and met an empty bucket. */
    public record Counts(long started, long decided, long sampled, long rescued, long dropped) {}

    private final LongSupplier clock;
    private final SplittableRandom random;
    private final BiConsumer<Trace, SamplingDecision> sampledListener;
    private final Consumer<RuntimeException> failureListener;
    private final TailSampler sampler;
    private final SpanFamily recentRequests;
    private boolean disabled;
    private long started;
    private long decided;
    private long sampled;
    private long rescued;

    /**
     * @param kept   gets each sampled trace, complete
     * @param broken gets, once, the exception that turned tracing off
     */
    public Tracer(
            SamplingOptions options,
            LongSupplier clock,
            long seed,
            BiConsumer<Trace, SamplingDecision> kept,
            Consumer<RuntimeException> broken) {
        this.clock = clock;
        random = new SplittableRandom(seed);
        this.sampledListener = kept;
        this.failureListener = broken;
        sampler = new TailSampler(options, clock.getAsLong());
        recentRequests = new SpanFamily(options.maxRememberedRequests(), options.retryWindowMicros());
    }

    /** {@code parent} is the client's span, or null. Null where nothing is traced any more. */
    public Trace begin(SpanContext parent, Start start) {
        if (disabled) {
            return null;
        }
        try {
            return started(parent, start);
        } catch (RuntimeException exception) {
            disable(exception);
            return null;
        }
    }

    private Trace started(SpanContext parent, Start start) {
        long nowMicros = clock.getAsLong();
        started++;
        boolean keyed = start.idempotency() == Idempotency.WITH_KEY && start.idempotencyKey() != null;
        String key = keyed ? start.request().requestClass() + ' ' + start.idempotencyKey() : null;
        Trace earlier = keyed ? recentRequests.previous(nowMicros, key) : null;
        long high;
        long low;
        int flags;
        String state = "";
        if (parent != null) {
            high = parent.traceIdHigh();
            low = parent.traceIdLow();
            flags = parent.flags();
            state = parent.traceState();
        } else if (earlier != null) {
            high = earlier.context().traceIdHigh();
            low = earlier.context().traceIdLow();
            flags = SpanContext.RANDOM;
        } else {
            high = random.nextLong();
            low = nextId();
            flags = SpanContext.RANDOM;
        }
        long headThreshold = sampler.headThreshold(nowMicros, Randomness.ofTrace(low, state));
        if (headThreshold >= 0 && (flags & SpanContext.SAMPLED) == 0) {
            state = TraceState.withThreshold(state, Randomness.format(headThreshold));
            flags |= SpanContext.SAMPLED;
        }
        Trace trace = new Trace(
                this, clock, parent, new SpanContext(high, low, nextId(), flags, state), headThreshold, start, earlier);
        if (keyed) {
            recentRequests.remember(nowMicros, key, trace);
        }
        return trace;
    }

    private long nextId() {
        long id;
        do {
            id = random.nextLong();
        } while (id == 0);
        return id;
    }

    /**
     * A span for an attempt. From the second one on, and for classes that are always marked, its upstream is told to keep its
     * part: with no probability then, as it was not by lot.
     */
    SpanContext attemptContext(Trace trace, boolean again) {
        SpanContext own = trace.context();
        boolean marked = !own.sampled()
                && (again || sampler.alwaysSampled(trace.request().requestClass()));
        return new SpanContext(
                own.traceIdHigh(),
                own.traceIdLow(),
                nextId(),
                marked ? own.flags() | SpanContext.SAMPLED : own.flags(),
                marked ? TraceState.withThreshold(own.traceState(), null) : own.traceState());
    }

    void traceEnded(Trace trace) {
        if (disabled) {
            return;
        }
        try {
            decided++;
            SamplingDecision decision = sampler.decide(clock.getAsLong(), trace);
            Trace before = trace.takePrevious();
            if (decision.sampled() && before != null && before.result() != null && !before.exported) {
                // It looked ordinary until its client tried again: half of the story without it. One whose attempts are
                // still out is judged when they end, and looks no more ordinary then.
                rescue(before);
            }
            if (decision.sampled()) {
                export(trace, decision);
            }
        } catch (RuntimeException exception) {
            disable(exception);
        }
    }

    private void rescue(Trace before) {
        if (before.attempts().stream().allMatch(attempt -> attempt.outcome() != null)) {
            rescued++;
            Set<SamplingReason> reasons = sampler.reasons(before);
            reasons.remove(SamplingReason.ORDINARY);
            reasons.add(SamplingReason.RESENT);
            export(before, new SamplingDecision(reasons, SamplingReason.Pool.FAULT, 1));
        }
    }

    private void export(Trace trace, SamplingDecision decision) {
        trace.exported = true;
        sampled++;
        sampledListener.accept(trace, decision);
    }

    private void disable(RuntimeException exception) {
        disabled = true;
        failureListener.accept(exception);
    }

    public Counts counts() {
        return new Counts(started, decided, sampled, rescued, sampler.dropped());
    }

    /** Keyed requests that are remembered. */
    public int rememberedRequests() {
        return recentRequests.size();
    }
}
