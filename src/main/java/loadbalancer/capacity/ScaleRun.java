package loadbalancer.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * A fleet of hollow sidecars on real sockets: each voter in a process of its own, all others in a few processes. Starts processes of its own
 * alone, bounded in number and time, and ends them when it is closed; they also end when this process does.
 */
public final class ScaleRun implements AutoCloseable {
    /** Members that may take part: the target of docs/CAPACITY.md. */
    public static final int MAX_MEMBERS = 2_100;

    private static final int MEMBERS_A_HOST = 525;
    private static final long POLL_MS = 10;
    private static final long READY_MS = 60_000;

    /**
     * What a role used in a window, all its processes together.
     *
     * @param members how many of the role there are
     */
    public record RoleUsage(int members, ResourceUsage usage) {
        /** Parts of a core of one member. */
        public double coresPerMember() {
            return usage.cores() / members;
        }

        /** Datagrams a second that one member sends and receives. */
        public double datagramsPerSecond() {
            return usage.perSecond(usage.datagramsIn() + usage.datagramsOut()) / members;
        }

        /** Bytes of content a second that one member sends and receives. */
        public double bytesPerSecond() {
            return usage.perSecond(usage.bytesIn() + usage.bytesOut()) / members;
        }
    }

    /**
     * What a change of configuration came to.
     *
     * @param adoptedMembers members that came to go by it
     * @param expectedMembers members that could be reached
     * @param elapsedMicros until the last of those that came to it, microseconds
     */
    public record Change(int adoptedMembers, int expectedMembers, long elapsedMicros) {
        /** Whether all that could be reached go by it. */
        public boolean isComplete() {
            return adoptedMembers >= expectedMembers;
        }
    }

    private final ScaleFleet fleet;
    private final List<HostProcess> voters = new ArrayList<>();
    private final List<HostProcess> others = new ArrayList<>();
    private int contents;

    /**
     * Starts all processes and tells each where the others are.
     *
     * @param members   hollow sidecars in all, {@code voters} among them
     * @param leaseUs   microseconds
     */
    public ScaleRun(int members, int voters, long leaseUs, long seed) throws IOException {
        this(members, voters, leaseUs, seed, "");
    }

    /** {@code real}: the address that a real sidecar, the last member, speaks from; empty for none. */
    ScaleRun(int members, int voters, long leaseUs, long seed, String real) throws IOException {
        if (members > MAX_MEMBERS || members < voters + 1) {
            throw new IllegalArgumentException(members + " members, from " + (voters + 1) + " to " + MAX_MEMBERS);
        }
        fleet = new ScaleFleet("scale", members, voters, leaseUs, seed);
        int hollow = real.isEmpty() ? members : members - 1;
        try {
            for (int voter = 0; voter < voters; voter++) {
                this.voters.add(new HostProcess(fleet, voter, voter + 1));
            }
            for (int first = voters; first < hollow; first += MEMBERS_A_HOST) {
                others.add(new HostProcess(fleet, first, Math.min(hollow, first + MEMBERS_A_HOST)));
            }
            askAll("peers" + entries() + (real.isEmpty() ? "" : " " + real));
        } catch (IOException exception) {
            close();
            throw exception;
        }
    }

    private String entries() {
        StringBuilder entries = new StringBuilder();
        for (HostProcess host : all()) {
            host.ports().forEach(port -> entries.append(' ').append(port));
        }
        return entries.toString();
    }

    /** Addresses of all hollow members in the order of their numbers. */
    List<String> addresses() {
        return all().stream()
                .flatMap(host -> host.ports().stream())
                .map(port -> "127.0.0.1:" + port)
                .toList();
    }

    private List<HostProcess> all() {
        List<HostProcess> all = new ArrayList<>(voters);
        all.addAll(others);
        return all;
    }

    private HostProcess hostOf(int member) {
        return all().stream().filter(host -> host.hosts(member)).findFirst().orElseThrow();
    }

    private List<String> askAll(String command) throws IOException {
        return HostProcess.askAll(all(), command);
    }

