package loadbalancer.testbed.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import loadbalancer.simulation.scenario.Fault;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.testbed.FalseGossip;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.UpstreamShape;
import loadbalancer.toml.ConfigurationException;

/**
 * A fleet of real sidecar processes before stand-in nodes, registry and clients, by a scenario of the laboratory's: what plays there on
 * virtual time plays here on sockets, with a {@link GossipRelay} between the sidecars. Bounded in processes and time; ends only what it
 * started, also when this process is asked to end.
 */
public final class FleetProcesses implements AutoCloseable {
    /** 34 MB each, and 0.66 s of a core to start. */
    public static final int MOST = 300;

    private static final long MOST_LENGTH_US = 600_000_000;
    /** Started at the same time: a machine has so many cores. */
    private static final int AT_ONCE = 16;

    private static final long SETTLE_MS = 1_500;
    /** Before the scenario's own time: this process, like theirs, is slow until it has run for a while; and theirs share the cores while they are. */
    private static final int WARM_S = 3, WARM_EACH_S = 8;

    /**
     * What a play came to.
     *
     * @param busiest the busiest node's time at work over the mean node's, in the worst second
     * @param words   that were said, each to one, and their bytes
     */
    public record Played(
            LoadClients.Tally all,
            List<Double> bySecond,
            double busiest,
            Testbed.Verdict verdict,
            long words,
            long bytes,
            long lost) {
        public double served() {
            return all.inTimeShare();
        }

        public String line() {
            return String.format(
                    Locale.ROOT,
                    "processes  served %.3f  of %d: late %d, refused %d, failed %d, unreachable %d  busiest node %.2f of the mean  "
                            + "%d words (%d bytes a word, %d lost)  rules broken %d %s",
                    served(),
                    all.sent(),
                    all.late(),
                    all.refused(),
                    all.failed(),
                    all.unreachable(),
                    busiest,
                    words,
                    words == 0 ? 0 : bytes / words,
                    lost,
                    verdict.fouls(),
                    verdict.first().stream().limit(3).toList());
        }
    }

    private final Scenario scenario;
    private final Testbed world;
    private final GossipRelay words;
    /** Null where each sidecar finds the nodes themselves. */
    private final TcpRelays pipes;
    /** The group of each sidecar, by its number: those of one group share their ways. */
    private final IntUnaryOperator groups;

    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final Function<Path, String> operator;
    private final List<LoadClients> clients = new ArrayList<>();
    /** When the clients of each began, seconds after the first could. */
    private final List<Integer> begunS = new ArrayList<>();

    private final SplittableRandom draws;
    private final Queue<CompletableFuture<Void>> troubles = new ConcurrentLinkedQueue<>();
    private final Thread hook = new Thread(this::killAll);

    /**
     * Starts all of it, and waits until each sidecar is ready.
     *
     * @param patient clients and classes with ten times the time, where what happens counts and not how fast
     * @throws ConfigurationException where processes can't play the scenario
     */
    public FleetProcesses(Scenario scenario, boolean patient) throws Exception {
        this(scenario, patient, null);
    }

    /** {@code groups}: between each of these groups of sidecars and each node there is a way that can be cut; null for none. */
    FleetProcesses(Scenario scenario, boolean patient, IntUnaryOperator groups) throws Exception {
        this(scenario, patient, groups, null);
    }

