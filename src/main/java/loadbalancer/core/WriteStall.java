package loadbalancer.core;

/**
 * Decides when the peer of a connection has stopped taking what is sent to it, in contrast to a peer that takes it
 * slowly. Once a receiver's kernel has been full, it takes more only in steps of a part of its buffer, so a peer that
 * reads steadily may seem to take nothing for a while. No I/O; times are microseconds.
 */
public final class WriteStall {
    /** Rate of the slowest sound peer. */
    private static final long MIN_READ_BYTES_PER_SECOND = 64_000;
    /** A kernel whose receive buffer was full announces space when one part of so many is free. */
    private static final int RECEIVE_BUFFER_PARTS = 16;
    /** Largest receive buffer of a peer. */
    private static final long MAX_RECEIVE_BUFFER_BYTES = 32L * 1024 * 1024;

    private final long graceMicros;
    private long sentBytes;
    private long unsentBytes;
    private long lastProgressMicros;

    /** {@code graceMicros}: time for which a peer may take nothing, whatever its buffer holds. */
    public WriteStall(long graceMicros, long nowMicros) {
        this.graceMicros = graceMicros;
        lastProgressMicros = nowMicros;
    }

    /** Records bytes that are sent, or wait to be sent. */
    public void add(long bytes) {
        sentBytes += bytes;
    }

    /** Records how much the sender's kernel has not taken yet. */
    public void observe(long nowMicros, long leftBytes) {
        if (leftBytes == 0 || leftBytes < unsentBytes) {
            lastProgressMicros = nowMicros;
        }
        unsentBytes = leftBytes;
    }

    /** Time for which nothing was taken, by what was observed. */
    public long quietMicros(long nowMicros) {
        return nowMicros - lastProgressMicros;
    }

    /** Whether nothing was taken for longer than any sound peer needs. */
    public boolean isStalled(long nowMicros) {
        return quietMicros(nowMicros) > graceMicros + maxStepMicros();
    }

    /** Time that the slowest sound peer needs to free one part of its receive buffer. */
    private long maxStepMicros() {
        long stepBytes = Math.min(sentBytes, MAX_RECEIVE_BUFFER_BYTES) / RECEIVE_BUFFER_PARTS;
        return stepBytes * 1_000_000 / MIN_READ_BYTES_PER_SECOND;
    }
}
