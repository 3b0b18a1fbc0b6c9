package loadbalancer.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.capacity.CapacityTable;
import loadbalancer.capacity.RecordedSlope;
import loadbalancer.capacity.ResourceUsage;
import loadbalancer.capacity.Samples;
import loadbalancer.capacity.ScaleMetric;
import loadbalancer.capacity.ScaleRun;

/**
 * Measures what control costs each role at several fleet sizes on real loopback sockets, fits a line through each figure, and says which
 * budget of the target is missed by it. Ends with {@code holds} or {@code falls short: ...}. Run by {@code bench/scale.sh}.
 */
public final class ScaleBenchmark {
    private static final int[] SIZES = {260, 525, 1_050, 2_100};
    private static final int[] QUICK_SIZES = {50, 100, 200, 400};
    /** Beyond so many sidecars no load messages are sent. */
    private static final int[] LOAD_SIZES = {100, 200, 300};

    private static final int[] QUICK_LOAD_SIZES = {50, 150};
    private static final int[] LIST_SIZES = {50, 260, 525, 1_050};
    private static final int[] DEPTHS = {1, 2, 4, 8};
    private static final int CHAIN_REQUESTS = 1_000;
    private static final int FAILING_REQUESTS = 20;
    /** Deeper, a request's own deadline ends what would be thousands of attempts. */
    private static final int MOST_FAILING_DEPTH = 4;

    private static final int VOTERS = 5;
    private static final long LEASE_US = 3_000_000;
    private static final long SEED = 7;
    private static final long MOST_CHANGE_US = 20_000_000;
    private static final int CHANGES = 3;
    private static final double REQUESTS_A_SECOND = 2;

    private final boolean quick;
    private final Samples samples = new Samples();
    private final List<String> shortfalls = new ArrayList<>();

    private ScaleBenchmark(boolean quick) {
        this.quick = quick;
    }

