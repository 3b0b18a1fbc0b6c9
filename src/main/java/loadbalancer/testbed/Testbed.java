package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import loadbalancer.core.Clock;
import loadbalancer.http1.Connector;
import loadbalancer.json.JsonObject;

/**
 * A small world on loopback: stand-in nodes, a registry, real sidecars as processes, their clients, and a referee who sees
 * it all. One event loop plays everything but the sidecars. For tests, measurements and the demo; never part of
 * {@code serve}.
 */
public final class Testbed implements AutoCloseable {
    public static final List<String> ZONES = List.of("north", "south", "west");
    private static final long GRACE_US = 500_000;
    private static final long MEMORY_US = 4_000_000;
    private static final int READY_MS = 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final Referee referee = new Referee(GRACE_US, UpstreamModel.FALL_MULTIPLE, MEMORY_US);
    private final StandInDiscovery registry = new StandInDiscovery(loop, clock, referee);
    private final UpstreamShape shape;
    private final Path folder;
    private boolean grpc;
    private int patience = 1;
    private double spread;
    private final List<StandInUpstream> nodes = new ArrayList<>();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<LoadClients> clients = new ArrayList<>();
    private final List<TraceCollector> collectors = new ArrayList<>();

    /** All nodes have this shape; the sidecars are told of its ramp and cold share as the platform tells them. */
    public Testbed(UpstreamShape shape) throws IOException {
        this.shape = shape;
        folder = Files.createTempDirectory("world");
    }

    /** Nodes that are made from now on speak gRPC too. */
    public Testbed grpc() {
        grpc = true;
        return this;
    }

    /**
     * Clients and classes of a world made for what happens and not for how fast: ten times the aim and the time, so that a
     * core that is shared by all of it is no trouble of its own.
     */
    public Testbed patient() {
        patience = 10;
        referee.patience(patience);
        return this;
    }

    /** Requests on nodes that are made from now on differ in their work by this coefficient of variation, log-normal. */
    public Testbed spread(double cv) {
        spread = cv;
        return this;
    }

    /** A stand-in for OpenTelemetry's collector. */
    public TraceCollector collector() throws InterruptedException {
        TraceCollector made = new TraceCollector(loop).listen();
        collectors.add(made);
        return made;
    }

    /** The table [traces] of a sidecar's operator's file, with further lines of its own, to this collector. */
    public static String tracesTable(TraceCollector to, String more) {
        return "[traces]\n" + more + "[traces.collector]\naddress = \"" + to.address() + "\"\ntimeout = \"500ms\"\n";
    }

    /** The table [grpc] of a sidecar's operator's file, on any free port; its methods have the stage's classes. */
    public static String grpcTable() {
        StringBuilder t = new StringBuilder("[grpc]\nlisten = \"127.0.0.1:0\"\n");
        for (LoadClients.Kind k : LoadClients.Kind.values()) {
            t.append("[[grpc.method]]\nname = \"stage.Booking/")
                    .append(k.method)
                    .append("\"\nclass = \"")
                    .append(k.lane)
                    .append("\"\n");
        }
        return t.append("[[grpc.method]]\nname = \"stage.Booking/Echo\"\nclass = \"note-change\"\nstreams = true\n")
                .append("[[grpc.method]]\nname = \"stage.Booking/LateEcho\"\nclass = \"note-change\"\nstreams = true\n")
                .append("[grpc.other]\nclass = \"note-change\"\n")
                .toString();
    }

    static String sidecarOf(String id) {
        return id.substring(0, Math.max(0, id.indexOf('-')));
    }

    public Clock clock() {
        return clock;
    }

    public StandInDiscovery registry() {
        return registry;
    }

    public List<StandInUpstream> nodes() {
        return List.copyOf(nodes);
    }

    /** A class of requests as clients of this stage ask and its sidecars are told, without patience; a part of all requests. */
    public record Lane(
            String name,
            loadbalancer.balancing.Balancer.Idempotency semantics,
            double share,
            long aimMs,
            long giveUpMs) {}

    public static List<Lane> lanes() {
        List<Lane> lanes = new ArrayList<>();
        for (LoadClients.Kind k : LoadClients.Kind.values()) {
            lanes.add(new Lane(k.lane, k.semantics, k.share, LoadClients.AIM_MS, LoadClients.GIVE_UP_MS));
        }
        return lanes;
    }

    /** A place for files that goes with this world. */
    public Path folder() {
        return folder;
    }

