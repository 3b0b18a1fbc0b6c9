package loadbalancer.http1;

import loadbalancer.core.MemoryBudget;

/** Limits the memory for the bodies of all connections together, of requests or of responses. */
final class BufferBudget {
    /** Beyond this limit only the first {@link #REDUCED_BODY_BYTES} of a body are buffered before it is streamed. */
    private static final long MAX_HELD_BYTES = 8 * 1024 * 1024;
    /** Largest buffered body while the budget is exceeded. */
    private static final int REDUCED_BODY_BYTES = 8 * 1024;

    private final MemoryBudget memory;

    /** {@code onExceeded} runs each time the limit is exceeded. */
    BufferBudget(Runnable onExceeded) {
        memory = new MemoryBudget(MAX_HELD_BYTES, onExceeded);
    }

    /** Adds {@code bytes}, which may be negative, to the bytes held. */
    void add(long bytes) {
        memory.add(bytes);
    }

    /** Whether more bytes may be held. */
    boolean hasCapacity() {
        return memory.hasCapacity();
    }

    /** Largest body that is buffered; a larger one is streamed. */
    int maxBufferedBodyBytes() {
        return hasCapacity() ? HttpLimits.MAX_BUFFERED_BODY_BYTES : REDUCED_BODY_BYTES;
    }
}
