package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.AdminServer;
import loadbalancer.admin.SidecarRequestHandler;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.core.Clock;
import loadbalancer.core.EventLoops;
import loadbalancer.core.Log;
import loadbalancer.core.RequestClasses;
import loadbalancer.core.Timers;
import loadbalancer.grpc.GrpcServer;
import loadbalancer.http1.HealthCheck;
import loadbalancer.http1.HttpServer;
import loadbalancer.http1.Upstreams;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.discovery.DiscoveryHttpClient;
import loadbalancer.membership.disk.EndpointListStore;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorConfiguration.DiskOptions;

/** One sidecar: starts its parts on one event loop, which owns them all, and shuts them down in order. */
final class Sidecar {
    /** File descriptors that the process needs itself: for its files, listeners and selector. */
    private static final int RESERVED_DESCRIPTORS = 48;

    private static final int MIN_CONNECTIONS = 32;

    /** An address that does not respond within this time counts as no upstream. */
    private static final long ENDPOINT_CHECK_MILLIS = 300;

    /** Lower bound on the pause that is allowed within the head of a response. */
    private static final long MIN_STALL_MICROS = 10_000;
    /** Upper bound on the time for which a failed start waits for the event loop to end. */
    private static final long MAX_ABORT_MILLIS = 1_000;

    /** Upper bound on the time a restarted sidecar waits to learn the agreed configuration before it reports ready. */
    private static final long MAX_LEARN_WAIT_MILLIS = 2_000;

    private final MultiThreadIoEventLoopGroup group = EventLoops.single();
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final SidecarConfig config;
    private final Engine.BalancerFactory balancerFactory;
    private final Engine engine;
    private final Upstreams upstreams;
    private final HttpServer httpServer;
    private final Listeners listeners;
    private final TracingSwitch tracing;
    private final EndpointListPersistence persistence;
    private final ActiveConfiguration configuration;

    /** Null where no other process can take over from this one. */
    private final Handover handover;

    /** Null without an admin address. */
    private InetSocketAddress adminAddress;

    /** Null before the start. */
    private DiscoveryHttpClient discoveryClient;

    Sidecar(SidecarConfig config, OperatorConfiguration operator, Engine.BalancerFactory balancerFactory) {
        this(config, operator, balancerFactory, null);
    }

    Sidecar(
            SidecarConfig config,
            OperatorConfiguration operator,
            Engine.BalancerFactory balancerFactory,
            Handover handover) {
        this.handover = handover;
        this.config = config;
        this.balancerFactory = balancerFactory;
        Settings settings = config.settings();
        RequestClasses classes = new RequestClasses(settings.classes());
        int maxConnections = maxConnections(config);
        // 5/8 are for clients: enough for requests on a third of all connections, and for clients that connect and
        // send nothing. The rest is for upstreams.
        int maxClientConnections = maxConnections * 5 / 8;
        upstreams = new Upstreams(
                loop,
                clock,
                settings.limits().connectionIdleMicros(),
                config.connectTimeoutMicros(),
                maxStallMicros(settings),
                maxConnections - maxClientConnections);
        SidecarNetwork network = new SidecarNetwork(
                upstreams, new HealthCheck(loop, endpointCheckMode(settings), ENDPOINT_CHECK_MILLIS));
        engine = new Engine(Timers.onEventLoop(loop), clock, settings, operator, config.seed(), network);
        GossipSocket peers = new GossipSocket(engine::receiveFromPeer, config.peers(), config.peerBroadcast());
        GossipSocket replicas = operator.control() == null
                ? null
                : new GossipSocket(
                        engine::receiveFromReplica, operator.control().tier().replicas(), null);
        network.connect(peers, replicas);
        GrpcServer grpc = operator.grpc() == null ? null : grpcServer(operator, classes);
        httpServer = new HttpServer(
                loop,
                clock,
                engine.requests(),
                upstreams,
                classes,
                () -> upstreams.anyReady() || engine.endpoints().isConfirmedByDiscovery(),
                maxClientConnections);
        listeners = new Listeners(loop, config, httpServer, grpc, peers, replicas, handover != null);
        tracing = new TracingSwitch(loop, clock, engine.requests(), config.name(), config.seed());
        persistence = new EndpointListPersistence(loop, clock, engine.endpoints());
        configuration = new ActiveConfiguration(settings, operator, clock, classes, engine, tracing, persistence);
    }

    private GrpcServer grpcServer(OperatorConfiguration operator, RequestClasses classes) {
        GrpcServer grpc = new GrpcServer(
                loop,
                clock,
                engine.requests(),
                classes,
                operator.grpc(),
                config.settings().limits().connectionIdleMicros(),
                config.connectTimeoutMicros(),
                config.name());
        engine.endpoints().addConnectionPool(grpc::update);
        return grpc;
    }

    private static int maxConnections(SidecarConfig config) {
        int adminDescriptors = config.adminAddress() == null ? 0 : AdminServer.MAX_CONNECTIONS + 2;
        return Math.max(MIN_CONNECTIONS, config.maxDescriptors() - RESERVED_DESCRIPTORS - adminDescriptors);
    }

    private static HealthCheck.Mode endpointCheckMode(Settings settings) {
        if (!settings.limits().healthChecksAllowed()) {
            return HealthCheck.Mode.CONNECT;
        }
        return settings.loadReporting() == LoadReporting.NONE
                ? HealthCheck.Mode.LIVENESS
                : HealthCheck.Mode.LOAD_REPORT;
    }

    /** A response whose head stalls for three quarters of the tightest latency objective will be late. */
    private static long maxStallMicros(Settings settings) {
        long objectiveMicros = settings.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(0);
        return Math.max(MIN_STALL_MICROS, objectiveMicros * 3 / 4);
    }