    /** So many more warm nodes, spread over the zones and listed as ready. */
    public Testbed nodes(int more) throws InterruptedException {
        for (int i = 0; i < more; i++) {
            node();
        }
        return this;
    }

    public StandInUpstream node() throws InterruptedException {
        int number = nodes.size();
        StandInUpstream node = new StandInUpstream(
                        loop, clock, referee, "n" + number, ZONES.get(number % ZONES.size()), shape, spread)
                .listen();
        if (grpc) {
            node.speakGrpc();
        }
        nodes.add(node);
        registry.list(node, "Ready");
        return node;
    }

    public UnrelatedServer impostor(UnrelatedServer.Manner manner) throws InterruptedException {
        return new UnrelatedServer(loop, manner);
    }

    /** A line of a list, as a sidecar's {@code known} or the list on disk has it. */
    public record Listed(String id, String address, String zone, long startedMs, int grpcPort) {
        public Listed(String id, String address, String zone, long startedMs) {
            this(id, address, zone, startedMs, 0);
        }

        public static Listed of(StandInUpstream n) {
            return of(n, n.address());
        }

        /** The node where a sidecar finds it. */
        public static Listed of(StandInUpstream n, String address) {
            return new Listed(n.id(), address, n.zone(), n.startedMs(), n.grpcPort());
        }

        Map<String, Object> json() {
            Map<String, Object> e = new LinkedHashMap<>();
            e.put("instanceId", id);
            e.put("hostPort", address);
            e.put("zone", zone);
            e.put("machineType", "stand-in");
            e.put("cell", 0);
            e.put("lifecycle", "Ready");
            e.put("weight", 1.0);
            e.put("startedAtMs", startedMs);
            if (grpcPort > 0) {
                e.put("grpcPort", grpcPort);
            }
            return e;
        }
    }

