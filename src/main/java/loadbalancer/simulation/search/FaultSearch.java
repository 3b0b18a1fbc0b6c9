package loadbalancer.simulation.search;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.scenario.Fault;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.toml.ConfigurationException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Looks for days on which a rule breaks: draws timelines of events from a seed, plays them, and makes those that break one
 * short. What is found is a scenario file, which plays the same again.
 */
public final class FaultSearch {
    private static final long MS = 1_000;
    /** A shortened day is played this often at the most. */
    private static final int TRIES = 150;

    /**
     * What was found.
     *
     * @param rule     the rule that broke first, or what else was wrong
     * @param toml     the shortest day that was found to do so, as a scenario file
     * @param shrunk   that day, played
     * @param attempts days that were played to make it short
     */
    public record Find(int run, String rule, String toml, SimulationRun shrunk, int attempts) {}

    private final String name;
    private final Map<String, Object> instead;
    private final Scenario base;
    private final Function<Scenario, SimulatedFleet> worlds;
    private int tries;

    /** @param worlds makes the world of a day; {@link #sound} is the usual one */
    public FaultSearch(String name, Map<String, Object> instead, Function<Scenario, SimulatedFleet> worlds)
            throws ConfigurationException {
        this.name = name;
        this.instead = new LinkedHashMap<>(instead);
        this.worlds = worlds;
        base = ScenarioFile.read(name, instead);
    }