    /** Arguments: {@code --quick}, {@code --record FILE} that takes the slopes. */
    public static void main(String[] args) throws Exception {
        boolean quick = args.length > 0 && args[0].equals("--quick");
        boolean chains = args.length > 0 && args[0].equals("--chains");
        boolean record = args.length == 2 && args[0].equals("--record");
        if (args.length > 0 && !quick && !record && !chains) {
            System.err.println("usage: bench/scale.sh [--quick | --chains | --record FILE]");
            System.exit(2);
        }
        ScaleBenchmark measure = new ScaleBenchmark(quick);
        if (!chains) {
            measure.fleets();
        }
        if (!quick) {
            measure.chains();
        }
        measure.report(record ? Path.of(args[1]) : null);
        List<String> shortfalls = measure.shortfalls;
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private void fleets() throws Exception {
        for (int size : quick ? QUICK_SIZES : SIZES) {
            control(size);
        }
        for (int size : quick ? QUICK_LOAD_SIZES : LOAD_SIZES) {
            load(size);
        }
        if (!quick) {
            for (int size : LIST_SIZES) {
                footprint(size);
            }
        }
    }

    private void chains() throws Exception {
        for (int depth : DEPTHS) {
            chain(depth);
        }
    }

    private void report(Path record) throws IOException {
        Map<ScaleMetric, RecordedSlope> slopes =
                samples.slopes(LocalDate.now(ZoneOffset.UTC).toString());
        slopes.values().forEach(slope -> System.out.println(slope.csvLine()));
        if (record != null) {
            List<String> lines = new ArrayList<>(List.of(RecordedSlope.HEADER));
            slopes.values().forEach(slope -> lines.add(slope.csvLine()));
            Files.write(record, lines);
            System.out.println("\n" + CapacityTable.markdown(slopes));
        }
        shortfalls.addAll(CapacityTable.overBudget(slopes));
    }

    private void control(int size) throws IOException, InterruptedException {
        try (ScaleRun run = new ScaleRun(size, VOTERS, LEASE_US, SEED)) {
            put(ScaleMetric.START, size, run.start() / 1e3);
            Thread.sleep(quick ? 500 : 4_000);
            rest(run, size);
            changes(run, size);
            if (!quick || size == QUICK_SIZES[QUICK_SIZES.length - 1]) {
                oneAway(run, size);
            }
            if (size == SIZES[SIZES.length - 1]) {
                faults(run, size);
            }
        }
    }

    private void rest(ScaleRun run, int size) throws IOException, InterruptedException {
        ResourceUsage votersBefore = run.voterUsage();
        ResourceUsage membersBefore = run.nonVoterUsage();
        Thread.sleep(quick ? 1_000 : 8_000);
        ScaleRun.RoleUsage voters =
                new ScaleRun.RoleUsage(VOTERS, run.voterUsage().since(votersBefore));
        ScaleRun.RoleUsage members =
                new ScaleRun.RoleUsage(run.nonVoterCount(), run.nonVoterUsage().since(membersBefore));
        put(ScaleMetric.VOTER_DATAGRAMS, size, voters.datagramsPerSecond());
        put(ScaleMetric.VOTER_BYTES, size, voters.bytesPerSecond());
        put(ScaleMetric.VOTER_CORES, size, voters.coresPerMember());
        put(ScaleMetric.MEMBER_DATAGRAMS, size, members.datagramsPerSecond());
        put(ScaleMetric.MEMBER_BYTES, size, members.bytesPerSecond());
        put(ScaleMetric.MEMBER_CORES, size, members.coresPerMember());
        put(ScaleMetric.MEMBER_HEAP, size, (double) run.nonVoterHeapKilobytes() / run.nonVoterCount());
    }

    private void changes(ScaleRun run, int size) throws IOException, InterruptedException {
        double[] tookMs = new double[quick ? 1 : CHANGES];
        for (int i = 0; i < tookMs.length; i++) {
            // A leader that is not done yet takes no proposal: what comes right behind a change is another figure.
            Thread.sleep(quick ? 0 : 1_000);
            tookMs[i] = change(run, size, "nobody away", VOTERS + i, size, size);
        }
        Arrays.sort(tookMs);
        put(ScaleMetric.CHANGE, size, tookMs[tookMs.length / 2]);
    }

    private void oneAway(ScaleRun run, int size) throws IOException, InterruptedException {
        int away = size - 1;
        run.setSilent(away, true);
        put(ScaleMetric.CHANGE_ONE_AWAY, size, change(run, size, "one away", VOTERS, away, size));
        if (!quick) {
            change(run, size, "one away, the next change at once", VOTERS, away, size);
        }
        run.setSilent(away, false);
    }

    /** At the largest size: what an ordinary day and a bad one bring. */
    private void faults(ScaleRun run, int size) throws IOException, InterruptedException {
        run.setLossRate(0.05);
        change(run, size, "5 % of datagrams lost", VOTERS, size, size);
        run.setLossRate(0);
        int cutFrom = size / 2;
        run.partition(cutFrom, size);
        change(run, size, "the half without voters cut off", VOTERS, cutFrom, size);
        int sure = run.readyMembers();
        long healed = System.nanoTime();
        run.partition(0, 0);
        while (run.readyMembers() < size && System.nanoTime() - healed < MOST_CHANGE_US * 1_000) {
            Thread.sleep(10);
        }
        System.out.printf(
                Locale.ROOT,
                "%5d  cut healed: %d sure during it, %d after %d ms%n",
                size,
                sure,
                run.readyMembers(),
                (System.nanoTime() - healed) / 1_000_000);
        for (int member = VOTERS; member < VOTERS + size / 10; member++) {
            run.restart(member);
        }
        change(run, size, "a tenth restarted just before", size - 1, size, size);
        run.killVoter(VOTERS - 1);
        change(run, size, "a voter killed", VOTERS, VOTERS - 1, VOTERS);
    }

    /** @param away members from this number to before {@code until} can't be reached */
    private double change(ScaleRun run, int size, String what, int proposer, int away, int until)
            throws IOException, InterruptedException {
        ScaleRun.Change change = run.change(proposer, n -> n < away || n >= until, MOST_CHANGE_US);
        System.out.printf(
                Locale.ROOT,
                "%5d  change, %s: %d of %d after %d ms%n",
                size,
                what,
                change.adoptedMembers(),
                change.expectedMembers(),
                change.elapsedMicros() / 1_000);
        return change.isComplete() ? change.elapsedMicros() / 1e3 : MOST_CHANGE_US / 1e3;
    }

    private void load(int size) throws IOException, InterruptedException {
        try (ScaleRun run = new ScaleRun(size, VOTERS, LEASE_US, SEED)) {
            run.start();
            Thread.sleep(quick ? 500 : 2_000);
            ResourceUsage quiet = run.nonVoterUsage();
            Thread.sleep(quick ? 500 : 3_000);
            ResourceUsage rest = run.nonVoterUsage().since(quiet);
            run.startRequests(REQUESTS_A_SECOND);
            Thread.sleep(quick ? 500 : 2_000);
            long requestsBefore = run.requests();
            ResourceUsage before = run.nonVoterUsage();
            Thread.sleep(quick ? 1_000 : 5_000);
            ResourceUsage with = run.nonVoterUsage().since(before);
            double requests = (double) (run.requests() - requestsBefore) * run.nonVoterCount() / size;
            double messages = with.datagramsOut() - rest.perSecond(rest.datagramsOut()) * with.timeMicros() / 1e6;
            double bytes = with.bytesOut() - rest.perSecond(rest.bytesOut()) * with.timeMicros() / 1e6;
            put(ScaleMetric.LOAD_MESSAGES, size, messages / requests);
            put(ScaleMetric.LOAD_BYTES, size, bytes / messages);
        }
    }

    private void footprint(int upstreams) throws Exception {
        SidecarFootprint footprint = SidecarFootprint.measure(upstreams, 4_000);
        put(ScaleMetric.SIDECAR_RESIDENT, upstreams, footprint.residentKb());
        put(ScaleMetric.SIDECAR_CORES, upstreams, footprint.cores());
    }

    private void chain(int depth) throws Exception {
        try (ChainRun chain = new ChainRun(depth)) {
            ChainRun.Times bare = chain.times(false, CHAIN_REQUESTS);
            ChainRun.Times through = chain.times(true, CHAIN_REQUESTS);
            put(ScaleMetric.CHAIN_ADDED, depth, through.medianUs() - bare.medianUs());
            put(ScaleMetric.CHAIN_ADDED_P99, depth, through.p99Us() - bare.p99Us());
            if (depth > MOST_FAILING_DEPTH) {
                return;
            }
            double attempts = chain.attemptsAtLast(FAILING_REQUESTS);
            System.out.printf(Locale.ROOT, "%5d  attempts at the failing last hop: %.2f%n", depth, attempts);
            put(ScaleMetric.CHAIN_ATTEMPTS_LOG, depth, Math.log(Math.max(attempts, 1e-3)));
        }
    }

    private void put(ScaleMetric figure, int size, double value) {
        samples.put(figure, size, value);
        System.out.printf(Locale.ROOT, "%5d  %s: %.4g %s%n", size, figure.key(), value, figure.unit());
    }
}
