package loadbalancer.simulation;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Exchange;
import loadbalancer.core.Log;
import loadbalancer.membership.Endpoint;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.SimulatedUpstream.Link;
import loadbalancer.simulation.accounting.FleetAccount;
import loadbalancer.simulation.accounting.LateRequest;
import loadbalancer.simulation.accounting.LatenessCauses;
import loadbalancer.simulation.accounting.UpstreamCondition;
import loadbalancer.simulation.scenario.Fault;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.testbed.FalseGossip;
import loadbalancer.testbed.Referee;
import loadbalancer.testbed.UpstreamShape;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A fleet in one process on virtual time: nodes, discovery, network, sidecars with the real engine, their clients and a referee.
 * A scenario, its seed and a module make the same day to the last event, on any machine and beside any other day.
 */
public class SimulatedFleet {
    private static final long START_US = 1_700_000_000_000_000L;
    /** What was asked for last has this long to be over. */
    private static final long SETTLE_US = 20_000_000;
    /** As {@code http1} takes it off a client's time, so that the answer is there before the client gives up. */
    private static final long MARGIN_US = 15_000;

    private static final long PRUNE_US = 30_000_000;
    private static final double HEAVY_PART = 0.02;
    private static final int MOST_TROUBLES = 20;

    /** What one client sends under one id. */
    static final class Try {
        private final String id;
        private final double workMs;
        private final double meanMs;
        /** For the account, of its last attempt that reached a node: how many did, when it was sent and came, and what it met. */
        private int attempts;

        private long firstSentUs;
        private long sentUs;
        private long arrivedUs;
        private long workUs;
        private boolean ill;
        private boolean roomElsewhere;

        Try(String id, double workMs, double meanMs) {
            this.id = id;
            this.workMs = workMs;
            this.meanMs = meanMs;
        }

        String id() {
            return id;
        }

        /** On a warm core of speed 1. */
        double workMs() {
            return workMs;
        }

        /** The mean of its class. */
        double meanMs() {
            return meanMs;
        }
    }

    /** One thing that a user wants, over the client's tries. */
    private record Wish(int number, int kind, int tenant, double workMs, long firstUs, int second, boolean leaves) {}

    /** A node with what is wrong with it. */
    private static final class Post {
        final SimulatedUpstream node;
        final String address;
        final Scenario.Machine machine;
        boolean draining;
        boolean retired;
        int dead;
        int cut;
        int lost;

        Post(SimulatedUpstream node, String address, Scenario.Machine machine) {
            this.node = node;
            this.address = address;
            this.machine = machine;
        }
    }

    private final Scenario scenario;
    private final Engine.BalancerFactory module;
    private final VirtualTimeline time = new VirtualTimeline(START_US);
    private final Referee referee;
    private final SimulatedDiscovery registry;
    private final Map<String, Post> posts = new LinkedHashMap<>();
    private final Map<String, Post> byAddress = new LinkedHashMap<>();
    private final List<SimulatedEngine> instances = new ArrayList<>();
    private final UniformRandomProvider[] arrivals;
    private final UniformRandomProvider network;
    private final UniformRandomProvider retries;
    private final UniformRandomProvider draws;
    private final UniformRandomProvider pauses;
    private final ZigguratSampler.Exponential gaps;
    private final RunStatistics figures;
    private final List<String> troubles = new ArrayList<>();
    private final Consumer<String> log;
    /** Null where nobody asks for it. */
    private final FleetAccount account;

    private final long endUs;
    private final double totalShare;
    private SimulatedEngine speaking;
    private int numbers;
    private int successors;
    /** By zone; how many times the usual load its sidecars' clients ask for. */
    private final Map<String, Double> loadFactor = new HashMap<>();

    private double heavy = 1;
    private int peersLost;
    private int peersGarbled;
    private long peersLateUs;
    private long clockAheadUs;
    private final java.util.Set<SimulatedEngine> cutFromRegistry = new java.util.HashSet<>();
    private double ownWorkMs;
    private long digest;
    private double[] lastWorked = new double[0];

    /**
     * @param module makes each sidecar's module; the engine's own where nothing else is to be tried
     * @param log    told each event as a line; null where nobody listens, which is much faster
     */
    public SimulatedFleet(Scenario scenario, Engine.BalancerFactory module, Consumer<String> log) {
        this(scenario, module, log, null);
    }

