package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.balancing.HaloBalancer;
import loadbalancer.balancing.PeerLoad;
import loadbalancer.balancing.RoutingConstraints;
import loadbalancer.simulation.SimulatedUpstream.Link;
import loadbalancer.testbed.Referee;
import loadbalancer.testbed.UpstreamModel;
import loadbalancer.testbed.UpstreamShape;
import loadbalancer.zones.ZoneAwareBalancer;
import loadbalancer.zones.ZoneOptions;

/**
 * Three zones, their nodes, sidecars with the real module, and clients, in virtual time: what a plan does to zones, and what
 * becomes of service, of survivors, of cold nodes and of keys. The same plan and seed give the same day to the last event.
 */
public final class ZoneSimulation {
    public static final List<String> ZONES = List.of("north", "south", "west");
    /** A node like those of the brief: one core, 90 ms a request, cold at 13 % for 24 s. */
    private static final UpstreamShape NODE = new UpstreamShape(1, 90, 12, 0.13, 24_000);

    private static final long START_US = 1_000_000_000_000L,
            AIM_US = 330_000,
            DEADLINE_US = 830_000,
            WINDOW_US = 4_000_000;
    private static final long AGAIN_US = 100_000, BIN_US = 100_000;

    /** Worth that was asked for and served in its time, and what else became of tries, in one second. */
    private static final class Second {
        double asked;
        double served;
        double confirmsAsked;
        double confirmsServed;
    }

    private final VirtualTimeline time = new VirtualTimeline(START_US);
    private final Referee referee = new Referee(500_000, UpstreamModel.FALL_MULTIPLE, WINDOW_US);
    private final Map<String, SimulatedUpstream> nodes = new LinkedHashMap<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private final TreeMap<Integer, Second> seconds = new TreeMap<>();
    /** Requests that came to a zone, by tenths of a second. */
    private final Map<String, TreeMap<Long, Integer>> arrivals = new LinkedHashMap<>();

    private final SplittableRandom random;
    private final double perSecond;
    private final boolean insistent;
    private int numbers;
    private boolean stopped;
    /** Negative where discovery tells only what {@link #list} makes it tell. */
    private long tellLateUs = -1;

    /**
     * @param perZone   nodes of each zone
     * @param load      of all nodes' capacity
     * @param options   of the zones, for a sidecar of this zone; null for the module alone
     * @param insistent whether clients ask for a failed confirmation once more, under a new id with the same key
     */
    public ZoneSimulation(
            int perZone,
            int sidecarCount,
            double load,
            Function<String, ZoneOptions> options,
            boolean insistent,
            long seed) {
        random = new SplittableRandom(seed);
        this.insistent = insistent;
        perSecond = load * perZone * ZONES.size() * 1000 / NODE.workMs() * NODE.cores();
        for (int i = 0; i < perZone * ZONES.size(); i++) {
            String zone = ZONES.get(i % ZONES.size());
            nodes.put("n" + i, new SimulatedUpstream(time, referee, NODE, "n" + i, zone, this::arrived));
        }
        for (int i = 0; i < sidecarCount; i++) {
            Settings settings = settings(i, sidecarCount);
            SimulatedSidecar s = new SimulatedSidecar(settings.zone(), time, nodes, 4, log);
            long own = seed * 31 + i;
            ZoneOptions of = options.apply(settings.zone());
            s.module(
                    of == null
                            ? new HaloBalancer(settings, RoutingConstraints.NONE, PeerLoad.NONE, own, time.now(), s)
                            : new ZoneAwareBalancer(
                                    of,
                                    settings,
                                    own,
                                    time.now(),
                                    s,
                                    (guide, hands) ->
                                            new HaloBalancer(settings, guide, PeerLoad.NONE, own, time.now(), hands)));
            sidecars.add(s);
        }
        list();
        for (SimulatedSidecar s : sidecars) {
            next(s);
        }
    }