    /** The registry's form of a list. */
    public static Map<String, Object> list(long generation, List<Listed> entries) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("generation", generation);
        list.put("reset", true);
        list.put("instances", entries.stream().map(Listed::json).toList());
        return list;
    }

    /**
     * Starts one real sidecar of {@code of} in all.
     *
     * @param operator the text of its operator's file; null for none
     * @param wrapper  put before its command, such as one that binds it to a core
     */
    public SidecarProcess sidecar(int of, Map<String, Object> known, String operator, String... wrapper)
            throws IOException, InterruptedException {
        int number = sidecars.size();
        String name = "s" + number;
        Path file = config(name);
        Files.write(
                file,
                JsonObject.write(
                        configuration(name, Long.toHexString(0x5eedL + number), known, settings(number % of, of))));
        Path operatorFile = null;
        if (operator != null) {
            operatorFile = Files.writeString(operatorFile(name), operator);
        }
        SidecarProcess process = new SidecarProcess(name, file, operatorFile, List.of(wrapper));
        sidecars.add(process);
        return process;
    }

    /**
     * Starts one of {@code of} real sidecars that may tell each other things, where probes are too dear to ask before each request.
     *
     * @param peers what its configuration says of peers
     */
    public SidecarProcess peered(int of, Map<String, Object> known, Map<String, Object> peers)
            throws IOException, InterruptedException {
        return peered(of, known, peers, null);
    }

    /** The same with an operator's file, null for none, and an address for operators. */
    public SidecarProcess peered(int of, Map<String, Object> known, Map<String, Object> peers, String operator)
            throws IOException, InterruptedException {
        return peered(sidecars.size() % of, of, known, peers, operator);
    }

    /** The same under another number than its place among those started here; {@code me} is below {@code of}. */
    public SidecarProcess peered(int me, int of, Map<String, Object> known, Map<String, Object> peers, String operator)
            throws IOException, InterruptedException {
        int number = sidecars.size();
        String name = "s" + number;
        Map<String, Object> settings = settings(me, of, !peers.isEmpty());
        settings.put("tariffs", Map.of("probe", 0.08, "peer", 0.01));
        Map<String, Object> config = configuration(name, Long.toHexString(0x5eedL + number), known, settings);
        config.putAll(peers);
        if (operator != null) {
            config.put("admin", "127.0.0.1:0");
            Files.writeString(operatorFile(name), operator);
        }
        Files.write(config(name), JsonObject.write(config));
        SidecarProcess process = alone(name);
        sidecars.add(process);
        return process;
    }

    private Path operatorFile(String sidecar) {
        return folder.resolve(sidecar + ".toml");
    }

    /** Of its files; with no folder that it would share with a second process of its own. */
    private SidecarProcess alone(String name) throws IOException {
        Path operator = operatorFile(name);
        return new SidecarProcess(
                name, config(name), Files.exists(operator) ? operator : null, List.of(), Map.of("TMPDIR", ""));
    }

    /** Another process under the name of one that has ended, with the same configuration. */
    public SidecarProcess again(SidecarProcess ended) throws IOException {
        SidecarProcess process = alone(ended.name());
        sidecars.set(sidecars.indexOf(ended), process);
        return process;
    }

    /** As {@link #sidecar}, with an address for operators and a folder that both processes of an upgrade share. */
    public SidecarProcess operated(Map<String, Object> known) throws IOException, InterruptedException {
        String name = "s" + sidecars.size();
        Map<String, Object> config = configuration(name, "5eed", known, settings(0, 1));
        config.put("admin", "127.0.0.1:0");
        return operated(name, config);
    }

    /** The file of an operated sidecar, which a test may change before it tells the process. */
    public Path config(String sidecar) {
        return folder.resolve(sidecar + ".json");
    }

    public List<SidecarProcess> processes() {
        return List.copyOf(sidecars);
    }

    /** A second process of the same sidecar, beside the one that serves. */
    public SidecarProcess beside(SidecarProcess old) throws Exception {
        String text = Files.readString(config(old.name()));
        InetSocketAddress at = old.address();
        Files.writeString(
                config(old.name()),
                text.replaceFirst(
                        "\"listen\":\"[^\"]*\"",
                        "\"listen\":\"" + at.getAddress().getHostAddress() + ":" + at.getPort() + "\""));
        return started(old.name());
    }

    private SidecarProcess operated(String name, Map<String, Object> config) throws IOException {
        Files.write(config(name), JsonObject.write(config));
        Files.createDirectories(folder.resolve(name + "-tmp"));
        return started(name);
    }

    private SidecarProcess started(String name) throws IOException {
        SidecarProcess process = new SidecarProcess(
                name,
                config(name),
                null,
                List.of(),
                Map.of("TMPDIR", folder.resolve(name + "-tmp").toString()));
        sidecars.add(process);
        return process;
    }

    /** What all sidecars of this stage are told. */
    private Map<String, Object> configuration(
            String name, String seed, Map<String, Object> known, Map<String, Object> settings)
            throws InterruptedException {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", name);
        config.put("listen", "127.0.0.1:0");
        config.put("discovery", registry.addressFor(name));
        config.put("seed", seed);
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 512));
        config.put("known", known);
        config.put("settings", settings);
        return config;
    }

    private Map<String, Object> settings(int me, int of) {
        return settings(me, of, false);
    }

    private List<Object> profiles() {
        List<Object> profiles = new ArrayList<>();
        for (LoadClients.Kind k : LoadClients.Kind.values()) {
            Map<String, Object> p = new LinkedHashMap<>();
            p.put("name", k.lane);
            p.put(
                    "semantics",
                    switch (k.semantics) {
                        case IDEMPOTENT -> "safe";
                        case WITH_KEY -> "keyed";
                        case NOT_IDEMPOTENT -> "unsafe";
                    });
            p.put("group", "zone");
            p.put("window_us", MEMORY_US);
            p.put("objective_us", LoadClients.AIM_MS * patience * 1000);
            p.put("give_up_us", LoadClients.GIVE_UP_MS * patience * 1000);
            p.put("importance", k == LoadClients.Kind.CONFIRM ? 9 : 3);
            profiles.add(p);
        }
        return profiles;
    }

    private Map<String, Object> settings(int me, int of, boolean peers) {
        Map<String, Object> s = new LinkedHashMap<>();
        s.put("me", me);
        s.put("balancers", of);
        s.put("zone", ZONES.get(me % ZONES.size()));
        s.put("azs", ZONES);
        s.put("kinds", List.of("stand-in"));
        s.put("discovery", "on_request");
        s.put("profiles", profiles());
        s.put(
                "rules",
                Map.of(
                        "drain_grace_us",
                        GRACE_US,
                        "cold_share",
                        shape.coldShare(),
                        "ramp_time_us",
                        shape.rampMs() * 1000,
                        "fall_multiple",
                        UpstreamModel.FALL_MULTIPLE,
                        "fall_us",
                        UpstreamModel.FALL_US,
                        "ask_every_us",
                        10_000_000));
        s.put(
                "limits",
                Map.of(
                        "max_attempts",
                        4,
                        "dial_timeout_us",
                        250_000,
                        "conn_idle_us",
                        15_000_000,
                        "probing",
                        true,
                        "retry_after",
                        true,
                        "max_retry_after_us",
                        1_000_000,
                        "cancelling",
                        true,
                        "peers",
                        peers));
        s.put("load_info", Map.of("how", "inline", "fields", List.of("inflight", "queue", "util")));
        return s;
    }

    /** The application beside the sidecar of this name. */
    public LoadClients clients(String sidecar) {
        return add(new HttpClients(loop, clock, referee, sidecar, 17 + clients.size(), patience));
    }

    /** The same application speaking gRPC. */
    public LoadClients grpcClients(String sidecar) {
        return add(new GrpcClients(loop, clock, referee, sidecar, 17 + clients.size(), patience));
    }

    private LoadClients add(LoadClients c) {
        clients.add(c);
        return c;
    }

    /** Completes, on the stage's loop, when the sidecar says that it is ready. */
    public CompletableFuture<Void> ready(InetSocketAddress sidecar) {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        Bootstrap bootstrap =
                Connector.httpBootstrap(loop, 500, 4096, () -> new SimpleChannelInboundHandler<FullHttpResponse>() {
                    @Override
                    public void channelActive(ChannelHandlerContext ctx) {
                        DefaultFullHttpRequest ask =
                                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health/ready");
                        ask.headers().set(HttpHeaderNames.HOST, "api.internal");
                        ctx.writeAndFlush(ask);
                    }

                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
                        if (answer.status().code() == 200) {
                            ready.complete(null);
                            ctx.close();
                        } else {
                            loop.schedule(() -> channelActive(ctx), READY_MS, TimeUnit.MILLISECONDS);
                        }
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext ctx) {
                        ready.completeExceptionally(new IOException("the sidecar hung up before it was ready"));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        ctx.close();
                    }
                });
        bootstrap.connect(sidecar).addListener(f -> {
            if (!f.isSuccess()) {
                ready.completeExceptionally(f.cause());
            }
        });
        return ready;
    }

    /**
     * Calls of one method, all to be made in the same instant.
     *
     * @param method    of the stage's service; one that ends in {@code Echo} makes streams, which stay open
     * @param timeoutMs what the calls tell as theirs; 0 for nothing
     */
    public GrpcBurst burst(String method, long timeoutMs) {
        return new GrpcBurst(loop, clock, "/stage.Booking/" + method, method.endsWith("Echo"), timeoutMs);
    }

    /** Runs it on the stage's loop after so long; for troubles that a plan names. */
    public void after(long ms, Runnable trouble) {
        loop.schedule(trouble, ms, TimeUnit.MILLISECONDS);
    }

    /** Waits on the stage's loop for so long: for measurements, which have a length. */
    public void play(long ms) {
        loop.schedule(() -> {}, ms, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** What all clients together saw of the requests sent in [from, to) seconds after each began. */
    public LoadClients.Tally tally(int from, int to) {
        LoadClients.Tally sum = new LoadClients.Tally(0, 0, 0, 0, 0, 0);
        for (LoadClients c : clients) {
            sum = sum.plus(c.tally(from, to));
        }
        return sum;
    }

    /** What the referee has found. */
    public record Verdict(int fouls, List<Referee.Foul> first, double coldPeak, int tries) {}

    /** Waits until all that clients who were stopped have sent has ended, no longer than they would. */
    public void settle() {
        long mostMs = LoadClients.longestWaitMs(patience);
        for (long ms = 0; ms < mostMs && clients.stream().anyMatch(c -> c.out() > 0); ms += 20) {
            play(20);
        }
    }

    /** Stops the clients, waits until all they sent is over, and asks the referee. */
    public Verdict verdict() {
        clients.forEach(LoadClients::stop);
        settle();
        // What comes now comes after an answer.
        play(200);
        return loop.submit(() -> {
                    referee.end(clock.nowMicros());
                    return new Verdict(referee.count(), referee.fouls(), referee.coldPeak(), referee.tries());
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() throws IOException {
        sidecars.forEach(SidecarProcess::close);
        clients.forEach(LoadClients::close);
        nodes.forEach(StandInUpstream::close);
        collectors.forEach(TraceCollector::close);
        registry.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
