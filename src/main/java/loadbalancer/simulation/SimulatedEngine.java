package loadbalancer.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.OpenRequests;
import loadbalancer.core.Attempt;
import loadbalancer.core.Clock;
import loadbalancer.core.Exchange;
import loadbalancer.core.Timers;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointEvidence;
import loadbalancer.membership.EndpointList;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.SimulatedUpstream.Link;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.testbed.FalseGossip;
import loadbalancer.zones.ZoneAwareBalancer;

/** One sidecar in virtual time: the real engine, whose way out to others is the world's. */
final class SimulatedEngine implements Engine.Network {
    /** What does not answer a trial for so long is no upstream; as {@code sidecar.Sidecar} has it. */
    private static final long TRIAL_US = 300_000;

    final int number;
    final String zone;
    private final SimulatedFleet world;
    private final Scenario scenario;
    private final SimulatedDisk disk;
    /** Requests without an answer yet. */
    private final Map<String, Runnable> held = new LinkedHashMap<>();
    /** Counts its processes; each is another one to the referee, which was told nothing before it began. */
    private int life;

    private boolean alive;
    private Engine engine;
    private SimulatedConnections lines;
    private Clock clock;
    /** When discovery, or its own process's start, last told it of all there is. */
    long listedUs;

    long probes;
    long words;
    long dialsBefore;
    int mostOpen;
    private final FalseGossip falsehood = new FalseGossip();
    private FalseGossip.Lie lie;

    SimulatedEngine(SimulatedFleet world, Scenario scenario, int number, SimulatedDisk disk) {
        this.world = world;
        this.scenario = scenario;
        this.number = number;
        this.disk = disk;
        zone = scenario.fleet().zones().get(number % scenario.fleet().zones().size());
    }

    /** Its name and process, for the referee. */
    String name() {
        return "s" + number + "." + life;
    }

    boolean alive() {
        return alive;
    }

    /** From now on it tells others this; null: what is so. */
    void lies(FalseGossip.Lie how) {
        lie = how;
    }

    SimulatedDisk disk() {
        return disk;
    }

    /** Starts a process, with the list that the platform gives it, if any. */
    void boot(EndpointList known, Engine.BalancerFactory module, long clockAheadUs) {
        int of = ++life;
        alive = true;
        listedUs = known == null ? world.time().now() : known.asOfMicros();
        Timers timers = (us, what) -> world.time().schedule(Math.max(0, us), () -> {
            if (alive && life == of) {
                world.speaks(this);
                what.run();
            }
        });
        clock = new Clock() {
            @Override
            public long nowMicros() {
                return world.time().now() + clockAheadUs;
            }
        };
        lines = new SimulatedConnections(
                world,
                this,
                timers,
                clock,
                scenario.nodes().idleUs(),
                scenario.sidecar().dialUs(),
                scenario.sidecar().connections());
        world.speaks(this);
        long seed = scenario.seed() * 1_000_003 + number * 31L + of;
        engine = new Engine(timers, clock, scenario.settings(number), scenario.operator(), seed, this);
        List<EndpointList> lists = new ArrayList<>();
        if (known != null) {
            lists.add(known);
        }
        if (disk != null) {
            EndpointList kept = disk.read();
            if (kept != null) {
                lists.add(kept);
            }
            engine.endpoints()
                    .writeListTo(
                            list -> disk.keep(world.time().now(), list),
                            scenario.operator().membership().disk().refreshMicros());
        }
        if (lists.isEmpty()) {
            lists.add(new EndpointList(loadbalancer.membership.ListSource.CONFIGURED, 0, true, 0, List.of()));
        }
        engine.start(
                lists,
                world.registry().of(this),
                scenario.operator().membership() != null,
                scenario.operator().membership() == null
                        ? 0
                        : scenario.operator().membership().discoverySpreadMicros(),
                module);
        engine.startDiscovery();
    }

