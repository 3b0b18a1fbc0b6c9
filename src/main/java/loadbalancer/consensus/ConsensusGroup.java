package loadbalancer.consensus;

/**
 * The configuration of a group that agrees on one register; the same at all processes of the group.
 *
 * @param registerId distinguishes this register's messages from those of other registers
 * @param voters number of voters, which are the members with the lowest numbers: 1, 3, 5 or 7
 * @param members number of members, the processes that adopt every stage, numbered from 0
 * @param leaseMicros length of a member's lease
 * @param subscriberLeaseMicros longest lease of a subscriber, at most {@code leaseMicros}; 0 without subscribers
 */
public record ConsensusGroup(int registerId, int voters, int members, long leaseMicros, long subscriberLeaseMicros) {
    /** How far a clock may drift from true time, as a fraction of the time that passes. */
    private static final double MAX_CLOCK_DRIFT = 0.02;

    /** Creates the configuration of a group in which every process is a member. */
    public static ConsensusGroup withoutSubscribers(int registerId, int voters, int members, long leaseMicros) {
        return new ConsensusGroup(registerId, voters, members, leaseMicros, 0);
    }

    GroupConfig config() {
        // Twice the drift, because the clocks of two processes may drift in opposite directions.
        long leaseExpiryMicros = (long) (leaseMicros * (1 + 2 * MAX_CLOCK_DRIFT));
        return new GroupConfig(voters, members, leaseMicros, leaseExpiryMicros, subscriberLeaseMicros);
    }
}
