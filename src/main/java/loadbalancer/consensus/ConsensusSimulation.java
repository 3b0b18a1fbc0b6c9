package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;

/**
 * {@link ConsensusNode}s on virtual time, with a network that loses, delays, duplicates and partitions, and members that crash and restart
 * without memory. After each event it checks that no two members with a valid lease decide by incompatible versions. The same seed gives the
 * same result.
 */
public final class ConsensusSimulation {
    private static final long START_MICROS = 1_000_000;
    private static final long MIN_TICK_DELAY_MICROS = 1_000;
    private static final int MAX_VIOLATIONS = 20;
    private static final long NOT_JOINT = -1;

    private final int voters;
    private final long leaseMicros;
    private final IntFunction<Function<byte[], String>> validators;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(START_MICROS);
    /** By member; null while its process is not running. */
    private final ConsensusNode[] nodes;
    /** How many processes each member has had, stopped ones included; events for an earlier one are dropped. */
    private final int[] incarnations;

    private final long[] pausedUntilMicros;
    private final List<String> violations = new ArrayList<>();
    private double lossRate;
    private double duplicationRate;
    private long meanDelayMicros = 5_000;
    /** Members of different sides receive nothing from each other. */
    private IntPredicate otherSide = member -> false;

    private long sentMessages;
    private long sentBytes;
    private long jointSinceMicros = NOT_JOINT;
    private long longestJointMicros;

    /** Members that accept every content. */
    public ConsensusSimulation(int voters, int members, long leaseMicros, long seed) {
        this(voters, members, leaseMicros, seed, member -> content -> null);
    }

    /**
     * Members that start at random times within the first second.
     *
     * @param validators why a member, by its number, can't apply a content; null if it can
     */
    public ConsensusSimulation(
            int voters, int members, long leaseMicros, long seed, IntFunction<Function<byte[], String>> validators) {
        this.voters = voters;
        this.leaseMicros = leaseMicros;
        this.validators = validators;
        random = new SplittableRandom(seed);
        nodes = new ConsensusNode[members];
        incarnations = new int[members];
        pausedUntilMicros = new long[members];
        for (int member = 0; member < members; member++) {
            int started = member;
            time.schedule(random.nextLong(1_000_000), () -> start(started));
        }
    }

    /**
     * Changes the network's faults.
     *
     * @param newLossRate fraction of the messages that is lost
     * @param newDuplicationRate fraction of the others that arrives twice
     */
    public void setNetwork(double newLossRate, double newDuplicationRate, long newMeanDelayMicros) {
        lossRate = newLossRate;
        duplicationRate = newDuplicationRate;
        meanDelayMicros = newMeanDelayMicros;
    }

    /** Separates these members from the others. */
    public void partition(IntPredicate side) {
        otherSide = side;
    }

    /** Starts a process of a member without memory, in place of its present one if any. */
    public void start(int member) {
        incarnations[member]++;
        pausedUntilMicros[member] = 0;
        nodes[member] = new ConsensusNode(
                ConsensusGroup.withoutSubscribers(1, voters, nodes.length, leaseMicros),
                member,
                random.nextLong(),
                time.nowMicros(),
                validators.apply(member));
        scheduleTick(member, incarnations[member]);
    }

    /** Ends a member's process at once. */
    public void kill(int member) {
        incarnations[member]++;
        nodes[member] = null;
    }

    /** Stops a member for a time; what arrives meanwhile is delivered afterwards. */
    public void pause(int member, long durationMicros) {
        pausedUntilMicros[member] = time.nowMicros() + durationMicros;
    }

    private boolean isPaused(int member) {
        return time.nowMicros() < pausedUntilMicros[member];
    }

    private void scheduleTick(int member, int incarnation) {
        long delayMicros = Math.max(MIN_TICK_DELAY_MICROS, nodes[member].nextTickMicros() - time.nowMicros());
        time.schedule(
                delayMicros,
                () -> runIfAlive(member, incarnation, () -> {
                    nodes[member].tick(time.nowMicros(), senderOf(member));
                    scheduleTick(member, incarnation);
                }));
    }

    private void runIfAlive(int member, int incarnation, Runnable action) {
        if (incarnations[member] != incarnation || nodes[member] == null) {
            return;
        }
        if (isPaused(member)) {
            long remainingMicros = pausedUntilMicros[member] - time.nowMicros();
            time.schedule(remainingMicros, () -> runIfAlive(member, incarnation, action));
            return;
        }
        action.run();
        checkInvariant();
    }

