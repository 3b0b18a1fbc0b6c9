package rushproxy.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import rushproxy.lab.Day;
import rushproxy.lab.Runner;
import rushproxy.lab.World;
import rushproxy.lab.scenario.Scenario;
import rushproxy.lab.scenario.ScenarioFile;
import rushproxy.sidecar.Engine;

/**
 * Measures days of fourteen sidecars before sixty nodes, drawn worlds each, with and without the sidecars' words of what they hold:
 * without them they pick as they did before those words came. Ends with {@code holds} or {@code falls short: ...}. Run by
 * {@code bench/fleet.sh}.
 */
public final class FleetMeasure {
    private static final double COLD_MOST = 3;
    /** What the words must be worth of what is asked, over all worlds of a kind. */
    private static final double GAIN = 0.03;

    private FleetMeasure() {}

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/fleet.sh [--quick]");
            System.exit(2);
        }
        List<Callable<Day>> days = new ArrayList<>();
        List<String> names = new ArrayList<>();
        int worlds = quick ? 2 : 6;
        for (String kind : List.of("vast", "vast-join")) {
            for (long seed = 1; seed <= worlds; seed++) {
                for (boolean words : new boolean[] {false, true}) {
                    Scenario s = ScenarioFile.read(kind, Map.of("seed", seed, "sidecar.peers", words));
                    days.add(() -> new World(s, Engine.module(s.operator()), null).play());
                    names.add(kind);
                }
            }
        }
        List<Day> played = new ArrayList<>();
        try (Runner runner = new Runner(Runtime.getRuntime().availableProcessors())) {
            runner.play(days, played::add);
        }
        List<String> shortfalls = new ArrayList<>();
        System.out.println("day         seed   served: alone  with words   refused: alone  with words   cold: alone  with words  words a sidecar and s");
        Map<String, Double> gains = new LinkedHashMap<>();
        for (int i = 0; i < played.size(); i += 2) {
            Day alone = played.get(i);
            Day told = played.get(i + 1);
            double seconds = told.scenario().fleet().lengthUs() / 1e6 * told.scenario().fleet().sidecars();
            System.out.printf(Locale.ROOT, "%-11s %4d         %.4f      %.4f          %.4f      %.4f         %.2f        %.2f  %10.0f%n",
                    names.get(i), told.scenario().seed(), alone.figures().served(), told.figures().served(), alone.figures().refusedShare(),
                    told.figures().refusedShare(), alone.figures().coldMost(), told.figures().coldMost(),
                    (long) told.figures().asMap().get("words") / seconds);
            gains.merge(names.get(i), (told.figures().served() - alone.figures().served()) / worlds, Double::sum);
            String which = names.get(i) + " seed " + told.scenario().seed();
            check(shortfalls, told.sound(), which + ": " + told.broken() + " rules broken " + told.fouls() + told.troubles());
            check(shortfalls, told.figures().coldMost() <= COLD_MOST, which + ": a cold node was sent " + told.figures().coldMost());
        }
        gains.forEach((kind, gain) -> {
            System.out.printf(Locale.ROOT, "%-11s the words are worth %+.4f of what is asked%n", kind, gain);
            check(shortfalls, gain >= GAIN, kind + ": gain " + gain);
        });
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        System.exit(shortfalls.isEmpty() ? 0 : 1);
    }

    private static void check(List<String> shortfalls, boolean holds, String otherwise) {
        if (!holds) {
            shortfalls.add(otherwise);
        }
    }
}
