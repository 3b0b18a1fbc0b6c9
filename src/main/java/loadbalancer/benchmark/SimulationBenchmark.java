package loadbalancer.benchmark;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.json.JsonObject;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.simulation.search.FaultSearch;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed.Listed;
import loadbalancer.testbed.Testbed.Verdict;
import loadbalancer.testbed.UpstreamShape;
import loadbalancer.toml.ConfigurationException;

/**
 * Measures the laboratory: whether what it ships holds, is the same each time and how fast it is, what a search finds, and whether
 * the same happens on real sockets. Ends with {@code holds} or {@code falls short: ...}. Run by {@code bench/lab.sh}.
 */
public final class SimulationBenchmark {
    private static final int CORES = Runtime.getRuntime().availableProcessors();
    private final boolean quick;
    private final List<String> shortfalls = new ArrayList<>();

    private SimulationBenchmark(boolean quick) {
        this.quick = quick;
    }

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        boolean sockets = args.length == 1 && args[0].equals("--sockets");
        if (args.length > 0 && !quick && !sockets) {
            System.err.println("usage: bench/lab.sh [--quick | --sockets]");
            System.exit(2);
        }
        SimulationBenchmark m = new SimulationBenchmark(quick);
        if (!sockets) {
            m.shipped();
            m.same();
            m.searched();
        }
        if (!quick) {
            m.truth();
        }
        System.out.println(m.shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", m.shortfalls));
        System.exit(m.shortfalls.isEmpty() ? 0 : 1);
    }

    private void check(boolean holds, String otherwise) {
        if (!holds) {
            shortfalls.add(otherwise);
        }
    }

    private static Callable<SimulationRun> day(Scenario s) {
        return () -> new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
    }

    private void shipped() throws Exception {
        List<Callable<SimulationRun>> days = new ArrayList<>();
        for (String name : ScenarioFile.SHIPPED) {
            for (int k = 0; k < (quick ? 1 : 5); k++) {
                Scenario s = ScenarioFile.read(name, Map.of());
                days.add(day(s.with(s.faults(), s.seed() + k)));
            }
        }
        long begun = System.nanoTime();
        List<SimulationRun> played;
        try (Runner runner = new Runner(CORES)) {
            played = runner.play(days, d -> System.out.println(d.line()));
        }
        double seconds = (System.nanoTime() - begun) / 1e9;
        double events = played.stream().mapToLong(d -> d.figures().events()).sum();
        // The longest alone says what one core plays; beside others it shares the machine's memory.
        Scenario s = ScenarioFile.read("quiet", Map.of());
        new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
        SimulationRun alone = new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
        double perCore = alone.figures().events() / alone.figures().wallS();
        System.out.printf(
                Locale.ROOT,
                "%d days in %.1f s, %.2f M events a second on %d cores; one day alone on one: %.2f M%n",
                played.size(),
                seconds,
                events / seconds / 1e6,
                CORES,
                perCore / 1e6);
        for (SimulationRun d : played) {
            check(
                    d.holds(),
                    d.scenario().name() + ", seed " + d.scenario().seed() + ": "
                            + d.checks().stream().filter(c -> !c.holds()).toList());
        }
        check(perCore >= 1e6, String.format(Locale.ROOT, "%.2f M events a second a core (aim 1)", perCore / 1e6));
    }

    /** Logs byte for byte, and days as JSON however many are played beside each other. */
    private void same() throws Exception {
        List<Scenario> days = new ArrayList<>();
        for (String name : List.of("keyed-repeats", "discovery-down", "replaced")) {
            days.add(ScenarioFile.read(name, Map.of()));
        }
        int different = 0;
        for (Scenario s : days) {
            different += log(s).equals(log(s)) ? 0 : 1;
        }
        System.out.println("event logs of " + days.size() + " days, played twice: " + different + " differ");
        check(different == 0, different + " event logs differ");
        boolean jobs = json(days, 1).equals(json(days, 8));
        System.out.println("the same days with 1 and with 8 jobs: " + (jobs ? "the same" : "not the same"));
        check(jobs, "days differ by how many are played at once");
    }

    private static String log(Scenario s) {
        StringBuilder log = new StringBuilder();
        new SimulatedFleet(s, Engine.balancer(s.operator()), l -> log.append(l).append('\n')).play();
        return log.toString();
    }

