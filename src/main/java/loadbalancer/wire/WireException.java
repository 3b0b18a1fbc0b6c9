package loadbalancer.wire;

/** Thrown for input that violates the simulator's line protocol; the message is meant for a person. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message what is wrong, with the field or line */
    public WireException(String message) {
        super(message);
    }
}
