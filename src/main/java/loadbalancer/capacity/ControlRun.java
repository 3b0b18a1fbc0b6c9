package loadbalancer.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A control tier on real sockets: each replica in a process of its own, the control parts of all sidecars in a few host
 * processes. The number of processes and all waits are bounded. Only processes started here are stopped, on
 * {@link #close}; they also exit when this process does.
 */
public final class ControlRun implements AutoCloseable {
    private static final int SIDECARS_PER_HOST = 525;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long START_TIMEOUT_MILLIS = 60_000;

    private final ControlFleet fleet;
    private final List<HostProcess> replicaHosts = new ArrayList<>();
    private final List<HostProcess> sidecarHosts = new ArrayList<>();
    private int proposals;

    /** Starts all processes and tells each the addresses of the others. */
    public ControlRun(ControlFleet fleet) throws IOException {
        if (fleet.sidecars() > ScaleRun.MAX_MEMBERS) {
            throw new IllegalArgumentException(
                    fleet.sidecars() + " sidecars, expected at most " + ScaleRun.MAX_MEMBERS);
        }
        this.fleet = fleet;
        try {
            for (int replica = 0; replica < fleet.replicas(); replica++) {
                replicaHosts.add(startHost(replica, replica + 1));
            }
            for (int first = fleet.replicas(); first < fleet.processes(); first += SIDECARS_PER_HOST) {
                sidecarHosts.add(startHost(first, Math.min(fleet.processes(), first + SIDECARS_PER_HOST)));
            }
            StringBuilder peersCommand = new StringBuilder("peers");
            allHosts().forEach(host -> host.ports()
                    .forEach(port -> peersCommand.append(' ').append(port)));
            HostProcess.askAll(allHosts(), peersCommand.toString());
        } catch (IOException exception) {
            close();
            throw exception;
        }
    }

    private HostProcess startHost(int first, int until) throws IOException {
        return new HostProcess(ControlHost.class, fleet.arguments(), first, until);
    }

    private List<HostProcess> allHosts() {
        List<HostProcess> all = new ArrayList<>(replicaHosts);
        all.addAll(sidecarHosts);
        return all;
    }

    private HostProcess hostOf(int number) {
        return allHosts().stream()
                .filter(host -> host.hosts(number))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Starts all replicas at once and waits until all are ready in each scope; returns the elapsed time in
     * microseconds.
     */
    public long startReplicas() throws IOException, InterruptedException {
        return start(replicaHosts, fleet.replicas());
    }

    /**
     * Starts all sidecars at once, without memory, and waits until all are ready; returns the elapsed time in
     * microseconds.
     */
    public long startSidecars() throws IOException, InterruptedException {
        return start(sidecarHosts, fleet.sidecars());
    }

    private long start(List<HostProcess> hosts, int expected) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        HostProcess.askAll(hosts, "start");
        int ready = readyMembers(hosts);
        while (ready < expected) {
            if (System.nanoTime() - startNanos > START_TIMEOUT_MILLIS * 1_000_000) {
                throw new IOException(
                        ready + " of " + expected + " members are ready after " + START_TIMEOUT_MILLIS + " ms");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
            ready = readyMembers(hosts);
        }
        return (System.nanoTime() - startNanos) / 1_000;
    }

    private static int readyMembers(List<HostProcess> hosts) throws IOException {
        return HostProcess.askAll(hosts, "sure").stream()
                .mapToInt(Integer::parseInt)
                .sum();
    }

    /** Resources that the voting replicas have used since they were started. */
    public ResourceUsage voterUsage() throws IOException {
        return HostProcess.usage(replicaHosts.subList(0, fleet.voters()));
    }

    /** Resources that the sidecars' processes have used since they were started. */
    public ResourceUsage sidecarUsage() throws IOException {
        return HostProcess.usage(sidecarHosts);
    }

    /** Heap in use after a garbage collection in the sidecars' processes, in kilobytes. */
    public long sidecarHeapKilobytes() throws IOException {
        return HostProcess.askAll(sidecarHosts, "heap").stream()
                .mapToLong(Long::parseLong)
                .sum();
    }

    /**
     * Proposes a new content of a scope at a replica and waits until all its reachable subscribers have adopted it.
     *
     * @param unreachable number of subscribers that can't be reached
     * @param timeoutMicros longest time to wait for the adoption
     */
    public ScaleRun.Change change(int replica, int scope, int unreachable, long timeoutMicros)
            throws IOException, InterruptedException {
        String content = "c" + proposals++ + "-" + "x".repeat(120);
        String proposed = hostOf(replica).ask("propose " + replica + " " + scope + " " + content);
        if (proposed.startsWith("refused")) {
            throw new IOException(proposed);
        }
        long proposedAtMicros = Long.parseLong(proposed);
        int expected = fleet.subscribers(scope) - unreachable;
        long deadlineNanos = System.nanoTime() + timeoutMicros * 1_000;
        while (true) {
            int adopted = 0;
            long lastMicros = proposedAtMicros;
            for (String answer : HostProcess.askAll(sidecarHosts, "settled " + content)) {
                String[] fields = answer.split(" ");
                adopted += Integer.parseInt(fields[0]);
                lastMicros = Math.max(lastMicros, Long.parseLong(fields[1]));
            }
            if (adopted >= expected || System.nanoTime() > deadlineNanos) {
                return new ScaleRun.Change(adopted, expected, lastMicros - proposedAtMicros);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** The lowest-numbered sidecar that subscribes to a scope; -1 if none does. */
    public int subscriberOf(int scope) {
        for (int number = fleet.replicas(); number < fleet.processes(); number++) {
            if (fleet.scopesOf(number).contains(scope)) {
                return number;
            }
        }
        return -1;
    }

    /** Makes a sidecar send nothing and ignore all datagrams until it is restarted. */
    public void silence(int sidecar) throws IOException {
        hostOf(sidecar).ask("silence " + sidecar);
    }

    /** Restarts a sidecar without memory. */
    public void restart(int sidecar) throws IOException {
        hostOf(sidecar).ask("restart " + sidecar);
    }

    /** Kills a replica's process, which is not replaced. */
    public void killReplica(int replica) {
        HostProcess killed = hostOf(replica);
        replicaHosts.remove(killed);
        killed.close();
    }

    @Override
    public void close() {
        allHosts().forEach(HostProcess::close);
    }
}
