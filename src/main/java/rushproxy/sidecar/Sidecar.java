package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer;
import rushproxy.Balancer.ListKind;
import rushproxy.Guide;
import rushproxy.Policy;
import rushproxy.core.Clock;
import rushproxy.core.Decisions;
import rushproxy.core.EventLoops;
import rushproxy.core.Log;
import rushproxy.core.Requests;
import rushproxy.grpc.GrpcServer;
import rushproxy.http1.ClientServer;
import rushproxy.http1.Trial;
import rushproxy.http1.Upstreams;
import rushproxy.membership.Listing;
import rushproxy.membership.Membership;
import rushproxy.membership.disk.ListKeeper;
import rushproxy.membership.disk.ListStore;
import rushproxy.membership.registry.RegistryWatch;
import rushproxy.operator.Broken;
import rushproxy.operator.Operator;
import rushproxy.operator.Operator.DiskOptions;
import rushproxy.operator.Operator.TraceOptions;
import rushproxy.zones.Guided;

/** One sidecar: starts its parts on one event loop, which owns them all, and ends them in good order. */
public final class Sidecar {
    /** Descriptors for the program itself: its files, its listeners and its selector. */
    private static final int OWN_DESCRIPTORS = 48;
    /** An answer to a probe that takes longer tells nothing of now. */
    private static final long PROBE_US = 50_000;
    /** What does not answer a trial for so long is no upstream, or one that is not worth waiting for. */
    private static final long TRIAL_MS = 300;

    /** Two parts of one answer are never so far apart. */
    private static final long STALL_LEAST_US = 10_000;
    private static final long BEAT_MS = 50;
    private static final int BEATS = 200;
    /** A lag worth a line in the log: more than the margin by which answers precede their deadlines. */
    private static final long LAG_US = 15_000;

    private final Config config;
    private Operator operator;
    private final Module module;
    private final MultiThreadIoEventLoopGroup group = EventLoops.one();
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final Decisions decisions = new Decisions();
    private final Upstreams upstreams;
    private final Requests requests;
    private final Members members;
    private final Peers peers;
    private final ClientServer clients;
    /** Null where it is off: then no class of HTTP/2 is loaded. */
    private final GrpcServer grpc;
    private InetSocketAddress listening;
    /** Discovery is not asked before: a fleet that starts together would rush it. */
    private long firstCallUs;
    /** Null until the start, which knows the version to go on from. */
    private RegistryWatch discovery;
    private ListKeeper keeper;
    /** Null where requests are not traced: then none of its classes is loaded. */
    private Tracing tracing;
    /** Nothing new is begun any more. */
    private boolean stopping;
    private long beatAtUs;
    private long worstLagUs;
    private long beats;

    /** Reads the operator's file, where there is one. */
    public interface Operators {
        Operator read() throws Broken;
    }

    /** Makes the module that decides; its actions may be used from then on. */
    interface Module {
        Balancer create(Config config, long now, Balancer.Actions actions);
    }

    Sidecar(Config config, Operator operator, Module module) {
        this.config = config;
        this.operator = operator;
        this.module = module;
        Balancer.Settings settings = config.settings();
        int most = Math.max(32, config.sockets() - OWN_DESCRIPTORS);
        // Clients may hold a third of all for their requests, and others come and say nothing.
        int fromClients = most * 5 / 8;
        upstreams = new Upstreams(loop, clock, settings.limits().connIdleUs(), config.dialTimeoutUs(),
                stallUs(settings), most - fromClients);
        members = new Members(loop, clock, decisions, upstreams,
                new Membership(operator.trust(), config.seed(), clock.now()), new Trial(loop, asks(settings), TRIAL_MS));
        requests = new Requests(loop, clock, decisions, settings.limits().maxAttempts(), members::ended);
        peers = new Peers(clock, decisions, config.peers(), config.peersAll());
        grpc = operator.grpc() == null ? null : new GrpcServer(loop, clock, requests, settings.classes(), operator.grpc(),
                settings.limits().connIdleUs(), config.dialTimeoutUs(), config.name());
        if (grpc != null) {
            members.tellToo(grpc::update);
        }
        clients = new ClientServer(loop, clock, requests, upstreams, settings.classes(), upstreams::anyReady, fromClients);
    }