    void start() throws InterruptedException {
        OperatorConfiguration operator = configuration.operator();
        DiskOptions disk = ActiveConfiguration.disk(operator);
        EndpointListStore store = disk == null ? null : EndpointListPersistence.store(disk);
        List<EndpointList> lists = new ArrayList<>(List.of(config.knownEndpoints()));
        if (store != null) {
            EndpointListPersistence.readStored(store).ifPresent(lists::add);
        }
        TracingSetup traces = operator.traces() == null ? null : tracing.create(operator.traces());
        loop.submit(() -> {
                    if (traces != null) {
                        tracing.install(traces);
                    }
                    if (store != null) {
                        persistence.start(store, disk);
                    }
                    startEngine(operator, lists);
                })
                .sync();
        if (config.adminAddress() != null) {
            adminAddress = new AdminServer(loop, new SidecarRequestHandler(new OperatorActions(this, handover)))
                    .listen(config.adminAddress());
            Log.event("admin.listens", "operators call at " + adminAddress, "address", adminAddress);
        }
        loop.execute(engine::startDiscovery);
        listeners.listenForGossip(operator.control());
        if (handover == null || handover.onlyProcess()) {
            listeners.listenForHttp();
        }
        listeners.listenForGrpc();
        new EventLoopMonitor(loop, clock, List.of(engine.requests().endReasons(), upstreams.endReasons())).start();
    }

    private void startEngine(OperatorConfiguration operator, List<EndpointList> lists) {
        discoveryClient = new DiscoveryHttpClient(loop, config.discovery());
        if (handover != null) {
            engine.requests().shareExecutions(handover.executedIds());
            handover.start(loop, clock, engine.endpoints());
        }
        boolean assessListAge = operator.membership() != null;
        long spreadMicros = assessListAge ? operator.membership().discoverySpreadMicros() : 0;
        engine.start(lists, discoveryClient, assessListAge, spreadMicros, balancerFactory);
    }

    EventLoop loop() {
        return loop;
    }

    Engine engine() {
        return engine;
    }

    HttpServer httpServer() {
        return httpServer;
    }

    ActiveConfiguration configuration() {
        return configuration;
    }

    /** Null without an admin address. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Address that clients connect to; null until this process listens on it. */
    InetSocketAddress listenAddress() {
        return listeners.httpAddress();
    }

    /** Null before the start, and where gRPC is off. */
    InetSocketAddress grpcAddress() {
        return listeners.grpcAddress();
    }

    void logListenAddress() {
        Log.event(
                "serves",
                config.name() + " serves on " + listenAddress() + ", " + config.describeLimits(),
                "name",
                config.name(),
                "address",
                listenAddress());
    }

    /**
     * Called before {@link #start}: the sidecar serves requests, but reports ready only after {@link #endWarmUp}.
     *
     * @param abort runs when a client's request arrives during the warm-up
     */
    void startWarmUp(Runnable abort) {
        httpServer.startWarmUp(abort);
    }

    /** Reports ready, and returns once it does. */
    void endWarmUp() throws InterruptedException {
        awaitAgreedConfiguration();
        if (listenAddress() == null
                && !loop.submit(httpServer::isStopping).sync().getNow()) {
            // The kernel connects clients to this process as soon as it listens, so it listens only once it can serve.
            listeners.listenForHttp();
            logListenAddress();
        }
        loop.submit(() -> {
                    httpServer.endWarmUp();
                    if (handover != null) {
                        handover.onReady(clock.nowMicros());
                    }
                })
                .sync();
    }

    /**
     * Waits at most {@link #MAX_LEARN_WAIT_MILLIS}, so that an unreachable fleet or control tier doesn't prevent the
     * start.
     */
    private void awaitAgreedConfiguration() throws InterruptedException {
        if (engine.agreedConfiguration() == null) {
            return;
        }
        CountDownLatch learned = new CountDownLatch(1);
        loop.execute(() -> engine.agreedConfiguration().onceLearned(learned::countDown));
        if (!learned.await(MAX_LEARN_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
            Log.event("policy.careful", "has not learned the active policy: applies the operator's file until it does");
        }
    }

    /** Applies reloaded files while requests are in progress. */
    void reconfigure(SidecarConfig reloadedConfig, OperatorConfiguration reloadedOperator) {
        loop.execute(() -> configuration.apply(reloadedConfig, reloadedOperator, discoveryClient));
    }

    /** Records that a reloaded file was invalid. */
    void reloadRejected() {
        loop.execute(configuration::rejected);
    }

    /**
     * Stops gracefully. {@code stopped} runs when all requests in progress have been answered, all connections are
     * closed, the endpoint list is stored, and the last traces are sent or their time is up.
     */
    void stop(Runnable stopped) {
        boolean handedOver = handover != null && handover.hasSuccessor();
        if (handedOver) {
            Log.event("handover.leaves", config.name() + " stops: another process of this sidecar has taken over");
        }
        loop.execute(() -> listeners.stop(handedOver, () -> {
            engine.endpoints().stop();
            Optional<TracingSetup> traces = tracing.stop();
            persistence.close(traces.isEmpty() ? stopped : () -> traces.get().close(stopped));
        }));
    }

    /** Ends the event loop after a failed start, so that it logs nothing behind the reason for the failure. */
    void abortStart() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(MAX_ABORT_MILLIS);
    }

    /** Shuts down at once, without waiting for requests in progress. */
    void shutdownNow() {
        loop.execute(() -> {
            engine.endpoints().stop();
            if (engine.discovery() != null) {
                engine.discovery().stop();
            }
            Optional<TracingSetup> traces = tracing.stop();
            if (traces.isPresent()) {
                traces.get().close(() -> {});
            }
            persistence.close(() -> {});
            if (handover != null) {
                handover.close();
            }
        });
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