    /** @param account told what the fleet spends, from the day's begin on; null: nobody asks, which changes nothing of the day */
    public SimulatedFleet(
            Scenario scenario, Engine.BalancerFactory module, Consumer<String> log, FleetAccount account) {
        this.account = account;
        this.scenario = scenario;
        this.module = module;
        this.log = log;
        endUs = START_US + scenario.fleet().lengthUs();
        long window = scenario.classes().stream()
                .mapToLong(k -> k.spec().idempotencyWindowMicros())
                .max()
                .orElse(0);
        referee = new Referee(
                scenario.sidecar().rules().drainGraceMicros(),
                scenario.sidecar().rules().overloadMultiple(),
                window);
        registry = new SimulatedDiscovery(this, time, scenario.registry());
        long seed = scenario.seed();
        arrivals = new UniformRandomProvider[scenario.fleet().sidecars()];
        for (int i = 0; i < arrivals.length; i++) {
            arrivals[i] = random(seed, 1_000 + i);
        }
        network = random(seed, 1);
        retries = random(seed, 2);
        draws = random(seed, 3);
        pauses = random(seed, 5);
        gaps = ZigguratSampler.Exponential.of(pauses);
        totalShare =
                scenario.classes().stream().mapToDouble(Scenario.Kind::share).sum();
        figures = new RunStatistics(
                scenario.classes().stream().map(k -> k.spec().name()).toList(),
                scenario.classes().stream()
                        .mapToDouble(k -> k.spec().priorityWeight())
                        .toArray(),
                (int) ((scenario.fleet().lengthUs() + 999_999) / 1_000_000));
        nodes(random(seed, 4));
        for (Scenario.Machine m : scenario.machines()) {
            figures.load.put(m.name(), new double[figures.seconds() + 1]);
            figures.sent.put(m.name(), new double[figures.seconds() + 1]);
        }
        sidecars();
        scenario.faults().forEach(this::plan);
        time.schedule(1_000_000, this::sample);
    }