    /** Zones stand beside the module only where the operator has asked for them. */
    static Module module(Operator operator) {
        return operator.zones() == null ? (c, now, actions) -> new Policy(c.settings(), Guide.NONE, c.seed(), now, actions)
                : (c, now, actions) -> new Guided(operator.zones(), c.settings(), c.seed() ^ 0x7a6f6e6573L, now, actions,
                (guide, hands) -> new Policy(c.settings(), guide, c.seed(), now, hands));
    }

    private static Trial.How asks(Balancer.Settings settings) {
        if (!settings.limits().probing()) {
            return Trial.How.CONNECT;
        }
        return settings.reports() == Balancer.Reports.NONE ? Trial.How.LIVE : Trial.How.STATS;
    }

    /** A quarter of the time within which an answer is wanted leaves enough of it for another attempt. */
    private static long stallUs(Balancer.Settings settings) {
        long aim = settings.classes().stream().mapToLong(Balancer.RequestClass::aimUs).min().orElse(0);
        return Math.max(STALL_LEAST_US, aim / 4);
    }

    /** Runs one sidecar until it is asked to end; only a start that fails returns. */
    public static int serve(Map<String, String> environment, Operators operators) throws InterruptedException {
        Reload reload = new Reload(environment, operators);
        Config config;
        Operator operator;
        try {
            config = Config.read(environment);
            operator = operators.read();
        } catch (Config.Broken | Broken e) {
            Log.line(e.getMessage());
            return 2;
        }
        Module module = module(operator);
        Sidecar sidecar;
        try {
            sidecar = new Sidecar(config, operator, module);
        } catch (IllegalArgumentException e) {
            // Each file is right by itself; together they are not.
            Log.line("operator's file: " + e.getMessage());
            return 2;
        }
        Rehearsal rehearsal = new Rehearsal(config, module);
        sidecar.notReadyBefore(rehearsal::cut);
        try {
            sidecar.start();
        } catch (Exception e) {
            Log.line("can't start: " + e);
            return 1;
        }
        CountDownLatch empty = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            sidecar.stop(empty::countDown);
            try {
                empty.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // A stop that was asked for and went well is no failure, whatever signal asked.
            Runtime.getRuntime().halt(0);
        }));
        Log.line(config.name() + " serves on " + sidecar.listening() + ", " + config.limits());
        reload.serving(sidecar);
        long begunUs = sidecar.clock.now();
        long cpuMs = CpuTime.ms();
        rehearsal.play();
        sidecar.rehearsed();
        long inAllMs = CpuTime.ms();
        // Beside each other they tell whether a slow start had too much to do or too little of a core.
        Log.line("ready after a rehearsal of " + (sidecar.clock.now() - begunUs) / 1000 + " ms" + (inAllMs < 0 ? ""
                : "; CPU since the start " + inAllMs + " ms, of it " + (inAllMs - cpuMs) + " ms for the rehearsal"));
        new CountDownLatch(1).await();
        return 0;
    }

    void start() throws InterruptedException {
        List<Listing> lists = new ArrayList<>(List.of(config.known()));
        DiskOptions disk = operator.membership() == null ? null : operator.membership().disk();
        ListStore store = disk == null ? null : store(disk);
        Listing kept = store == null ? null : store.read(Log::line);
        if (kept != null) {
            lists.add(kept);
        }
        Tracing traces = operator.traces() == null ? null : tracing(operator.traces());
        loop.submit(() -> {
            if (traces != null) {
                trace(traces);
            }
            if (disk != null) {
                keepWith(store, disk);
            }
            long spreadUs = operator.membership() == null ? 0 : operator.membership().spreadUs();
            firstCallUs = spreadUs == 0 ? 0 : clock.now() + new SplittableRandom(config.seed()).nextLong(spreadUs);
            List<Balancer.Upstream> first = members.start(lists);
            Balancer.Settings settings = config.settings();
            discovery = new RegistryWatch(loop, clock, members, config.discovery(), members.generation(),
                    settings.rules().askEveryUs(), !settings.discoveryOnRequest(), operator.membership() != null,
                    config.seed());
            decisions.start(actions -> {
                Balancer made = module.create(config, clock.now(), actions);
                made.onList(clock.now(), ListKind.CACHED, first);
                return made;
            }, new Hands());
            members.goOn();
        }).sync();
        loop.execute(discovery::start);
        if (config.peerListen() != null) {
            peers.listen(loop, config.peerListen());
        }
        listening = clients.listen(config.listen());
        if (grpc != null) {
            Log.line("takes gRPC on " + grpc.listen());
        }
        beatAtUs = clock.now();
        loop.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Loads its library: not on the loop. */
    private Tracing tracing(TraceOptions options) {
        return new Tracing(options, config.name(), clock, config.seed());
    }

    /** What the file says now of traces; the last word holds where several are on their way. */
    private void retrace(TraceOptions options) {
        if (options == null) {
            trace(null);
            Log.line("keeps no traces from now on");
            return;
        }
        new Thread(() -> {
            Tracing made = tracing(options);
            loop.execute(() -> {
                if (options.equals(operator.traces()) && !stopping) {
                    trace(made);
                    Log.line("keeps traces as its file says now");
                } else {
                    made.close(() -> { });
                }
            });
        }, "traces-start").start();
    }

    private void rezone(rushproxy.zones.Options zones) {
        decisions.call(m -> {
            if (m instanceof Guided g && zones != null) {
                g.change(clock.now(), zones);
                Log.line("zones: those away and those preferred are as the file says now; the rest holds from the next start on");
            } else {
                Log.line("what changed under [zones] holds from the next start on");
            }
        }, () -> { });
    }

    /** Null turns it off. What is under way keeps its trace, and its place on the old shelf. */
    private void trace(Tracing made) {
        Tracing old = tracing;
        tracing = made;
        requests.traceWith(tracing == null ? null : tracing.tracer());
        if (old != null) {
            old.close(() -> { });
        }
    }

    private static ListStore store(DiskOptions disk) {
        return new ListStore(disk.folder(), disk.fleet(), disk.largestBytes());
    }

    private void keepWith(ListStore store, DiskOptions disk) {
        keeper = new ListKeeper(store, disk.writesPerMinute(), clock::now, Log::line);
        members.keepWith(keeper, disk.refreshUs());
    }

    /** The last write may take as long as the disk does: not on the loop. {@code then} runs on any thread. */
    private void letGo(Runnable then) {
        ListKeeper old = keeper;
        keeper = null;
        if (old == null) {
            then.run();
        } else {
            new Thread(() -> {
                old.close();
                then.run();
            }, "list-keeper-end").start();
        }
    }

    /** What makes the event loop late makes every answer late: too little of the core, a pause, or a fault here. */
    private void beat() {
        long now = clock.now();
        worstLagUs = Math.max(worstLagUs, now - beatAtUs - BEAT_MS * 1000);
        beatAtUs = now;
        if (++beats % BEATS == 0) {
            if (worstLagUs >= LAG_US) {
                Log.line("the event loop was late by up to " + worstLagUs / 1000 + " ms in " + BEATS * BEAT_MS / 1000 + " s");
            }
            worstLagUs = 0;
        }
    }

    InetSocketAddress listening() {
        return listening;
    }

    /** Before {@link #start}: it serves, but says that it is ready only once it is {@link #rehearsed}. */
    void notReadyBefore(Runnable cut) {
        clients.notReadyBefore(cut);
    }

    /** Returns once it says so: a caller may believe it then. */
    void rehearsed() throws InterruptedException {
        loop.submit(clients::rehearsed).sync();
    }

    /**
     * Takes over what new files may change while requests are held: where discovery is, and where the list is kept. How
     * lists are judged matters at a start alone.
     */
    void reconfigure(Config fresh, Operator told) {
        loop.execute(() -> {
            discovery.moveTo(fresh.discovery());
            if (!told.equals(operator)) {
                DiskOptions before = operator.membership() == null ? null : operator.membership().disk();
                DiskOptions after = told.membership() == null ? null : told.membership().disk();
                if (!Objects.equals(operator.grpc(), told.grpc())) {
                    Log.line("what changed under [grpc] holds from the next start on");
                }
                if (!Objects.equals(operator.zones(), told.zones())) {
                    rezone(told.zones());
                }
                boolean traces = !Objects.equals(operator.traces(), told.traces());
                operator = told;
                if (traces) {
                    retrace(told.traces());
                }
                if (!Objects.equals(before, after)) {
                    members.keepWith(null, 0);
                    // Not before the old one has let go: it may be the same folder, with another pace.
                    letGo(() -> loop.execute(() -> {
                        if (after != null) {
                            keepWith(store(after), after);
                        }
                    }));
                    Log.line(after == null ? "keeps no list from now on" : "keeps its list in " + after.folder());
                }
            }
        });
    }

    /** {@code stopped} runs when all that was taken has been answered and all connections are closed. */
    void stop(Runnable stopped) {
        loop.execute(() -> stopFronts(() -> {
            stopping = true;
            members.stop();
            Tracing last = tracing;
            tracing = null;
            letGo(last == null ? stopped : () -> last.close(stopped));
        }));
    }

    /** Both fronts serve on and answer what they hold; {@code then} runs when the later of the two has. */
    private void stopFronts(Runnable then) {
        int[] left = {grpc == null ? 1 : 2};
        Runnable one = () -> {
            if (--left[0] == 0) {
                then.run();
            }
        };
        clients.stop(one);
        if (grpc != null) {
            grpc.stop(one);
        }
    }

    /** Ends at once, whatever is held. */
    void end() {
        loop.execute(() -> {
            stopping = true;
            members.stop();
            if (discovery != null) {
                discovery.stop();
            }
            if (tracing != null) {
                tracing.close(() -> { });
            }
            letGo(() -> { });
        });
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Carries out what the module decides. */
    private final class Hands implements Balancer.Actions {
        @Override
        public void send(String request, String upstream, long untilUs) {
            requests.send(request, upstream, untilUs);
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            requests.refuse(request, retryAfterUs);
        }

        @Override
        public void fail(String request) {
            requests.fail(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            requests.cancel(request, attempt);
        }

        @Override
        public void probe(String upstream) {
            upstreams.probe(upstream, clock.now() + PROBE_US, (attempt, outcome, report, body) -> decisions.call(
                    m -> m.onProbe(clock.now(), upstream, outcome, clock.now() - attempt.sentUs(), report), () -> { }))
                    .start();
        }

        @Override
        public void subscribe() {
            long waitUs = firstCallUs - clock.now();
            if (waitUs > 0) {
                loop.schedule(discovery::subscribe, waitUs, TimeUnit.MICROSECONDS);
            } else {
                discovery.subscribe();
            }
        }

        @Override
        public void tell(int peer, byte[] message) {
            peers.tell(peer, message);
        }

        @Override
        public void close(String upstream) {
            upstreams.close(upstream);
        }

        @Override
        public void timer(String mark, long delayUs) {
            loop.schedule(() -> decisions.call(m -> m.onTimer(clock.now(), mark), requests::failHeld), delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void log(String text) {
            Log.line(text);
        }
    }
}
