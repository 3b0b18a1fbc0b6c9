package loadbalancer.core;

/**
 * The clock of a sidecar: monotonic microseconds, aligned once with Unix time so that they can be compared with
 * upstreams' start times. The simulation replaces it with virtual time.
 */
public class Clock {
    private final long startUnixMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    /** Microseconds since the Unix epoch at the clock's creation, plus the monotonic time since then. */
    public long nowMicros() {
        return startUnixMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
