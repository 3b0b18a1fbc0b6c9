package loadbalancer.trace;

/** Why a trace is worth keeping, the gravest first. */
public enum SamplingReason {
    /** It ended in a failure. */
    FAILED(Pool.FAULT),
    /** Its client left before the answer. */
    LEFT(Pool.FAULT),
    /** It was refused. */
    REFUSED(Pool.FAULT),
    /** An attempt followed one that had not ended well. */
    RETRIED(Pool.FAULT),
    /** The client asked for the same once more. */
    RESENT(Pool.FAULT),
    /** Its answer came after its aim. */
    SLOW(Pool.FAULT),
    /** A second copy was sent while the first was out. */
    HEDGED(Pool.NOTABLE),
    /** Whoever came before keeps its part. */
    ASKED(Pool.NOTABLE),
    /** One of the many; some are kept so that trouble can be told from what is usual. */
    ORDINARY(Pool.ORDINARY);

    /** What shares one rate, the one that gives way last first. */
    public enum Pool {
        FAULT,
        NOTABLE,
        ORDINARY
    }

    final Pool pool;

    SamplingReason(Pool pool) {
        this.pool = pool;
    }
}