    private DatagramSender senderOf(int from) {
        return (to, datagram) -> {
            sentMessages++;
            sentBytes += datagram.length;
            if (otherSide.test(from) != otherSide.test(to) || random.nextDouble() < lossRate) {
                return;
            }
            int copies = random.nextDouble() < duplicationRate ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long delayMicros = (long) (meanDelayMicros * (0.3 + 1.4 * random.nextDouble()));
                time.schedule(delayMicros, () -> deliver(from, to, datagram));
            }
        };
    }

    private void deliver(int from, int to, byte[] datagram) {
        runIfAlive(to, incarnations[to], () -> nodes[to].receive(time.nowMicros(), from, datagram, senderOf(to)));
    }

    private void checkInvariant() {
        ActiveStage settled = null;
        ActiveStage joint = null;
        ActiveStage otherSettled = null;
        for (int member = 0; member < nodes.length; member++) {
            if (nodes[member] == null || isPaused(member)) {
                continue;
            }
            ActiveStage active = activeStage(member);
            if (!active.leaseValid() || active.newVersion() == Stage.NO_VERSION) {
                continue;
            }
            if (active.isJoint()) {
                joint = active;
            } else if (settled != null && settled.newVersion() != active.newVersion()) {
                otherSettled = active;
            } else {
                settled = active;
            }
        }
        boolean uncovered = settled != null
                && joint != null
                && joint.oldVersion() != settled.newVersion()
                && joint.newVersion() != settled.newVersion();
        if ((otherSettled != null || uncovered) && violations.size() < MAX_VIOLATIONS) {
            violations.add(
                    "ONE_POLICY at " + time.nowMicros() + " us: " + settled + ", " + joint + ", " + otherSettled);
        }
        recordJoint(joint != null);
    }

    private void recordJoint(boolean joint) {
        if (!joint && jointSinceMicros != NOT_JOINT) {
            longestJointMicros = Math.max(longestJointMicros, time.nowMicros() - jointSinceMicros);
            jointSinceMicros = NOT_JOINT;
        } else if (joint && jointSinceMicros == NOT_JOINT) {
            jointSinceMicros = time.nowMicros();
        }
    }

    /** Runs until a condition holds; the time that this took, or -1 if it did not hold within {@code timeoutMicros}. */
    public long runUntil(BooleanSupplier condition, long timeoutMicros) {
        return time.runUntil(condition, timeoutMicros);
    }

    /** Runs for a time. */
    public void run(long durationMicros) {
        time.run(durationMicros);
    }

    /** Proposes a content at a running member and returns its version; a rejection is read from its {@link #node}. */
    public long propose(int member, byte[] content) {
        nodes[member].propose(time.nowMicros(), content, senderOf(member));
        return ContentStore.versionOf(content);
    }

    /** The process of a member; null if it is not running. */
    public ConsensusNode node(int member) {
        return nodes[member];
    }

    /** The stage that a running member decides by. */
    ActiveStage activeStage(int member) {
        return nodes[member].activeStage(time.nowMicros());
    }

    /** Whether a member has a valid lease on a settled stage with this version. */
    public boolean hasAdopted(int member, long version) {
        if (!hasValidLease(member)) {
            return false;
        }
        ActiveStage active = activeStage(member);
        return !active.isJoint() && active.newVersion() == version;
    }

    /** Whether all selected members have. */
    public boolean allHaveAdopted(IntPredicate selected, long version) {
        for (int member = 0; member < nodes.length; member++) {
            if (selected.test(member) && !hasAdopted(member, version)) {
                return false;
            }
        }
        return true;
    }

    /** Voters that run and have kept or recovered their memory. */
    public int votersWithMemory() {
        int count = 0;
        for (int voter = 0; voter < voters; voter++) {
            count += nodes[voter] != null && nodes[voter].canVote() ? 1 : 0;
        }
        return count;
    }

    /** Whether a member runs and has a valid lease. */
    public boolean hasValidLease(int member) {
        return nodes[member] != null && activeStage(member).leaseValid();
    }

    /** Messages sent so far, lost ones included. */
    public long sentMessages() {
        return sentMessages;
    }

    /** Bytes of those messages. */
    public long sentBytes() {
        return sentBytes;
    }

    /** The longest time for which a joint stage was active at any member. */
    public long longestJointMicros() {
        return longestJointMicros;
    }

    /** Violations of the invariant, up to a bound. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
