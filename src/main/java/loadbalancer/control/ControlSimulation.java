package loadbalancer.control;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.consensus.DatagramSender;
import loadbalancer.consensus.VirtualTime;

/**
 * Simulates a control tier and its sidecars on virtual time. Datagrams can be lost, duplicated, delayed and cut off by
 * partitions; clocks drift; processes can pause, crash and restart without memory. After each event the simulation
 * checks that no two processes decide by incompatible versions. Processes are numbered, replicas first, then sidecars.
 * The same seed gives the same result.
 */
public final class ControlSimulation {
    /** Largest drift of a clock from true time that leases allow for, as a fraction of the elapsed time. */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    private static final long START_MICROS = 1_000_000;
    private static final long MIN_TICK_DELAY_MICROS = 500;
    private static final int MAX_VIOLATIONS = 20;

    private final ControlGroup group;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime(START_MICROS);
    private final SimulatedProcess[] processes;
    /** Numbers of the sidecars that subscribe to a scope. */
    private final List<List<Integer>> subscribers = new ArrayList<>();

    private final List<String> violations = new ArrayList<>();
    private IntFunction<Function<byte[], String>> validators = number -> content -> null;
    private Network network = new Network(0, 0, 1_000);
    /** Processes on one side of the partition; datagrams between the two sides are lost. */
    private IntPredicate partitionedSide = number -> false;

    private long datagramsSent;
    private long bytesSent;

    /**
     * Creates a tier whose sidecars subscribe to random scopes; all processes start at random times within the first
     * second.
     */
    public ControlSimulation(ControlGroup group, int sidecars, int scopesPerSidecar, long seed) {
        this(group, sidecars, scopesPerSidecar, MAX_CLOCK_DRIFT, seed);
    }

    /**
     * @param clockDrift largest drift of each clock; above {@link #MAX_CLOCK_DRIFT} the checked invariant need not hold
     */
    ControlSimulation(ControlGroup group, int sidecars, int scopesPerSidecar, double clockDrift, long seed) {
        this.group = group;
        random = new SplittableRandom(seed);
        processes = new SimulatedProcess[group.replicas() + sidecars];
        List<Integer> allScopes = new ArrayList<>();
        for (int scope = 0; scope < group.scopes().size(); scope++) {
            allScopes.add(scope);
            subscribers.add(new ArrayList<>());
        }
        for (int number = 0; number < processes.length; number++) {
            List<Integer> scopes = number < group.replicas() ? allScopes : subscribe(number, scopesPerSidecar);
            double clockRate = 1 + clockDrift * (2 * random.nextDouble() - 1);
            processes[number] = new SimulatedProcess(number, scopes, clockRate);
            int started = number;
            time.schedule(random.nextLong(1_000_000), () -> start(started));
        }
    }

    private List<Integer> subscribe(int sidecar, int scopesPerSidecar) {
        int scopes = group.scopes().size();
        List<Integer> drawn = random.ints(0, scopes)
                .distinct()
                .limit(Math.min(scopesPerSidecar, scopes))
                .boxed()
                .toList();
        drawn.forEach(scope -> subscribers.get(scope).add(sidecar));
        return drawn;
    }

    /**
     * Sets the content validators, by process number, for processes that start afterwards. A validator returns why its
     * process can't apply a content, or null if it can.
     */
    public void setValidators(IntFunction<Function<byte[], String>> newValidators) {
        validators = newValidators;
    }

    /** Sets the fault rates and the delay of the network. */
    public void setNetwork(Network newNetwork) {
        network = newNetwork;
    }

    /** Separates these processes from all others; replaces an earlier partition. */
    public void partition(IntPredicate side) {
        partitionedSide = side;
    }

    /** Starts a process without memory, unless it is alive. */
    public void start(int number) {
        SimulatedProcess process = processes[number];
        if (process.isAlive()) {
            return;
        }
        process.incarnation++;
        process.pausedUntilMicros = 0;
        process.checkedStages = new ActiveStage[group.scopes().size()];
        long localMicros = localMicros(process);
        Function<byte[], String> validator = validators.apply(number);
        if (number < group.replicas()) {
            process.replica = new ControlReplica(group, number, random.nextLong(), localMicros, validator);
        } else {
            int[] replicas = RendezvousOrder.forSidecar(number, group.replicas());
            process.client =
                    new ControlClient(group, process.scopes, replicas, random.nextLong(), localMicros, validator);
        }
        scheduleTick(process, process.incarnation);
    }

