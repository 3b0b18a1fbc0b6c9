package loadbalancer.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.balancing.Balancer;
import loadbalancer.operator.OperatorConfiguration;

/** A sidecar in this process, with a module that does what the test says and writes down what it is told. */
final class Rig implements AutoCloseable {
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

    /** What the module does with a request. */
    interface OnRequest {
        void take(long nowMicros, Balancer.Request request, Balancer.Actions out);
    }

    /** What the module does when an attempt has ended without success. */
    interface OnOutcome {
        void take(String request, Balancer.Outcome outcome, boolean done, Balancer.Actions out);
    }

    final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    final List<Peer> peers = new ArrayList<>();
    final Peer discovery;
    volatile OnRequest onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
    volatile OnOutcome onOutcome = (id, outcome, done, out) -> {
        if (!done) {
            out.fail(id);
        }
    };
    Sidecar sidecar;
    String peerFields = "";
    String listen = "127.0.0.1:0";
    /** Set before the start: another process's part is played by another rig. */
    Handover handover;

    String settings = SETTINGS;
    /** Whether the module asks for a watch. */
    boolean asks = true;

    int sockets = 1024;
    OperatorConfiguration operator = OperatorConfiguration.NONE;
    /** The program's own module decides, and the test is told nothing. */
    boolean decides;

    private volatile Balancer.Actions actions;

    Rig(Peer.Script discovers) throws IOException {
        discovery = new Peer(discovers);
    }

    /** Discovery that keeps every watch waiting. */
    Rig() throws IOException {
        this((m, line) -> {});
    }

    Peer upstream(Peer.Script script) throws IOException {
        Peer p = new Peer(script);
        peers.add(p);
        return p;
    }

    private final List<String> others = new ArrayList<>();

    /** One more, after all peers, that the test plays itself. */
    void upstreamAt(String address) {
        others.add(address);
    }

    static String entry(String id, String address, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"za\",\"machineType\":\"k\","
                + "\"cell\":1,\"lifecycle\":\"" + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    static String list(long generation, boolean whole, String... entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    String known() {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < peers.size(); i++) {
            entries.add(entry("u" + i, peers.get(i).address(), "Ready", 0));
        }
        for (int i = 0; i < others.size(); i++) {
            entries.add(entry("u" + (peers.size() + i), others.get(i), "Ready", 0));
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
                + "\",\"seed\":\"8c1f30d27a5be964\"," + peerFields + "\"known\":" + known()
                + ",\"limits\":{\"sockets\":" + sockets + "},\"settings\":" + settings + "}";
    }

    /** As on SIGHUP, with a file that names another discovery. */
    void reload(String discoveryAddress) throws Exception {
        sidecar.reconfigure(config(json(discoveryAddress)), operator);
    }

    /** Set before the start: the sidecar is not ready, and this runs with each request that it takes all the same. */
    Runnable rehearsal;

    Rig start() throws Exception {
        SidecarConfig config = config(json(discovery.address()));
        sidecar = new Sidecar(
                config,
                operator,
                decides
                        ? Engine.balancer(operator)
                        : (settings, others, seed, nowMicros, out) -> {
                            actions = out;
                            return new Recorder();
                        },
                handover);
        if (rehearsal != null) {
            sidecar.startWarmUp(rehearsal);
        }
        sidecar.start();
        return this;
    }

    InetSocketAddress address() {
        return sidecar.listenAddress();
    }

    Peer.Client client() throws IOException {
        return new Peer.Client(address());
    }

    /** So many connections of one request each: idle ones are hardly kept from then on. */
    void askOnceEach(int connections) throws IOException {
        for (int i = 0; i < connections; i++) {
            try (Peer.Client once = client()) {
                if (once.send(get("once" + i, 20_000)).status() != 200) {
                    throw new AssertionError("request " + i + " was not served");
                }
            }
        }
    }

    /** With a key where {@code key} is not null. */
    static String post(String id, String lane, String key, long remainingMs) {
        return get(id, remainingMs)
                .replace("GET", "POST")
                .replace("X-Lane: c", "X-Lane: " + lane)
                .replace(
                        "\r\n\r\n",
                        (key == null ? "" : "\r\nIdempotency-Key: " + key) + "\r\nContent-Length: 0\r\n\r\n");
    }

    static String get(String id, long remainingMs) {
        return "GET /api/slots?day=1 HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: c\r\nX-Remaining-Ms: "
                + remainingMs + "\r\n\r\n";
    }

    /**
     * Once the module has sent: waits until the tasks are done that begin to dial, each of which may queue the next.
     */
    void dials() throws InterruptedException {
        for (int i = 0; i < 10; i++) {
            sidecar.loop().submit(() -> {}).sync();
        }
    }

    /** Waits until the module was told something that starts so. */
    String await(String start) throws InterruptedException {
        for (String line; (line = told.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (line.startsWith(start)) {
                return line;
            }
        }
        throw new AssertionError("the module was never told '" + start + "'");
    }

    @Override
    public void close() throws Exception {
        if (sidecar != null) {
            sidecar.shutdownNow();
        }
        discovery.close();
        for (Peer p : peers) {
            p.close();
        }
    }

    private final class Recorder implements Balancer {
        @Override
        public void onEndpointList(long nowMicros, EndpointListKind kind, List<Upstream> entries) {
            told.add("list " + kind + " "
                    + String.join(
                            ",",
                            entries.stream().map(u -> u.id() + "=" + u.state()).toList()));
            if (asks && (kind == EndpointListKind.CACHED || kind == EndpointListKind.FAILED)) {
                actions.pollDiscovery();
            }
        }

        @Override
        public void onSettings(long nowMicros, Settings settings) {
            told.add("settings "
                    + settings.classes().stream().map(RequestClass::name).toList());
        }

        @Override
        public void onRequest(long nowMicros, Request request) {
            told.add("request " + request.id() + " " + request.remainingMicros());
            onRequest.take(nowMicros, request, actions);
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
            told.add("outcome " + request + " " + attempt + " " + outcome + " " + done + " "
                    + (report == null ? "-" : report.inFlight()));
            onOutcome.take(request, outcome, done, actions);
        }

        @Override
        public void onStreamStart(long nowMicros, String request, int attempt, String upstream, long latencyUs) {}

        @Override
        public void onHealthCheck(long nowMicros, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
            told.add("probe " + upstream + " " + outcome + " " + (report == null ? "-" : report.inFlight()));
        }

        @Override
        public void onExpired(long nowMicros, String request) {
            told.add("expired " + request);
        }

        @Override
        public void onGossip(long nowMicros, int peer, byte[] message) {
            told.add("peer " + peer + " " + message.length);
        }

        @Override
        public void onTimer(long nowMicros, String mark) {
            told.add("timer " + mark);
            if (mark.equals("stall")) {
                LockSupport.parkNanos(120_000_000);
            }
            if (mark.equals("break")) {
                throw new IllegalStateException("as the test wants");
            }
        }
    }
}