    private static Settings settings(int me, int of) {
        List<RequestClass> classes = List.of(
                new RequestClass(
                        "slot-lookup",
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL,
                        0,
                        AIM_US,
                        0,
                        DEADLINE_US,
                        3,
                        0,
                        false),
                new RequestClass(
                        "booking-update",
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL,
                        0,
                        AIM_US,
                        0,
                        DEADLINE_US,
                        3,
                        0,
                        false),
                new RequestClass(
                        "booking-confirm",
                        Idempotency.WITH_KEY,
                        IdempotencyScope.ZONE,
                        WINDOW_US,
                        AIM_US,
                        0,
                        DEADLINE_US,
                        9,
                        0,
                        false));
        return new Settings(
                me,
                of,
                ZONES.get(me % ZONES.size()),
                ZONES,
                List.of("std"),
                classes,
                List.of(),
                new Limits(4, true, true, true, false, true, 1_000_000, 15_000_000, 0),
                new Rules(
                        500_000,
                        NODE.coldShare(),
                        NODE.rampMs() * 1000,
                        UpstreamModel.FALL_MULTIPLE,
                        UpstreamModel.FALL_US,
                        10_000_000,
                        5_000,
                        0),
                LoadReporting.IN_RESPONSES,
                false,
                false,
                0.1,
                new Prices(0, 0, 0.002, 0, 0),
                1_000);
    }

    /** Poisson arrivals at each sidecar. */
    private void next(SimulatedSidecar s) {
        double rate = perSecond / sidecars.size();
        time.schedule((long) (-Math.log(1 - random.nextDouble()) / rate * 1e6), () -> {
            if (stopped) {
                return;
            }
            double draw = random.nextDouble();
            String c = draw < 0.47 ? "slot-lookup" : draw < 0.84 ? "booking-update" : "booking-confirm";
            second(time.now()).asked += worth(c);
            second(time.now()).confirmsAsked += c.equals("booking-confirm") ? 1 : 0;
            ask(s, c, "i" + ++numbers, time.now(), false);
            next(s);
        });
    }

    private static double worth(String c) {
        return c.equals("booking-confirm") ? 9 : 3;
    }

    private Second second(long us) {
        return seconds.computeIfAbsent((int) ((us - START_US) / 1_000_000), s -> new Second());
    }

    private void ask(SimulatedSidecar s, String c, String intent, long firstUs, boolean again) {
        boolean keyed = c.equals("booking-confirm");
        String id = intent + (again ? "-again" : "");
        long now = time.now();
        referee.sent(now, id, intent, keyed ? Idempotency.WITH_KEY : Idempotency.IDEMPOTENT, now + DEADLINE_US);
        s.take(
                new Request(
                        id,
                        -1,
                        again,
                        false,
                        0,
                        DEADLINE_US - 15_000,
                        null,
                        c,
                        loadbalancer.balancing.Balancer.HTTP1,
                        false,
                        keyed ? intent : null),
                end -> {
                    Second first = second(firstUs);
                    referee.answered(
                            time.now(),
                            id,
                            end.equals("served")
                                    ? Referee.Ending.SERVED
                                    : end.equals("refused") ? Referee.Ending.REFUSED : Referee.Ending.FAILED,
                            true);
                    if (end.equals("served")) {
                        if (time.now() - firstUs <= AIM_US) {
                            first.served += worth(c);
                            first.confirmsServed += keyed ? 1 : 0;
                        }
                    } else {
                        if (!again && (end.equals("refused") || keyed && insistent)) {
                            time.schedule(AGAIN_US, () -> ask(s, c, intent, firstUs, true));
                        }
                    }
                });
    }

    private void arrived(SimulatedUpstream n) {
        arrivals.computeIfAbsent(n.zone, z -> new TreeMap<>()).merge((time.now() - START_US) / BIN_US, 1, Integer::sum);
    }

    /** Discovery's word goes to all sidecars, a little apart. */
    public void list() {
        List<Upstream> entries = nodes.values().stream()
                .filter(n -> tellLateUs < 0 || n.link() != Link.DEAD)
                .map(n -> new Upstream(n.id, n.zone, "std", 0, n.startedUs(), 1, UpstreamState.READY))
                .toList();
        for (SimulatedSidecar s : sidecars) {
            time.schedule(random.nextLong(20_000), () -> s.list(EndpointListKind.FULL, entries));
        }
    }

    /** From now on the nodes of a zone, or the first so many of them, are so. */
    public void zone(String zone, Link how, int first) {
        nodes.values().stream().filter(n -> n.zone.equals(zone)).limit(first).forEach(n -> n.be(how));
        tellLater();
    }

    /** From now on discovery tells of each death and each start, so much later; to each sidecar in its own time. */
    public ZoneSimulation discoveryTells(double lateS) {
        tellLateUs = (long) (lateS * 1e6);
        return this;
    }

