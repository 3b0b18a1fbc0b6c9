package loadbalancer.consensus;

/**
 * The stage that a process decides by.
 *
 * @param era identifies a period in which the voters have not lost their state; a new era begins when all voters have
 *     lost it
 * @param index position of the stage in its era; -1 before any stage is known
 * @param oldVersion version of the previous stage; equal to {@code newVersion} in a settled stage
 * @param newVersion version that the stage introduces; 0 before anything has been agreed on
 * @param leaseValid false if the process may have missed a change, and so only knows which stage was active last
 */
public record ActiveStage(long era, long index, long oldVersion, long newVersion, boolean leaseValid) {
    /** Whether both versions are active, so that the stricter of the two applies. */
    public boolean isJoint() {
        return oldVersion != newVersion;
    }

    /**
     * Whether two processes may decide by these stages at the same time. A process without a valid lease decides by no
     * stage.
     */
    public boolean isCompatibleWith(ActiveStage other) {
        return !leaseValid || !other.leaseValid || stage().isCompatibleWith(other.stage(), era == other.era);
    }

    private Stage stage() {
        return new Stage(index, oldVersion, newVersion);
    }

    /** @param lastStage the last known stage, null before any is known */
    static ActiveStage of(long era, Stage lastStage, boolean leaseValid) {
        return lastStage == null
                ? new ActiveStage(0, Stage.UNKNOWN_INDEX, Stage.NO_VERSION, Stage.NO_VERSION, false)
                : new ActiveStage(era, lastStage.index(), lastStage.oldVersion(), lastStage.newVersion(), leaseValid);
    }
}
