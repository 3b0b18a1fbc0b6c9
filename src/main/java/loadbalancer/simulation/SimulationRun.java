package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.simulation.scenario.Fault;
import loadbalancer.simulation.scenario.Scenario;

/**
 * A day that was played, and what became of what was expected of it.
 *
 * @param fouls    the first rules that broke, in words; {@code broken} counts all
 * @param troubles faults of the program, and what was still held when all was over
 */
public record SimulationRun(
        Scenario scenario, RunStatistics figures, List<String> fouls, int broken, List<String> troubles) {
    /** A bound that the scenario sets. */
    public record Check(String what, String wanted, String found, boolean holds) {}

    /** Rules kept, nothing held at the end, no fault. */
    public boolean sound() {
        return broken == 0 && troubles.isEmpty();
    }

    public List<Check> checks() {
        List<Check> all = new ArrayList<>();
        Scenario.Expect e = scenario.expect();
        if (e.rules()) {
            all.add(new Check(
                    "rules",
                    "0 broken",
                    broken + " broken" + (troubles.isEmpty() ? "" : ", " + troubles.get(0))
                            + (fouls.isEmpty() ? "" : ": " + fouls.get(0)),
                    sound()));
        }
        least(all, "served", e.served(), figures.served());
        least(all, figures.dearest(), e.confirms(), figures.served(figures.dearest()));
        least(all, "worst five seconds", e.worstSecond(), figures.worst());
        most(all, "sent to a cold node", e.cold(), figures.coldMost());
        most(all, "tries refused", e.refused(), figures.refusedShare());
        most(all, "tries failed", e.failed(), figures.failedShare());
        most(all, "own load", e.ownLoad(), figures.ownLoad());
        most(all, "connections on a node", e.connections(), figures.nodeConnections());
        most(
                all,
                "calls to discovery a minute",
                e.calls(),
                figures.callsPerMinute(scenario.fleet().sidecars()));
        most(all, "clients of a node, most over least", e.evenness(), figures.evenness());
        if (e.recoveryUs() >= 0) {
            int s = figures.recovery(lastEnds());
            all.add(new Check(
                    "recovery",
                    "within " + e.recoveryUs() / 1e6 + " s",
                    s < 0 ? "never" : s + " s",
                    s >= 0 && s * 1e6 <= e.recoveryUs()));
        }
        return all;
    }

    /** Second at which the last event is over. */
    public int lastEnds() {
        long us = scenario.faults().stream()
                .mapToLong(f -> f.atUs() + f.withinUs() + Math.max(0, f.forUs()))
                .max()
                .orElse(0);
        return (int) (us / 1_000_000);
    }

    private static void least(List<Check> all, String what, double wanted, double found) {
        if (wanted >= 0) {
            all.add(new Check(what, "at least " + number(wanted), number(found), found >= wanted));
        }
    }

    private static void most(List<Check> all, String what, double wanted, double found) {
        if (wanted >= 0) {
            all.add(new Check(what, "at most " + number(wanted), number(found), found <= wanted));
        }
    }

    private static String number(double d) {
        return d == Math.rint(d) && Math.abs(d) >= 10
                ? String.valueOf((long) d)
                : String.format(Locale.ROOT, "%.3f", d);
    }

    public boolean holds() {
        return checks().stream().allMatch(Check::holds);
    }

    /** One line for people. */
    public String line() {
        RunStatistics f = figures;
        return String.format(
                Locale.ROOT,
                "%-18s seed %-4d %s  served %.3f (%s %.3f, worst %.2f)  refused %.3f failed %.3f  cold %.2f  %d"
                        + " tries, %d attempts, %d probes, %d dials, %d calls, own load %.4f  conn %d a node, %d a sidecar  even %.2f  %.1f M events in %.1f s",
                scenario.name(),
                scenario.seed(),
                holds() ? "holds" : "FALLS SHORT",
                f.served(),
                f.dearest(),
                f.served(f.dearest()),
                f.worst(),
                f.refusedShare(),
                f.failedShare(),
                f.coldMost(),
                f.tries,
                f.attempts,
                f.probes,
                f.dials,
                f.calls,
                f.ownLoad,
                f.nodeConnections,
                f.sidecarConnections,
                f.evenness,
                f.events / 1e6,
                f.wallS);
    }

    /** For programs. Nothing in it depends on the machine, so the same day gives the same bytes. */
    public Map<String, Object> asMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("scenario", scenario.name());
        m.put("seed", scenario.seed());
        m.put("holds", holds());
        m.put("broken", broken);
        m.put("fouls", List.copyOf(fouls.subList(0, Math.min(5, fouls.size()))));
        m.put("troubles", troubles);
        List<Object> checks = new ArrayList<>();
        for (Check c : checks()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("what", c.what());
            one.put("wanted", c.wanted());
            one.put("found", c.found());
            one.put("holds", c.holds());
            checks.add(one);
        }
        m.put("checks", checks);
        m.put("events", scenario.faults().stream().map(Fault::toString).toList());
        m.put("about", scenario.about());
        m.put("eq4", new LinkedHashMap<String, Object>(HaloReference.split(scenario)));
        m.put("split", new LinkedHashMap<String, Object>(figures.split(lastEnds())));
        m.put("figures", figures.asMap());
        return m;
    }
}
