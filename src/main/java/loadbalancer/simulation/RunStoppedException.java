package loadbalancer.simulation;

/** A day was broken off before its end, since nobody waits for it any more. */
public final class RunStoppedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RunStoppedException() {
        super("the day was broken off");
    }
}