    private static UniformRandomProvider random(long seed, long stream) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                new long[] {seed * 0x9e3779b97f4a7c15L + stream, ~seed ^ stream * 0xbf58476d1ce4e5b9L});
    }

    // ---- what there is --------------------------------------------------------------------------

    private void nodes(UniformRandomProvider random) {
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);
        double shares = scenario.machines().stream()
                .mapToDouble(Scenario.Machine::share)
                .sum();
        int[] made = new int[scenario.machines().size()];
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            int want = 0;
            for (int k = 1; k < made.length; k++) {
                double missing = scenario.machines().get(k).share() / shares * (i + 1) - made[k];
                want = missing > scenario.machines().get(want).share() / shares * (i + 1) - made[want] + 1e-9
                        ? k
                        : want;
            }
            made[want]++;
            double speed = Math.max(0.3, 1 + scenario.nodes().spread() * normal.sample());
            add(
                    "n" + i,
                    scenario.fleet().zones().get(i % scenario.fleet().zones().size()),
                    scenario.machines().get(want),
                    speed,
                    0,
                    i);
        }
        posts.values().forEach(p -> registry.lists(member(p)));
    }

    private Post add(String id, String zone, Scenario.Machine m, double speed, long startedUs, int place) {
        UpstreamShape shape = new UpstreamShape(
                m.cores(),
                1,
                scenario.nodes().waiting(),
                scenario.nodes().coldShare(),
                scenario.nodes().rampUs() / 1000);
        SimulatedUpstream node = new SimulatedUpstream(
                time,
                referee,
                shape,
                id,
                zone,
                m.name(),
                m.speed() * speed,
                scenario.nodes().reportUs(),
                startedUs,
                n -> {});
        Post p = new Post(
                node, "10." + (place >> 16 & 255) + "." + (place >> 8 & 255) + "." + (place & 255) + ":8081", m);
        posts.put(id, p);
        byAddress.put(p.address, p);
        if (scenario.nodes().pauseEveryUs() > 0 && scenario.nodes().pauseUs() > 0) {
            pauseLater(p);
        }
        return p;
    }

    private void pauseLater(Post p) {
        time.schedule((long) (gaps.sample() * scenario.nodes().pauseEveryUs()), () -> {
            if (!p.retired && time.now() < endUs) {
                p.node.stall((long) (gaps.sample() * scenario.nodes().pauseUs()));
                pauseLater(p);
            }
        });
    }

    private void sidecars() {
        int count = scenario.fleet().sidecars();
        for (int i = 0; i < count; i++) {
            var disk = scenario.operator().membership() == null
                    ? null
                    : scenario.operator().membership().disk();
            instances.add(new SimulatedEngine(
                    this,
                    scenario,
                    i,
                    disk == null ? null : new SimulatedDisk(disk.fleet(), disk.maxWritesPerMinute(), this::note)));
        }
        for (SimulatedEngine i : instances) {
            time.schedule(
                    share(
                            random(scenario.seed(), 6_000_000 + i.number),
                            scenario.sidecar().spreadUs()),
                    () -> {
                        boot(i);
                        nextArrival(i);
                    });
        }
    }

    private static long share(UniformRandomProvider random, long of) {
        return of <= 0 ? 0 : random.nextLong(of);
    }

    private void boot(SimulatedEngine i) {
        long age = scenario.registry().known();
        i.boot(age < 0 ? null : registry.known(time.now() - age), module, clockAheadUs);
        event("boot", i.number, i.name());
    }

    private Endpoint member(Post p) {
        SimulatedUpstream n = p.node;
        UpstreamState state = p.retired || n.link() == Link.DEAD || n.link() == Link.CUT
                ? UpstreamState.GONE
                : p.draining ? UpstreamState.DRAINING : UpstreamState.READY;
        return new Endpoint(
                new Upstream(
                        n.id,
                        n.zone,
                        n.kind,
                        -1,
                        n.startedUs() / 1000 * 1000,
                        1,
                        state,
                        Uncertainty.NONE,
                        0,
                        Balancer.HTTP1),
                p.address);
    }

    private void notice(Post p, boolean silent) {
        registry.notice(() -> member(p), silent);
    }

    void announceAll() {
        posts.values().forEach(p -> registry.change(member(p)));
    }

    // ---- who asks -------------------------------------------------------------------------------

    private double rate(SimulatedEngine i) {
        double wave = 1
                + scenario.traffic().wave()
                        * Math.sin(2
                                * Math.PI
                                * (time.now() - START_US)
                                / scenario.traffic().waveUs());
        return scenario.perSecond(i.number) * wave * loadFactor.getOrDefault(i.zone, 1.0);
    }

    private void nextArrival(SimulatedEngine i) {
        double rate = rate(i);
        UniformRandomProvider random = arrivals[i.number];
        // At the rate of now; looked at again each second, so that a change takes hold.
        long gap = rate <= 0 ? Long.MAX_VALUE : (long) (-Math.log(1 - random.nextDouble()) / rate * 1e6);
        boolean none = gap > 1_000_000 && scenario.traffic().wave() > 0 || rate <= 0;
        long waits = none ? 1_000_000 : gap;
        if (time.now() + waits >= endUs) {
            return;
        }
        time.schedule(waits, () -> {
            if (!none) {
                arrive(i, random);
            }
            nextArrival(i);
        });
    }

    private void arrive(SimulatedEngine i, UniformRandomProvider random) {
        double draw = random.nextDouble() * totalShare;
        int kind = 0;
        while (kind + 1 < scenario.classes().size()
                && draw >= scenario.classes().get(kind).share()) {
            draw -= scenario.classes().get(kind++).share();
        }
        int tenant = 0;
        double whose = random.nextDouble();
        while (tenant + 1 < scenario.tenants().size()
                && whose >= scenario.tenants().get(tenant).capacityShare()) {
            whose -= scenario.tenants().get(tenant++).capacityShare();
        }
        Scenario.Kind k = scenario.classes().get(kind);
        double sigma = Math.sqrt(Math.log(1 + k.spread() * k.spread()));
        double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
        double workMs = k.workUs() / 1000 * Math.exp(sigma * normal - sigma * sigma / 2);
        boolean costly = random.nextDouble() < HEAVY_PART;
        boolean leaves = random.nextDouble() < scenario.traffic().impatient();
        if (!i.ready()) {
            // The client stops and starts with its sidecar.
            return;
        }
        int second = (int) ((time.now() - START_US) / 1_000_000);
        Wish wish = new Wish(++numbers, kind, tenant, workMs * (costly ? heavy : 1), time.now(), second, leaves);
        figures.cell(second, kind).asked++;
        ask(i, wish, false);
    }

    private void ask(SimulatedEngine i, Wish w, boolean again) {
        Scenario.Kind k = scenario.classes().get(w.kind);
        boolean keyed = k.spec().idempotency() == Idempotency.WITH_KEY;
        String intent = "w" + w.number;
        String id = again ? intent + "b" : intent;
        long now = time.now();
        long waits = (long) (k.spec().deadlineMicros()
                * (scenario.traffic().patience() + (1 - scenario.traffic().patience()) * retries.nextDouble()));
        referee.sent(now, id, intent, k.spec().idempotency(), now + waits);
        figures.tries++;
        count(FleetAccount::requestArrived);
        event("ask", w.number, id);
        Try t = new Try(id, w.workMs, k.workUs() / 1000);
        String tenant = scenario.tenants().get(w.tenant).name();
        Request request = new Request(
                id,
                -1,
                again,
                k.spec().idempotency() != Idempotency.IDEMPOTENT,
                0,
                waits - MARGIN_US,
                tenant,
                k.spec().name(),
                Balancer.HTTP1,
                false,
                keyed ? intent : null);
        String of = i.name();
        boolean[] gone = new boolean[1];
        Exchange x = i.exchange(t, request, new Exchange.Responder() {
            @Override
            public void serve(ByteBuf body) {
                end(Referee.Ending.SERVED, 0);
            }

            @Override
            public void reject(long retryAfterUs) {
                end(Referee.Ending.REFUSED, retryAfterUs);
            }

            @Override
            public void fail() {
                end(Referee.Ending.FAILED, 0);
            }

            private void end(Referee.Ending how, long retryAfterUs) {
                if (!gone[0]) {
                    answered(i, w, t, again, how, retryAfterUs, now);
                }
            }
        });
        // A process that dies takes with it what it held; its client's process dies too.
        i.holding(id, () -> {
            referee.released(id);
            figures.cell(w.second, w.kind).failed++;
            count((a, us) -> a.requestEnded(us, FleetAccount.RequestEnd.FAILED));
        });
        i.take(x);
        if (w.leaves) {
            time.schedule(waits / 3, () -> {
                if (i.alive() && i.name().equals(of) && i.holds(id)) {
                    gone[0] = true;
                    referee.left(id);
                    figures.cell(w.second, w.kind).asked--;
                    count((a, us) -> a.requestEnded(us, FleetAccount.RequestEnd.ABANDONED));
                    i.left(x);
                }
            });
        }
    }

    private void answered(
            SimulatedEngine i, Wish w, Try t, boolean again, Referee.Ending how, long retryAfterUs, long askedUs) {
        String id = t.id;
        i.letGo(id);
        Scenario.Kind k = scenario.classes().get(w.kind);
        referee.answered(time.now(), id, how, true);
        event(how.name(), w.number, id);
        RunStatistics.Cell cell = figures.cell(w.second, w.kind);
        boolean late = time.now() - w.firstUs > k.spec().latencyObjectiveMicros();
        count((a, us) -> a.requestEnded(
                us,
                how == Referee.Ending.REFUSED
                        ? FleetAccount.RequestEnd.REJECTED
                        : how == Referee.Ending.FAILED
                                ? FleetAccount.RequestEnd.FAILED
                                : late ? FleetAccount.RequestEnd.LATE : FleetAccount.RequestEnd.SERVED));
        if (how == Referee.Ending.SERVED) {
            figures.latency(w.kind, time.now() - w.firstUs);
            cause(w, t, how, askedUs);
            if (late) {
                cell.late++;
            } else {
                cell.served++;
            }
            return;
        }
        figures.refusedTries += how == Referee.Ending.REFUSED ? 1 : 0;
        figures.failedTries += how == Referee.Ending.FAILED ? 1 : 0;
        boolean comesBack = how == Referee.Ending.REFUSED
                || scenario.traffic().insistent() && k.spec().idempotency() == Idempotency.WITH_KEY;
        if (!again && comesBack && retries.nextDouble() < scenario.traffic().retries()) {
            String of = i.name();
            long pause = Math.max(retryAfterUs, (long) (scenario.traffic().retryUs() * (0.5 + retries.nextDouble())));
            time.schedule(pause, () -> {
                if (i.ready() && i.name().equals(of)) {
                    ask(i, w, true);
                } else {
                    cell.failed++;
                }
            });
        } else if (how == Referee.Ending.REFUSED) {
            cell.refused++;
            cause(w, t, how, askedUs);
        } else {
            cell.failed++;
            cause(w, t, how, askedUs);
        }
    }

    // ---- the network ----------------------------------------------------------------------------

    VirtualTimeline time() {
        return time;
    }

    SimulatedDiscovery registry() {
        return registry;
    }

    /** Null where nobody ever had this address. */
    SimulatedUpstream at(String address) {
        Post p = byAddress.get(address);
        return p == null ? null : p.node;
    }

    /** One way to discovery. */
    long oneWayUs() {
        return way(scenario.net().crossUs());
    }

    long oneWayUs(SimulatedEngine from, SimulatedUpstream to) {
        return way(
                to != null && from.zone.equals(to.zone)
                        ? scenario.net().sameUs()
                        : scenario.net().crossUs());
    }

    private long way(long mean) {
        double us = mean * (1 + scenario.net().jitter() * -Math.log(1 - network.nextDouble()));
        return (long) us
                + (scenario.net().loss() > 0
                                && network.nextDouble() < scenario.net().loss()
                        ? 200_000
                        : 0);
    }

    /** Nodes are told how long an answer is waited for; some look at it. */
    long dropsAfterUs(long untilUs) {
        return scenario.nodes().dropsExpired() ? untilUs : Long.MAX_VALUE;
    }

    /** Whether connections carry anything new to an upstream in this state; for worlds whose sidecars are broken on purpose. */
    protected boolean sendsTo(UpstreamState state) {
        return state == UpstreamState.READY;
    }

    int connectionsOf(SimulatedUpstream node) {
        return scenario.nodes().connections();
    }

    void handshake(SimulatedUpstream node) {
        ownWorkMs += scenario.nodes().handshakeUs() / 1000.0;
        node.work(scenario.nodes().handshakeUs() / 1000.0);
    }

    void probed(SimulatedUpstream node) {
        ownWorkMs += scenario.nodes().probeUs() / 1000.0;
        node.work(scenario.nodes().probeUs() / 1000.0);
    }

    /** Whether a node that takes requests, other than this one, has a core free now. */
    private boolean roomBeside(SimulatedUpstream node) {
        return posts.values().stream()
                .anyMatch(p -> p.node != node
                        && !p.draining
                        && condition(p) == UpstreamCondition.WARM
                        && p.node.hasCoreFree());
    }

    private void follow(Try t, SimulatedUpstream node, long sentUs) {
        t.firstSentUs = t.attempts++ == 0 ? sentUs : t.firstSentUs;
        t.sentUs = sentUs;
        t.arrivedUs = time.now();
        t.workUs = (long) (t.workMs * 1000 / node.speed());
        t.ill = condition(posts.get(node.id)) != UpstreamCondition.WARM;
        t.roomElsewhere = roomBeside(node);
    }

    /** Why a client's wish was not served in time, where it was not; {@code askedUs}: when the try that ended it began. */
    private void cause(Wish w, Try t, Referee.Ending how, long askedUs) {
        if (account == null) {
            return;
        }
        account.causes().requestEnded();
        if (how == Referee.Ending.SERVED) {
            long now = time.now();
            long overUs =
                    now - w.firstUs - scenario.classes().get(w.kind).spec().latencyObjectiveMicros();
            if (overUs > 0) {
                account.causes()
                        .add(new LateRequest(
                                        overUs,
                                        t.ill,
                                        t.roomElsewhere,
                                        askedUs - w.firstUs,
                                        t.sentUs - t.firstSentUs,
                                        t.firstSentUs - askedUs,
                                        t.arrivedUs - t.sentUs,
                                        now - t.arrivedUs - t.workUs,
                                        t.workUs)
                                .cause());
            }
        } else {
            account.causes()
                    .add(
                            how == Referee.Ending.FAILED
                                    ? LatenessCauses.Cause.FAILED
                                    : roomBeside(null)
                                            ? LatenessCauses.Cause.REJECTED_DESPITE_CAPACITY
                                            : LatenessCauses.Cause.REJECTED_WITHOUT_CAPACITY);
        }
    }

    void attempted(SimulatedEngine from, SimulatedUpstream node, Try t, long sentUs) {
        if (account != null) {
            follow(t, node, sentUs);
        }
        figures.attempts++;
        int second = (int) ((time.now() - START_US) / 1_000_000);
        double[] sent = figures.sent.get(node.kind);
        sent[Math.min(sent.length - 1, second)]++;
        event("attempt", from.number, node.id);
        referee.attempted(time.now(), from.name(), node.id, t.id);
    }

    /** How an attempt, or a probe, ended for its sidecar. */
    void ended(SimulatedEngine at, String upstream, Try t, Outcome outcome) {
        event("ended", outcome.ordinal(), upstream);
        if (t != null) {
            count((a, us) -> a.attemptEnded(us, condition(posts.get(upstream)), outcome));
        }
    }

    void dials() {
        count(FleetAccount::connectStarted);
    }

    void dialRefused() {
        count(FleetAccount::connectRefused);
    }

    void probes() {
        count(FleetAccount::healthCheckSent);
    }

    void calls() {
        count(FleetAccount::discoveryPolled);
    }

    /** A thing for the account, and when it was. */
    private void count(java.util.function.ObjLongConsumer<FleetAccount> what) {
        if (account != null) {
            what.accept(account, time.now() - START_US);
        }
    }

    private UpstreamCondition condition(Post p) {
        if (p == null || p.retired) {
            return UpstreamCondition.REMOVED;
        }
        if (p.node.link() != Link.UP) {
            boolean alone = posts.values().stream()
                    .anyMatch(o -> !o.retired && o.node.zone.equals(p.node.zone) && o.node.link() == Link.UP);
            return alone ? UpstreamCondition.UNREACHABLE : UpstreamCondition.DEAD_ZONE;
        }
        return p.node.ails()
                ? UpstreamCondition.FAULTY
                : p.node.warm() ? UpstreamCondition.WARM : UpstreamCondition.SLOW_START;
    }

    /** One sidecar's picture beside the truth. */
    private void look(SimulatedEngine i) {
        int avoided = 0;
        int healthy = 0;
        for (Post p : posts.values()) {
            if (i.avoids(p.node.id)) {
                avoided++;
                UpstreamCondition c = condition(p);
                healthy += c == UpstreamCondition.WARM || c == UpstreamCondition.SLOW_START ? 1 : 0;
            }
        }
        account.ejectionsObserved(time.now() - START_US, avoided, healthy, time.now() - i.listedUs);
    }

    void told(SimulatedEngine who, String node, boolean ready) {
        referee.told(time.now(), who.name(), node, ready);
    }

    boolean cutFromRegistry(SimulatedEngine i) {
        return cutFromRegistry.contains(i);
    }

    void tell(SimulatedEngine from, int peer, byte[] message) {
        count(FleetAccount::gossipSent);
        if (peer >= 0) {
            tellOne(from, peer, message);
            return;
        }
        for (int p = 0; p < instances.size(); p++) {
            tellOne(from, p, message);
        }
    }

    private void tellOne(SimulatedEngine from, int peer, byte[] message) {
        if (peer == from.number
                || peer >= instances.size()
                || peersLost > 0
                || network.nextDouble() < scenario.net().peerLoss()) {
            return;
        }
        byte[] bytes = message;
        if (peersGarbled > 0 && message.length > 0) {
            bytes = message.clone();
            bytes[network.nextInt(bytes.length)] ^= (byte) (1 + network.nextInt(255));
        }
        byte[] arrives = bytes;
        time.schedule(peersLateUs + (long) (scenario.net().peerUs() * (0.3 + 1.4 * network.nextDouble())), () -> {
            if (instances.get(peer).word(from.number, arrives)) {
                count(FleetAccount::gossipReceived);
            }
        });
    }

    // ---- what goes wrong ------------------------------------------------------------------------

    private void plan(Fault f) {
        time.at(START_US + f.atUs(), () -> {
            note("event: " + f);
            begin(f);
        });
    }

    private void begin(Fault f) {
        if (f.kind().meetsNodes()) {
            List<Post> met = draw(
                    f,
                    posts.values().stream()
                            .filter(p -> !p.retired
                                    && !p.draining
                                    && (f.zone().isEmpty() || p.node.zone.equals(f.zone()))
                                    && (f.nodes().isEmpty() || f.nodes().contains(place(p))))
                            .toList());
            for (int k = 0; k < met.size(); k++) {
                Post p = met.get(k);
                time.schedule(f.withinUs() * k / Math.max(1, met.size()), () -> meet(f, p));
            }
        } else if (f.kind().meetsSidecars()) {
            List<SimulatedEngine> met = draw(
                    f,
                    instances.stream()
                            .filter(i -> f.zone().isEmpty() || i.zone.equals(f.zone()))
                            .toList());
            for (int k = 0; k < met.size(); k++) {
                SimulatedEngine i = met.get(k);
                time.schedule(f.withinUs() * k / Math.max(1, met.size()), () -> meet(f, i));
            }
        } else {
            meet(f);
        }
    }

    /** The number that a node has had from the start; -1 for a successor. */
    private static int place(Post p) {
        return p.node.id.startsWith("n") && p.node.id.indexOf('-') < 0 ? Integer.parseInt(p.node.id.substring(1)) : -1;
    }

    private <T> List<T> draw(Fault f, List<T> from) {
        List<T> all = new ArrayList<>(from);
        ListSampler.shuffle(draws, all);
        int count = all.isEmpty() ? 0 : Math.max(1, (int) Math.round(f.part() * all.size()));
        return f.part() >= 1 ? from : all.subList(0, count);
    }

    private void after(Fault f, Runnable over) {
        if (f.forUs() > 0) {
            time.schedule(f.forUs(), over);
        }
    }

    private void meet(Fault f, Post p) {
        if (p.retired) {
            return;
        }
        switch (f.kind()) {
            case CRASH -> {
                p.dead++;
                relink(p);
                after(f, () -> {
                    p.dead--;
                    relink(p);
                });
            }
            case STALL -> p.node.stall(f.forUs() > 0 ? f.forUs() : endUs - time.now());
            case SLOW -> {
                p.node.neighbour(f.size());
                after(f, () -> p.node.neighbour(1));
            }
            case CUT -> {
                p.cut++;
                relink(p);
                after(f, () -> {
                    p.cut--;
                    relink(p);
                });
            }
            case ANSWERS_LOST -> {
                p.lost++;
                relink(p);
                after(f, () -> {
                    p.lost--;
                    relink(p);
                });
            }
            case RESET -> resetAll(p.node);
            case ERRORS -> {
                p.node.errors(f.size());
                after(f, () -> p.node.errors(0));
            }
            case DEPLOY, DRAIN -> {
                p.draining = true;
                notice(p, false);
                time.schedule(f.forUs() > 0 ? f.forUs() : 3_000_000, () -> retire(p, f.kind() == Fault.Kind.DEPLOY));
            }
            default -> throw new IllegalStateException(f.toString());
        }
    }

    private void retire(Post p, boolean successor) {
        if (p.retired) {
            return;
        }
        p.retired = true;
        relink(p);
        if (successor) {
            int number = ++successors;
            Post s = add(
                    p.node.id.replaceAll("-.*", "") + "-" + number,
                    p.node.zone,
                    p.machine,
                    p.node.speed() / p.machine.speed(),
                    time.now(),
                    1_000_000 + number);
            notice(s, false);
        }
    }

    /** What is wrong with it decides how it is reached; nothing but a restart brings back one that fell over. */
    private void relink(Post p) {
        Link now = p.node.link();
        Link then =
                p.retired || p.dead > 0 ? Link.DEAD : p.cut > 0 ? Link.CUT : p.lost > 0 ? Link.ANSWERS_LOST : Link.UP;
        if (now == then) {
            return;
        }
        event("link", then.ordinal(), p.node.id);
        p.node.be(then);
        if (then == Link.DEAD && now != Link.CUT) {
            resetAll(p.node);
        }
        boolean silent = then == Link.CUT || then == Link.DEAD && !p.retired;
        notice(p, silent);
    }

    private void resetAll(SimulatedUpstream node) {
        instances.forEach(i -> i.reset(node));
    }

    private void meet(Fault f, SimulatedEngine i) {
        if (f.kind() == Fault.Kind.PEERS_FALSE) {
            i.lies(FalseGossip.Lie.values()[(int) Math.round(f.size())]);
            after(f, () -> i.lies(null));
        } else if (f.kind() == Fault.Kind.REGISTRY_CUT) {
            cutFromRegistry.add(i);
            after(f, () -> cutFromRegistry.remove(i));
        } else if (i.alive()) {
            event("kill", i.number, i.name());
            i.kill();
            time.schedule(Math.max(1, f.forUs()) + scenario.sidecar().bootUs(), () -> boot(i));
        }
    }

    private void meet(Fault f) {
        switch (f.kind()) {
            case REGISTRY_DOWN -> {
                registry.down(true);
                after(f, () -> registry.down(false));
            }
            case REGISTRY_LATE -> {
                registry.late(f.size());
                after(f, () -> registry.late(0));
            }
            case REGISTRY_RESTORED -> registry.restore(f.size());
            case CLOCK -> {
                clockAheadUs = (long) (f.size() * 1e6);
                after(f, () -> clockAheadUs = 0);
            }
            case DISK_TORN -> instances.stream().filter(i -> i.disk() != null).forEach(i -> i.disk()
                    .tear());
            case DISK_FORGETS -> instances.stream()
                    .filter(i -> i.disk() != null)
                    .forEach(i -> i.disk().forget());
            case HEAVY -> {
                heavy = f.size();
                after(f, () -> heavy = 1);
            }
            case LOAD -> {
                List<String> zones = f.zone().isEmpty() ? scenario.fleet().zones() : List.of(f.zone());
                zones.forEach(z -> loadFactor.put(z, f.size()));
                after(f, () -> zones.forEach(loadFactor::remove));
            }
            case PEERS_LOST -> {
                peersLost++;
                after(f, () -> peersLost--);
            }
            case PEERS_GARBLED -> {
                peersGarbled++;
                after(f, () -> peersGarbled--);
            }
            case PEERS_LATE -> {
                long us = (long) (f.size() * 1e6);
                peersLateUs += us;
                after(f, () -> peersLateUs -= us);
            }
            default -> throw new IllegalStateException(f.toString());
        }
    }

    // ---- what is seen ---------------------------------------------------------------------------

    void speaks(SimulatedEngine i) {
        speaking = i;
    }

    /** Part of the day's digest, and a line where somebody listens. */
    private void event(String what, long number, String name) {
        digest = Long.rotateLeft(
                        digest ^ time.now() * 31 + number * 1_000_003 + what.hashCode() * 17L + name.hashCode(), 23)
                * 0x9e3779b97f4a7c15L;
        if (log != null) {
            log.accept((time.now() - START_US) + " " + what + " " + number + " " + name);
        }
    }

    private void note(String text) {
        event("note", 0, text);
    }

    private void sample() {
        int second = (int) ((time.now() - START_US) / 1_000_000) - 1;
        int open = 0;
        for (SimulatedEngine i : instances) {
            open += i.open();
            if (account != null && i.alive()) {
                look(i);
            }
        }
        figures.connections[Math.min(second, figures.connections.length - 1)] = open;
        figures.spread(
                second,
                posts.values().stream()
                        .filter(p -> condition(p) == UpstreamCondition.WARM && !p.draining)
                        .map(p -> p.node.lately())
                        .toList());
        List<Post> all = new ArrayList<>(posts.values());
        Map<String, double[]> did = new LinkedHashMap<>();
        lastWorked = java.util.Arrays.copyOf(lastWorked, all.size());
        for (int k = 0; k < all.size(); k++) {
            Post p = all.get(k);
            double[] sum = did.computeIfAbsent(p.machine.name(), n -> new double[2]);
            sum[0] += p.node.workedMs - lastWorked[k];
            sum[1] += p.retired || p.node.link() == Link.DEAD ? 0 : p.machine.cores() * p.node.speed() * 1000;
            lastWorked[k] = p.node.workedMs;
        }
        did.forEach((name, sum) -> {
            double[] load = figures.load.get(name);
            if (second < load.length) {
                load[second] = sum[1] == 0 ? 0 : sum[0] / sum[1];
            }
        });
        if ((time.now() - START_US) % PRUNE_US == 0) {
            referee.forget(time.now() - PRUNE_US);
            retiredLongAgo();
        }
        if (time.now() + 1_000_000 <= endUs) {
            time.schedule(1_000_000, this::sample);
        }
    }

    /** Of nodes that are gone only their figures are kept. */
    private void retiredLongAgo() {
        byAddress.values().removeIf(p -> p.retired && p.node.connections == 0);
    }

    /** Plays the whole of it. */
    public SimulationRun play() {
        long begun = System.nanoTime();
        Log.setThreadSink(event -> {
            note((speaking == null ? "" : "s" + speaking.number + " ") + event.name() + ": " + event.text());
            if (event.isFault() && troubles.size() < MOST_TROUBLES) {
                troubles.add("a fault of the program: " + event.text());
            }
        });
        try {
            time.play(endUs);
            measure();
            time.play(endUs + SETTLE_US);
        } finally {
            Log.setThreadSink(null);
        }
        settle();
        figures.wallS = (System.nanoTime() - begun) / 1e9;
        return new SimulationRun(
                scenario,
                figures,
                referee.fouls().stream().map(Object::toString).toList(),
                referee.count(),
                List.copyOf(troubles));
    }

    /** While all of it is there. */
    private void measure() {
        figures.virtualS = scenario.fleet().lengthUs() / 1e6;
        figures.words = instances.stream().mapToLong(i -> i.words).sum();
        figures.probes = instances.stream().mapToLong(i -> i.probes).sum();
        figures.dials = instances.stream().mapToLong(SimulatedEngine::dials).sum();
        figures.calls = registry.calls;
        figures.callBytes = registry.bytes;
        figures.nodeConnections = posts.values().stream()
                .mapToInt(p -> p.node.mostConnections)
                .max()
                .orElse(0);
        figures.sidecarConnections =
                instances.stream().mapToInt(SimulatedEngine::mostOpen).max().orElse(0);
        figures.ownLoad = ownWorkMs / (scenario.capacity() * scenario.fleet().lengthUs() / 1000);
        List<Double> cold = posts.values().stream()
                .flatMap(p -> p.node.coldPushes().stream())
                .sorted(Comparator.naturalOrder())
                .toList();
        if (account != null) {
            cold.forEach(account::slowStartWindow);
        }
        figures.coldMost = cold.isEmpty() ? 0 : cold.get(cold.size() - 1);
        figures.coldMean99 = cold.isEmpty() ? 0 : cold.get((int) Math.min(cold.size() - 1, 0.99 * cold.size()));
        List<Post> listed = posts.values().stream()
                .filter(p -> !p.retired && p.node.link() == Link.UP)
                .toList();
        long[] clients = listed.stream()
                .mapToLong(
                        p -> instances.stream().filter(i -> i.knows(p.node.id)).count())
                .toArray();
        long least = java.util.Arrays.stream(clients).min().orElse(1);
        figures.evenness = clients.length == 0
                ? 1
                : java.util.Arrays.stream(clients).max().orElse(1) / (double) Math.max(1, least);
    }

    private void settle() {
        figures.events = time.played();
        figures.digest = digest;
        referee.end(time.now());
        for (SimulatedEngine i : instances) {
            if (!i.held().isEmpty() && troubles.size() < MOST_TROUBLES) {
                troubles.add("all is over, and " + i.held());
            }
            if (i.mostOpen() > scenario.sidecar().connections() && troubles.size() < MOST_TROUBLES) {
                troubles.add("s" + i.number + " held " + i.mostOpen() + " connections of "
                        + scenario.sidecar().connections());
            }
        }
    }
}