    /** {@code operator}: the text of each sidecar's operator's file, made of the play's folder; null for none. */
    public FleetProcesses(Scenario scenario, boolean patient, IntUnaryOperator groups, Function<Path, String> operator)
            throws Exception {
        this.operator = operator;
        check(scenario);
        this.groups = groups;
        pipes = groups == null ? null : new TcpRelays();
        this.scenario = scenario;
        draws = new SplittableRandom(scenario.seed());
        Scenario.Machine m = scenario.machines().get(0);
        Scenario.Nodes n = scenario.nodes();
        world = new Testbed(new UpstreamShape(
                        m.cores(),
                        scenario.classes().get(0).workUs() / 1000,
                        n.waiting(),
                        n.coldShare(),
                        n.rampUs() / 1000))
                .spread(scenario.classes().get(0).spread());
        if (patient) {
            world.patient();
        }
        GossipLinks links = new GossipLinks(scenario.seed());
        links.delay(scenario.net().peerUs());
        links.trouble(scenario.net().peerLoss(), 0, 0);
        words = new GossipRelay(
                Math.max(scenario.fleet().told(), scenario.fleet().sidecars()), links);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            start();
        } catch (Exception exception) {
            close();
            throw exception;
        }
    }

    /** What the stage can't do is said, with the scenario's name and the key. */
    static void check(Scenario s) throws ConfigurationException {
        wanted(s, s.fleet().sidecars() <= MOST, "fleet.sidecars", "at most " + MOST + " processes");
        wanted(s, s.fleet().lengthUs() <= MOST_LENGTH_US, "fleet.length", "at most 10min on a real clock");
        wanted(s, s.fleet().zones().equals(Testbed.ZONES), "fleet.zones", "the stage's, " + Testbed.ZONES);
        wanted(s, s.machines().size() == 1 && s.machines().get(0).speed() == 1, "machine", "one, of speed 1");
        wanted(s, s.nodes().spread() == 0, "nodes.speed_spread", "0");
        List<Testbed.Lane> lanes = Testbed.lanes();
        boolean same = s.classes().size() == lanes.size();
        for (int i = 0; same && i < lanes.size(); i++) {
            Scenario.Kind k = s.classes().get(i);
            Testbed.Lane l = lanes.get(i);
            same = k.spec().name().equals(l.name())
                    && k.spec().idempotency() == l.semantics()
                    && Math.abs(k.share() - l.share()) < 1e-9
                    && k.spec().latencyObjectiveMicros() == l.aimMs() * 1000
                    && k.spec().deadlineMicros() == l.giveUpMs() * 1000
                    && k.workUs() == s.classes().get(0).workUs()
                    && k.spread() == s.classes().get(0).spread();
        }
        wanted(s, same, "class", "the stage's, of equal work: " + lanes);
        for (int i = 0; i < s.faults().size(); i++) {
            Fault f = s.faults().get(i);
            boolean can =
                    switch (f.kind()) {
                        case CRASH,
                                STALL,
                                RESTART,
                                REGISTRY_DOWN,
                                PEERS_LOST,
                                PEERS_GARBLED,
                                PEERS_LATE,
                                PEERS_FALSE -> true;
                        default -> false;
                    };
            wanted(s, can, "event " + (i + 1) + ", '" + f + "'", "something that processes can play");
        }
    }

    private static void wanted(Scenario s, boolean holds, String key, String what) throws ConfigurationException {
        if (!holds) {
            throw new ConfigurationException("scenario '" + s.name() + "', " + key + ": processes want " + what);
        }
    }

    private void start() throws Exception {
        world.nodes(scenario.fleet().nodes());
        int count = scenario.fleet().sidecars();
        int told = Math.max(scenario.fleet().told(), count);
        if (pipes != null) {
            world.registry().listAddresses((name, node) -> found(Integer.parseInt(name.substring(1)), node));
        }
        for (int from = 0; from < count; from += AT_ONCE) {
            List<SidecarProcess> batch = new ArrayList<>();
            for (int i = from; i < Math.min(count, from + AT_ONCE); i++) {
                int number = i;
                Map<String, Object> known = Testbed.list(
                        40,
                        world.nodes().stream()
                                .map(n -> Testbed.Listed.of(n, found(number, n)))
                                .toList());
                batch.add(world.peered(
                        told,
                        known,
                        scenario.sidecar().limits().gossipAllowed() ? words.config(i) : Map.of(),
                        operator == null ? null : operator.apply(world.folder())));
                clients.add(world.clients("s" + i));
            }
            sidecars.addAll(batch);
            for (SidecarProcess p : batch) {
                world.ready(p.address()).get(60, java.util.concurrent.TimeUnit.SECONDS);
            }
        }
    }

    private String found(int sidecar, StandInUpstream node) {
        return pipes == null
                ? node.address()
                : pipes.address(groups.applyAsInt(sidecar), node.id(), node.socketAddress());
    }

    /** From now on between this group of sidecars and such nodes. */
    void way(int group, Predicate<StandInUpstream> nodes, TcpRelays.Way way) {
        Set<String> met = new HashSet<>();
        world.nodes().stream().filter(nodes).forEach(n -> met.add(n.id()));
        pipes.way(group, met::contains, way);
    }

    /** Reads that were lost on cut ways. */
    long swallowed() {
        return pipes.swallowed();
    }

    public Testbed world() {
        return world;
    }

    public List<SidecarProcess> sidecars() {
        return List.copyOf(sidecars);
    }

    /** The clients of sidecar {@code i}. */
    public LoadClients clients(int i) {
        return clients.get(i);
    }

    private int warmS() {
        return WARM_S + sidecars.size() / WARM_EACH_S;
    }

    /** Clients begin, one after the other while it warms up, so that they do not ask in step and processes do not all compile at once. */
    public void begin() throws Exception {
        long withinMs = Math.max(1, sidecars.size() / WARM_EACH_S) * 1_000L;
        for (int i = 0; i < clients.size(); i++) {
            InetSocketAddress to = sidecars.get(i).address();
            LoadClients c = clients.get(i);
            double rate = scenario.perSecond(i);
            long inMs = draws.nextLong(withinMs);
            begunS.add((int) (inMs / 1_000));
            world.after(inMs, () -> c.start(to, rate));
        }
    }

    /** One way alone: nothing that {@code from} says reaches {@code to}. */
    public void cut(int from, int to, boolean now) {
        words.links(l -> {
            l.cut(from, to, now);
            return null;
        });
    }

    /** Parts of the words that are lost, arrive twice, or have a byte changed, from now on. */
    public void trouble(double lost, double doubled, double garbled) {
        words.links(l -> {
            l.trouble(lost, doubled, garbled);
            return null;
        });
    }

    /** Words take so long on the average from now on. */
    public void late(long us) {
        words.links(l -> {
            l.delay(us);
            return null;
        });
    }

    /** From now on others hear this of it in place of its words; null: what it says. */
    public void lies(int sidecar, FalseGossip.Lie lie) {
        words.links(l -> {
            l.lies(sidecar, lie);
            return null;
        });
    }

    /** Words said so far, each to one. */
    public long words() {
        return words.links(GossipLinks::words);
    }

    /** Killed, and another process of the same name, with the same configuration, in its place; its clients go on there. */
    public void restart(int i) throws Exception {
        clients.get(i).sidecarMayDie();
        clients.get(i).stop();
        SidecarProcess old = sidecars.get(i);
        old.close();
        SidecarProcess next = world.again(old);
        sidecars.set(i, next);
        world.ready(next.address()).get(60, java.util.concurrent.TimeUnit.SECONDS);
        clients.get(i).goOn(next.address());
    }

    private void plan(Fault f) {
        List<StandInUpstream> nodes = new ArrayList<>(world.nodes());
        if (f.kind().meetsNodes()) {
            nodes.removeIf(n -> !f.zone().isEmpty() && !n.zone().equals(f.zone()));
            nodes = draw(nodes, f.part());
        }
        List<StandInUpstream> met = nodes;
        switch (f.kind()) {
            case STALL -> at(f.atUs(), () -> met.forEach(n -> n.stall(f.forUs() / 1000)));
            case CRASH -> {
                at(f.atUs(), () -> met.forEach(StandInUpstream::kill));
                after(f, () -> met.forEach(StandInUpstream::restart));
            }
            case REGISTRY_DOWN -> {
                at(f.atUs(), () -> world.registry().down(true));
                after(f, () -> world.registry().down(false));
            }
            case PEERS_LOST, PEERS_GARBLED -> {
                boolean lost = f.kind() == Fault.Kind.PEERS_LOST;
                at(
                        f.atUs(),
                        () -> inBackground(
                                () -> trouble(lost ? 1 : scenario.net().peerLoss(), 0, lost ? 0 : 1)));
                after(f, () -> inBackground(() -> trouble(scenario.net().peerLoss(), 0, 0)));
            }
            case PEERS_LATE -> {
                at(f.atUs(), () -> inBackground(() -> late(scenario.net().peerUs() + (long) (f.size() * 1e6))));
                after(f, () -> inBackground(() -> late(scenario.net().peerUs())));
            }
            case PEERS_FALSE -> {
                List<Integer> some = some(f.part());
                FalseGossip.Lie lie = FalseGossip.Lie.values()[(int) Math.round(f.size())];
                at(f.atUs(), () -> inBackground(() -> some.forEach(i -> lies(i, lie))));
                after(f, () -> inBackground(() -> some.forEach(i -> lies(i, null))));
            }
            case RESTART -> at(f.atUs(), () -> {
                List<Integer> some = some(f.part());
                inBackground(() -> some.forEach(this::restartOrFail));
            });
            default -> throw new IllegalStateException(f.toString());
        }
    }

    private List<Integer> some(double part) {
        return draw(IntStream.range(0, sidecars.size()).boxed().toList(), part);
    }

    private void restartOrFail(int i) {
        try {
            restart(i);
        } catch (Exception exception) {
            throw new IllegalStateException("s" + i + " did not come back", exception);
        }
    }

    /** Off the stage's loop, which must not wait; what fails there fails the play. */
    private void inBackground(Runnable what) {
        troubles.add(CompletableFuture.runAsync(what));
    }

    private <T> List<T> draw(List<T> from, double part) {
        List<T> all = new ArrayList<>(from);
        java.util.Collections.shuffle(all, new java.util.Random(draws.nextLong()));
        return all.subList(0, all.isEmpty() ? 0 : Math.max(1, (int) Math.round(part * all.size())));
    }

    private void at(long us, Runnable what) {
        world.after(warmS() * 1_000 + us / 1000, what);
    }

    private void after(Fault f, Runnable over) {
        if (f.forUs() > 0) {
            at(f.atUs() + f.forUs(), over);
        }
    }

    /** Plays the scenario's length with its events, and judges. */
    public Played play() throws Exception {
        long begunUs = world.clock().nowMicros();
        begin();
        scenario.faults().forEach(this::plan);
        world.play(warmS() * 1_000 + scenario.fleet().lengthUs() / 1000);
        troubles.forEach(CompletableFuture::join);
        return end(begunUs, warmS(), warmS() + (int) (scenario.fleet().lengthUs() / 1_000_000));
    }

    /** Clients stop, what is out is waited for, the referee judges all of it; the figures are of [from, to) seconds since they began. */
    public Played end(long begunUs, int from, int to) {
        clients.forEach(LoadClients::stop);
        world.play(SETTLE_MS);
        Testbed.Verdict verdict = world.verdict();
        List<Double> bySecond = new ArrayList<>();
        for (int s = from; s < to; s++) {
            bySecond.add(tally(s, s + 1).inTimeShare());
        }
        return new Played(
                tally(from, to),
                bySecond,
                busiest(begunUs, from, to),
                verdict,
                words.links(GossipLinks::words),
                words.links(GossipLinks::bytes),
                words.links(GossipLinks::lost));
    }

    /** The last second is of ending. */
    private double busiest(long begunUs, int from, int to) {
        double worst = 0;
        Map<Integer, Map<String, Double>> at = new LinkedHashMap<>();
        for (StandInUpstream n : world.nodes()) {
            for (StandInUpstream.Ran r : n.ran()) {
                for (long t = r.begunUs(); t < r.endedUs(); ) {
                    int second = (int) ((t - begunUs) / 1_000_000);
                    long until = Math.min(r.endedUs(), begunUs + (second + 1) * 1_000_000L);
                    at.computeIfAbsent(second, s -> new LinkedHashMap<>())
                            .merge(n.id(), (double) (until - t), Double::sum);
                    t = until;
                }
            }
        }
        for (int s = from; s < to - 1; s++) {
            Map<String, Double> did = at.getOrDefault(s, Map.of());
            double sum = did.values().stream().mapToDouble(d -> d).sum();
            double most = did.values().stream().mapToDouble(d -> d).max().orElse(0);
            worst = Math.max(worst, sum == 0 ? 0 : most * world.nodes().size() / sum);
        }
        return worst;
    }

    /** What all clients saw in [from, to) seconds after the first could begin. */
    private LoadClients.Tally tally(int from, int to) {
        LoadClients.Tally sum = new LoadClients.Tally(0, 0, 0, 0, 0, 0);
        for (int i = 0; i < begunS.size(); i++) {
            sum = sum.plus(clients.get(i).tally(from - begunS.get(i), to - begunS.get(i)));
        }
        return sum;
    }

    private void killAll() {
        sidecars.forEach(p -> p.process().destroyForcibly());
    }

    @Override
    public void close() throws IOException {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException exception) {
            // This is the end that it is for.
        }
        world.close();
        words.close();
        if (pipes != null) {
            pipes.close();
        }
    }
}
