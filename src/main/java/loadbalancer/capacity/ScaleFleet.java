package loadbalancer.capacity;

/**
 * Configuration that all members of a scale run share.
 *
 * @param name distinguishes this fleet's datagrams from those of others
 * @param members number of all members, including a real sidecar
 * @param voters number of voters; they have the lowest member numbers
 * @param leaseMicros length of a lease, for which a member without contact to the voters may still decide by
 *     its configuration
 * @param seed of all random numbers
 */
record ScaleFleet(String name, int members, int voters, long leaseMicros, long seed) {}