    private static List<String> json(List<Scenario> scenarios, int jobs) throws InterruptedException {
        try (Runner runner = new Runner(jobs)) {
            return runner.play(scenarios.stream().map(SimulationBenchmark::day).toList(), d -> {}).stream()
                    .map(d -> new String(JsonObject.write(d.asMap()), StandardCharsets.UTF_8))
                    .toList();
        }
    }

    private void searched() throws Exception {
        for (String name : List.of("storm-of-faults", "cold-storm")) {
            FaultSearch search = new FaultSearch(name, Map.of(), FaultSearch::sound);
            int runs = quick ? 50 : 2_000;
            long begun = System.nanoTime();
            List<SimulationRun> days;
            try (Runner runner = new Runner(CORES)) {
                days = search.play(1, 0, runs, runner, d -> {});
            }
            List<SimulationRun> broken =
                    days.stream().filter(d -> !FaultSearch.broken(d).isEmpty()).toList();
            System.out.printf(
                    Locale.ROOT,
                    "search, %s: %d days with %d events in %.1f s, %d broke a rule%n",
                    name,
                    days.size(),
                    days.stream().mapToInt(d -> d.scenario().faults().size()).sum(),
                    (System.nanoTime() - begun) / 1e9,
                    broken.size());
            check(
                    broken.isEmpty(),
                    name + ": " + broken.size() + " of " + runs + " days broke a rule, such as "
                            + broken.stream()
                                    .findFirst()
                                    .map(d -> d.fouls() + " " + d.troubles())
                                    .orElse(""));
        }
    }

    // ---- the same on sockets ---------------------------------------------------------------------

    private static final int NODES = 6, SIDECARS = 2, SECONDS = 14;
    private static final double RATE = 120;
    /** The stand-in stage, said as a scenario: its nodes, its clients, its classes and what its sidecars are allowed. */
    private static final String STAGE = "about = 'as the stage on sockets'\n[fleet]\nnodes = " + NODES + "\nsidecars = "
            + SIDECARS + "\nlength = '" + SECONDS
            + "s'\n[[machine]]\nname = 'stand-in'\n[nodes]\nspeed_spread = 0\nwaiting = 12\ncold_share = 0.13\nramp = '3s'\npause_every = '0s'\n"
            + "handshake_ms = 0\nprobe_ms = 0\n[[class]]\nname = 'slot-lookup'\nshare = %s\nwork_ms = 10\nspread = 0\naim = '200ms'\n"
            + "deadline = '600ms'\nworth = 3\n[[class]]\nname = 'note-change'\nshare = %s\nwork_ms = 10\nspread = 0\naim = '200ms'\ndeadline = '600ms'\n"
            + "effect = 'unsafe'\nworth = 3\n[[class]]\nname = 'booking-confirm'\nshare = %s\nwork_ms = 10\nspread = 0\naim = '200ms'\ndeadline = '600ms'\n"
            + "effect = 'keyed'\ngroup = 'zone'\nworth = 9\n[traffic]\nper_second = " + RATE
            + "\nretries = 1\nretry_ms = 50\nimpatient = 0\npatience = 1\n"
            + "[registry]\nnotice = '%s'\nsilent = '%s'\n[network]\nsame_ms = 0.1\ncross_ms = 0.1\n[sidecar]\npeers = false\nsecond_copies = false\n"
            + "retry_after = true\nboot = '0s'\nstart_spread = '0s'\n";

    private record Seen(double inTime, double refused, double failed, double cold, int fouls, String first) {}

