package loadbalancer.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.LoadClients.Tried;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.Testbed.Listed;
import loadbalancer.testbed.TraceCollector;
import loadbalancer.testbed.TraceCollector.Manner;
import loadbalancer.testbed.TraceCollector.Seen;
import loadbalancer.testbed.UpstreamShape;
import loadbalancer.trace.SpanAttributes;

/**
 * Measures traces: whether each request that its client or its nodes know to have been in trouble is among those kept, whether
 * the hops join, what of a flood is kept and for how much it stands, what a dead collector does to service, and what it all
 * costs. Ends with {@code holds} or {@code falls short: ...}. Run by {@code bench/traces.sh}.
 */
public final class TracesBenchmark {
    private static final List<String> PARTS = List.of("faults", "flood", "dead", "cost");
    private static final long AIM_US = 200_000, SLACK_US = 30_000;
    private static final double MOST_RATIO = 1.10, MOST_ADDED_US = 250, MOST_MB = 24;
    private static final UpstreamShape QUICK_NODE = new UpstreamShape(4, 1, 64, 0.13, 3_000);

    private final boolean quick;
    private final List<String> shortfalls = new ArrayList<>();

    private TracesBenchmark(boolean quick) {
        this.quick = quick;
    }

    public static void main(String[] args) throws Exception {
        List<String> parts = new ArrayList<>(List.of(args));
        TracesBenchmark m = new TracesBenchmark(parts.remove("--quick"));
        if (!PARTS.containsAll(parts)) {
            System.err.println("usage: bench/traces.sh [--quick] [" + String.join("] [", PARTS) + "]");
            System.exit(2);
        }
        for (String part : parts.isEmpty() ? PARTS : parts) {
            switch (part) {
                case "faults" -> m.faults();
                case "flood" -> m.flood();
                case "dead" -> m.deadCollector();
                default -> m.cost();
            }
        }
        System.out.println(m.shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", m.shortfalls));
        System.exit(m.shortfalls.isEmpty() ? 0 : 1);
    }

    private static SidecarProcess sidecar(Testbed world, String operator) throws Exception {
        SidecarProcess s = world.sidecar(
                1, Testbed.list(1, world.nodes().stream().map(Listed::of).toList()), operator, "taskset", "-c", "0");
        world.ready(s.address()).get(60, TimeUnit.SECONDS);
        return s;
    }

    /** Resets, a stall, a death, a cold return, and clients that leave: whoever saw trouble is asked, then the collector. */
    private void faults() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).grpc().nodes(4)) {
            TraceCollector collector = world.collector();
            SidecarProcess sidecar = sidecar(
                    world,
                    Testbed.grpcTable()
                            + Testbed.tracesTable(
                                    collector,
                                    "trouble_per_second = 500\nnoted_per_second = 500\nordinary_per_second = 2\nwaiting = 5000\n"));
            // Three milliseconds after the request no node can have answered.
            LoadClients http = world.clients(sidecar.name()).traced().leaving(53, 3);
            LoadClients grpc = world.grpcClients(sidecar.name()).traced().leaving(53, 3);
            http.start(sidecar.address(), 120);
            grpc.start(sidecar.grpcAddress(), 80);
            for (int round = 0; round < (quick ? 2 : 12); round++) {
                StandInUpstream a = world.nodes().get(round % 4);
                StandInUpstream b = world.nodes().get((round + 1) % 4);
                a.reset(true);
                b.stall(500);
                world.play(700);
                a.reset(false);
                b.kill();
                a.stall(500);
                world.play(500);
                // Two of four are gone: more comes than the others can do.
                a.kill();
                world.play(500);
                a.restart();
                b.restart();
                world.play(100);
                world.registry().list(a, "Ready");
                world.registry().list(b, "Ready");
                world.play(1_200);
            }
            Testbed.Verdict verdict = world.verdict();
            world.play(1_500);
            List<Seen> seen = collector.seen();
            Map<String, Seen> requests = new HashMap<>();
            seen.stream()
                    .filter(s -> s.attributes().containsKey(SpanAttributes.REQUEST_ID))
                    .forEach(s -> requests.put(s.text(SpanAttributes.REQUEST_ID), s));
            List<Tried> tried = new ArrayList<>(http.tried());
            Set<String> marked = new HashSet<>(
                    tried.stream().filter(Tried::again).map(Tried::id).toList());
            List<Tried> ofGrpc = grpc.tried();
            tried.addAll(ofGrpc);
            Map<String, List<StandInUpstream.Ran>> ran = new HashMap<>();
            world.nodes().forEach(n -> n.ran().forEach(r -> ran.computeIfAbsent(r.id(), i -> new ArrayList<>())
                    .add(r)));
            Map<String, Predicate<Tried>> kinds = new LinkedHashMap<>();
            kinds.put("refused", t -> t.ending().equals("REFUSED"));
            kinds.put("failed", t -> t.ending().equals("FAILED") || t.ending().equals("LOST"));
            kinds.put("left", t -> t.ending().equals("LEFT"));
            kinds.put("slow", t -> t.ending().equals("SERVED") && t.tookUs() > AIM_US + SLACK_US);
            kinds.put(
                    "sent again",
                    t -> marked.contains(t.id()) || t.again() && t.lane().equals("booking-confirm"));
            kinds.put("run twice", t -> ran.getOrDefault(t.id(), List.of()).size() > 1);
            int known = 0;
            for (Map.Entry<String, Predicate<Tried>> k : kinds.entrySet()) {
                List<Tried> of = tried.stream().filter(k.getValue()).toList();
                List<Tried> missing =
                        of.stream().filter(t -> !requests.containsKey(t.id())).toList();
                known += of.size();
                System.out.printf(
                        Locale.ROOT,
                        "faults   %-10s %4d known, %d not among the traces%n",
                        k.getKey(),
                        of.size(),
                        missing.size());
                if (!missing.isEmpty()) {
                    shortfalls.add(
                            missing.size() + " " + k.getKey() + " requests have no trace, such as " + missing.get(0));
                }
            }
            System.out.printf(
                    Locale.ROOT,
                    "faults   %d of %d tries were in trouble; %d traces, %d spans%n",
                    known,
                    tried.size(),
                    requests.size(),
                    seen.size());
            if (known < 20) {
                shortfalls.add("only " + known + " requests came into trouble: the stage was too kind");
            }
            joins(seen, requests, ran, tried);
            verdict.first().stream().limit(5).forEach(f -> System.out.println("    " + f));
            if (verdict.fouls() > 0) {
                shortfalls.add("rules broken " + verdict.fouls() + " times");
            }
        }
    }

    /** The nodes' own spans hang below the right attempts, and all tries of one intent are in one trace. */
    private void joins(
            List<Seen> seen,
            Map<String, Seen> requests,
            Map<String, List<StandInUpstream.Ran>> ran,
            List<Tried> tried) {
        int attempts = 0;
        int apart = 0;
        Map<String, Seen> bySpan = new HashMap<>();
        requests.values().forEach(r -> bySpan.put(r.span(), r));
        for (Seen a : seen) {
            if (a.text(SpanAttributes.OUTCOME).equals("ok") && bySpan.containsKey(a.parent())) {
                attempts++;
                String parent = "00-" + a.trace() + "-" + a.span() + "-";
                apart += ran.getOrDefault(bySpan.get(a.parent()).text(SpanAttributes.REQUEST_ID), List.of()).stream()
                                .anyMatch(r -> r.parent() != null && r.parent().startsWith(parent))
                        ? 0
                        : 1;
            }
        }
        Map<String, Set<String>> traces = new HashMap<>();
        Map<String, Integer> tries = new HashMap<>();
        for (Tried t : tried) {
            if (t.lane().equals("booking-confirm") && requests.containsKey(t.id())) {
                traces.computeIfAbsent(t.intent(), i -> new HashSet<>())
                        .add(requests.get(t.id()).trace());
                tries.merge(t.intent(), 1, Integer::sum);
            }
        }
        long again = tries.values().stream().filter(n -> n > 1).count();
        long split = traces.values().stream().filter(s -> s.size() > 1).count();
        System.out.printf(
                Locale.ROOT,
                "joins    %d of %d served attempts have their node's span; %d confirmations were sent again by their"
                        + " client, %d of them in two traces%n",
                attempts - apart,
                attempts,
                again,
                split);
        if (apart > 0 || split > 0) {
            shortfalls.add(apart + " attempts without their node's span, " + split + " confirmations in two traces");
        }
    }

    /** Twice what the nodes can do: refusals by the hundred, and among them a few resets. */
    private void flood() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).nodes(2)) {
            TraceCollector collector = world.collector();
            SidecarProcess sidecar = sidecar(
                    world,
                    Testbed.tracesTable(
                            collector, "trouble_per_second = 20\nnoted_per_second = 2\nordinary_per_second = 5\n"));
            LoadClients clients = world.clients(sidecar.name()).traced();
            int seconds = quick ? 6 : 30;
            clients.start(sidecar.address(), 400);
            world.play(seconds * 1_000L - 2_000);
            world.nodes().get(0).reset(true);
            world.play(60);
            world.nodes().get(0).reset(false);
            world.play(1_940);
            clients.stop();
            world.settle();
            world.play(1_500);
            List<Seen> requests = collector.seen().stream()
                    .filter(s -> s.attributes().containsKey(SpanAttributes.REQUEST_ID))
                    .toList();
            Map<String, Seen> byId = new HashMap<>();
            requests.forEach(s -> byId.put(s.text(SpanAttributes.REQUEST_ID), s));
            long from = requests.stream().mapToLong(Seen::start).min().orElse(0) + 2_000_000_000L;
            List<Tried> tried = clients.tried();
            // The first two seconds teach the rate; from then on the weights are to stand for all.
            int skip = (int) (tried.size() * 2.0 / seconds);
            long refused = tried.subList(skip, tried.size()).stream()
                    .filter(t -> t.ending().equals("REFUSED"))
                    .count();
            double stands = requests.stream()
                    .filter(s ->
                            s.start() >= from && s.text(SpanAttributes.RESULT).equals("refused"))
                    .mapToDouble(s -> Double.parseDouble(s.text(SpanAttributes.WEIGHT)))
                    .sum();
            long trouble = requests.stream()
                    .filter(s -> !s.text(SpanAttributes.REASONS).matches("ordinary|hedged|asked|hedged,asked"))
                    .count();
            long reset = collector.seen().stream()
                    .filter(s -> s.text(SpanAttributes.OUTCOME).equals("reset"))
                    .count();
            System.out.printf(
                    Locale.ROOT,
                    "flood    %d sent, %d refused after the first 2 s; %d traces of trouble kept, of refusals then they"
                            + " stand for %.0f; %d attempts that were reset among them%n",
                    tried.size(),
                    refused,
                    trouble,
                    stands,
                    reset);
            // Beside the rate: the bucket's four seconds, and three of each of the few kinds in every ten seconds.
            double most = 20 * (seconds + 6) + 3 * 40 * Math.ceil(seconds / 10.0);
            if (trouble > most) {
                shortfalls.add(trouble + " traces of a flood were kept, " + most + " at most wanted");
            }
            if (refused < 100 || Math.abs(stands - refused) > 0.35 * refused) {
                shortfalls.add(
                        String.format(Locale.ROOT, "%d refusals, but their traces stand for %.0f", refused, stands));
            }
            if (reset == 0) {
                shortfalls.add("the resets were lost in the flood");
            }
        }
    }

    /** A collector that says nothing for a while: service is as before, what waits is bounded, and it comes back. */
    private void deadCollector() throws Exception {
        try (Testbed world = new Testbed(QUICK_NODE).nodes(4)) {
            TraceCollector collector = world.collector();
            SidecarProcess sidecar = sidecar(
                    world,
                    Testbed.tracesTable(collector, "ordinary_per_second = 1000\nwaiting = 300\ngive_up = \"2s\"\n"));
            LoadClients clients = world.clients(sidecar.name());
            int part = quick ? 2 : 10;
            clients.start(sidecar.address(), 200);
            world.play(part * 1_000L);
            double before = residentMb(sidecar);
            collector.be(Manner.SILENT);
            world.play(part * 1_000L);
            double held = residentMb(sidecar) - before;
            collector.be(Manner.TAKES);
            int seen = collector.seen().size();
            world.play(part * 1_000L);
            clients.stop();
            world.settle();
            double well = clients.tally(0, part).inTimeShare();
            double dead = clients.tally(part, 2 * part).inTimeShare();
            System.out.printf(
                    Locale.ROOT,
                    "dead     in time %.4f with a collector, %.4f with a dead one, %.1f MB more; %d spans after it came"
                            + " back%n",
                    well,
                    dead,
                    held,
                    collector.seen().size() - seen);
            if (dead < well - 0.01) {
                shortfalls.add(String.format(
                        Locale.ROOT, "a dead collector costs service: %.3f in time, %.3f before", dead, well));
            }
            if (held > MOST_MB) {
                shortfalls.add(String.format(Locale.ROOT, "a dead collector costs %.1f MB", held));
            }
            if (collector.seen().size() == seen) {
                shortfalls.add("nothing came when the collector was back");
            }
        }
    }

    private void cost() throws Exception {
        try (Testbed world = new Testbed(QUICK_NODE).nodes(4)) {
            TraceCollector collector = world.collector();
            SidecarProcess off = sidecar(world, null);
            SidecarProcess on = sidecar(world, Testbed.tracesTable(collector, ""));
            SidecarProcess all = sidecar(world, Testbed.tracesTable(collector, "ordinary_per_second = 1000\n"));
            RequestPath without = new RequestPath(
                    "no traces", world, off.address(), false, off.process().toHandle());
            RequestPath with = new RequestPath(
                    "traces, one a second",
                    world,
                    on.address(),
                    false,
                    on.process().toHandle());
            RequestPath every = new RequestPath(
                    "traces, every request",
                    world,
                    all.address(),
                    false,
                    all.process().toHandle());
            RequestPath.play(List.of(without, with, every), 300, quick ? 2_000 : 4_000, 3, quick ? 1_000 : 8_000);
            List.of(without, with, every).forEach(w -> System.out.println("cost     " + w));
            double ratio = with.costUs() / without.costUs();
            System.out.printf(
                    Locale.ROOT,
                    "cost     traces cost %.2f of the CPU without, every request kept %.2f; memory %.1f, %.1f, %.1f MB%n",
                    ratio,
                    every.costUs() / without.costUs(),
                    residentMb(off),
                    residentMb(on),
                    residentMb(all));
            if (ratio > MOST_RATIO) {
                shortfalls.add(String.format(Locale.ROOT, "traces cost %.2f times the CPU without", ratio));
            }
            if (with.p50Us() - without.p50Us() > MOST_ADDED_US) {
                shortfalls.add(
                        String.format(Locale.ROOT, "traces add %.0f us at the median", with.p50Us() - without.p50Us()));
            }
        }
    }

    private static double residentMb(SidecarProcess s) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + s.process().pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
            }
        }
        throw new IOException("no VmRSS");
    }
}
