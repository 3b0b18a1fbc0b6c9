package loadbalancer.trace;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.trace.SamplingReason.Pool;
import loadbalancer.trace.Trace.Attempt;

/**
 * Judges a trace when it is over: why it may be worth keeping, and whether the rates allow it. A few of each kind of trouble
 * are kept whatever the rates say. Pure; time comes with each call.
 */
final class TailSampler {
    private static final int MAX_PER_FAULT_KIND = 3, MAX_FAULT_KINDS = 512;
    private static final long FAULT_KIND_WINDOW_MICROS = 10_000_000;

    private final SamplingOptions options;
    private final Map<Pool, TraceRateLimiter> rateLimiters = new EnumMap<>(Pool.class);
    private final RareTraceSampler rareSampler =
            new RareTraceSampler(MAX_PER_FAULT_KIND, MAX_FAULT_KINDS, FAULT_KIND_WINDOW_MICROS);

    TailSampler(SamplingOptions options, long nowMicros) {
        this.options = options;
        rateLimiters.put(Pool.FAULT, new TraceRateLimiter(options.faultsPerSecond(), nowMicros));
        rateLimiters.put(Pool.NOTABLE, new TraceRateLimiter(options.notablePerSecond(), nowMicros));
        rateLimiters.put(Pool.ORDINARY, new TraceRateLimiter(options.ordinaryPerSecond(), nowMicros));
    }

    /** The mark that a trace gets at its start, by lot: the threshold that it passed, or -1. */
    long headThreshold(long nowMicros, long randomness) {
        TraceRateLimiter ordinary = rateLimiters.get(Pool.ORDINARY);
        return ordinary.passes(nowMicros, randomness) ? ordinary.threshold() : -1;
    }

    boolean alwaysSampled(String requestClass) {
        return options.alwaysSampledClasses().contains(requestClass);
    }

    SamplingDecision decide(long nowMicros, Trace trace) {
        Set<SamplingReason> reasons = reasons(trace);
        Pool pool = reasons.iterator().next().pool;
        if (pool == Pool.FAULT && rareSampler.tryAcquire(nowMicros, faultKind(trace, reasons))) {
            return new SamplingDecision(reasons, pool, 1);
        }
        TraceRateLimiter rateLimiter = rateLimiters.get(pool);
        if (pool == Pool.ORDINARY) {
            // Its lot was drawn at its start, so that the upstreams know of it too.
            return new SamplingDecision(
                    reasons,
                    pool,
                    trace.headThreshold() >= 0 && rateLimiter.tryAcquire(nowMicros)
                            ? 1 / Randomness.probability(trace.headThreshold())
                            : 0);
        }
        boolean passes = rateLimiter.passes(
                nowMicros,
                Randomness.ofTrace(trace.context().traceIdLow(), trace.context().traceState()));
        return new SamplingDecision(
                reasons, pool, passes && rateLimiter.tryAcquire(nowMicros) ? rateLimiter.weight() : 0);
    }

    /** The gravest first; never empty. */
    Set<SamplingReason> reasons(Trace trace) {
        EnumSet<SamplingReason> reasons = EnumSet.noneOf(SamplingReason.class);
        switch (trace.result()) {
            case FAILED -> reasons.add(SamplingReason.FAILED);
            case REFUSED -> reasons.add(SamplingReason.REFUSED);
            case LEFT -> reasons.add(SamplingReason.LEFT);
            case SERVED -> {}
        }
        boolean bad = false;
        for (Attempt attempt : trace.attempts()) {
            if (bad && !attempt.hedged) {
                reasons.add(SamplingReason.RETRIED);
            }
            bad |= attempt.outcome() != Outcome.OK && attempt.cancelledMicros() == 0;
            if (attempt.hedged) {
                reasons.add(SamplingReason.HEDGED);
            }
        }
        if (trace.start().clientRetry() || trace.link() != null) {
            reasons.add(SamplingReason.RESENT);
        }
        long durationMicros = (firstByteMicros(trace) == 0 ? trace.answeredMicros() : firstByteMicros(trace))
                - trace.start().receivedMicros()
                + trace.start().maxUnreadMicros();
        if (durationMicros > trace.start().latencyObjectiveMicros() * options.slowObjectiveRatio()) {
            reasons.add(SamplingReason.SLOW);
        }
        if (trace.parent() != null && trace.parent().sampled()) {
            reasons.add(SamplingReason.ASKED);
        }
        if (reasons.isEmpty()) {
            reasons.add(SamplingReason.ORDINARY);
        }
        return reasons;
    }

    /** A stream is as fast as its first byte: how long it goes on is both sides' wish. */
    private static long firstByteMicros(Trace trace) {
        for (Attempt attempt : trace.attempts()) {
            if (attempt.streamingMicros() > 0) {
                return attempt.streamingMicros();
            }
        }
        return 0;
    }

    /** Traces of one kind have, as far as can be seen from here, one cause. */
    private static String faultKind(Trace trace, Set<SamplingReason> reasons) {
        String where = "";
        for (Attempt attempt : trace.attempts()) {
            if (attempt.outcome() != Outcome.OK) {
                where = attempt.upstream + attempt.outcome();
                break;
            }
        }
        return trace.request().requestClass()
                + trace.result()
                + reasons.iterator().next()
                + where;
    }

    /** How many passed by lot and met an empty bucket: weights are too small by these. */
    long dropped() {
        return rateLimiters.values().stream()
                .mapToLong(TraceRateLimiter::dropped)
                .sum();
    }
}