    /** Crashes a process. */
    public void kill(int number) {
        SimulatedProcess process = processes[number];
        process.incarnation++;
        process.replica = null;
        process.client = null;
    }

    /** Pauses a process; datagrams that arrive meanwhile are delivered afterwards. */
    public void pause(int number, long durationMicros) {
        processes[number].pausedUntilMicros = time.nowMicros() + durationMicros;
    }

    private boolean isPaused(SimulatedProcess process) {
        return time.nowMicros() < process.pausedUntilMicros;
    }

    private long localMicros(SimulatedProcess process) {
        return process.localMicros(time.nowMicros());
    }

    private void scheduleTick(SimulatedProcess process, int incarnation) {
        long delayMicros = (long) ((process.nextTickMicros() - localMicros(process)) / process.clockRate);
        time.schedule(
                Math.max(MIN_TICK_DELAY_MICROS, delayMicros),
                () -> runIfAlive(process, incarnation, () -> {
                    tick(process);
                    scheduleTick(process, incarnation);
                }));
    }

    private void tick(SimulatedProcess process) {
        DatagramSender sender = senderOf(process.number);
        if (process.replica != null) {
            process.replica.tick(localMicros(process), sender);
        } else {
            process.client.tick(localMicros(process), sender);
        }
    }

    private void receive(SimulatedProcess process, int from, byte[] datagram) {
        DatagramSender sender = senderOf(process.number);
        if (process.replica != null) {
            process.replica.receive(localMicros(process), from, datagram, sender);
        } else if (from < group.replicas()) {
            process.client.receive(localMicros(process), from, datagram, sender);
        }
    }

    private void runIfAlive(SimulatedProcess process, int incarnation, Runnable action) {
        if (process.incarnation != incarnation || !process.isAlive()) {
            return;
        }
        if (isPaused(process)) {
            long remainingMicros = process.pausedUntilMicros - time.nowMicros();
            time.schedule(remainingMicros, () -> runIfAlive(process, incarnation, action));
            return;
        }
        action.run();
        checkProcess(process);
    }

    private DatagramSender senderOf(int from) {
        return (to, datagram) -> {
            datagramsSent++;
            bytesSent += datagram.length;
            boolean partitioned = partitionedSide.test(from) != partitionedSide.test(to);
            if (partitioned || random.nextDouble() < network.lossRate) {
                return;
            }
            int copies = random.nextDouble() < network.duplicationRate ? 2 : 1;
            SimulatedProcess process = processes[to];
            int incarnation = process.incarnation;
            for (int copy = 0; copy < copies; copy++) {
                long delayMicros = (long) (network.meanDelayMicros * (0.3 + 1.4 * random.nextDouble()));
                time.schedule(
                        delayMicros, () -> runIfAlive(process, incarnation, () -> receive(process, from, datagram)));
            }
        };
    }

    private ActiveStage activeStage(SimulatedProcess process, int scope) {
        return process.replica != null
                ? process.replica.activeStage(scope, localMicros(process))
                : process.client.activeStage(scope, localMicros(process));
    }

    /** Compares each stage that a process has newly changed to with those of all other processes of the scope. */
    private void checkProcess(SimulatedProcess process) {
        for (int scope : process.scopes) {
            ActiveStage active = activeStage(process, scope);
            if (!active.equals(process.checkedStages[scope])) {
                process.checkedStages[scope] = active;
                checkScope(process, scope, active);
            }
        }
    }

    private void checkScope(SimulatedProcess process, int scope, ActiveStage active) {
        for (int replica = 0; replica < group.replicas(); replica++) {
            checkPair(process, processes[replica], scope, active);
        }
        for (int sidecar : subscribers.get(scope)) {
            checkPair(process, processes[sidecar], scope, active);
        }
    }

    private void checkPair(SimulatedProcess process, SimulatedProcess other, int scope, ActiveStage active) {
        // A paused process decides nothing; its stage is checked when it resumes.
        if (!other.isAlive() || isPaused(other)) {
            return;
        }
        ActiveStage otherActive = activeStage(other, scope);
        if (!active.isCompatibleWith(otherActive) && violations.size() < MAX_VIOLATIONS) {
            violations.add("ONE_POLICY at " + time.nowMicros() + " us, scope " + scope + ": process " + process.number
                    + " decides by " + active + ", process " + other.number + " by " + otherActive);
        }
    }

