package loadbalancer.http1;

/**
 * Limits the memory for requests of all client connections together: incomplete bodies, bodies that wait for an
 * upstream, and pipelined requests.
 */
final class BufferBudget {
    /** Beyond this limit only the first {@link #REDUCED_BODY_BYTES} of a body are buffered before it is streamed. */
    private static final long MAX_HELD_BYTES = 8 * 1024 * 1024;
    /** Largest buffered body while the budget is exceeded. */
    private static final int REDUCED_BODY_BYTES = 8 * 1024;

    private long heldBytes;

    /** Adds {@code bytes}, which may be negative, to the bytes held. */
    void add(long bytes) {
        heldBytes += bytes;
    }

    /** Whether more bytes may be held. */
    boolean hasCapacity() {
        return heldBytes <= MAX_HELD_BYTES;
    }

    /** Largest body that is buffered; a larger one is streamed. */
    int maxBufferedBodyBytes() {
        return hasCapacity() ? HttpLimits.MAX_BUFFERED_BODY_BYTES : REDUCED_BODY_BYTES;
    }
}
