package loadbalancer.consensus;

/**
 * A rule that safety depends on. Tests run {@link Explorer} without one rule at a time to show that each is necessary.
 */
enum SafetyRule {
    /** A voter that has lost its state votes only after it has recovered the state of a majority. */
    RECOVERY,
    /** Answers of a voter's earlier incarnation do not count towards a quorum. */
    INCARNATIONS,
    /** A joint stage lies between any two versions. */
    JOINT_STAGE,
    /**
     * The next stage is proposed once all members have adopted the current one, or every lease on an earlier stage has
     * expired.
     */
    WAITING,
    /** A process without a valid lease decides by no stage. */
    LEASE_END,
    /**
     * A member adopts a stage only if a majority has accepted it or a voter knows that it is chosen, and the replies of
     * a majority show no later stage.
     */
    MAJORITY,
    /** A member reports a stage as adopted only when none of its subscribers can still decide by an earlier stage. */
    SUBSCRIBERS_PAST,
    /** A subscriber's lease expires no later than the lease of the member that granted it. */
    NESTED_LEASE,
    /** A restarted member reports no adopted stage while leases that its earlier process granted may still be valid. */
    QUIET_START
}
