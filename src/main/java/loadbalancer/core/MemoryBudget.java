package loadbalancer.core;

/** Limits the memory that is held for all connections together. Must be used on the event loop only. */
public final class MemoryBudget {
    private final long limitBytes;
    private final Runnable onExceeded;
    private long heldBytes;
    /** Whether a reservation was denied since bytes were last given back. */
    private boolean denied;

    /** {@code onExceeded} runs each time the limit is exceeded or begins to prevent reservations. */
    public MemoryBudget(long limitBytes, Runnable onExceeded) {
        this.limitBytes = limitBytes;
        this.onExceeded = onExceeded;
    }

    /** Adds {@code bytes}, which may be negative, to the bytes held. */
    public void add(long bytes) {
        boolean hadCapacity = hasCapacity();
        heldBytes += bytes;
        denied &= bytes >= 0;
        if (hadCapacity && !hasCapacity()) {
            onExceeded.run();
        }
    }

    /** Adds {@code bytes} if the limit allows it; returns whether it does. */
    public boolean tryReserve(long bytes) {
        if (heldBytes + bytes > limitBytes) {
            if (!denied) {
                denied = true;
                onExceeded.run();
            }
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Whether more bytes may be held. */
    public boolean hasCapacity() {
        return heldBytes <= limitBytes;
    }

    /** Bytes that are held. */
    public long heldBytes() {
        return heldBytes;
    }
}