    /** One node after the other of a zone ends and is back, cold, two seconds later. */
    public void deploy(String zone, double apartS) {
        long at = 0;
        for (SimulatedUpstream n : nodes.values()) {
            if (n.zone.equals(zone)) {
                time.schedule(at, () -> {
                    n.be(Link.DEAD);
                    tellLater();
                });
                time.schedule(at + 2_000_000, () -> {
                    n.be(Link.UP);
                    tellLater();
                });
                at += (long) (apartS * 1e6);
            }
        }
    }

    private void tellLater() {
        if (tellLateUs >= 0) {
            time.schedule(tellLateUs, this::list);
        }
    }

    /** The operator's new word reaches all sidecars in this instant. */
    public void change(ZoneOptions options) {
        for (SimulatedSidecar s : sidecars) {
            if (s.module() instanceof ZoneAwareBalancer g) {
                g.reload(time.now(), options);
            }
        }
    }

    /** Nobody asks for anything new. */
    public void stop() {
        stopped = true;
    }

    /** Plays on, to so many seconds after the start. */
    public ZoneSimulation play(double untilS) {
        time.play(START_US + (long) (untilS * 1e6));
        return this;
    }

    /** Worth served in time over worth asked for, of requests first sent in [from, to) seconds. */
    public double served(int from, int to) {
        double asked = 0;
        double served = 0;
        for (Second s : seconds.subMap(from, to).values()) {
            asked += s.asked;
            served += s.served;
        }
        return asked == 0 ? 1 : served / asked;
    }

    public double confirmsServed(int from, int to) {
        double asked = 0;
        double served = 0;
        for (Second s : seconds.subMap(from, to).values()) {
            asked += s.confirmsAsked;
            served += s.confirmsServed;
        }
        return asked == 0 ? 1 : served / asked;
    }

    /** Seconds from {@code from} on until three in a row serve so much of what is asked; -1 for never. */
    public int secondsUntil(int from, int to, double share) {
        for (int s = from; s + 3 <= to; s++) {
            if (served(s, s + 1) >= share && served(s + 1, s + 2) >= share && served(s + 2, s + 3) >= share) {
                return s - from;
            }
        }
        return -1;
    }

    /** The most that came to one of these zones in any second of [from, to), over what its nodes, all warm, can do. */
    public double peak(List<String> zones, int from, int to) {
        double peak = 0;
        for (String z : zones) {
            double capacity =
                    nodes.values().stream().filter(n -> n.zone.equals(z)).count()
                            * NODE.cores()
                            * 1_000
                            / NODE.workMs();
            TreeMap<Long, Integer> bins = arrivals.getOrDefault(z, new TreeMap<>());
            for (long bin = from * 10L; bin + 10 <= to * 10L; bin++) {
                peak = Math.max(
                        peak,
                        bins.subMap(bin, bin + 10).values().stream()
                                        .mapToInt(i -> i)
                                        .sum()
                                / capacity);
            }
        }
        return peak;
    }

    /** What cold nodes were sent in a second, over what they could do then: this part of all such seconds had no more. */
    public double coldPush(double part) {
        List<Double> all = nodes.values().stream()
                .flatMap(n -> n.coldPushes().stream())
                .sorted()
                .toList();
        return all.isEmpty() ? 0 : all.get((int) Math.min(all.size() - 1, part * all.size()));
    }

    /** Part of all attempts that went to another zone than their sidecar's. */
    public double crossed() {
        return sidecars.stream().mapToInt(s -> s.crossed).sum()
                / (double)
                        Math.max(1, sidecars.stream().mapToInt(s -> s.attempts).sum());
    }

    /** Rules that broke, the four of them. */
    public List<Referee.Foul> fouls() {
        referee.end(time.now());
        return referee.fouls();
    }

    public long doubleBookings() {
        return referee.fouls().stream()
                .filter(f ->
                        f.rule() == Referee.Rule.NO_SECOND_EFFECT && f.what().contains("took effect"))
                .count();
    }

    public List<String> log() {
        return List.copyOf(log);
    }

    public long events() {
        return time.played();
    }

    /** Requests that sidecars still hold. */
    public int held() {
        return sidecars.stream().mapToInt(SimulatedSidecar::held).sum()
                + sidecars.stream()
                        .mapToInt(s -> s.module() instanceof ZoneAwareBalancer g ? g.openRequestCount() : 0)
                        .sum();
    }
}