    /** Proposes a content at a replica, if it is alive, and returns the content's version. */
    public long propose(int replica, int scope, byte[] content) {
        SimulatedProcess process = processes[replica];
        if (process.replica != null) {
            process.replica.propose(scope, content, localMicros(process), senderOf(replica));
            checkProcess(process);
        }
        return ConsensusNode.versionOf(content);
    }

    /** Whether a process is alive and not paused. */
    public boolean isRunning(int number) {
        return processes[number].isAlive() && !isPaused(processes[number]);
    }

    /** The replica of a process; null if the process is not alive. */
    public ControlReplica replica(int number) {
        return processes[number].replica;
    }

    /** The client of a sidecar's process; null if the process is not alive. */
    public ControlClient client(int number) {
        return processes[number].client;
    }

    /** The stage by which a process decides; a stage without a lease if the process is not alive. */
    public ActiveStage activeStage(int number, int scope) {
        SimulatedProcess process = processes[number];
        return process.isAlive() ? activeStage(process, scope) : new ActiveStage(0, -1, 0, 0, false);
    }

    /** Whether a process has a valid lease on a stage that has this version and is not joint. */
    public boolean hasAdopted(int number, int scope, long version) {
        ActiveStage active = activeStage(number, scope);
        return active.leaseValid() && !active.isJoint() && active.newVersion() == version;
    }

    /**
     * Whether all selected subscribers of a scope that are running and ready have adopted a version. Subscribers that
     * are not running or not ready serve no requests.
     */
    public boolean allHaveAdopted(IntPredicate selected, int scope, long version) {
        for (int number : subscribers.get(scope)) {
            boolean serving = isRunning(number) && processes[number].client.isReady();
            if (serving && selected.test(number) && !hasAdopted(number, scope, version)) {
                return false;
            }
        }
        return true;
    }

    /** Numbers of the sidecars that subscribe to a scope. */
    public List<Integer> subscribers(int scope) {
        return List.copyOf(subscribers.get(scope));
    }

    /** Number of replicas and sidecars, alive or not. */
    public int processCount() {
        return processes.length;
    }

    /** The current true time. */
    public long nowMicros() {
        return time.nowMicros();
    }

    /** Runs an action after a delay. */
    public void schedule(long delayMicros, Runnable action) {
        time.schedule(delayMicros, action);
    }

    /**
     * Runs until a condition holds; returns the elapsed time, or -1 if it did not hold within {@code timeoutMicros}.
     */
    public long runUntil(BooleanSupplier condition, long timeoutMicros) {
        return time.runUntil(condition, timeoutMicros);
    }

    /** Runs for a duration. */
    public void run(long durationMicros) {
        time.run(durationMicros);
    }

    /** Number of datagrams sent so far, including lost ones. */
    public long datagramsSent() {
        return datagramsSent;
    }

    /** Number of bytes sent so far, without headers, including lost ones. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Violations of the invariant; only the first {@link #MAX_VIOLATIONS} are recorded. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** State of a process: it has a replica or a sidecar's client, or neither while it is not alive. */
    private static final class SimulatedProcess {
        private final int number;
        private final List<Integer> scopes;
        private final double clockRate;
        private ControlReplica replica;
        private ControlClient client;
        /** Incremented by each start and kill; events of an earlier incarnation are dropped. */
        private int incarnation;

        private long pausedUntilMicros;
        /** The last checked stage of each scope; entries are null before the first check. */
        private ActiveStage[] checkedStages;

        SimulatedProcess(int number, List<Integer> scopes, double clockRate) {
            this.number = number;
            this.scopes = scopes;
            this.clockRate = clockRate;
        }

        boolean isAlive() {
            return replica != null || client != null;
        }

        long nextTickMicros() {
            return replica != null ? replica.nextTickMicros() : client.nextTickMicros();
        }

        long localMicros(long trueMicros) {
            return (long) (trueMicros * clockRate);
        }
    }

    /**
     * Fault rates and delay of a network.
     *
     * @param lossRate fraction of the datagrams that are lost
     * @param duplicationRate fraction of the other datagrams that arrive twice
     */
    public record Network(double lossRate, double duplicationRate, long meanDelayMicros) {}
}
