package loadbalancer.consensus;

/**
 * Size and timing of a group, the same at all its processes.
 *
 * @param voters number of voters, which are the members with the lowest numbers; odd, at most {@link #MAX_VOTERS}
 * @param members number of members, the processes that adopt every stage, numbered from 0
 * @param leaseMicros length of a member's lease, counted from its request by its own clock
 * @param leaseExpiryMicros time after which a lease has expired by any clock: the lease plus the allowed clock drift
 * @param subscriberLeaseMicros longest lease that a member grants to a subscriber; 0 without subscribers
 */
record GroupConfig(int voters, int members, long leaseMicros, long leaseExpiryMicros, long subscriberLeaseMicros) {
    static final int MAX_VOTERS = 7;

    GroupConfig {
        boolean invalidVoters = voters < 1 || voters > MAX_VOTERS || voters % 2 == 0 || voters > members;
        boolean invalidSubscriberLease = subscriberLeaseMicros < 0 || subscriberLeaseMicros > leaseMicros;
        if (invalidVoters || leaseExpiryMicros < leaseMicros || invalidSubscriberLease) {
            throw new IllegalArgumentException(
                    "invalid group: expected an odd number of at most 7 voters among the members, an expiry of at least the lease"
                            + " and a subscriber lease of at most the lease, found " + voters + " voters of " + members
                            + ", lease "
                            + leaseMicros + " us, expiry " + leaseExpiryMicros + " us, subscriber lease "
                            + subscriberLeaseMicros + " us");
        }
    }

    /** Creates the configuration of a group without subscribers. */
    GroupConfig(int voters, int members, long leaseMicros, long leaseExpiryMicros) {
        this(voters, members, leaseMicros, leaseExpiryMicros, 0);
    }

    /** Returns how long a leader waits for members to validate a version. */
    long validationTimeoutMicros() {
        return subscriberLeaseMicros > 0 ? leaseExpiryMicros / 3 : leaseExpiryMicros / 6;
    }

    /** Returns how long a member waits for its subscribers to validate a version. */
    long subscriberValidationTimeoutMicros() {
        return validationTimeoutMicros() / 2;
    }

    int majority() {
        return voters / 2 + 1;
    }
}
