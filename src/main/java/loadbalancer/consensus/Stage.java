package loadbalancer.consensus;

/**
 * The value of the register: either one version (settled), or two versions of which the stricter applies (joint, as in
 * Raft's joint consensus). Different processes may decide by adjacent stages at the same time, but never by stages two
 * apart.
 *
 * @param index position in the sequence of stages
 * @param oldVersion version of the previous stage; equal to {@code newVersion} in a settled stage
 * @param newVersion version that the stage introduces
 */
record Stage(long index, long oldVersion, long newVersion) {
    /** The version of a group that has not agreed on any yet; each process then applies its safe defaults. */
    static final long NO_VERSION = 0;
    /** Stage index of a process that knows no stage; lower than the index of any stage. */
    static final long UNKNOWN_INDEX = -1;

    static final Stage INITIAL = new Stage(0, NO_VERSION, NO_VERSION);

    /** Whether both versions are active. */
    boolean isJoint() {
        return oldVersion != newVersion;
    }

    /**
     * Whether two processes may decide by these stages at the same time: both have the same versions, or one is joint
     * and covers the other's version. A process without a version applies safe defaults, which are compatible with
     * every stage. Stages with the same era and index have to be equal.
     */
    boolean isCompatibleWith(Stage other, boolean sameEra) {
        if (sameEra && index == other.index) {
            return equals(other);
        }
        boolean safeDefaults = newVersion == NO_VERSION || other.newVersion == NO_VERSION;
        boolean sameVersions = oldVersion == other.oldVersion && newVersion == other.newVersion;
        return safeDefaults || sameVersions || covers(other) || other.covers(this);
    }

    private boolean covers(Stage other) {
        return isJoint() && !other.isJoint() && (other.newVersion == oldVersion || other.newVersion == newVersion);
    }

    /** Returns the joint stage that introduces a version after this stage. */
    Stage jointWith(long version) {
        if (isJoint()) {
            throw new IllegalStateException("stage " + this + " is joint, expected a settled stage before version "
                    + version + " is introduced");
        }
        return new Stage(index + 1, newVersion, version);
    }

    /** Returns the settled stage of a version after this stage. */
    Stage settledOn(long version) {
        return new Stage(index + 1, version, version);
    }

    @Override
    public String toString() {
        return index + ":" + (isJoint() ? oldVersion + "+" + newVersion : String.valueOf(newVersion));
    }
}
