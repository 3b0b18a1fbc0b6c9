package loadbalancer.benchmark;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorFile;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.toml.ConfigurationTable;

/**
 * Measures what each of many quiet sidecars holds open, asks and sends, with and without subsets, as the fleet grows, and its hard
 * cases. Ends with {@code holds} or {@code falls short: ...}. Run by {@code bench/subset.sh}.
 */
public final class SubsetBenchmark {
    private static final int MOST_CONNECTIONS = 2_000;
    private static final double MOST_OWN_LOAD = 0.01, MOST_EVENNESS = 1.3;

    private SubsetBenchmark() {}

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/subset.sh [--quick]");
            System.exit(2);
        }
        OperatorConfiguration few = OperatorFile.read(ConfigurationTable.parse("subset", "[subset]\n", Map.of()));
        List<String> shortfalls = new ArrayList<>();
        Map<String, Callable<SimulationRun>> days = new LinkedHashMap<>();
        int[] fleets = quick ? new int[] {10, 100, 1_000} : new int[] {10, 100, 1_000, 5_000};
        for (int sidecars : fleets) {
            Scenario s = ScenarioFile.read(
                    "quiet",
                    Map.of(
                            "fleet.sidecars",
                            (long) sidecars,
                            "fleet.length",
                            quick ? "120s" : "600s",
                            "nodes.connections",
                            100_000L));
            days.put(sidecars + " sidecars, all nodes", day(s));
            days.put(sidecars + " sidecars, subsets", day(s.with(few)));
        }
        String hard =
                "base = 'quiet'\n[instead]\n'fleet.length' = '60s'\n'traffic.per_second' = 0.5\n'fleet.sidecars' = 400\n";
        days.put(
                "all restart in 1 s beside a cold node",
                day(ScenarioFile.parse(
                                "restart",
                                hard + "[[event]]\nat = '20s'\ndo = 'crash'\nnodes = [4]\n"
                                        + "for = '3s'\n[[event]]\nat = '23s'\ndo = 'restart'\nwithin = '1s'\nfor = '10ms'\n",
                                Map.of())
                        .with(few)));
        days.put(
                "half of all nodes die unnoticed",
                day(ScenarioFile.parse(
                                "dead",
                                hard + "'registry.silent' = '60s'\n[[event]]\nat = '20s'\ndo = 'crash'\n"
                                        + "part = 0.5\n",
                                Map.of())
                        .with(few)));
        days.put(
                "idle for 10 minutes, then the fleet is another",
                day(ScenarioFile.parse(
                                "idle",
                                "base = 'quiet'\n[instead]\n'fleet.length' = '700s'\n"
                                        + "'traffic.per_second' = 0.002\n'fleet.sidecars' = 200\n[[event]]\nat = '300s'\ndo = 'deploy'\nwithin = '120s'\nfor = '3s'\n"
                                        + "[[event]]\nat = '600s'\ndo = 'load'\nsize = 20\n",
                                Map.of())
                        .with(few)));
        System.out.println(
                "                                              connections       a sidecar and minute:          ");
        System.out.println(
                "                                        most a node, sidecar   calls  probes  dials  words   own load  even  served");
        try (Runner runner = new Runner(quick ? Runtime.getRuntime().availableProcessors() : 2)) {
            List<String> names = new ArrayList<>(days.keySet());
            int[] at = new int[1];
            runner.play(new ArrayList<>(days.values()), d -> print(names.get(at[0]++), d, shortfalls));
        }
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private static Callable<SimulationRun> day(Scenario s) {
        return () -> new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
    }

    private static void print(String name, SimulationRun d, List<String> shortfalls) {
        Map<String, Object> f = d.figures().asMap();
        int sidecars = d.scenario().fleet().sidecars();
        double minutes = sidecars * (d.scenario().fleet().lengthUs() / 60e6);
        System.out.printf(
                Locale.ROOT,
                "%-42s %6d %8d   %8.1f %7.1f %6.1f %6.1f   %.5f  %.2f  %.4f%s%n",
                name,
                d.figures().nodeConnections(),
                d.figures().sidecarConnections(),
                (long) f.get("calls") / minutes,
                (long) f.get("probes") / minutes,
                (long) f.get("dials") / minutes,
                (long) f.get("words") / minutes,
                d.figures().ownLoad(),
                d.figures().evenness(),
                d.figures().served(),
                d.sound() ? "" : "  RULES: " + d.fouls() + d.troubles());
        Shortfalls.check(shortfalls, d.sound(), name + ": " + d.broken() + " rules broken " + d.troubles());
        if (d.scenario().operator().subset() == null) {
            return;
        }
        Shortfalls.check(
                shortfalls,
                d.figures().ownLoad() <= MOST_OWN_LOAD,
                name + ": own load " + d.figures().ownLoad());
        Shortfalls.check(
                shortfalls,
                d.figures().nodeConnections() <= MOST_CONNECTIONS,
                name + ": " + d.figures().nodeConnections() + " connections on a node");
        boolean many = sidecars >= 100;
        Shortfalls.check(
                shortfalls,
                !many || name.startsWith("half") || d.figures().evenness() <= MOST_EVENNESS,
                name + ": evenness " + d.figures().evenness());
        Shortfalls.check(
                shortfalls,
                d.figures().served() >= 0.97,
                name + ": served " + d.figures().served());
    }
}
