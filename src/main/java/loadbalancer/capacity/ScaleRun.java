package loadbalancer.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * A fleet of minimal sidecars on real sockets: each voter in a process of its own, all others in a few host processes.
 * The number of processes and all waits are bounded. Only processes started here are stopped, on {@link #close}; they
 * also exit when this process does.
 */
public final class ScaleRun implements AutoCloseable {
    /** Size of the largest fleet, the target of docs/CAPACITY.md. */
    public static final int MAX_MEMBERS = 2_100;

    private static final int MEMBERS_PER_HOST = 525;
    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final long START_TIMEOUT_MILLIS = 60_000;

    /**
     * Resources that all processes of a role used within an interval.
     *
     * @param members number of members with this role
     */
    public record RoleUsage(int members, ResourceUsage usage) {
        /** Cores used by one member on average. */
        public double coresPerMember() {
            return usage.cores() / members;
        }

        /** Datagrams per second that one member sends and receives on average. */
        public double datagramsPerSecond() {
            return usage.perSecond(usage.datagramsIn() + usage.datagramsOut()) / members;
        }

        /** Bytes per second, without headers, that one member sends and receives on average. */
        public double bytesPerSecond() {
            return usage.perSecond(usage.bytesIn() + usage.bytesOut()) / members;
        }
    }

    /**
     * Outcome of a configuration change.
     *
     * @param adoptedMembers number of members that have adopted it
     * @param expectedMembers number of reachable members, which have to adopt it
     * @param elapsedMicros time from the proposal to the last adoption
     */
    public record Change(int adoptedMembers, int expectedMembers, long elapsedMicros) {
        /** Whether all reachable members have adopted the change. */
        public boolean isComplete() {
            return adoptedMembers >= expectedMembers;
        }
    }

    private final ScaleFleet fleet;
    private final List<HostProcess> voterHosts = new ArrayList<>();
    private final List<HostProcess> nonVoterHosts = new ArrayList<>();
    private int proposals;

    /**
     * Starts all processes and tells each the addresses of the others.
     *
     * @param members number of minimal sidecars, including the {@code voters}
     * @param leaseMicros length of a lease
     */
    public ScaleRun(int members, int voters, long leaseMicros, long seed) throws IOException {
        this(members, voters, leaseMicros, seed, "");
    }

    /**
     * @param realSidecar IP address from which a real sidecar, the last member, sends; empty if all members are minimal
     */
    ScaleRun(int members, int voters, long leaseMicros, long seed, String realSidecar) throws IOException {
        if (members > MAX_MEMBERS || members < voters + 1) {
            throw new IllegalArgumentException(members + " members, expected " + (voters + 1) + " to " + MAX_MEMBERS);
        }
        fleet = new ScaleFleet("scale", members, voters, leaseMicros, seed);
        int minimalMembers = realSidecar.isEmpty() ? members : members - 1;
        try {
            for (int voter = 0; voter < voters; voter++) {
                voterHosts.add(new HostProcess(fleet, voter, voter + 1));
            }
            for (int first = voters; first < minimalMembers; first += MEMBERS_PER_HOST) {
                nonVoterHosts.add(new HostProcess(fleet, first, Math.min(minimalMembers, first + MEMBERS_PER_HOST)));
            }
            askAll("peers" + portArguments() + (realSidecar.isEmpty() ? "" : " " + realSidecar));
        } catch (IOException exception) {
            close();
            throw exception;
        }
    }

    private String portArguments() {
        StringBuilder arguments = new StringBuilder();
        for (HostProcess host : allHosts()) {
            host.ports().forEach(port -> arguments.append(' ').append(port));
        }
        return arguments.toString();
    }

    /** Addresses of all minimal sidecars, ordered by member number. */
    List<String> addresses() {
        return allHosts().stream()
                .flatMap(host -> host.ports().stream())
                .map(port -> "127.0.0.1:" + port)
                .toList();
    }

    private List<HostProcess> allHosts() {
        List<HostProcess> all = new ArrayList<>(voterHosts);
        all.addAll(nonVoterHosts);
        return all;
    }

    private HostProcess hostOf(int member) {
        return allHosts().stream()
                .filter(host -> host.hosts(member))
                .findFirst()
                .orElseThrow();
    }

    private List<String> askAll(String command) throws IOException {
        return HostProcess.askAll(allHosts(), command);
    }

    /**
     * Starts all members at once, without memory, and waits until all are ready; returns the elapsed time in
     * microseconds.
     */
    public long start() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        askAll("start");
        int expected = allHosts().stream().mapToInt(HostProcess::memberCount).sum();
        while (readyMembers() < expected) {
            if (System.nanoTime() - startNanos > START_TIMEOUT_MILLIS * 1_000_000) {
                throw new IOException(readyMembers() + " of " + expected + " members are ready after "
                        + START_TIMEOUT_MILLIS + " ms");
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return (System.nanoTime() - startNanos) / 1_000;
    }

    /** Number of members that know the active configuration and have a valid lease on it. */
    public int readyMembers() throws IOException {
        return askAll("sure").stream().mapToInt(Integer::parseInt).sum();
    }

    /** Resources that the voters' processes have used since they were started. */
    public ResourceUsage voterUsage() throws IOException {
        return HostProcess.usage(voterHosts);
    }

    /** Resources that the processes of members without a vote have used since they were started. */
    public ResourceUsage nonVoterUsage() throws IOException {
        return HostProcess.usage(nonVoterHosts);
    }

    /** Makes each member generate requests from now on and gossip its requests in flight. */
    public void startRequests(double requestsPerSecond) throws IOException {
        askAll("load " + requestsPerSecond);
    }

    /** Number of requests that all members have started so far. */
    public long requests() throws IOException {
        return askAll("requests").stream().mapToLong(Long::parseLong).sum();
    }

    /** Number of datagrams that all minimal sidecars have received from a member. */
    long datagramsFrom(int member) throws IOException {
        return askAll("from " + member).stream().mapToLong(Long::parseLong).sum();
    }

    /** Heap in use after a garbage collection in the processes of members without a vote, in kilobytes. */
    public long nonVoterHeapKilobytes() throws IOException {
        long sum = 0;
        for (HostProcess host : nonVoterHosts) {
            sum += Long.parseLong(host.ask("heap"));
        }
        return sum;
    }

    /** Number of minimal sidecars without a vote. */
    public int nonVoterCount() {
        return nonVoterHosts.stream().mapToInt(HostProcess::memberCount).sum();
    }

    /**
     * Proposes a new content at a member and waits until all reachable members have adopted it.
     *
     * @param reachable members that are expected to adopt it, by number
     * @param timeoutMicros longest time to wait for their adoption
     */
    public Change change(int proposer, IntPredicate reachable, long timeoutMicros)
            throws IOException, InterruptedException {
        String content = "c" + proposals++ + "-" + "x".repeat(120);
        String answer = hostOf(proposer).ask("propose " + proposer + " " + content);
        if (answer.startsWith("refused")) {
            throw new IOException(answer);
        }
        return awaitAdoption(content, Long.parseLong(answer), reachable, timeoutMicros);
    }

    private Change awaitAdoption(String content, long proposedAtMicros, IntPredicate reachable, long timeoutMicros)
            throws IOException, InterruptedException {
        int expected = 0;
        for (int member = 0; member < fleet.members(); member++) {
            expected += reachable.test(member) ? 1 : 0;
        }
        long deadlineNanos = System.nanoTime() + timeoutMicros * 1_000;
        while (true) {
            int adopted = 0;
            long lastMicros = proposedAtMicros;
            for (String answer : askAll("settled " + content)) {
                String[] fields = answer.split(" ");
                adopted += Integer.parseInt(fields[0]);
                lastMicros = Math.max(lastMicros, Long.parseLong(fields[1]));
            }
            if (adopted >= expected || System.nanoTime() > deadlineNanos) {
                return new Change(adopted, expected, lastMicros - proposedAtMicros);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Pauses the consensus of a member and drops all datagrams to it, or resumes both. */
    public void setSilent(int member, boolean silent) throws IOException {
        hostOf(member).ask("silence " + member + " " + (silent ? 1 : 0));
    }

    /** Restarts a member without memory. */
    public void restart(int member) throws IOException {
        hostOf(member).ask("restart " + member);
    }

    /**
     * Separates the members from {@code from} to before {@code until} from all others; equal numbers end the partition.
     */
    public void partition(int from, int until) throws IOException {
        askAll("cut " + from + " " + until);
    }

    /** Sets the fraction of all datagrams that is lost from now on. */
    public void setLossRate(double lossRate) throws IOException {
        askAll("lose " + lossRate);
    }

    /** Kills a voter's process, which is not replaced. */
    public void killVoter(int voter) {
        HostProcess killed = hostOf(voter);
        voterHosts.remove(killed);
        killed.close();
    }

    @Override
    public void close() {
        allHosts().forEach(HostProcess::close);
    }
}
