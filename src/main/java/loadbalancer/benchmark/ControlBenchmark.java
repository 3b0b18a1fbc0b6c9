package loadbalancer.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.capacity.CapacityTarget;
import loadbalancer.capacity.ControlFleet;
import loadbalancer.capacity.ControlRun;
import loadbalancer.capacity.RecordedSlope;
import loadbalancer.capacity.ResourceUsage;
import loadbalancer.capacity.Samples;
import loadbalancer.capacity.ScaleMetric;
import loadbalancer.capacity.ScaleRun;
import loadbalancer.control.ControlGroup;
import loadbalancer.control.ControlSoak;

/**
 * Measures the control tier: what a replica and a sidecar spend at several sizes on real loopback sockets, how long changes take with faults,
 * and a drawn day on virtual time. Ends with {@code holds} or {@code falls short: ...}. Run by {@code bench/capacity.sh}.
 */
public final class ControlBenchmark {
    private static final int[] SIZES = {260, 525, 1_050, 2_100};
    private static final int[] QUICK_SIZES = {50, 100, 200};
    private static final int REPLICAS = 11, VOTERS = 5;
    private static final int SCOPES = 190, QUICK_SCOPES = 40, SCOPES_EACH = 4;
    private static final long LEASE_US = 2_000_000, SUBSCRIBER_LEASE_US = 1_200_000;
    private static final long MOST_CHANGE_US = 20_000_000;
    /** Aim of a change with nobody away, milliseconds. */
    private static final double CHANGE_AIM_MS = 2_000;
    /** Least part of a slope's largest value that its residual may not exceed, for a line to build on. */
    private static final double MOST_RESIDUAL = 0.1;

    private final boolean quick;
    private final Samples samples = new Samples();
    private final List<String> shortfalls = new ArrayList<>();

    private ControlBenchmark(boolean quick) {
        this.quick = quick;
    }

