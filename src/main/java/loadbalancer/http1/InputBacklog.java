package loadbalancer.http1;

/**
 * Estimates when the bytes that are read from a client were written. While the client is not read as fast as it writes,
 * they wait in the kernel, and the client's own timeout may be running. No I/O; times are microseconds.
 */
final class InputBacklog {
    /** Bytes that the kernel may hold for one connection; later ones were written after the backlog began. */
    static final long MAX_KERNEL_BYTES = 8 * 1024 * 1024;

    /** Earliest time at which unread bytes may have been written; 0 if all input has been read. */
    private long sinceMicros;
    /** Time from which on bytes behind the next {@link #MAX_KERNEL_BYTES} were written. */
    private long markMicros;
    /** Bytes read since {@link #markMicros}. */
    private long bytesSinceMark;

    /** Records that reading is paused, or that more could be read than was. */
    void begin(long nowMicros) {
        if (!exists()) {
            sinceMicros = nowMicros;
            markMicros = nowMicros;
            bytesSinceMark = 0;
        }
    }

    /** Records that bytes were read while more may be unread. */
    void read(long nowMicros, int bytes) {
        bytesSinceMark += bytes;
        if (exists() && bytesSinceMark >= MAX_KERNEL_BYTES) {
            sinceMicros = markMicros;
            markMicros = nowMicros;
            bytesSinceMark = 0;
        }
    }

    /** Records that all input has been read. */
    void end() {
        sinceMicros = 0;
    }

    /** Whether input may be unread. */
    boolean exists() {
        return sinceMicros != 0;
    }

    /** Earliest time at which bytes that are read now may have been written. */
    long earliestWriteMicros(long nowMicros) {
        return exists() ? sinceMicros : nowMicros;
    }
}
