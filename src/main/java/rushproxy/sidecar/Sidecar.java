package rushproxy.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer;
import rushproxy.Balancer.ListKind;
import rushproxy.Policy;

/** One sidecar: starts its parts on one event loop, which owns them all, and ends them in good order. */
public final class Sidecar {
    /** Descriptors for the program itself: its files, its listeners and its selector. */
    private static final int OWN_DESCRIPTORS = 48;
    /** An answer to a probe that takes longer tells nothing of now. */
    private static final long PROBE_US = 50_000;

    /** Two parts of one answer are never so far apart. */
    private static final long STALL_LEAST_US = 10_000;
    private static final long BEAT_MS = 50;
    private static final int BEATS = 200;
    /** A lag worth a line in the log: more than the margin by which answers precede their deadlines. */
    private static final long LAG_US = 15_000;

    private final Config config;
    private final Module module;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final Decisions decisions = new Decisions();
    private final Upstreams upstreams;
    private final Requests requests;
    private final Discovery discovery;
    private final Peers peers;
    private final ClientServer clients;
    private InetSocketAddress listening;
    private long beatAtUs;
    private long worstLagUs;
    private long beats;

    /** Makes the module that decides; its actions may be used from then on. */
    interface Module {
        Balancer create(Config config, long now, Balancer.Actions actions);
    }

    Sidecar(Config config, Module module) {
        this.config = config;
        this.module = module;
        Balancer.Settings settings = config.settings();
        int most = Math.max(32, config.sockets() - OWN_DESCRIPTORS);
        // Clients may hold a third of all for their requests, and others come and say nothing.
        int fromClients = most * 5 / 8;
        upstreams = new Upstreams(loop, clock, settings.limits().connIdleUs(), config.dialTimeoutUs(),
                stallUs(settings), most - fromClients);
        requests = new Requests(loop, clock, decisions, upstreams, settings.limits().maxAttempts());
        discovery = new Discovery(loop, clock, decisions, upstreams, config.discovery(), config.known().generation(),
                settings.rules().askEveryUs(), !settings.discoveryOnRequest());
        peers = new Peers(clock, decisions, config.peers(), config.peersAll());
        clients = new ClientServer(loop, clock, requests, settings.classes(), upstreams::anyReady, fromClients);
    }

    /** A quarter of the time within which an answer is wanted leaves enough of it for another attempt. */
    private static long stallUs(Balancer.Settings settings) {
        long aim = settings.classes().stream().mapToLong(Balancer.RequestClass::aimUs).min().orElse(0);
        return Math.max(STALL_LEAST_US, aim / 4);
    }

    /** Runs one sidecar until it is asked to end; only a start that fails returns. */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        Reload reload = new Reload(environment);
        Config config;
        try {
            config = Config.read(environment);
        } catch (Config.Broken e) {
            Log.line(e.getMessage());
            return 2;
        }
        Module module = (c, now, actions) -> new Policy(c.settings(), c.seed(), now, actions);
        Sidecar sidecar = new Sidecar(config, module);
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
        rehearsal.play();
        sidecar.rehearsed();
        Log.line("ready after a rehearsal of " + (sidecar.clock.now() - begunUs) / 1000 + " ms");
        new CountDownLatch(1).await();
        return 0;
    }

    void start() throws InterruptedException {
        upstreams.update(config.known());
        loop.submit(() -> decisions.start(actions -> {
            Balancer made = module.create(config, clock.now(), actions);
            made.onList(clock.now(), ListKind.CACHED,
                    config.known().entries().stream().map(UpstreamList.Entry::upstream).toList());
            return made;
        }, new Hands())).sync();
        loop.execute(discovery::start);
        if (config.peerListen() != null) {
            peers.listen(loop, config.peerListen());
        }
        listening = clients.listen(config.listen());
        beatAtUs = clock.now();
        loop.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
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

    /** Takes over what a new configuration may change while requests are held: where discovery is. */
    void reconfigure(Config fresh) {
        loop.execute(() -> discovery.moveTo(fresh.discovery()));
    }

    /** {@code stopped} runs when all that was taken has been answered and all connections are closed. */
    void stop(Runnable stopped) {
        loop.execute(() -> clients.stop(stopped));
    }

    /** Ends at once, whatever is held. */
    void end() {
        loop.execute(discovery::stop);
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
            upstreams.start(new Upstreams.Call(upstream, clock.now() + PROBE_US, true, left -> probe(),
                    (call, outcome, report, body) -> decisions.call(m -> m.onProbe(clock.now(), upstream, outcome,
                            clock.now() - call.sentUs, report), () -> { })));
        }

        private static FullHttpRequest probe() {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/stats");
        }

        @Override
        public void subscribe() {
            discovery.subscribe();
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
