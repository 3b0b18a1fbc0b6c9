package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.balancing.Balancer;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorFile;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;

/** A sidecar in this process, whose balancer acts as the test specifies and records each event. */
final class SidecarHarness implements AutoCloseable {
    static final String SETTINGS =
            """
            {"me":0,"balancers":2,"zone":"za","azs":["za"],"kinds":["k"],"discovery":"on_request",
             "profiles":[{"name":"c","semantics":"safe","objective_us":300000,"give_up_us":60000000},
                         {"name":"k","semantics":"keyed","group":"all","window_us":4000000,"objective_us":300000,
                          "give_up_us":60000000}],
             "rules":{"drain_grace_us":500000,"cold_share":0.2,"ramp_time_us":9000000,"fall_multiple":3,
                      "fall_us":1000000,"ask_every_us":10000000},
             "limits":{"max_attempts":4,"dial_timeout_us":2000000,"conn_idle_us":15000000,"retry_after":true,
                       "max_retry_after_us":1000000,"peers":true,"probing":true,"cancelling":true},
             "load_info":{"how":"inline","fields":["busy_reqs","pending","cpu_share"]},
             "something_new":{"a":[{"b":null}]}}""";

    static final String GRPC_TABLE =
            """
            [grpc]
            listen = "127.0.0.1:0"
            [[grpc.method]]
            name = "stage.Booking/Echo"
            class = "c"
            streams = true
            [[grpc.method]]
            name = "stage.Booking/Lookup"
            class = "c"
            [grpc.other]
            class = "c"
            """;

    /**
     * Longer than clients are still served and idle connections are kept during a shutdown, with the checks after that.
     */
    private static final long STALL_MS = 900;
    /** Lower bound on the time between two checks of a shutdown. */
    private static final long MIN_CHECK_INTERVAL_MS = 15;

    /** What a test does at a given moment. */
    interface Action {
        void run() throws IOException;
    }

    /** The balancer's action on a request. */
    interface RequestHandler {
        void handle(long nowMicros, Balancer.Request request, Balancer.Actions out);
    }

    /** The balancer's action on an attempt that has ended. */
    interface OutcomeHandler {
        void handle(String request, Balancer.Outcome outcome, boolean done, Balancer.Actions out);
    }

    final BlockingQueue<String> balancerEvents = new LinkedBlockingQueue<>();
    final List<ScriptedServer> upstreams = new ArrayList<>();
    final ScriptedServer discovery;
    volatile RequestHandler onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
    volatile OutcomeHandler onOutcome = (id, outcome, done, out) -> {
        if (!done) {
            out.fail(id);
        }
    };
    Sidecar sidecar;
    String extraConfigFields = "";
    String listen = "127.0.0.1:0";
    /** Set before the start; another harness plays the other process. */
    Handover handover;

    String settings = SETTINGS;
    /** Whether the balancer polls discovery. */
    boolean pollsDiscovery = true;

    int maxDescriptors = 1024;
    OperatorConfiguration operator = OperatorConfiguration.NONE;
    /** Whether the sidecar uses the production balancer; then no events are recorded. */
    boolean usesProductionBalancer;

    private volatile Balancer.Actions actions;

    SidecarHarness(ScriptedServer.Script discoveryScript) throws IOException {
        discovery = new ScriptedServer(discoveryScript);
    }

    /** Creates a harness whose discovery never responds to a watch. */
    SidecarHarness() throws IOException {
        this((m, connection) -> {});
    }

    ScriptedServer addUpstream(ScriptedServer.Script script) throws IOException {
        ScriptedServer p = new ScriptedServer(script);
        upstreams.add(p);
        return p;
    }

    private final Map<Integer, Integer> grpcPorts = new HashMap<>();

    /** Adds an upstream that serves gRPC on this port, and leaves requests over HTTP without a response. */
    void addGrpcUpstream(int grpcPort) throws IOException {
        grpcPorts.put(upstreams.size(), grpcPort);
        addUpstream((m, connection) -> {});
    }

    /** Turns gRPC on, on any free port; all methods have class {@code c}; {@code Lookup} is unary, others stream. */
    SidecarHarness withGrpc() throws ConfigurationException {
        return withGrpc("");
    }

