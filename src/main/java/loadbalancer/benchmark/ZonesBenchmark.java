package loadbalancer.benchmark;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import loadbalancer.simulation.SimulatedUpstream.Link;
import loadbalancer.simulation.ZoneSimulation;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.Testbed.Listed;
import loadbalancer.testbed.UpstreamShape;
import loadbalancer.zones.ZoneOptions;

/**
 * Measures the loss and the return of a zone: in virtual time with the real module, eight sidecars and nodes like the brief's, with
 * zones, without, and with plain failover; then on sockets with real sidecars. Ends with {@code holds} or {@code falls short: ...}.
 * Run by {@code bench/zones.sh}.
 */
public final class ZonesBenchmark {
    private static final List<String> SURVIVORS = List.of("north", "south");
    private static final double MOST_PEAK = 1.1, MOST_COLD = 3, MOST_COLD_P99 = 1.5;
    private static final int DARK_S = 10, BACK_S = 20, END_S = 60;

    private final int seeds;
    private final List<String> shortfalls = new ArrayList<>();

    private ZonesBenchmark(int seeds) {
        this.seeds = seeds;
    }

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/zones.sh [--quick]");
            System.exit(2);
        }
        ZonesBenchmark m = new ZonesBenchmark(quick ? 5 : 40);
        m.days();
        m.flapping();
        m.preference();
        m.sockets(quick ? 8 : 30, quick ? 4 : 8);
        System.out.println(m.shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", m.shortfalls));
        System.exit(m.shortfalls.isEmpty() ? 0 : 1);
    }

    private static ZoneOptions options(List<List<String>> tiers, double floor, long doublingUs, double over) {
        return new ZoneOptions(tiers, Set.of(), over, 0.3, floor, doublingUs, 500_000, 15_000_000, 20_000, 60_000_000);
    }

    private static final Function<String, ZoneOptions> ZONES = z -> options(List.of(), 5, 2_000_000, 1.4),
            ALONE = z -> null,
            HOME = z -> options(List.of(List.of(z)), 5, 2_000_000, 1.4),
            FAILOVER = z -> options(List.of(List.of(z)), 1_000, 100_000, 1_000);

    private void days() {
        Map<String, Function<String, ZoneOptions>> ways = new LinkedHashMap<>();
        ways.put("zones", ZONES);
        ways.put("own zone first", HOME);
        ways.put("plain failover", FAILOVER);
        ways.put("module alone", ALONE);
        for (Link link : List.of(Link.CUT, Link.ANSWERS_LOST, Link.DEAD)) {
            for (double load : new double[] {0.45, 0.8}) {
                for (Map.Entry<String, Function<String, ZoneOptions>> w : ways.entrySet()) {
                    day(link, load, w.getKey(), w.getValue());
                }
            }
        }
    }

    private void day(Link link, double load, String name, Function<String, ZoneOptions> way) {
        double dark = 0;
        double back = 0;
        double home = 0;
        double peak = 0;
        double cold = 0;
        double p99 = 0;
        double confirms = 0;
        long doubled = 0;
        long fouls = 0;
        int steady = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ZoneSimulation d = new ZoneSimulation(4, 8, load, way, true, seed).play(DARK_S);
            d.zone("west", link, 99);
            d.play(BACK_S);
            d.zone("west", Link.UP, 99);
            d.play(BACK_S + 0.5).list();
            d.play(END_S);
            dark += d.served(DARK_S, BACK_S) / seeds;
            confirms += d.confirmsServed(DARK_S, BACK_S) / seeds;
            back += d.served(BACK_S, BACK_S + 15) / seeds;
            home += d.served(BACK_S + 15, END_S - 1) / seeds;
            peak = Math.max(peak, d.peak(SURVIVORS, DARK_S, BACK_S));
            cold = Math.max(cold, d.coldPush(1));
            p99 = Math.max(p99, d.coldPush(0.99));
            doubled += d.doubleBookings();
            fouls += d.fouls().size();
            int s = d.secondsUntil(DARK_S, BACK_S, 0.9 * best(load));
            steady = Math.max(steady, s < 0 ? 99 : s);
        }
        System.out.printf(
                Locale.ROOT,
                "%-12s load %.2f  %-14s dark %.3f of %.3f (confirmations %.3f), steady after %d s, back %.3f, then %.3f;"
                        + " survivors %.2f, cold %.2f (p99 %.2f); booked twice %d, rules %d%n",
                link.name().toLowerCase(Locale.ROOT),
                load,
                name,
                dark,
                best(load),
                confirms,
                steady,
                back,
                home,
                peak,
                cold,
                p99,
                doubled,
                fouls);
        if (!name.equals("zones")) {
            return;
        }
        String which = link.name().toLowerCase(Locale.ROOT) + " at " + load + ": ";
        check(doubled == 0 && fouls == 0, which + doubled + " double bookings, " + fouls + " rules broken");
        // Where more is asked than the survivors can do, what is offered is what they turn away.
        check(
                load > 0.6 || peak <= MOST_PEAK,
                which + String.format(Locale.ROOT, "survivors were sent %.2f of their capacity", peak));
        check(
                cold <= MOST_COLD && p99 <= MOST_COLD_P99,
                which + String.format(Locale.ROOT, "cold nodes were sent %.2f, p99 %.2f", cold, p99));
        check(dark >= 0.9 * best(load), which + String.format(Locale.ROOT, "served %.3f of %.3f", dark, best(load)));
    }

    /** What a clairvoyant could serve with two of three zones: all, or all confirmations and as much of the rest as there is room for. */
    private static double best(double load) {
        double room = Math.min(1, 2 / 3.0 / load);
        double all = 0.16 * 9 + 0.84 * 3;
        return (all - (1 - room) * 3) / all;
    }

    private void check(boolean holds, String what) {
        if (!holds) {
            shortfalls.add(what);
        }
    }

    /** Three minutes of a zone that is dark for as long as it is well. */
    private void flapping() {
        for (int period : new int[] {1, 5, 20}) {
            double[] served = new double[2];
            double cold = 0;
            double out = 0;
            long doubled = 0;
            for (int way = 0; way < 2; way++) {
                ZoneSimulation d = new ZoneSimulation(4, 8, 0.45, way == 0 ? ZONES : ALONE, true, 7).play(5);
                for (int s = 5; s < 185; s += 2 * period) {
                    d.zone("west", Link.CUT, 99);
                    d.play(s + period);
                    d.zone("west", Link.UP, 99);
                    d.play(Math.min(185, s + 2 * period));
                }
                served[way] = d.served(5, 184);
                if (way == 0) {
                    cold = d.coldPush(1);
                    doubled = d.doubleBookings();
                }
            }
            ZoneSimulation without = new ZoneSimulation(4, 8, 0.45, ZONES, true, 7).play(5);
            without.zone("west", Link.CUT, 99);
            out = without.play(185).served(5, 184);
            System.out.printf(
                    Locale.ROOT,
                    "flapping every %d s for 180 s: %.3f served, module alone %.3f, the zone kept out %.3f; cold %.2f, booked"
                            + " twice %d%n",
                    period,
                    served[0],
                    served[1],
                    out,
                    cold,
                    doubled);
            check(
                    served[0] >= out - 0.01,
                    String.format(
                            Locale.ROOT,
                            "flapping every %d s serves %.3f, with the zone out %.3f",
                            period,
                            served[0],
                            out));
            check(doubled == 0, "flapping books twice");
        }
    }

    /** With the own zone first nearly nothing crosses while all is well. */
    private void preference() {
        ZoneSimulation d = new ZoneSimulation(4, 9, 0.45, HOME, true, 3).play(30);
        System.out.printf(
                Locale.ROOT,
                "own zone first: %.3f of all attempts cross zones while all is well, %.3f served%n",
                d.crossed(),
                d.served(2, 29));
        check(
                d.crossed() < 0.1,
                String.format(Locale.ROOT, "%.2f of attempts cross zones though their own is well", d.crossed()));
    }

    /** Real sidecars on real sockets: a zone stands still with what it holds, and goes on with it when it is back. */
    private void sockets(int seconds, int count) throws Exception {
        for (boolean with : new boolean[] {true, false}) {
            try (Testbed world = new Testbed(UpstreamShape.SMALL).nodes(6)) {
                List<LoadClients> all = new ArrayList<>();
                Map<String, Object> known =
                        Testbed.list(1, world.nodes().stream().map(Listed::of).toList());
                List<SidecarProcess> sidecars = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    sidecars.add(world.sidecar(count, known, with ? "[zones]\n" : null));
                }
                for (SidecarProcess s : sidecars) {
                    world.ready(s.address()).get(60, TimeUnit.SECONDS);
                    LoadClients c = world.clients(s.name()).insistent();
                    c.start(s.address(), 280.0 / count);
                    all.add(c);
                }
                world.play(1_500);
                for (StandInUpstream n : world.nodes()) {
                    if (n.zone().equals("west")) {
                        n.stall(seconds * 500L);
                    }
                }
                world.play(seconds * 1_000L - 1_500);
                Testbed.Verdict v = world.verdict();
                long doubled = v.first().stream()
                        .filter(f -> f.what().contains("took effect"))
                        .count();
                LoadClients.Tally t = world.tally(0, seconds);
                System.out.printf(
                        Locale.ROOT,
                        "sockets, %s: a zone stands still for %.1f s: %.3f served in time, %d refused, %d failed; booked twice"
                                + " %d, rules broken %d times in %d tries%n",
                        with ? "zones" : "alone",
                        seconds * 0.5,
                        t.inTimeShare(),
                        t.refused(),
                        t.failed(),
                        doubled,
                        v.fouls(),
                        v.tries());
                v.first().stream().limit(3).forEach(f -> System.out.println("    " + f));
                check(!with || v.fouls() == 0, "sockets: rules broken " + v.fouls() + " times");
            }
        }
    }
}
