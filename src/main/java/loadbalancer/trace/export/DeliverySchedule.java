package loadbalancer.trace.export;

import loadbalancer.core.Backoff;

/**
 * Decides when a batch is sent, retried or abandoned: one batch at a time, retried with jittered exponential backoff or after the
 * receiver's Retry-After, until the delivery time-out. Pure; times in microseconds.
 */
final class DeliverySchedule {
    /** Result of sending a batch. */
    enum BatchResult {
        ACCEPTED,
        /** Receiver unreachable or overloaded. */
        RETRYABLE,
        /** The receiver does not accept this batch at all. */
        REJECTED
    }

    /** What to do with the batch next. */
    enum NextStep {
        DONE,
        RETRY,
        GIVE_UP
    }

    /** Upper bound on a receiver's Retry-After, microseconds. */
    static final long MAX_RETRY_AFTER_MICROS = 60_000_000;

    private final Backoff backoff;
    private final long timeoutMicros;
    private long batchStartMicros = -1;
    private long dueMicros;
    private boolean failing;

    DeliverySchedule(long initialBackoffMicros, long timeoutMicros, long seed) {
        backoff = new Backoff(initialBackoffMicros, Math.max(initialBackoffMicros, timeoutMicros / 4), seed);
        this.timeoutMicros = timeoutMicros;
    }

    /** Starts the time-out of a new batch. */
    void batchStarted(long nowMicros) {
        batchStartMicros = nowMicros;
    }

    /** Earliest time of the next send, microseconds. */
    long dueMicros() {
        return dueMicros;
    }

    /** Records the end of a send; {@code retryAfterMicros} is the receiver's Retry-After, 0 for none. */
    NextStep sendEnded(long nowMicros, BatchResult result, long retryAfterMicros) {
        if (result == BatchResult.ACCEPTED) {
            failing = false;
            backoff.reset();
            dueMicros = nowMicros;
            return NextStep.DONE;
        }
        failing = true;
        if (result == BatchResult.REJECTED) {
            return NextStep.GIVE_UP;
        }
        dueMicros = nowMicros + Math.max(backoff.nextDelayMicros(), Math.min(MAX_RETRY_AFTER_MICROS, retryAfterMicros));
        return dueMicros - batchStartMicros > timeoutMicros ? NextStep.GIVE_UP : NextStep.RETRY;
    }

    boolean failing() {
        return failing;
    }
}