    /** Its process ends at once; what it held is its clients' to ask for again. */
    void kill() {
        alive = false;
        List<Runnable> lost = new ArrayList<>(held.values());
        held.clear();
        lost.forEach(Runnable::run);
        dialsBefore += lines.dials;
        mostOpen = Math.max(mostOpen, lines.mostOpen);
        engine.discovery().stop();
        lines.end();
    }

    /** Its client begins with the first upstream that there is to send to. */
    boolean ready() {
        return alive && lines.anyReady();
    }

    /** As a client that gives up: what is out ends by itself. */
    void left(Exchange x) {
        letGo(x.request().id());
        world.speaks(this);
        engine.requests().clientLeft(x);
    }

    /** What is to be done where its process dies before the answer. */
    void holding(String id, Runnable lost) {
        held.put(id, lost);
    }

    boolean holds(String id) {
        return held.containsKey(id);
    }

    void letGo(String id) {
        held.remove(id);
    }

    Exchange exchange(SimulatedFleet.Try t, Request request, Exchange.Responder answer) {
        return new Exchange(
                request,
                clock.nowMicros() + request.remainingMicros(),
                (upstream, untilUs, result) -> lines.attempt(t, upstream, untilUs, result),
                answer,
                null);
    }

    void take(Exchange x) {
        world.speaks(this);
        engine.requests().admit(x);
    }

    void reset(SimulatedUpstream node) {
        if (alive) {
            world.speaks(this);
            lines.reset(node);
        }
    }

    /** False where nobody is there to hear it. */
    boolean word(int from, byte[] message) {
        if (alive) {
            world.speaks(this);
            engine.receiveFromPeer(from, message);
        }
        return alive;
    }

    /** Whether its module keeps requests from that node now. */
    boolean avoids(String node) {
        return engine.balancer().isEjected(clock.nowMicros(), node);
    }

    int open() {
        return alive ? lines.open() : 0;
    }

    long dials() {
        return dialsBefore + (alive ? lines.dials : 0);
    }

    int mostOpen() {
        return Math.max(mostOpen, lines == null ? 0 : lines.mostOpen);
    }

    boolean knows(String node) {
        return alive && lines.knows(node);
    }

    /** What is still held; empty when all is over. */
    String held() {
        if (!alive) {
            return "";
        }
        int guided = engine.balancer() instanceof ZoneAwareBalancer g ? g.openRequestCount() : 0;
        int module = OpenRequests.count(engine.balancer());
        return engine.requests().inFlight() + lines.out() + guided + module == 0
                ? ""
                : "s" + number + " holds "
                        + engine.requests().inFlight() + " requests, " + lines.out() + " attempts, " + guided + " and "
                        + module
                        + " requests in its module";
    }

    @Override
    public void update(boolean whole, List<Endpoint> members) {
        lines.update(whole, members);
    }

    @Override
    public void checkEndpoint(InetSocketAddress address, Consumer<EndpointEvidence> told) {
        SimulatedUpstream node = world.at(address.getAddress().getHostAddress() + ":" + address.getPort());
        long wayUs = 4 * world.oneWayUs(this, node);
        int of = life;
        Consumer<EndpointEvidence> alone = proof -> {
            if (alive && life == of) {
                world.speaks(this);
                told.accept(proof);
            }
        };
        if (node == null || node.link() == Link.DEAD) {
            world.time().schedule(wayUs, () -> alone.accept(EndpointEvidence.REFUSES_CONNECTIONS));
        } else if (node.link() != Link.UP || node.awakeAtUs() - world.time().now() > TRIAL_US) {
            world.time().schedule(TRIAL_US, () -> alone.accept(EndpointEvidence.NO_RESPONSE));
        } else {
            world.time().at(node.awakeAtUs() + wayUs, () -> alone.accept(EndpointEvidence.RESPONDS_AS_UPSTREAM));
        }
    }

    @Override
    public void checkHealth(String upstream, long untilUs, Attempt.Listener result) {
        probes++;
        world.probes();
        lines.probe(upstream, untilUs, result);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        words++;
        world.tell(this, peer, falsehood.of(message, lie));
    }

    @Override
    public void closeIdleConnections(String upstream) {
        lines.close(upstream);
    }
}