    /** As the other method, with more options of the table. */
    SidecarHarness withGrpc(String options) throws ConfigurationException {
        String table = GRPC_TABLE.replaceFirst("\n\\[\\[", "\n" + options + "\n[[");
        operator = OperatorFile.read(ConfigurationTable.parse("operator", table, Map.of()));
        return this;
    }

    private final List<String> unscriptedUpstreams = new ArrayList<>();

    /** Adds an upstream, listed after the scripted ones, at an address that the test itself serves. */
    void addUpstreamAt(String address) {
        unscriptedUpstreams.add(address);
    }

    static String entry(String id, String address, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"za\",\"machineType\":\"k\","
                + "\"cell\":1,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    /** The entry of an upstream that serves gRPC on this port too. */
    static String withGrpcPort(String entry, int grpcPort) {
        return entry.replace("}", ",\"grpcPort\":" + grpcPort + "}");
    }

    static String list(long generation, boolean complete, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + complete + ",\"instances\":["
                + String.join(",", entries) + "]}";
    }

    String knownEndpoints() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < upstreams.size(); i++) {
            String entry = entry("u" + i, upstreams.get(i).address(), "Ready", 0);
            Integer grpcPort = grpcPorts.get(i);
            entries.add(grpcPort == null ? entry : withGrpcPort(entry, grpcPort));
        }
        for (int i = 0; i < unscriptedUpstreams.size(); i++) {
            entries.add(entry("u" + (upstreams.size() + i), unscriptedUpstreams.get(i), "Ready", 0));
        }
        return list(41, true, entries.toArray(String[]::new));
    }

    static SidecarConfig config(String json) throws IOException, SidecarConfig.InvalidConfigException {
        Path file = Files.createTempFile("config", ".json");
        try {
            Files.writeString(file, json);
            return SidecarConfig.read(Map.of("BALANCER_CONFIG", file.toString()));
        } finally {
            Files.delete(file);
        }
    }

    String json(String discoveryAddress) {
        return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discoveryAddress
                + "\",\"seed\":\"8c1f30d27a5be964\"," + extraConfigFields + "\"known\":" + knownEndpoints()
                + ",\"limits\":{\"sockets\":" + maxDescriptors + "},\"settings\":" + settings + "}";
    }

    /** Reloads the configuration as on SIGHUP, with this discovery address. */
    void reload(String discoveryAddress) throws Exception {
        sidecar.reconfigure(config(json(discoveryAddress)), operator);
    }

    /** Set before the start: the sidecar starts in warm-up, not ready, and runs this when a request arrives. */
    Runnable onWarmUpRequest;

    SidecarHarness start() throws Exception {
        SidecarConfig config = config(json(discovery.address()));
        sidecar = new Sidecar(
                config,
                operator,
                usesProductionBalancer
                        ? Engine.balancer(operator)
                        : (settings, others, seed, nowMicros, out) -> {
                            actions = out;
                            return new RecordingBalancer();
                        },
                handover);
        if (onWarmUpRequest != null) {
            sidecar.startWarmUp(onWarmUpRequest);
        }
        sidecar.start();
        return this;
    }

    InetSocketAddress address() {
        return sidecar.listenAddress();
    }

    ScriptedServer.Client client() throws IOException {
        return new ScriptedServer.Client(address());
    }

    /**
     * Opens this many connections and sends one request on each, after which the sidecar keeps idle connections only
     * briefly.
     */
    void sendOnePerConnection(int connections) throws IOException {
        for (int i = 0; i < connections; i++) {
            try (ScriptedServer.Client once = client()) {
                if (once.send(get("once" + i, 20_000)).status() != 200) {
                    throw new AssertionError("request " + i + " was not served");
                }
            }
        }
    }

    /** A POST request of the class; without a key where {@code key} is null. */
    static String post(String id, String requestClass, String key, long remainingMs) {
        return get(id, remainingMs)
                .replace("GET", "POST")
                .replace("X-Lane: c", "X-Lane: " + requestClass)
                .replace(
                        "\r\n\r\n",
                        (key == null ? "" : "\r\nIdempotency-Key: " + key) + "\r\nContent-Length: 0\r\n\r\n");
    }

    /** The request with more header fields, each ending with its line. */
    static String withFields(String request, String fields) {
        return request.replace("\r\n\r\n", "\r\n" + fields + "\r\n");
    }

    static String get(String id, long remainingMs) {
        return "GET /api/slots?day=1 HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: "
                + remainingMs + "\r\n\r\n";
    }

    /**
     * Called once the balancer has sent: waits until the event loop has run the tasks that begin to connect, each of
     * which may queue the next.
     */
    void awaitConnectTasks() throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            sidecar.loop().submit(() -> {}).sync();
        }
    }

    /**
     * Begins the shutdown and blocks the event loop until all that the shutdown waits for has passed. {@code action}
     * runs after that, right before the next check of the shutdown in the same iteration of the loop, so that what it
     * sends can't be read in between. False if the loop was too slow for that order.
     */
    boolean stopAndRunBeforeNextCheck(Runnable stopped, Action action) throws InterruptedException {
        EventLoop loop = sidecar.loop();
        CountDownLatch done = new CountDownLatch(1);
        AtomicBoolean inOrder = new AtomicBoolean();
        loop.execute(() -> {
            long stopNanos = System.nanoTime();
            sidecar.stop(stopped);
            loop.execute(() -> {
                loop.schedule(
                        () -> {
                            try {
                                action.run();
                            } catch (IOException exception) {
                                throw new UncheckedIOException(exception);
                            } finally {
                                done.countDown();
                            }
                        },
                        0,
                        TimeUnit.NANOSECONDS);
                inOrder.set(System.nanoTime() - stopNanos < TimeUnit.MILLISECONDS.toNanos(MIN_CHECK_INTERVAL_MS));
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STALL_MS));
            });
        });
        if (!done.await(30, TimeUnit.SECONDS)) {
            throw new AssertionError("the event loop did not run the action within 30 s");
        }
        return inOrder.get();
    }

    /** Waits until the balancer has got an event that starts with this text, and returns it. */
    String await(String start) throws InterruptedException {
        for (String line; (line = balancerEvents.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the balancer got no event that starts with '" + start + "'");
    }

    @Override
    public void close() throws Exception {
        if (sidecar != null) {
            sidecar.shutdownNow();
        }
        discovery.close();
        for (ScriptedServer p : upstreams) {
            p.close();
        }
    }

    private final class RecordingBalancer implements Balancer {
        @Override
        public void onEndpointList(long nowMicros, EndpointListKind kind, List<Upstream> entries) {
            balancerEvents.add("list " + kind + " "
                    + String.join(
                            ",",
                            entries.stream().map(u -> u.id() + "=" + u.state()).toList()));
            if (pollsDiscovery && (kind == EndpointListKind.CACHED || kind == EndpointListKind.FAILED)) {
                actions.pollDiscovery();
            }
        }

        @Override
        public void onSettings(long nowMicros, Settings settings) {
            balancerEvents.add("settings "
                    + settings.classes().stream().map(RequestClass::name).toList());
        }

        @Override
        public void onRequest(long nowMicros, Request request) {
            balancerEvents.add("request " + request.id() + " " + request.remainingMicros());
            onRequest.handle(nowMicros, request, actions);
        }

        @Override
        public void onOutcome(
                long nowMicros,
                String request,
                int attempt,
                String upstream,
                Outcome outcome,
                long latencyUs,
                boolean done,
                LoadReport report) {
            balancerEvents.add("outcome " + request + " " + attempt + " " + outcome + " " + done + " "
                    + (report == null ? "-" : report.inFlight()));
            onOutcome.handle(request, outcome, done, actions);
        }

        @Override
        public void onStreamStart(long nowMicros, String request, int attempt, String upstream, long latencyUs) {}

        @Override
        public void onHealthCheck(long nowMicros, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
            balancerEvents.add("probe " + upstream + " " + outcome + " " + (report == null ? "-" : report.inFlight()));
        }

        @Override
        public void onExpired(long nowMicros, String request) {
            balancerEvents.add("expired " + request);
        }

        @Override
        public void onGossip(long nowMicros, int peer, byte[] message) {
            balancerEvents.add("peer " + peer + " " + message.length);
        }

        @Override
        public void onTimer(long nowMicros, String mark) {
            balancerEvents.add("timer " + mark);
            if (mark.equals("stall")) {
                LockSupport.parkNanos(120_000_000);
            }
            if (mark.equals("break")) {
                throw new IllegalStateException("thrown by the test");
            }
        }
    }
}
