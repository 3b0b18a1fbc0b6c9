import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the second review share: real sidecar processes started with the deploy file's run, and small
 * stand-ins for upstreams, discovery and clients, by the protocol page. Loopback only. Needs nothing but the JDK.
 */
final class Rig implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root;
    final Path temp;
    private final PrintWriter record;
    private final List<AutoCloseable> parts = Collections.synchronizedList(new ArrayList<>());

    /** {@code root} is the repository, {@code folder} the case's, which gets record.txt. */
    Rig(Path root, Path folder) throws IOException {
        this.root = root.toAbsolutePath().normalize();
        temp = Files.createTempDirectory("review2");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        // No case may run longer than 120 s, whatever happens to it.
        Thread guard = new Thread(() -> {
            sleep(100_000);
            log("the case ran out of time");
            close();
            Runtime.getRuntime().halt(2);
        });
        guard.setDaemon(true);
        guard.start();
    }

    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void log(String format, Object... values) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%9.4f ", now());
            record.println(values.length == 0 ? format : String.format(Locale.ROOT, format, values));
        }
    }

    /** Writes the verdict to the record and to standard output. */
    int verdict(int code, String text) {
        log("VERDICT %d: %s", code, text);
        System.out.println((code == 0 ? "held: " : code == 1 ? "BROKEN: " : "could not run: ") + text);
        return code;
    }

    private boolean closed;

    @Override
    public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        for (AutoCloseable part : new ArrayList<>(parts)) {
            try {
                part.close();
            } catch (Exception e) {
                log("closing: " + e);
            }
        }
        synchronized (record) {
            record.flush();
        }
        try (Stream<Path> files = Files.walk(temp)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    static Thread daemon(String name, ThrowingRunnable task) {
        Thread t = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The end of a connection ends its thread.
                    }
                },
                name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface ThrowingRunnable {
        void run() throws Exception;
    }

    // ---- HTTP ------------------------------------------------------------------------------------

    /** One message, request or response. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                throw new EOFException();
            }
            b.write(c);
        }
        String s = b.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
    }

    /** Reads a message with a length, a chunked one or one without a body; for a response also up to the end. */
    static Message read(InputStream in) throws IOException {
        Message m = new Message();
        m.start = line(in);
        for (String l; !(l = line(in)).isEmpty(); ) {
            int colon = l.indexOf(':');
            m.headers.put(
                    l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        String length = m.header("content-length");
        if (length != null) {
            m.body = in.readNBytes(Integer.parseInt(length));
            if (m.body.length < Integer.parseInt(length)) {
                throw new EOFException();
            }
        } else if ("chunked".equalsIgnoreCase(m.header("transfer-encoding"))) {
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            for (int n; (n = Integer.parseInt(line(in).trim(), 16)) > 0; ) {
                b.write(in.readNBytes(n));
                line(in);
            }
            while (!line(in).isEmpty()) {
                // trailers
            }
            m.body = b.toByteArray();
        } else if (m.start.startsWith("HTTP/")) {
            m.body = in.readAllBytes();
        }
        return m;
    }

    static byte[] ok(String body, String more) {
        return ("HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    static final String LOAD = "X-Pressure: TEXT inflight=1, queue=0, util=0.2\r\n";

    // ---- upstreams -------------------------------------------------------------------------------

    /** A connection that an upstream has accepted. */
    final class UpstreamConnection {
        final Upstream upstream;
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        /** Requests read on it so far. */
        volatile int requests;

        UpstreamConnection(Upstream upstream, Socket socket) throws IOException {
            this.upstream = upstream;
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Ends it with a reset, as a process that dies does. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** What an upstream does with a request, on the connection's thread. */
    interface Work {
        void run(UpstreamConnection connection, Message request) throws Exception;
    }

    final class Upstream implements AutoCloseable {
        final String id;
        final String zone;
        final ServerSocket server;
        final List<UpstreamConnection> connections = new CopyOnWriteArrayList<>();
        volatile Work work;
        volatile String lifecycle = "Ready";
        /** Where it speaks gRPC; 0 where it does not. */
        volatile int grpcPort;

        Upstream(String id, String zone, Work work) throws IOException {
            this.id = id;
            this.zone = zone;
            this.work = work;
            server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
            daemon("accept-" + id, () -> {
                while (true) {
                    UpstreamConnection c = new UpstreamConnection(this, server.accept());
                    connections.add(c);
                    daemon("up-" + id, () -> serve(c));
                }
            });
            parts.add(this);
        }

        private void serve(UpstreamConnection c) throws Exception {
            try (Socket socket = c.socket) {
                while (!socket.isClosed()) {
                    Message m = read(c.in);
                    c.requests++;
                    String path = m.start.split(" ")[1];
                    if (path.equals("/stats")) {
                        c.write(ok("TEXT inflight=1, queue=0, util=0.2", LOAD));
                    } else if (path.equals("/health/live")) {
                        c.write(ok("", ""));
                    } else {
                        work.run(c, m);
                    }
                }
            } finally {
                connections.remove(c);
            }
        }

        String entry() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + server.getLocalPort() + "\",\"zone\":\""
                    + zone + "\",\"machineType\":\"std-a\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":0" + (grpcPort > 0 ? ",\"grpcPort\":" + grpcPort : "") + "}";
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (UpstreamConnection c : connections) {
                c.socket.close();
            }
        }
    }

    // ---- discovery -------------------------------------------------------------------------------

    final class Discovery implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        private final List<Upstream> upstreams;
        private long generation = 41;

        Discovery(List<Upstream> upstreams) throws IOException {
            this.upstreams = upstreams;
            daemon("discovery", () -> {
                while (true) {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    daemon("watch", () -> serve(s));
                }
            });
            parts.add(this);
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        synchronized String list() {
            StringBuilder b = new StringBuilder("{\"generation\":" + generation + ",\"reset\":true,\"instances\":[");
            for (int i = 0; i < upstreams.size(); i++) {
                b.append(i == 0 ? "" : ",").append(upstreams.get(i).entry());
            }
            return b.append("]}").toString();
        }

        /** Tells the whole list to all watches. */
        synchronized void changed() {
            generation++;
            notifyAll();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message m = read(in);
                    Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(m.start);
                    String answer;
                    if (watch.find()) {
                        answer = await(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)));
                    } else {
                        answer = list();
                    }
                    socket.getOutputStream().write(ok(answer, ""));
                }
            }
        }

        private synchronized String await(long index, long waitMillis) throws InterruptedException {
            long end = System.nanoTime() + Math.min(60_000, waitMillis) * 1_000_000;
            while (generation <= index && end > System.nanoTime()) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            return generation > index
                    ? list()
                    : "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[]}";
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- sidecars --------------------------------------------------------------------------------

    /** A class of the settings. */
    static String profile(String name, String semantics, String group, long windowMs, long aimMs, long giveUpMs) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"group\":\"" + group
                + "\",\"window_us\":" + windowMs * 1000 + ",\"objective_us\":" + aimMs * 1000 + ",\"give_up_us\":"
                + giveUpMs * 1000 + ",\"importance\":" + (semantics.equals("safe") ? "3.0" : "9.0")
                + ",\"late_worth\":0.0,\"stream\":false}";
    }

    /** The classes of a deployment for bookings. */
    static List<String> usualProfiles() {
        return List.of(
                profile("slot-lookup", "safe", "all", 5_000, 330, 830),
                profile("booking-update", "safe", "all", 5_000, 330, 830),
                profile("booking-confirm", "keyed", "zone", 4_000, 330, 830));
    }

    static String settings(int me, int balancers, List<String> profiles, int maxAttempts) {
        return "{\"me\":" + me + ",\"balancers\":" + balancers
                + ",\"zone\":\"nord\",\"azs\":[\"nord\",\"sued\",\"west\"],\"kinds\":[\"std-a\"],\"family\":\"mesh\","
                + "\"discovery\":\"on_request\",\"counted_by\":\"request\",\"over_share_worth\":0.1,\"period_us\":1000,"
                + "\"weights\":\"off\",\"accounts\":[{\"name\":\"chain-a\",\"share\":1.0,\"quota_rps\":1000.0}],"
                + "\"clients\":{\"marks_retry\":true},"
                + "\"profiles\":[" + String.join(",", profiles) + "],"
                + "\"limits\":{\"max_attempts\":" + maxAttempts
                + ",\"second_copies\":true,\"cancelling\":true,\"probing\":true,"
                + "\"peers\":false,\"retry_after\":false,\"max_retry_after_us\":1200000,\"conn_idle_us\":15000000,"
                + "\"dial_timeout_us\":250000,\"cpu_us_per_request\":0.0,\"max_open\":20000,\"max_streams\":100},"
                + "\"rules\":{\"answer_slack_us\":5000,\"ask_every_us\":10000000,\"cold_share\":0.13,"
                + "\"drain_grace_us\":500000,\"fall_multiple\":3.0,\"fall_us\":1000000,\"ramp_time_us\":24000000},"
                + "\"load_info\":{\"how\":\"inline\",\"fields\":[\"busy_reqs\",\"pending\",\"cpu_share\"]},"
                + "\"tariffs\":{\"cross_zone\":0.005,\"peer\":0.01,\"probe\":0.002,\"connection\":0.0,\"handshake\":0.0}}";
    }

    final class Sidecar implements AutoCloseable {
        final String name;
        final int port = freePort();
        final int adminPort = freePort();
        final Path config;
        private final Path tmpdir;
        private final String discovery;
        private Process process;
        String operator;

        Sidecar(String name, Discovery discovery, String settings) throws IOException {
            this.name = name;
            this.discovery = discovery.address();
            config = temp.resolve(name + ".json");
            tmpdir = Files.createDirectories(temp.resolve(name + "-tmp"));
            configure(discovery, settings);
            parts.add(this);
        }

        void configure(Discovery from, String settings) throws IOException {
            Path next = temp.resolve(name + ".json.new");
            Files.writeString(
                    next,
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + from.address()
                            + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\",\"admin\":\"127.0.0.1:"
                            + adminPort + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                            + "\"known\":" + from.list() + ",\"settings\":" + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            String run = null;
            for (String l : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                Matcher m = Pattern.compile("^run = \"(.*)\"$").matcher(l);
                run = m.matches() ? m.group(1) : run;
            }
            if (operator != null) {
                Path file = Files.writeString(temp.resolve(name + ".toml"), operator);
                run += " --operator " + file;
            }
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            Map<String, String> env = b.environment();
            env.keySet().removeIf(k -> k.startsWith("BALANCER_") || k.equals("JAVA_TOOL_OPTIONS"));
            env.put("BALANCER_NAME", name);
            env.put("BALANCER_LISTEN", "127.0.0.1:" + port);
            env.put("BALANCER_DISCOVERY", discovery);
            env.put("BALANCER_ADMIN", "127.0.0.1:" + adminPort);
            env.put("BALANCER_CONFIG", config.toString());
            env.put("TMPDIR", tmpdir.toString());
            b.redirectErrorStream(true);
            Process p = b.start();
            process = p;
            daemon("log-" + name, () -> {
                BufferedReader r = new BufferedReader(new InputStreamReader(p.getInputStream()));
                for (String l; (l = r.readLine()) != null; ) {
                    log("[%s] %s", name, l);
                }
            });
        }

        /** Waits until it says that it is ready; false if it does not within 30 s. */
        boolean ready() {
            double end = now() + 30;
            while (now() < end && process.isAlive()) {
                try (Client c = new Client(port)) {
                    c.send("GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                    if (c.receive(1_000).status() == 200) {
                        return true;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(20);
            }
            return false;
        }

        boolean alive() {
            return process.isAlive();
        }

        int exitCode(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("%s gets %s", name, signal);
            send(signal);
        }

        private void send(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        @Override
        public void close() throws Exception {
            if (process != null && process.isAlive()) {
                send("CONT");
                process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
    }

    // ---- clients ---------------------------------------------------------------------------------

    /** One connection of the application. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        Message receive(int millis) throws IOException {
            socket.setSoTimeout(millis);
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String lookup(String id, int remainingMs, String tag) {
        return "GET /api/slots?tag=" + tag + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                + "\r\nX-Lane: slot-lookup\r\nX-Org: chain-a\r\nX-Remaining-Ms: " + remainingMs + "\r\n\r\n";
    }

    static String post(String id, String lane, String key, int remainingMs, String body) {
        return "POST /api/bookings HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: " + lane
                + "\r\nX-Org: chain-a\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static long lastId = System.nanoTime();

    static synchronized String id() {
        return String.format("%016x", ++lastId * 0x9e3779b97f4a7c15L);
    }
}
