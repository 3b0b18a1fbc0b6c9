package loadbalancer.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A control tier on real sockets: each replica in a process of its own, the control parts of all sidecars in a few. Starts processes of its own
 * alone, bounded in number and time, and ends them when it is closed; they also end when this process does.
 */
public final class ControlRun implements AutoCloseable {
    private static final int SIDECARS_A_HOST = 525;
    private static final long POLL_MS = 10;
    private static final long READY_MS = 60_000;

    private final ControlFleet fleet;
    private final List<HostProcess> replicas = new ArrayList<>();
    private final List<HostProcess> sidecars = new ArrayList<>();
    private int contents;

    /** Starts all processes and tells each where the others are. */
    public ControlRun(ControlFleet fleet) throws IOException {
        if (fleet.sidecars() > ScaleRun.MAX_MEMBERS) {
            throw new IllegalArgumentException(fleet.sidecars() + " sidecars, at most " + ScaleRun.MAX_MEMBERS);
        }
        this.fleet = fleet;
        try {
            for (int replica = 0; replica < fleet.replicas(); replica++) {
                replicas.add(host(replica, replica + 1));
            }
            for (int first = fleet.replicas(); first < fleet.processes(); first += SIDECARS_A_HOST) {
                sidecars.add(host(first, Math.min(fleet.processes(), first + SIDECARS_A_HOST)));
            }
            StringBuilder ports = new StringBuilder("peers");
            all().forEach(host -> host.ports().forEach(port -> ports.append(' ').append(port)));
            HostProcess.askAll(all(), ports.toString());
        } catch (IOException exception) {
            close();
            throw exception;
        }
    }

    private HostProcess host(int first, int until) throws IOException {
        return new HostProcess(ControlHost.class, fleet.arguments(), first, until);
    }

    private List<HostProcess> all() {
        List<HostProcess> all = new ArrayList<>(replicas);
        all.addAll(sidecars);
        return all;
    }

    private HostProcess hostOf(int number) {
        return all().stream().filter(host -> host.hosts(number)).findFirst().orElseThrow();
    }

    /** The replicas begin at once; waits until all are sure of each scope, and returns the microseconds that took. */
    public long startReplicas() throws IOException, InterruptedException {
        return start(replicas, fleet.replicas());
    }

    /** All sidecars begin at once, remembering nothing; waits until all are sure, and returns the microseconds that took. */
    public long startSidecars() throws IOException, InterruptedException {
        return start(sidecars, fleet.sidecars());
    }

    private long start(List<HostProcess> hosts, int wanted) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        HostProcess.askAll(hosts, "start");
        int sure = sure(hosts);
        while (sure < wanted) {
            if (System.nanoTime() - begun > READY_MS * 1_000_000) {
                throw new IOException(sure + " of " + wanted + " are ready after " + READY_MS + " ms");
            }
            Thread.sleep(POLL_MS);
            sure = sure(hosts);
        }
        return (System.nanoTime() - begun) / 1_000;
    }

    private static int sure(List<HostProcess> hosts) throws IOException {
        return HostProcess.askAll(hosts, "sure").stream()
                .mapToInt(Integer::parseInt)
                .sum();
    }

    /** What the replicas that vote have used since their start. */
    public ResourceUsage voterUsage() throws IOException {
        return HostProcess.usage(replicas.subList(0, fleet.voters()));
    }

    /** What all sidecars have used since their start. */
    public ResourceUsage sidecarUsage() throws IOException {
        return HostProcess.usage(sidecars);
    }

    /** Heap in use behind a collection in the sidecars' processes, kilobytes. */
    public long sidecarHeapKilobytes() throws IOException {
        return HostProcess.askAll(sidecars, "heap").stream()
                .mapToLong(Long::parseLong)
                .sum();
    }

    /**
     * Proposes new content of a scope at a replica and waits until all its subscribers but some go by it.
     *
     * @param away   subscribers that can't be reached
     * @param mostUs given up after so long
     */
    public ScaleRun.Change change(int replica, int scope, int away, long mostUs)
            throws IOException, InterruptedException {
        String content = "c" + contents++ + "-" + "x".repeat(120);
        String begun = hostOf(replica).ask("propose " + replica + " " + scope + " " + content);
        if (begun.startsWith("refused")) {
            throw new IOException(begun);
        }
        long begunUs = Long.parseLong(begun);
        int wanted = fleet.subscribers(scope) - away;
        long until = System.nanoTime() + mostUs * 1_000;
        while (true) {
            int reached = 0;
            long lastUs = begunUs;
            for (String answer : HostProcess.askAll(sidecars, "settled " + content)) {
                String[] fields = answer.split(" ");
                reached += Integer.parseInt(fields[0]);
                lastUs = Math.max(lastUs, Long.parseLong(fields[1]));
            }
            if (reached >= wanted || System.nanoTime() > until) {
                return new ScaleRun.Change(reached, wanted, lastUs - begunUs);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** A sidecar that subscribes to a scope; -1 where none does. */
    public int subscriberOf(int scope) {
        for (int number = fleet.replicas(); number < fleet.processes(); number++) {
            if (fleet.scopesOf(number).contains(scope)) {
                return number;
            }
        }
        return -1;
    }

    /** The sidecar neither hears nor speaks any more. */
    public void silence(int sidecar) throws IOException {
        hostOf(sidecar).ask("silence " + sidecar);
    }

    /** Another process in its place, which remembers nothing. */
    public void restart(int sidecar) throws IOException {
        hostOf(sidecar).ask("restart " + sidecar);
    }

    /** A replica's process ends at once; nobody comes in its place. */
    public void killReplica(int replica) {
        HostProcess killed = hostOf(replica);
        replicas.remove(killed);
        killed.close();
    }

    @Override
    public void close() {
        all().forEach(HostProcess::close);
    }
}