    /** Arguments: {@code --quick}, {@code --day}, {@code --record FILE} whose slopes of the control tier are replaced. */
    public static void main(String[] args) throws Exception {
        String what = args.length == 0 ? "" : args[0];
        boolean known = args.length == 0
                || args.length == 1 && (what.equals("--quick") || what.equals("--day"))
                || args.length == 2 && what.equals("--record");
        if (!known) {
            System.err.println("usage: bench/capacity.sh [--quick | --day | --record FILE]");
            System.exit(2);
        }
        ControlBenchmark measure = new ControlBenchmark(what.equals("--quick"));
        if (!what.equals("--day")) {
            measure.sizes();
            measure.report(what.equals("--record") ? Path.of(args[1]) : null);
        }
        if (!what.equals("--record")) {
            measure.day(what.equals("--day"));
        }
        List<String> shortfalls = measure.shortfalls;
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private void sizes() throws Exception {
        int[] sizes = quick ? QUICK_SIZES : SIZES;
        for (int size : sizes) {
            ControlFleet fleet = new ControlFleet(
                    REPLICAS, VOTERS, size, quick ? QUICK_SCOPES : SCOPES, SCOPES_EACH, LEASE_US, SUBSCRIBER_LEASE_US);
            try (ControlRun run = new ControlRun(fleet)) {
                System.out.printf(
                        Locale.ROOT, "%5d  replicas are sure after %d ms%n", size, run.startReplicas() / 1_000);
                double startMs = run.startSidecars() / 1e3;
                Thread.sleep(quick ? 1_500 : 4_000);
                rest(run, size);
                changes(run, size);
                // Not the first start: the replicas have the work of all others then too.
                put(ScaleMetric.CONTROL_START, size, Math.max(startMs, run.startSidecars() / 1e3));
                if (size == sizes[sizes.length - 1]) {
                    replicaKilled(run, size);
                }
            }
        }
    }

    private void rest(ControlRun run, int size) throws IOException, InterruptedException {
        ResourceUsage replicasBefore = run.voterUsage();
        ResourceUsage sidecarsBefore = run.sidecarUsage();
        Thread.sleep(quick ? 1_000 : 6_000);
        ScaleRun.RoleUsage replicas =
                new ScaleRun.RoleUsage(VOTERS, run.voterUsage().since(replicasBefore));
        ScaleRun.RoleUsage sidecars =
                new ScaleRun.RoleUsage(size, run.sidecarUsage().since(sidecarsBefore));
        put(ScaleMetric.REPLICA_DATAGRAMS, size, replicas.datagramsPerSecond());
        put(ScaleMetric.REPLICA_BYTES, size, replicas.bytesPerSecond());
        put(ScaleMetric.REPLICA_CORES, size, replicas.coresPerMember());
        put(ScaleMetric.SUBSCRIBER_DATAGRAMS, size, sidecars.datagramsPerSecond());
        put(ScaleMetric.SUBSCRIBER_BYTES, size, sidecars.bytesPerSecond());
        put(ScaleMetric.SUBSCRIBER_CORES, size, sidecars.coresPerMember());
        put(ScaleMetric.SUBSCRIBER_HEAP, size, (double) run.sidecarHeapKilobytes() / size);
    }

    private void changes(ControlRun run, int size) throws IOException, InterruptedException {
        double worstMs = 0;
        for (int scope = 0; scope < (quick ? 3 : 10); scope++) {
            worstMs = Math.max(worstMs, change(run, size, "nobody away", scope, 0));
        }
        put(ScaleMetric.CONTROL_CHANGE, size, worstMs);
        int scope = 20;
        int away = run.subscriberOf(scope);
        run.silence(away);
        put(ScaleMetric.CONTROL_CHANGE_ONE_AWAY, size, change(run, size, "one away", scope, 1));
        put(ScaleMetric.CONTROL_SECOND_CHANGE, size, change(run, size, "one away, the next change at once", scope, 1));
        run.restart(away);
    }

    private void replicaKilled(ControlRun run, int size) throws IOException, InterruptedException {
        run.killReplica(0);
        double tookMs = change(run, size, "a replica with a vote killed just before", 1, 0);
        Shortfalls.check(
                shortfalls,
                tookMs <= CapacityTarget.MAX_CHANGE_MILLIS,
                "a change with a replica killed takes " + tookMs + " ms");
    }

    private static double change(ControlRun run, int size, String what, int scope, int away)
            throws IOException, InterruptedException {
        ScaleRun.Change change = run.change(1 + scope % (VOTERS - 1), scope, away, MOST_CHANGE_US);
        System.out.printf(
                Locale.ROOT,
                "%5d  change of scope %d, %s: %d of %d after %d ms%n",
                size,
                scope,
                what,
                change.adoptedMembers(),
                change.expectedMembers(),
                change.elapsedMicros() / 1_000);
        return change.isComplete() ? change.elapsedMicros() / 1e3 : MOST_CHANGE_US / 1e3;
    }

    private void report(Path record) throws IOException {
        Map<ScaleMetric, RecordedSlope> slopes =
                samples.slopes(LocalDate.now(ZoneOffset.UTC).toString());
        slopes.values().forEach(slope -> System.out.println(slope.csvLine()));
        if (record != null) {
            Map<ScaleMetric, RecordedSlope> all = RecordedSlope.read(Files.readAllLines(record));
            all.putAll(slopes);
            List<String> lines = new ArrayList<>(List.of(RecordedSlope.HEADER));
            all.values().forEach(slope -> lines.add(slope.csvLine()));
            Files.write(record, lines);
        }
        aim(slopes, ScaleMetric.SUBSCRIBER_CORES, CapacityTarget.MAX_CONTROL_CORES);
        aim(slopes, ScaleMetric.REPLICA_CORES, CapacityTarget.MAX_REPLICA_CORES);
        aim(slopes, ScaleMetric.SUBSCRIBER_HEAP, CapacityTarget.MAX_CONTROL_KILOBYTES);
        aim(slopes, ScaleMetric.CONTROL_START, CapacityTarget.MAX_START_MILLIS);
        aim(slopes, ScaleMetric.CONTROL_CHANGE, CHANGE_AIM_MS);
        aim(slopes, ScaleMetric.CONTROL_CHANGE_ONE_AWAY, CapacityTarget.MAX_CHANGE_MILLIS);
        aim(slopes, ScaleMetric.CONTROL_SECOND_CHANGE, CapacityTarget.MAX_CHANGE_MILLIS);
        withHeaders(
                slopes,
                ScaleMetric.SUBSCRIBER_BYTES,
                ScaleMetric.SUBSCRIBER_DATAGRAMS,
                CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND);
        withHeaders(
                slopes,
                ScaleMetric.REPLICA_BYTES,
                ScaleMetric.REPLICA_DATAGRAMS,
                CapacityTarget.MAX_REPLICA_BYTES_PER_SECOND);
    }

    private void aim(Map<ScaleMetric, RecordedSlope> slopes, ScaleMetric figure, double most) {
        double value = slopes.get(figure).fit().valueAt(CapacityTarget.SIDECARS);
        Shortfalls.check(
                shortfalls,
                value <= most,
                String.format(Locale.ROOT, "%s at 2,100: %.4g, at most %.4g wanted", figure.key(), value, most));
        double residual = slopes.get(figure).fit().residual();
        if (residual > MOST_RESIDUAL) {
            System.out.printf(Locale.ROOT, "%s: residual %.2f, no line to build on%n", figure.key(), residual);
        }
    }

    private void withHeaders(
            Map<ScaleMetric, RecordedSlope> slopes, ScaleMetric bytes, ScaleMetric datagrams, double most) {
        double value = slopes.get(bytes).fit().valueAt(CapacityTarget.SIDECARS)
                + CapacityTarget.DATAGRAM_HEADER_BYTES
                        * slopes.get(datagrams).fit().valueAt(CapacityTarget.SIDECARS);
        Shortfalls.check(
                shortfalls,
                value <= most,
                String.format(Locale.ROOT, "%s with headers at 2,100: %.4g, at most %.4g", bytes.key(), value, most));
    }

    /** On virtual time: 2,100 changes and some 300 restarts and pauses, closer together than on an ordinary day. */
    private void day(boolean whole) {
        int sidecars = whole ? 2_100 : 200;
        int scopes = whole ? SCOPES : 32;
        int changes = whole ? 2_100 : 150;
        long betweenUs = 2_000_000;
        List<String> names = new ArrayList<>();
        for (int scope = 0; scope < scopes; scope++) {
            names.add("service-" + scope);
        }
        ControlGroup group = new ControlGroup("day", names, VOTERS, REPLICAS, LEASE_US, SUBSCRIBER_LEASE_US);
        ControlSoak.Plan plan =
                new ControlSoak.Plan(group, sidecars, SCOPES_EACH, changes, betweenUs, 7 * betweenUs, 3_000_000, 3);
        ControlSoak.Outcome day = ControlSoak.run(plan, 1);
        System.out.printf(
                Locale.ROOT,
                "a drawn day, %d sidecars, %d scopes, %d changes: median %d ms, 99 in 100 within %d ms, worst %d ms, %d not in force%n",
                sidecars,
                scopes,
                day.latenciesMicros().length,
                day.latencyQuantileMicros(0.5) / 1_000,
                day.latencyQuantileMicros(0.99) / 1_000,
                day.latencyQuantileMicros(1) / 1_000,
                day.unfinished());
        Shortfalls.check(shortfalls, day.violations().isEmpty(), "a drawn day: " + day.violations());
        Shortfalls.check(shortfalls, day.unfinished() == 0, day.unfinished() + " changes of a day not in force");
        Shortfalls.check(
                shortfalls,
                day.latencyQuantileMicros(0.99) <= CapacityTarget.MAX_CHANGE_MILLIS * 1_000,
                "99 in 100 changes of a day take " + day.latencyQuantileMicros(0.99) / 1_000 + " ms");
    }

    private void put(ScaleMetric figure, int size, double value) {
        samples.put(figure, size, value);
        System.out.printf(Locale.ROOT, "%5d  %s: %.4g %s%n", size, figure.key(), value, figure.unit());
    }
}