    private void truth() throws Exception {
        System.out.println(
                "the same on sockets and in the laboratory: in time, refused, failed, most to a cold node; rules broken");
        compare("calm", "", stage -> {});
        // A node dies for two seconds; neither registry says so, so both sidecars find it out themselves.
        compare("death", "[[event]]\nat = '4s'\ndo = 'crash'\nnodes = [1]\nfor = '2s'\n", stage -> {
            stage.after(4_000, () -> stage.nodes().get(1).kill());
            stage.after(6_000, () -> stage.nodes().get(1).restart());
        });
        compare(
                "stall",
                "[[event]]\nat = '4s'\ndo = 'stall'\nnodes = [0, 1, 2]\nfor = '1500ms'\n",
                stage -> stage.after(4_000, () -> stage.nodes().subList(0, 3).forEach(n -> n.stall(1_500))));
        compare("three die", "[[event]]\nat = '4s'\ndo = 'crash'\nnodes = [0, 1, 2]\nfor = '3s'\n", stage -> {
            stage.after(4_000, () -> stage.nodes().subList(0, 3).forEach(StandInUpstream::kill));
            stage.after(7_000, () -> stage.nodes().subList(0, 3).forEach(StandInUpstream::restart));
        });
        compare(
                "discovery down",
                "[[event]]\nat = '3s'\ndo = 'registry-down'\nfor = '6s'\n[[event]]\nat = '4s'\ndo = 'crash'\nnodes = [1]\nfor = '2s'\n",
                stage -> {
                    stage.after(3_000, () -> stage.registry().down(true));
                    stage.after(9_000, () -> stage.registry().down(false));
                    stage.after(4_000, () -> stage.nodes().get(1).kill());
                    stage.after(6_000, () -> stage.nodes().get(1).restart());
                });
    }

    private void compare(String name, String events, Consumer<loadbalancer.testbed.Testbed> plan) throws Exception {
        Seen sockets = sockets(plan);
        Seen lab = lab(events);
        System.out.printf(Locale.ROOT, "%-16s sockets %s; laboratory %s%n", name, text(sockets), text(lab));
        check(
                Math.abs(sockets.inTime - lab.inTime) <= 0.03,
                name
                        + String.format(
                                Locale.ROOT,
                                ": %.3f in time on sockets, %.3f in the laboratory",
                                sockets.inTime,
                                lab.inTime));
        check(
                sockets.fouls == 0 && lab.fouls == 0,
                name + ": " + sockets.fouls + " and " + lab.fouls + " rules broken, " + sockets.first);
    }

    private static String text(Seen s) {
        return String.format(Locale.ROOT, "%.3f %.3f %.3f %.2f; %d", s.inTime, s.refused, s.failed, s.cold, s.fouls);
    }

    private static Seen lab(String events) throws ConfigurationException {
        double inTime = 0;
        double refused = 0;
        double failed = 0;
        double cold = 0;
        int fouls = 0;
        int seeds = 5;
        for (int seed = 1; seed <= seeds; seed++) {
            Scenario s = ScenarioFile.parse(
                    "stage", STAGE.formatted("0.6", "0.2", "0.2", "60s", "60s") + events, Map.of("seed", (long) seed));
            SimulationRun d = new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
            long asked = d.figures().asked();
            double served = 0;
            for (String c : d.figures().classes()) {
                served += d.figures().count(c, "served");
                refused += d.figures().count(c, "refused") / (double) asked / seeds;
                failed += d.figures().count(c, "failed") / (double) asked / seeds;
            }
            inTime += served / asked / seeds;
            cold = Math.max(cold, d.figures().coldMost());
            fouls += d.broken();
        }
        return new Seen(inTime, refused, failed, cold, fouls, "");
    }

    private static Seen sockets(Consumer<loadbalancer.testbed.Testbed> plan) throws Exception {
        try (loadbalancer.testbed.Testbed stage = new loadbalancer.testbed.Testbed(UpstreamShape.SMALL).nodes(NODES)) {
            List<Listed> known = new ArrayList<>();
            for (StandInUpstream n : stage.nodes()) {
                known.add(Listed.of(n));
            }
            Map<String, Object> list = new LinkedHashMap<>(loadbalancer.testbed.Testbed.list(1, known));
            List<SidecarProcess> sidecars = new ArrayList<>();
            for (int i = 0; i < SIDECARS; i++) {
                sidecars.add(stage.sidecar(SIDECARS, list, null));
            }
            for (SidecarProcess s : sidecars) {
                stage.ready(s.address()).get(30, TimeUnit.SECONDS);
            }
            for (SidecarProcess s : sidecars) {
                LoadClients c = stage.clients(s.name());
                c.start(s.address(), RATE);
            }
            plan.accept(stage);
            stage.play(SECONDS * 1_000);
            Verdict v = stage.verdict();
            LoadClients.Tally t = stage.tally(0, SECONDS + 1);
            return new Seen(
                    t.inTimeShare(),
                    t.refused() / (double) t.sent(),
                    (t.failed() + t.unreachable()) / (double) t.sent(),
                    v.coldPeak(),
                    v.fouls(),
                    v.first().isEmpty() ? "" : v.first().get(0).toString());
        }
    }
}