    /** All members begin at once, remembering nothing; waits until all are sure of what is in force, and returns the microseconds that took. */
    public long start() throws IOException, InterruptedException {
        long begun = System.nanoTime();
        askAll("start");
        int wanted = all().stream().mapToInt(HostProcess::members).sum();
        while (readyMembers() < wanted) {
            if (System.nanoTime() - begun > READY_MS * 1_000_000) {
                throw new IOException(
                        readyMembers() + " of " + wanted + " members are ready after " + READY_MS + " ms");
            }
            Thread.sleep(POLL_MS);
        }
        return (System.nanoTime() - begun) / 1_000;
    }

    /** Members that are sure of what is in force. */
    public int readyMembers() throws IOException {
        return askAll("sure").stream().mapToInt(Integer::parseInt).sum();
    }

    /** What all voters have used since their start. */
    public ResourceUsage voterUsage() throws IOException {
        return HostProcess.usage(voters);
    }

    /** What all members without a vote have used since their start. */
    public ResourceUsage nonVoterUsage() throws IOException {
        return HostProcess.usage(others);
    }

    /** Each member has requests of its own from now on and tells the others what it holds. */
    public void startRequests(double requestsPerSecond) throws IOException {
        askAll("load " + requestsPerSecond);
    }

    /** Requests that have begun so far, of all members together. */
    public long requests() throws IOException {
        return askAll("requests").stream().mapToLong(Long::parseLong).sum();
    }

    /** Datagrams that all hollow members together have received from this one. */
    long datagramsFrom(int member) throws IOException {
        return askAll("from " + member).stream().mapToLong(Long::parseLong).sum();
    }

    /** Heap in use behind a collection in the processes of members without a vote, kilobytes. */
    public long nonVoterHeapKilobytes() throws IOException {
        long sum = 0;
        for (HostProcess host : others) {
            sum += Long.parseLong(host.ask("heap"));
        }
        return sum;
    }

    /** Hollow members without a vote. */
    public int nonVoterCount() {
        return others.stream().mapToInt(HostProcess::members).sum();
    }

    /**
     * Proposes new content at a member and waits until all that can be reached go by it.
     *
     * @param reachable members that have to come to it, by number
     * @param mostUs    given up after so long
     */
    public Change change(int proposer, IntPredicate reachable, long mostUs) throws IOException, InterruptedException {
        String content = "c" + contents++ + "-" + "x".repeat(120);
        String begun = hostOf(proposer).ask("propose " + proposer + " " + content);
        if (begun.startsWith("refused")) {
            throw new IOException(begun);
        }
        return await(content, Long.parseLong(begun), reachable, mostUs);
    }

    private Change await(String content, long begunUs, IntPredicate reachable, long mostUs)
            throws IOException, InterruptedException {
        int wanted = 0;
        for (int member = 0; member < fleet.members(); member++) {
            wanted += reachable.test(member) ? 1 : 0;
        }
        long until = System.nanoTime() + mostUs * 1_000;
        while (true) {
            int reached = 0;
            long lastUs = begunUs;
            for (String answer : askAll("settled " + content)) {
                String[] fields = answer.split(" ");
                reached += Integer.parseInt(fields[0]);
                lastUs = Math.max(lastUs, Long.parseLong(fields[1]));
            }
            if (reached >= wanted || System.nanoTime() > until) {
                return new Change(reached, wanted, lastUs - begunUs);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** The member neither hears nor speaks, or it does again. */
    public void setSilent(int member, boolean silent) throws IOException {
        hostOf(member).ask("silence " + member + " " + (silent ? 1 : 0));
    }

    /** Another process in its place, which remembers nothing. */
    public void restart(int member) throws IOException {
        hostOf(member).ask("restart " + member);
    }

    /** Members from {@code from} to before {@code until} and the others hear nothing of each other; equal numbers end it. */
    public void partition(int from, int until) throws IOException {
        askAll("cut " + from + " " + until);
    }

    /** A part of all datagrams is lost from now on. */
    public void setLossRate(double lossRate) throws IOException {
        askAll("lose " + lossRate);
    }

    /** The voter's process ends at once; nobody comes in its place. */
    public void killVoter(int voter) {
        HostProcess killed = hostOf(voter);
        voters.remove(killed);
        killed.close();
    }

    @Override
    public void close() {
        all().forEach(HostProcess::close);
    }
}
