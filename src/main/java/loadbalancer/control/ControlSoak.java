package loadbalancer.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * A soak test on a {@link ControlSimulation}: makes changes while processes restart and pause, and regions are
 * partitioned, at random times. Changes of different scopes may overlap; those of one scope follow each other. The same
 * seed gives the same result.
 */
public final class ControlSoak {
    private static final long SECOND_MICROS = 1_000_000;
    /** Interval at which the operator's tool polls whether a change is active. */
    private static final long POLL_INTERVAL_MICROS = 20_000;
    /** Delay after which a change that its replica has abandoned is proposed again, at a random replica. */
    private static final long PROPOSAL_RETRY_MICROS = SECOND_MICROS;

    private static final long CHANGE_TIMEOUT_MICROS = 60 * SECOND_MICROS;
    private static final int MAX_REPLICA_DRAWS = 100;
    private static final int NO_REPLICA = -1;

    private final Plan plan;
    private final SplittableRandom random;
    private final ControlSimulation simulation;
    private final BitSet busyScopes = new BitSet();
    private final List<Long> latenciesMicros = new ArrayList<>();
    private int timedOutChanges;
    private int pendingChanges;
    private int proposedChanges;
    private boolean finished;
    private IntPredicate partitionedSide = number -> false;

    private ControlSoak(Plan plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed);
        simulation = new ControlSimulation(plan.group, plan.sidecars, plan.scopesPerSidecar, seed);
        simulation.setNetwork(new ControlSimulation.Network(0.01, 0.01, 2_000));
    }

    /** Runs one soak test. */
    public static Outcome run(Plan plan, long seed) {
        return new ControlSoak(plan, seed).run();
    }

    private Outcome run() {
        simulation.run(10 * SECOND_MICROS);
        simulation.schedule(drawExponentialMicros(plan.meanChangeIntervalMicros), this::startChange);
        simulation.schedule(drawExponentialMicros(plan.meanRestartIntervalMicros), this::restartProcess);
        long plannedMicros = plan.changes * plan.meanChangeIntervalMicros;
        for (int partition = 0; partition < plan.partitions; partition++) {
            simulation.schedule(random.nextLong(plannedMicros), this::partitionRegion);
        }
        simulation.runUntil(
                () -> proposedChanges >= plan.changes && pendingChanges == 0,
                2 * plannedMicros + CHANGE_TIMEOUT_MICROS);
        finished = true;
        long[] sortedMicros =
                latenciesMicros.stream().mapToLong(Long::longValue).toArray();
        Arrays.sort(sortedMicros);
        return new Outcome(sortedMicros, timedOutChanges + pendingChanges, simulation.violations());
    }

    private long drawExponentialMicros(long meanMicros) {
        return (long) (-Math.log(1 - random.nextDouble()) * meanMicros);
    }

    private void startChange() {
        if (proposedChanges >= plan.changes) {
            return;
        }
        int scope = random.nextInt(plan.group.scopes().size());
        if (busyScopes.get(scope)) {
            simulation.schedule(POLL_INTERVAL_MICROS, this::startChange);
            return;
        }
        proposedChanges++;
        pendingChanges++;
        busyScopes.set(scope);
        new Change(scope, content(proposedChanges)).poll();
        simulation.schedule(drawExponentialMicros(plan.meanChangeIntervalMicros), this::startChange);
    }

    private static byte[] content(int number) {
        return ("limit = " + number + "\n").repeat(40).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Restarts or pauses a random process. A voter is left running while any voter is down, paused or without
     * memory, so that with three voters or more a majority always keeps its memory.
     */
    private void restartProcess() {
        if (finished) {
            return;
        }
        int number = random.nextInt(simulation.processCount());
        boolean memoryNeeded = number < plan.group.voters() && votersWithoutMemory() > 0;
        if (simulation.isRunning(number) && !memoryNeeded) {
            if (random.nextInt(4) == 0) {
                simulation.pause(number, drawExponentialMicros(plan.meanDowntimeMicros));
            } else {
                simulation.kill(number);
                simulation.schedule(drawExponentialMicros(plan.meanDowntimeMicros), () -> simulation.start(number));
            }
        }
        simulation.schedule(drawExponentialMicros(plan.meanRestartIntervalMicros), this::restartProcess);
    }

    private int votersWithoutMemory() {
        int count = 0;
        for (int voter = 0; voter < plan.group.voters(); voter++) {
            boolean hasMemory =
                    simulation.isRunning(voter) && simulation.replica(voter).canVote();
            count += hasMemory ? 0 : 1;
        }
        return count;
    }

    /** Separates a minority of the replicas and a third of the sidecars from the others for 2 to 12 s. */
    private void partitionRegion() {
        int voters = plan.group.voters();
        int replicas = plan.group.replicas();
        int firstSidecar = replicas + 2 * plan.sidecars / 3;
        partitionedSide = number -> number < replicas ? number > voters / 2 && number % 2 == 1 : number >= firstSidecar;
        simulation.partition(partitionedSide);
        simulation.schedule(2 * SECOND_MICROS + random.nextLong(10 * SECOND_MICROS), () -> {
            partitionedSide = number -> false;
            simulation.partition(partitionedSide);
        });
    }

    private boolean isReachable(int number) {
        return !partitionedSide.test(number);
    }

    private int drawReplica() {
        for (int draw = 0; draw < MAX_REPLICA_DRAWS; draw++) {
            int replica = random.nextInt(plan.group.replicas());
            if (simulation.isRunning(replica) && isReachable(replica)) {
                return replica;
            }
        }
        return 0;
    }

    /** One change, from its proposal until it is active or timed out. */
    private final class Change {
        private final int scope;
        private final byte[] content;
        private final long startedAtMicros = simulation.nowMicros();
        private long version;
        private int replica = NO_REPLICA;
        private long proposedAtMicros;

        Change(int scope, byte[] content) {
            this.scope = scope;
            this.content = content;
        }

        void poll() {
            long elapsedMicros = simulation.nowMicros() - startedAtMicros;
            if (replica == NO_REPLICA || isAbandoned()) {
                propose();
            }
            boolean adopted = simulation.allHaveAdopted(ControlSoak.this::isReachable, scope, version);
            if (!adopted && elapsedMicros < CHANGE_TIMEOUT_MICROS) {
                simulation.schedule(POLL_INTERVAL_MICROS, this::poll);
                return;
            }
            if (adopted) {
                latenciesMicros.add(elapsedMicros);
            } else {
                timedOutChanges++;
            }
            busyScopes.clear(scope);
            pendingChanges--;
        }

        private boolean isAbandoned() {
            ControlReplica proposer = simulation.replica(replica);
            boolean pending = proposer != null && proposer.isProposalPending(scope) && isReachable(replica);
            return !pending && simulation.nowMicros() - proposedAtMicros >= PROPOSAL_RETRY_MICROS;
        }

        private void propose() {
            replica = drawReplica();
            proposedAtMicros = simulation.nowMicros();
            version = simulation.propose(replica, scope, content);
        }
    }

    /**
     * Size, length and fault rates of a soak test. Intervals are drawn from exponential distributions.
     *
     * @param scopesPerSidecar number of scopes that each sidecar subscribes to
     * @param changes number of changes in all
     * @param meanChangeIntervalMicros mean interval between two changes
     * @param meanRestartIntervalMicros mean interval between two restarts or pauses of any process
     * @param meanDowntimeMicros mean time for which a restarted or paused process is down
     * @param partitions number of times that a region is separated from the others
     */
    public record Plan(
            ControlGroup group,
            int sidecars,
            int scopesPerSidecar,
            int changes,
            long meanChangeIntervalMicros,
            long meanRestartIntervalMicros,
            long meanDowntimeMicros,
            int partitions) {}

    /**
     * Results of a soak test.
     *
     * @param latenciesMicros time of each change from its proposal until all reachable sidecars have adopted it, in
     *     ascending order
     * @param unfinished number of changes that timed out or were pending at the end
     * @param violations violations of the simulation's invariant
     */
    public record Outcome(long[] latenciesMicros, int unfinished, List<String> violations) {
        /** A quantile, from 0 to 1, of the changes' latencies; 0 without changes. */
        public long latencyQuantileMicros(double quantile) {
            int changes = latenciesMicros.length;
            return changes == 0 ? 0 : latenciesMicros[(int) Math.min(changes - 1, quantile * changes)];
        }
    }
}
