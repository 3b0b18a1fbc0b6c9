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
import loadbalancer.toml.ConfigurationException;

/**
 * Measures days of fourteen sidecars before sixty nodes, and of a hundred before two hundred, drawn worlds each, with and without the sidecars'
 * words: of what they hold, which so many as a hundred do not say, and of where no connection came up. Ends with {@code holds} or {@code falls short: ...}. Run by
 * {@code bench/fleet.sh}.
 */
public final class FleetBenchmark {
    private static final double COLD_MOST = 3;
    /** What the words must be worth of what is asked, over all worlds of a kind. */
    private static final double GAIN = 0.03;
    /** The same of lessons alone: where a zone dies, and elsewhere, where they must not cost more than worlds differ. */
    private static final double GAIN_DARK = 0.005, LOSS_ELSEWHERE = 0.01;
    /** What is sent to a cold node at size is over the rule with and without words (see docs/design/fleet.md): they must not add to it. */
    private static final double COLD_MORE = 0.2;

    private static final String AT_SIZE = " x100";

    private record Played(String kind, Callable<SimulationRun> alone, Callable<SimulationRun> told) {}

    private FleetBenchmark() {}

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/fleet.sh [--quick]");
            System.exit(2);
        }
        List<Played> pairs = new ArrayList<>();
        int worlds = quick ? 2 : 6;
        for (String kind : List.of("vast", "vast-join", "vast-dark")) {
            for (long seed = 1; seed <= worlds; seed++) {
                pairs.add(new Played(kind, day(kind, seed, false, Map.of()), day(kind, seed, true, Map.of())));
            }
        }
        for (String kind : List.of("vast-join", "vast-dark")) {
            for (long seed = 1; seed <= worlds; seed++) {
                Map<String, Object> size = Map.of("fleet.sidecars", 100L, "fleet.nodes", 200L);
                pairs.add(new Played(kind + AT_SIZE, day(kind, seed, false, size), day(kind, seed, true, size)));
            }
        }
        List<Callable<SimulationRun>> days = new ArrayList<>();
        pairs.forEach(p -> {
            days.add(p.alone);
            days.add(p.told);
        });
        List<SimulationRun> played = new ArrayList<>();
        try (Runner runner = new Runner(Runtime.getRuntime().availableProcessors())) {
            runner.play(days, played::add);
        }
        List<String> shortfalls = new ArrayList<>();
        System.out.println(
                "day            seed   served: alone  with words   refused: alone  with words   cold: alone  with words  words a sidecar and s");
        Map<String, Double> gains = new LinkedHashMap<>();
        for (int i = 0; i < played.size(); i += 2) {
            SimulationRun alone = played.get(i);
            SimulationRun told = played.get(i + 1);
            String kind = pairs.get(i / 2).kind;
            boolean large = kind.endsWith(AT_SIZE);
            double seconds = told.scenario().fleet().lengthUs()
                    / 1e6
                    * told.scenario().fleet().sidecars();
            System.out.printf(
                    Locale.ROOT,
                    "%-14s %4d      %.4f      %.4f          %.4f      %.4f         %.2f        %.2f  %10.0f%n",
                    kind,
                    told.scenario().seed(),
                    alone.figures().served(),
                    told.figures().served(),
                    alone.figures().refusedShare(),
                    told.figures().refusedShare(),
                    alone.figures().coldMost(),
                    told.figures().coldMost(),
                    (long) told.figures().asMap().get("words") / seconds);
            gains.merge(kind, (told.figures().served() - alone.figures().served()) / worlds, Double::sum);
            String which = kind + " seed " + told.scenario().seed();
            Shortfalls.check(
                    shortfalls,
                    large || told.sound(),
                    which + ": " + told.broken() + " rules broken " + told.fouls() + told.troubles());
            double most = large ? Math.max(COLD_MOST, alone.figures().coldMost() + COLD_MORE) : COLD_MOST;
            Shortfalls.check(
                    shortfalls,
                    told.figures().coldMost() <= most,
                    which + ": a cold node was sent " + told.figures().coldMost());
            Shortfalls.check(shortfalls, told.troubles().isEmpty(), which + ": " + told.troubles());
        }
        gains.forEach((kind, gain) -> {
            System.out.printf(Locale.ROOT, "%-14s the words are worth %+.4f of what is asked%n", kind, gain);
            double least = !kind.endsWith(AT_SIZE) ? GAIN : kind.startsWith("vast-dark") ? GAIN_DARK : -LOSS_ELSEWHERE;
            Shortfalls.check(shortfalls, gain >= least, kind + ": gain " + gain);
        });
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private static Callable<SimulationRun> day(String kind, long seed, boolean words, Map<String, Object> more)
            throws ConfigurationException {
        Map<String, Object> instead = new LinkedHashMap<>(more);
        instead.put("seed", seed);
        instead.put("sidecar.peers", words);
        Scenario s = ScenarioFile.read(kind, instead);
        return () -> new SimulatedFleet(s, Engine.balancer(s.operator()), null).play();
    }
}
