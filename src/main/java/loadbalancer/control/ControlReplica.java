package loadbalancer.control;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.consensus.ConsensusGroup;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.consensus.DatagramSender;

/**
 * One replica of the control tier: a member of each scope's register that grants leases to sidecars. Registers are
 * independent, so a change of one scope never waits for a change of another. Does no I/O; times are in microseconds of
 * a monotonic clock. Not thread-safe.
 */
public final class ControlReplica {
    /** Interval between ticks; the messages that all registers send in one tick share datagrams. */
    static final long TICK_INTERVAL_MICROS = 20_000;

    /** The register of each scope, by scope index. */
    private final ConsensusNode[] registers;

    private final Map<Integer, ConsensusNode> registerById = new HashMap<>();
    private long nextTickMicros;
    private long droppedMessages;

    /**
     * Creates a replica that remembers nothing of an earlier run.
     *
     * @param replicaId number of this replica; voters have the lowest numbers
     * @param seed different for each process
     * @param validator returns why a content can't be applied here, or null if it can
     */
    public ControlReplica(
            ControlGroup group, int replicaId, long seed, long nowMicros, Function<byte[], String> validator) {
        SplittableRandom seeds = new SplittableRandom(seed);
        registers = new ConsensusNode[group.scopes().size()];
        for (int scope = 0; scope < registers.length; scope++) {
            ConsensusGroup register = group.register(scope);
            registers[scope] = new ConsensusNode(register, replicaId, seeds.nextLong(), nowMicros, validator);
            registerById.put(register.registerId(), registers[scope]);
        }
        nextTickMicros = nowMicros;
    }

    /** The last stage of a scope that this replica knows to be active. */
    public ActiveStage activeStage(int scope, long nowMicros) {
        return registers[scope].activeStage(nowMicros);
    }

    /** Whether this replica has a valid lease on each scope, so that it can grant leases on all of them. */
    public boolean isReady(long nowMicros) {
        for (ConsensusNode register : registers) {
            if (!register.activeStage(nowMicros).leaseValid()) {
                return false;
            }
        }
        return true;
    }

    /** Whether this replica is a voter and, in each scope, has the memory that it needs to vote. */
    public boolean canVote() {
        for (ConsensusNode register : registers) {
            if (!register.canVote()) {
                return false;
            }
        }
        return true;
    }

    /** Proposes a content for a scope; returns why it is rejected, if it can't be applied here. */
    public Optional<String> propose(int scope, byte[] content, long nowMicros, DatagramSender sender) {
        DatagramBatch batch = new DatagramBatch(sender);
        Optional<String> rejection = registers[scope].propose(nowMicros, content, batch::add);
        batch.flush();
        return rejection;
    }

    /** Requests a rollback of an unfinished change of a scope. */
    public void abort(int scope, long nowMicros, DatagramSender sender) {
        DatagramBatch batch = new DatagramBatch(sender);
        registers[scope].abort(nowMicros, batch::add);
        batch.flush();
    }

    /** Whether the last proposal made here for a scope is neither active, rejected, nor timed out. */
    public boolean isProposalPending(int scope) {
        return registers[scope].isProposalPending();
    }

    /** Which process rejected the last proposal made here for a scope and why, if one did. */
    public Optional<String> rejectionReason(int scope) {
        return registers[scope].rejectionReason();
    }

    /**
     * If this replica leads a change of a scope, the numbers of the replicas that the change waits for; empty if it
     * leads none.
     */
    public BitSet awaitedReplicas(int scope) {
        return registers[scope].awaitedMembers();
    }

    /** When {@link #tick} is due next. */
    public long nextTickMicros() {
        return nextTickMicros;
    }

    /** Ticks the registers that are due. */
    public void tick(long nowMicros, DatagramSender sender) {
        nextTickMicros = nowMicros + TICK_INTERVAL_MICROS;
        DatagramBatch batch = new DatagramBatch(sender);
        for (ConsensusNode register : registers) {
            if (nowMicros >= register.nextTickMicros()) {
                register.tick(nowMicros, batch::add);
            }
        }
        batch.flush();
    }

    /** Processes a datagram; {@code from} is the number of the replica or sidecar that sent it. */
    public void receive(long nowMicros, int from, byte[] datagram, DatagramSender sender) {
        DatagramBatch batch = new DatagramBatch(sender);
        boolean complete = DatagramBatch.read(datagram, message -> {
            ConsensusNode register = registerById.get(ConsensusNode.registerIdOf(message));
            if (register != null) {
                register.receive(nowMicros, from, message, batch::add);
            } else {
                droppedMessages++;
            }
        });
        if (!complete) {
            droppedMessages++;
        }
        batch.flush();
    }

    /**
     * Number of datagrams and messages that were malformed, of another tier or scope, or not allowed from their sender.
     */
    public long droppedMessages() {
        long sum = droppedMessages;
        for (ConsensusNode register : registers) {
            sum += register.droppedMessages();
        }
        return sum;
    }
}
