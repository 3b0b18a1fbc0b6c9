package loadbalancer.benchmark;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.testbed.fleet.FleetProcesses;
import loadbalancer.toml.ConfigurationException;

/**
 * Measures how evenly many sidecars load few nodes although each sees little of them: the laboratory at 14, 18, 100 and 300 sidecars
 * and several loads, and real processes on sockets beside the same file in the laboratory. Ends with {@code holds} or
 * {@code falls short: ...}. Run by {@code bench/spread.sh}.
 */
public final class SpreadBenchmark {
    /** Served in time at the least, at these loads; past capacity as a part of what could be served at all. */
    private static final double[] LOADS = {0.65, 0.8, 0.95, 1.1, 1.5};

    private static final double[] LEAST = {0.95, 0.92, 0.83, 0.75, 0.75 / 1.5};
    /** What sockets may lie under the laboratory. */
    private static final double APART = 0.05;

    private static final int LARGE = 100;
    /** Of the mean node's work in a second, the busiest one's at the most, from this load on: below it one that is busy for all of a second is over it. */
    private static final double BUSIEST = 1.5, BUSIEST_FROM = 0.8;

    private SpreadBenchmark() {}

    private record Row(int sidecars, double load) {}

    public static void main(String[] args) throws Exception {
        boolean quick = false;
        int processes = 16;
        for (int i = 0; i < args.length; i++) {
            if (args[i].equals("--quick")) {
                quick = true;
            } else if (args[i].equals("--processes") && i + 1 < args.length && args[i + 1].matches("[0-9]{1,3}")) {
                processes = Integer.parseInt(args[++i]);
            } else {
                System.err.println("usage: bench/spread.sh [--quick] [--processes N]");
                System.exit(2);
            }
        }
        List<String> shortfalls = new ArrayList<>();
        table(quick ? 1 : 5, quick ? "10s" : "25s", shortfalls);
        sockets(processes, quick ? "6s" : "20s", shortfalls);
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private static void table(int worlds, String length, List<String> shortfalls) throws Exception {
        List<Row> rows = new ArrayList<>();
        List<Callable<SimulationRun>> days = new ArrayList<>();
        for (int sidecars : new int[] {14, 18, LARGE, 300}) {
            for (double load : LOADS) {
                rows.add(new Row(sidecars, load));
                for (long seed = 1; seed <= worlds; seed++) {
                    days.add(day(sidecars, load, seed, length));
                }
            }
        }
        List<SimulationRun> played = new ArrayList<>();
        try (Runner runner = new Runner(Runtime.getRuntime().availableProcessors())) {
            runner.play(days, played::add);
        }
        System.out.println("laboratory, 60 nodes of one core: served in time (least of " + worlds
                + " worlds), refused of the tries, words a request, busiest node"
                + " over the mean in the worst second, idle seconds");
        for (int i = 0; i < rows.size(); i++) {
            Row row = rows.get(i);
            List<SimulationRun> of = played.subList(i * worlds, (i + 1) * worlds);
            double served =
                    of.stream().mapToDouble(d -> d.figures().served()).average().orElse(0);
            double least =
                    of.stream().mapToDouble(d -> d.figures().served()).min().orElse(0);
            double refused = of.stream()
                    .mapToDouble(d -> d.figures().refusedShare())
                    .average()
                    .orElse(0);
            double words = of.stream()
                    .mapToDouble(d -> ((Number) d.figures().asMap().get("words")).doubleValue()
                            / Math.max(1, ((Number) d.figures().asMap().get("tries")).doubleValue()))
                    .average()
                    .orElse(0);
            double busiest =
                    of.stream().mapToDouble(d -> d.figures().busiest()).max().orElse(0);
            int idle = of.stream().mapToInt(d -> d.figures().idleSeconds()).sum();
            System.out.printf(
                    Locale.ROOT,
                    "%4d sidecars, load %.2f   %.3f (%.3f)   %.3f   %5.1f   %.2f   %d%n",
                    row.sidecars,
                    row.load,
                    served,
                    least,
                    refused,
                    words,
                    busiest,
                    idle);
            if (row.sidecars >= LARGE) {
                Shortfalls.check(
                        shortfalls,
                        row.load < BUSIEST_FROM || busiest <= BUSIEST,
                        String.format(
                                Locale.ROOT,
                                "%d sidecars at %.2f: busiest node %.2f of the mean",
                                row.sidecars,
                                row.load,
                                busiest));
                Shortfalls.check(
                        shortfalls,
                        idle == 0,
                        row.sidecars + " sidecars at " + row.load + ": " + idle + " idle seconds of usable nodes");
            }
            for (SimulationRun d : of) {
                Shortfalls.check(
                        shortfalls,
                        d.sound(),
                        row + " seed " + d.scenario().seed() + ": " + d.broken() + " rules broken " + d.fouls()
                                + d.troubles());
            }
            for (int l = 0; l < LOADS.length && row.sidecars >= LARGE; l++) {
                Shortfalls.check(
                        shortfalls,
                        row.load != LOADS[l] || served >= LEAST[l],
                        String.format(
                                Locale.ROOT,
                                "%d sidecars at %.2f: %.3f, %.3f wanted",
                                row.sidecars,
                                row.load,
                                served,
                                LEAST[l]));
            }
        }
    }

    private static Callable<SimulationRun> day(int sidecars, double load, long seed, String length)
            throws ConfigurationException {
        Map<String, Object> instead = new LinkedHashMap<>();
        instead.put("seed", seed);
        instead.put("fleet.sidecars", (long) sidecars);
        instead.put("fleet.length", length);
        instead.put("traffic.load", load);
        Scenario s = ScenarioFile.read("vast", instead);
        return () -> new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
    }

    /** They are told of a hundred at the least, so that they keep to circles. */
    private static void sockets(int processes, String length, List<String> shortfalls) throws Exception {
        Map<String, Object> instead = new LinkedHashMap<>();
        instead.put("fleet.sidecars", (long) processes);
        instead.put("fleet.told_sidecars", (long) Math.max(LARGE, processes));
        instead.put("fleet.length", length);
        // Each sees little whatever their number: three requests a second.
        instead.put("fleet.nodes", (long) Math.max(6, processes * 3 / 16));
        Scenario s = ScenarioFile.read("spread", instead);
        SimulationRun lab = new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
        try (FleetProcesses fleet = new FleetProcesses(s, false)) {
            FleetProcesses.Played played = fleet.play();
            System.out.println(played.line());
            System.out.println("by second  "
                    + played.bySecond().stream()
                            .map(d -> String.format(Locale.ROOT, "%.2f", d))
                            .toList());
            System.out.printf(
                    Locale.ROOT,
                    "laboratory served %.3f by the same file%n",
                    lab.figures().served());
            Shortfalls.check(
                    shortfalls,
                    played.verdict().fouls() == 0,
                    "sockets: rules broken " + played.verdict().first());
            Shortfalls.check(
                    shortfalls,
                    played.served() >= lab.figures().served() - APART,
                    String.format(
                            Locale.ROOT,
                            "sockets: served %.3f, the laboratory %.3f",
                            played.served(),
                            lab.figures().served()));
        }
    }
}
