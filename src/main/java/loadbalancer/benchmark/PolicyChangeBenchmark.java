package loadbalancer.benchmark;

import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import loadbalancer.consensus.ConsensusSimulation;
import loadbalancer.consensus.ConsensusSoak;
import loadbalancer.consensus.Explorer;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.fleet.FleetProcesses;

/**
 * Measures changes of policy on virtual time: how long until they are in force, for how long two versions go together, what they cost at rest and
 * while they are made, at several sizes and with messages lost; and lets the explorer look for orders of events that break an invariant. Ends with
 * {@code holds} or {@code falls short: ...}. Run by {@code bench/policy-change.sh}.
 */
public final class PolicyChangeBenchmark {
    private static final long LEASE_US = 3_000_000, S = 1_000_000;
    private static final IntPredicate ALL = i -> true;
    /** Aims, microseconds: until a change is in force at its proposer, at all, and for which two versions go together. */
    private static final long COMMIT = S, EVERYWHERE = 2 * S, JOINT = S / 2;
    /** Until those that can be reached go by a change while others can't: their leases, and a little. */
    private static final long CUT = LEASE_US + S;

    private PolicyChangeBenchmark() {}

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/policy-change.sh [--quick]");
            System.exit(2);
        }
        List<String> shortfalls = new ArrayList<>();
        System.out.println(
                "virtual time, lease 3 s, messages 5 ms on the way: from propose until in force there and at all (ms: median, worst), two versions at most (ms), "
                        + "messages a change and sidecar, messages and bytes a second and sidecar at rest");
        for (int members : new int[] {5, 16, 100, 300}) {
            for (double loss : new double[] {0, 0.05}) {
                changes(members, loss, quick ? 10 : 50, shortfalls);
            }
        }
        cutOff(quick ? 3 : 20, shortfalls);
        days(quick ? 100 : 1_000, quick ? 2 : 20, shortfalls);
        explored(quick, shortfalls);
        if (!quick) {
            onProcesses(16, 50, shortfalls);
        }
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private static void days(int small, int large, List<String> shortfalls) throws InterruptedException {
        List<Callable<List<String>>> days = new ArrayList<>();
        for (int d = 0; d < small + large; d++) {
            int members = d < small ? 16 : 300;
            long seed = 1_000 + d;
            days.add(() -> ConsensusSoak.run(5, members, LEASE_US, seed));
        }
        List<String> broken = new ArrayList<>();
        try (Runner runner = new Runner(Runtime.getRuntime().availableProcessors())) {
            runner.play(days, broken::addAll);
        }
        System.out.printf(
                Locale.ROOT,
                "%d days of drawn faults with 16 sidecars, %d with 300: %d breaches%n",
                small,
                large,
                broken.size());
        Shortfalls.check(shortfalls, broken.isEmpty(), "days of faults: " + broken);
    }

    private static ConsensusSimulation fleet(int members, double loss, long seed) {
        ConsensusSimulation r = new ConsensusSimulation(Math.min(5, members), members, LEASE_US, seed);
        r.setNetwork(loss, loss / 2, 5_000);
        if (r.runUntil(() -> r.allHaveAdopted(ALL, 0), 20 * S) < 0) {
            throw new IllegalStateException("a fleet of " + members + " does not begin, seed " + seed);
        }
        return r;
    }

    /** Half a kilobyte, as a policy of some zones and tiers has. */
    private static byte[] policy(int number) {
        return ("# policy " + number + "\n").repeat(40).getBytes(StandardCharsets.UTF_8);
    }

    private static void changes(int members, double loss, int changes, List<String> shortfalls) {
        ConsensusSimulation r = fleet(members, loss, 1);
        long messages = r.sentMessages();
        long bytes = r.sentBytes();
        r.run(20 * S);
        double restMessages = (r.sentMessages() - messages) / 20.0 / members;
        double restBytes = (r.sentBytes() - bytes) / 20.0 / members;
        long[] commit = new long[changes];
        long[] all = new long[changes];
        double each = 0;
        for (int c = 0; c < changes; c++) {
            int by = c % members;
            messages = r.sentMessages();
            long version = r.propose(by, policy(c % 2));
            commit[c] = r.runUntil(() -> r.hasAdopted(by, version), 30 * S);
            long rest = r.runUntil(() -> r.allHaveAdopted(ALL, version), 30 * S);
            all[c] = commit[c] + rest;
            each += (double) (r.sentMessages() - messages) / members / changes;
            Shortfalls.check(
                    shortfalls,
                    commit[c] >= 0 && rest >= 0,
                    members + " sidecars, change " + c + " did not get through");
            r.run(S);
        }
        Arrays.sort(commit);
        Arrays.sort(all);
        System.out.printf(
                Locale.ROOT,
                "%4d sidecars, %2.0f %% lost   %4d %4d   %4d %4d   %4d   %5.1f   %5.1f %5.0f%n",
                members,
                100 * loss,
                commit[changes / 2] / 1000,
                commit[changes - 1] / 1000,
                all[changes / 2] / 1000,
                all[changes - 1] / 1000,
                r.longestJointMicros() / 1000,
                each,
                restMessages,
                restBytes);
        Shortfalls.check(
                shortfalls,
                commit[changes - 1] <= COMMIT,
                members + " sidecars: in force after " + commit[changes - 1] + " us");
        Shortfalls.check(
                shortfalls,
                all[changes - 1] <= EVERYWHERE,
                members + " sidecars: everywhere after " + all[changes - 1] + " us");
        Shortfalls.check(
                shortfalls,
                r.longestJointMicros() <= JOINT,
                members + " sidecars: two versions for " + r.longestJointMicros() + " us");
        Shortfalls.check(shortfalls, r.violations().isEmpty(), members + " sidecars: " + r.violations());
    }

    /** A third is cut off while a change is made, and hears of it when it is back. */
    private static void cutOff(int fleets, List<String> shortfalls) {
        long worst = 0;
        long back = 0;
        for (int seed = 1; seed <= fleets; seed++) {
            ConsensusSimulation r = fleet(100, 0.05, seed);
            r.run(4 * S);
            IntPredicate far = i -> i >= 67;
            r.partition(far);
            long version = r.propose(seed % 5, policy(1));
            long us = r.runUntil(() -> r.allHaveAdopted(far.negate(), version), 30 * S);
            r.partition(i -> false);
            long healed = r.runUntil(() -> r.allHaveAdopted(ALL, version), 30 * S);
            worst = Math.max(worst, us < 0 ? Long.MAX_VALUE : us);
            back = Math.max(back, healed < 0 ? Long.MAX_VALUE : healed);
            Shortfalls.check(shortfalls, r.violations().isEmpty(), "a third cut off: " + r.violations());
        }
        System.out.printf(
                Locale.ROOT,
                "a third of 100 cut off: in force at the others after %d ms at the most, at them %d ms after they are back%n",
                worst / 1000,
                back / 1000);
        Shortfalls.check(shortfalls, worst <= CUT, "with a third cut off in force after " + worst + " us");
        Shortfalls.check(shortfalls, back <= EVERYWHERE, "back, a third learns it after " + back + " us");
    }

    /**
     * Real sidecars with traffic: as long with changes back and forth, one right behind the other, as without any. What a request may not notice are the
     * changes; a zone is away in turn, with room for all in the others.
     */
    private static void onProcesses(int processes, int changes, List<String> shortfalls) throws Exception {
        Scenario s = ScenarioFile.read(
                "spread",
                Map.of(
                        "fleet.sidecars",
                        (long) processes,
                        "fleet.nodes",
                        12L,
                        "traffic.load",
                        0.3,
                        "fleet.length",
                        "1min"));
        try (FleetProcesses fleet = new FleetProcesses(
                s,
                false,
                null,
                folder -> "[zones]\n[consensus]\nfleet = \"measure\"\nvoters = 5\nfile = \""
                        + folder.resolve("policy.toml") + "\"\n")) {
            long begunUs = fleet.world().clock().nowMicros();
            fleet.begin();
            fleet.world().play(8_000);
            List<Long> commits = new ArrayList<>();
            List<Long> alls = new ArrayList<>();
            Set<String> seen = new HashSet<>();
            int[] from = heard(fleet);
            long changingUs = fleet.world().clock().nowMicros();
            for (int c = 0; c < changes; c++) {
                Files.writeString(
                        fleet.world().folder().resolve("policy.toml"),
                        "# change " + c + "\n[zones]\naway = [\"" + Testbed.ZONES.get(c % Testbed.ZONES.size())
                                + "\"]\n");
                long proposedUs = System.nanoTime() / 1000;
                SidecarProcess by = fleet.sidecars().get(c % processes);
                propose(by);
                String line = by.awaitLog(l -> l.endsWith(" is in force") && !seen.contains(l));
                commits.add(System.nanoTime() / 1000 - proposedUs);
                seen.add(line);
                for (SidecarProcess p : fleet.sidecars()) {
                    p.awaitLog(line::equals);
                }
                alls.add(System.nanoTime() / 1000 - proposedUs);
            }
            long changedMs = (fleet.world().clock().nowMicros() - changingUs) / 1000;
            long with = p99(fleet, from, heard(fleet));
            fleet.world().play(1_000);
            from = heard(fleet);
            fleet.world().play(changedMs);
            long without = p99(fleet, from, heard(fleet));
            FleetProcesses.Played played = fleet.end(begunUs, 0, 3_600);
            Collections.sort(commits);
            Collections.sort(alls);
            System.out.printf(
                    Locale.ROOT,
                    "%d processes, %d changes in %d ms with traffic: in force at the proposer after %d ms (median; worst %d), at all %d (%d); p99 of requests %d ms, "
                            + "as long without changes %d%n",
                    processes,
                    changes,
                    changedMs,
                    commits.get(changes / 2) / 1000,
                    commits.get(changes - 1) / 1000,
                    alls.get(changes / 2) / 1000,
                    alls.get(changes - 1) / 1000,
                    with / 1000,
                    without / 1000);
            System.out.println(played.line());
            Shortfalls.check(
                    shortfalls,
                    alls.get(changes - 1) <= EVERYWHERE,
                    "processes: everywhere after " + alls.get(changes - 1) + " us");
            Shortfalls.check(
                    shortfalls,
                    played.verdict().fouls() == 0,
                    "processes: rules broken " + played.verdict().first());
            Shortfalls.check(
                    shortfalls, played.all().failed() + played.all().unreachable() == 0, "processes: " + played.line());
            Shortfalls.check(
                    shortfalls,
                    with <= without * 1.1,
                    "processes: p99 of " + with + " us with changes, " + without + " without");
        }
    }

    private static int[] heard(FleetProcesses fleet) {
        return IntStream.range(0, fleet.sidecars().size())
                .map(i -> fleet.clients(i).latenciesUs().size())
                .toArray();
    }

    private static long p99(FleetProcesses fleet, int[] from, int[] to) {
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < from.length; i++) {
            all.addAll(fleet.clients(i).latenciesUs().subList(from[i], to[i]));
        }
        Collections.sort(all);
        return all.isEmpty() ? 0 : all.get((int) (all.size() * 0.99));
    }

    private static void propose(SidecarProcess by) throws Exception {
        // Another's may still be on its way to this one: then it says so, and is asked again.
        for (int tries = 0; ; tries++) {
            HttpURLConnection c = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + by.adminAddress().getPort() + "/control/policy/propose")
                            .toURL()
                            .openConnection();
            c.setRequestMethod("POST");
            int status = c.getResponseCode();
            c.disconnect();
            if (status == 200) {
                return;
            }
            if (tries == 20) {
                throw new IllegalStateException(by.name() + " proposes nothing: " + status);
            }
        }
    }

    private static void explored(boolean quick, List<String> shortfalls) {
        for (int voters : new int[] {3, 5}) {
            Explorer.Exploration walks =
                    Explorer.withAllRules(voters, voters).randomWalks(1, quick ? 5_000 : 100_000, 400);
            Explorer.Exploration all =
                    Explorer.withAllRules(voters, voters).breadthFirst(quick ? 15_000 : 400_000, 1, 2, 6);
            System.out.printf(
                    Locale.ROOT,
                    "explorer, %d sidecars: %d events in random orders; %d different states to a depth of %d%s%n",
                    voters,
                    walks.states(),
                    all.states(),
                    all.depth(),
                    all.exhaustive() ? ", all there are" : "");
            for (Explorer.Exploration l : List.of(walks, all)) {
                Shortfalls.check(shortfalls, l.violation() == null, "an order breaks " + l.violation());
            }
        }
    }
}