    /** The day that a run draws: the same for the same seed and number, whatever else is played. */
    public Scenario draw(long seed, int run) {
        UniformRandomProvider random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed * 7_919 + run, seed ^ 0x5eedL + run * 31L});
        int count = 1 + random.nextInt(base.hunt().events());
        List<Fault> faults = new ArrayList<>(base.faults());
        for (int i = 0; i < count; i++) {
            faults.add(fault(random));
        }
        faults.sort(Comparator.comparingLong(Fault::atUs));
        return base.with(faults, seed * 100_003 + run);
    }

    private Fault fault(UniformRandomProvider random) {
        Fault.Kind kind =
                base.hunt().kinds().get(random.nextInt(base.hunt().kinds().size()));
        long length = base.fleet().lengthUs();
        long at = (long) (length * (0.05 + 0.65 * random.nextDouble()));
        long lasts = (long) (300 * MS * Math.pow(40, random.nextDouble()));
        List<String> zones = base.fleet().zones();
        String zone = random.nextDouble() < 0.3 ? zones.get(random.nextInt(zones.size())) : "";
        double part =
                switch (random.nextInt(4)) {
                    case 0 -> 1;
                    case 1 -> 0.5;
                    case 2 -> 0.25;
                    default -> 0.0001;
                };
        long within = random.nextBoolean() ? 0 : (long) (4_000 * MS * random.nextDouble());
        if (kind == Fault.Kind.CRASH) {
            // A process that dies needs its time to come back.
            lasts = Math.max(lasts, 2_000 * MS);
        }
        if (kind == Fault.Kind.STALL && !base.nodes().dropsExpired()) {
            // A node that stands still for longer than its group remembers keys books twice whatever a sidecar does,
            // once the
            // request has been repeated within the rules: no day of that kind says anything of the sidecar.
            lasts = Math.min(lasts, windowUs() / 2);
        }
        double size = kind.scale.isEmpty()
                ? 0
                : Math.min(kind.most, Math.max(kind.least, kind.usual * (0.5 + random.nextDouble() * 1.5)));
        return new Fault(
                at / MS * MS,
                kind,
                zone,
                List.of(),
                part,
                lasts / MS * MS,
                within / MS * MS,
                Math.round(size * 100) / 100.0);
    }

    private long windowUs() {
        return base.classes().stream()
                .filter(k -> k.spec().idempotency() == Idempotency.WITH_KEY)
                .mapToLong(k -> k.spec().idempotencyWindowMicros())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** A world whose sidecars are as they are. */
    public static SimulatedFleet sound(Scenario s) {
        return new SimulatedFleet(s, Engine.balancer(s.operator()), null);
    }

    /** Plays so many runs; {@code progress} is told each day in its order. What was found is not shortened yet. */
    public List<SimulationRun> play(long seed, int first, int runs, Runner runner, Consumer<SimulationRun> progress)
            throws InterruptedException {
        List<Callable<SimulationRun>> days = new ArrayList<>();
        for (int run = first; run < first + runs; run++) {
            Scenario s = draw(seed, run);
            days.add(() -> worlds.apply(s).play());
        }
        return runner.play(days, progress);
    }

    /** The rule that broke first, "fault" or "held"; empty for a day that is sound. */
    public static String broken(SimulationRun d) {
        if (d.broken() > 0) {
            return d.fouls().get(0).substring(0, d.fouls().get(0).indexOf(' '));
        }
        return d.troubles().isEmpty() ? "" : d.troubles().get(0).startsWith("all is over") ? "held" : "fault";
    }

    /** Makes a day that broke a rule short: fewer events, shorter ones, a shorter day, a smaller fleet. */
    public Find shrink(int run, SimulationRun found) throws ConfigurationException {
        String rule = broken(found);
        tries = 0;
        List<Fault> faults = new ArrayList<>(found.scenario().faults());
        Map<String, Object> values = new HashMap<>(instead);
        SimulationRun best = found;
        boolean better = true;
        while (better && tries < TRIES) {
            better = false;
            for (int i = 0; i < faults.size() && tries < TRIES; i++) {
                List<Fault> without = new ArrayList<>(faults);
                without.remove(i);
                SimulationRun d = same(rule, values, without, found.scenario().seed());
                if (d != null) {
                    faults = without;
                    best = d;
                    better = true;
                    i--;
                }
            }
            for (int i = 0; i < faults.size() && tries < TRIES; i++) {
                for (Fault less : lesser(faults.get(i))) {
                    List<Fault> other = new ArrayList<>(faults);
                    other.set(i, less);
                    SimulationRun d = same(rule, values, other, found.scenario().seed());
                    if (d != null) {
                        faults = other;
                        best = d;
                        better = true;
                        break;
                    }
                }
            }
            for (Map<String, Object> smaller : smaller(values, best.scenario(), faults)) {
                SimulationRun d = tries < TRIES
                        ? same(rule, smaller, faults, found.scenario().seed())
                        : null;
                if (d != null) {
                    values = smaller;
                    best = d;
                    better = true;
                    break;
                }
            }
        }
        String about = "found by a search: "
                + best.fouls().stream()
                        .findFirst()
                        .orElse(best.troubles().isEmpty() ? "" : best.troubles().get(0));
        return new Find(
                run,
                rule,
                ScenarioFile.write(
                        name,
                        about,
                        new LinkedHashMap<>(new java.util.TreeMap<>(values)),
                        found.scenario().seed(),
                        faults),
                best,
                tries);
    }

    private static List<Fault> lesser(Fault f) {
        List<Fault> all = new ArrayList<>();
        if (f.withinUs() > 0) {
            all.add(f.with(f.atUs(), f.part(), f.forUs(), 0));
        }
        if (f.part() > 0.001) {
            all.add(f.with(f.atUs(), 0.0001, f.forUs(), f.withinUs()));
            all.add(f.with(f.atUs(), f.part() / 2, f.forUs(), f.withinUs()));
        }
        if (f.forUs() > 200 * MS) {
            all.add(f.with(f.atUs(), f.part(), f.forUs() / 2 / MS * MS, f.withinUs()));
        }
        return all;
    }

    private static List<Map<String, Object>> smaller(Map<String, Object> values, Scenario s, List<Fault> faults) {
        List<Map<String, Object>> all = new ArrayList<>();
        long lastUs = faults.stream()
                .mapToLong(f -> f.atUs() + f.withinUs() + f.forUs())
                .max()
                .orElse(0);
        long seconds = s.fleet().lengthUs() / 1_000_000;
        long shorter = Math.max(lastUs / 1_000_000 + 2, seconds * 2 / 3);
        if (shorter < seconds && faults.stream().allMatch(f -> f.atUs() <= shorter * 1_000_000)) {
            all.add(with(values, "fleet.length", shorter + "s"));
        }
        if (s.fleet().sidecars() > 1) {
            all.add(with(values, "fleet.sidecars", (long) Math.max(1, s.fleet().sidecars() / 2)));
        }
        if (s.fleet().nodes() > s.fleet().zones().size()) {
            all.add(with(values, "fleet.nodes", (long)
                    Math.max(s.fleet().zones().size(), s.fleet().nodes() * 2 / 3)));
        }
        return all;
    }

    private static Map<String, Object> with(Map<String, Object> values, String key, Object value) {
        Map<String, Object> other = new HashMap<>(values);
        other.put(key, value);
        return other;
    }

    /** The day, if the same rule breaks first on it; null if not. */
    private SimulationRun same(String rule, Map<String, Object> values, List<Fault> faults, long seed)
            throws ConfigurationException {
        tries++;
        Scenario s = ScenarioFile.read(name, values).with(faults, seed);
        SimulationRun d = worlds.apply(s).play();
        return broken(d).equals(rule) ? d : null;
    }
}
