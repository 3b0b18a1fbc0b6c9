package loadbalancer.consensus;

/**
 * One process of a voter. A voter's state is lost when its process ends, and the next process has a higher count. A
 * restarted voter possibly knows no promise of its earlier incarnations, so the answer of an incarnation counts
 * towards a quorum only while no other answer of the quorum knows a later incarnation (crash-consistent quorums:
 * Michael, Ports, Sharma, Szekeres, Recovering Shared Objects Without Stable Storage, DISC 2017).
 *
 * @param count grows with each incarnation of the voter; 0 if no incarnation is known
 * @param nonce drawn by the process, distinguishes two incarnations with the same count
 */
record Incarnation(int count, int nonce) {
    static final Incarnation UNKNOWN = new Incarnation(0, 0);

    boolean isBefore(Incarnation other) {
        return count < other.count || count == other.count && nonce < other.nonce;
    }

    static Incarnation latest(Incarnation first, Incarnation second) {
        return first.isBefore(second) ? second : first;
    }
}
