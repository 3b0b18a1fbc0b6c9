package loadbalancer.simulation.accounting;

/** What an upstream truly was when an attempt at it ended, whatever its sidecar assumed. */
public enum UpstreamCondition {
    WARM("warm"),
    SLOW_START("cold"),
    /** Frozen, returning errors, or slower than it should be. */
    FAULTY("bad"),
    /** Dead or partitioned, while others of its zone are not. */
    UNREACHABLE("lost"),
    /** No upstream of its zone can be reached. */
    DEAD_ZONE("dead zone"),
    /** Removed for good: only an outdated endpoint list has it. */
    REMOVED("gone");

    private final String description;

    UpstreamCondition(String description) {
        this.description = description;
    }

    /** As tables and JSON have it. */
    public String description() {
        return description;
    }
}
