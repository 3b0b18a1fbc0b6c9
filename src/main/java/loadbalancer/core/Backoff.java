package loadbalancer.core;

import java.util.SplittableRandom;

/** Exponential backoff with jitter, so that callers that fail at the same time do not retry at the same time. */
public final class Backoff {
    private final long initialMicros;
    private final long maxMicros;
    private final SplittableRandom random;
    private long nextMicros;

    /** Creates a backoff with delays from half of {@code initialMicros} to one and a half times {@code maxMicros}. */
    public Backoff(long initialMicros, long maxMicros, long seed) {
        this.initialMicros = initialMicros;
        this.maxMicros = maxMicros;
        random = new SplittableRandom(seed);
        nextMicros = initialMicros;
    }

    /** The delay after another failure, in microseconds: on average twice the previous one, up to the maximum. */
    public long nextDelayMicros() {
        long delayMicros = nextMicros / 2 + random.nextLong(nextMicros + 1);
        nextMicros = Math.min(maxMicros, nextMicros * 2);
        return delayMicros;
    }

    /** Resets the delay to the initial one, after a success. */
    public void reset() {
        nextMicros = initialMicros;
    }
}
