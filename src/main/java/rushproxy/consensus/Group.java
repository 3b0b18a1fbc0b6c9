package rushproxy.consensus;

/**
 * Who agrees, known to all.
 *
 * @param voters  the first so many sidecars by their numbers vote, an odd number of at most {@link #MOST_VOTERS}
 * @param members sidecars in all
 * @param leaseUs how long after asking a sidecar goes by what it heard
 * @param waitUs  how long after a stage was chosen nobody goes by the one before it: the lease, and what clocks may run apart in it
 */
record Group(int voters, int members, long leaseUs, long waitUs) {
    static final int MOST_VOTERS = 7;

    Group {
        if (voters < 1 || voters > MOST_VOTERS || voters % 2 == 0 || voters > members || waitUs < leaseUs) {
            throw new IllegalArgumentException(
                    "no group: " + voters + " voters of " + members + ", " + leaseUs + " us, " + waitUs + " us");
        }
    }

    /** How long a version is staged before those that have not said that they can take it are waited for no more. */
    long stageUs() {
        return waitUs / 6;
    }

    int majority() {
        return voters / 2 + 1;
    }
}
