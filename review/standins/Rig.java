import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Stand-ins for one small deployment on loopback: discovery, upstreams, the platform and a record of what happened. */
final class Rig implements AutoCloseable {
    static final String HOST = "127.0.0.1";

    final Path root;
    final Path folder;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    /** {@code root} is the repository, {@code folder} that of the case. */
    Rig(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("trouble " + (trouble ? "on" : "off"));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String line) {
        record.printf(Locale.ROOT, "%9.4f %s%n", seconds(), line);
        record.flush();
    }

    /** Ends the run with one of the codes 0 (the rule held), 1 (it was broken), 2 (the case could not run). */
    void finish(int code, String verdict) {
        note("verdict " + code + ": " + verdict);
        System.out.println(verdict);
        close();
        System.exit(code);
    }

    static void sleep(double millis) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (millis * 1000));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception exception) {
                // The other side of a socket has gone: the stand-in's connection ends.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    // ---- the sidecar ---------------------------------------------------------------------------------

    /** Value of a key of the deploy file. */
    String deploy(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(key.length() + 4, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /** Starts a process by {@code run} of the deploy file; {@code arguments} are appended to it. */
    Process sidecar(String name, Path config, int listenPort, Discovery discovery, Path tmp, String arguments, String log)
            throws IOException {
        Files.createDirectories(tmp);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deploy("run") + arguments);
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.put("BALANCER_NAME", name);
        environment.put("BALANCER_LISTEN", HOST + ":" + listenPort);
        environment.put("BALANCER_DISCOVERY", discovery.address());
        environment.put("BALANCER_CONFIG", config.toString());
        environment.put("TMPDIR", tmp.toString());
        Path logFile = temporary.resolve(log + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        Process process = builder.start();
        processes.add(process);
        note("sidecar " + name + " started, pid " + process.pid());
        return process;
    }

    /** Sends a signal to a process that this rig started. */
    void signal(Process process, String name) throws IOException {
        note("signal " + name + " to pid " + process.pid());
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the sidecar says that it is ready within the time. */
    boolean awaitReady(int port, double seconds) {
        double until = seconds() + seconds;
        while (seconds() < until) {
            try (Socket socket = connect(port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
                Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
                if (answer != null && answer.status() == 200) {
                    note("ready");
                    return true;
                }
            } catch (IOException exception) {
                // Not listening yet.
            }
            sleep(50);
        }
        return false;
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(HOST, port), 2000);
        return socket;
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        try (var files = Files.walk(temporary)) {
            if (System.getenv("KEEP_LOGS") == null) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        } catch (IOException exception) {
            // Left to the system's own clearing of temporary folders.
        }
        record.flush();
    }

    // ---- HTTP/1.1 ------------------------------------------------------------------------------------

    /** One request or response. Header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        /** Null at the end of the connection. */
        static Message read(InputStream in) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new TreeMap<>();
            for (String line; !(line = requireLine(in)).isEmpty(); ) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                for (int length; (length = Integer.parseInt(requireLine(in).split(";")[0].trim(), 16)) > 0; ) {
                    body.write(in.readNBytes(length));
                    requireLine(in);
                }
                while (!requireLine(in).isEmpty()) {
                    // Trailers are of no interest.
                }
            } else if (headers.containsKey("content-length")) {
                int length = Integer.parseInt(headers.get("content-length"));
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length) {
                    throw new IOException("cut off");
                }
                body.write(bytes);
            }
            return new Message(first, headers, body.toByteArray());
        }

        private static String requireLine(InputStream in) throws IOException {
            String line = line(in);
            if (line == null) {
                throw new IOException("cut off");
            }
            return line;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c; (c = in.read()) >= 0; ) {
                if (c == '\n') {
                    return line.toString();
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.length() == 0 ? null : line.toString();
        }
    }

    static byte[] response(int status, String headers, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- an upstream ---------------------------------------------------------------------------------

    /** What a stand-in does with one request of a client; it writes the response itself. */
    interface Handler {
        void handle(Upstream upstream, Message request, Connection connection) throws IOException;
    }

    /** One connection of the sidecar. */
    record Connection(Socket socket, InputStream in, OutputStream out) {
        /** Whether the sidecar has sent more, or sends more within the time. */
        boolean receivesWithin(int millis) throws IOException {
            in.mark(1);
            socket.setSoTimeout(Math.max(1, millis));
            try {
                int next = in.read();
                in.reset();
                return next != Integer.MIN_VALUE;
            } catch (SocketTimeoutException exception) {
                return false;
            } finally {
                socket.setSoTimeout(0);
            }
        }
    }

    static final class Upstream {
        final String id;
        final String zone;
        final ServerSocket listener;
        volatile Handler handler;
        /** Port for gRPC at the same host; 0 if the upstream does not speak it. */
        volatile int grpcPort;

        Upstream(String id, String zone, Handler handler) throws IOException {
            this.id = id;
            this.zone = zone;
            this.handler = handler;
            listener = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            Rig.start(id, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    Rig.start(id + "-c", () -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                Connection connection = new Connection(
                        socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                for (Message request; (request = Message.read(connection.in)) != null; ) {
                    if (request.first.startsWith("GET /stats")) {
                        connection.out.write(response(200, "", "TEXT inflight=0, queue=0, util=0.1"));
                    } else if (request.first.startsWith("GET /health/live")) {
                        connection.out.write(response(200, "", ""));
                    } else {
                        handler.handle(this, request, connection);
                    }
                }
            }
        }

        String instance() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + HOST + ":" + listener.getLocalPort()
                    + (grpcPort == 0 ? "\"" : "\",\"grpcPort\":" + grpcPort) + ",\"zone\":\"" + zone
                    + "\",\"machineType\":\"std-a\",\"cell\":0,\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}";
        }
    }

    // ---- discovery -----------------------------------------------------------------------------------

    /** Has one list, which does not change. */
    static final class Discovery {
        private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName(HOST));
        final String list;

        Discovery(List<Upstream> upstreams) throws IOException {
            List<String> instances = new ArrayList<>();
            upstreams.forEach(u -> instances.add(u.instance()));
            list = "{\"generation\":41,\"reset\":true,\"instances\":[" + String.join(",", instances) + "]}";
            Rig.start("discovery", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Rig.start("discovery-c", () -> serve(socket));
                }
            });
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request; (request = Message.read(in)) != null; ) {
                    String target = request.first.split(" ")[1];
                    String body = list;
                    if (target.contains("index=41")) {
                        sleep(Math.min(60_000, Long.parseLong(target.replaceAll(".*wait=([0-9]+).*", "$1"))));
                        body = "{\"generation\":41,\"reset\":false,\"instances\":[]}";
                    }
                    socket.getOutputStream()
                            .write(response(200, "Content-Type: application/json\r\n", body));
                }
            }
        }
    }

    // ---- the configuration ---------------------------------------------------------------------------

    /** One request class of the settings. */
    record Profile(String name, String semantics, String group, long windowMillis, long aimMillis, long giveUpMillis) {
        String json() {
            return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"group\":\"" + group
                    + "\",\"window_us\":" + windowMillis * 1000 + ",\"objective_us\":" + aimMillis * 1000
                    + ",\"give_up_us\":" + giveUpMillis * 1000
                    + ",\"importance\":3.0,\"late_worth\":0.0,\"stream\":false}";
        }
    }

    static final List<String> ZONES = List.of("wien-nord", "wien-sued", "wien-west");

    /** A configuration in the form of the deployment page; {@code extra} is more of its top level. */
    static String config(
            String name, int listenPort, Discovery discovery, List<Profile> profiles, int maxAttempts, String extra) {
        List<String> classes = new ArrayList<>();
        profiles.forEach(p -> classes.add(p.json()));
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("me", "0");
        settings.put("balancers", "1");
        settings.put("family", "\"mesh\"");
        settings.put("zone", "\"wien-west\"");
        settings.put("azs", "[\"" + String.join("\",\"", ZONES) + "\"]");
        settings.put("kinds", "[\"std-a\",\"std-b\"]");
        settings.put("discovery", "\"on_request\"");
        settings.put("weights", "\"off\"");
        settings.put("counted_by", "\"request\"");
        settings.put("over_share_worth", "0.1");
        settings.put("period_us", "1000");
        settings.put("accounts", "[{\"name\":\"zahnplan-stamm\",\"share\":1.0,\"quota_rps\":2000.0}]");
        settings.put("clients", "{\"marks_retry\":true}");
        settings.put("profiles", "[" + String.join(",", classes) + "]");
        settings.put(
                "rules",
                "{\"answer_slack_us\":5000,\"ask_every_us\":10000000,\"cold_share\":0.13,\"drain_grace_us\":500000,"
                        + "\"fall_multiple\":3.0,\"fall_us\":1000000,\"ramp_time_us\":24000000}");
        settings.put(
                "limits",
                "{\"cancelling\":true,\"conn_idle_us\":15000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":50000,"
                        + "\"dial_timeout_us\":250000,\"max_attempts\":" + maxAttempts
                        + ",\"max_open\":20000,\"max_retry_after_us\":1200000,\"max_streams\":1,\"peers\":false,"
                        + "\"probing\":true,\"retry_after\":false,\"second_copies\":true}");
        settings.put("load_info", "{\"how\":\"inline\",\"fields\":[\"busy_reqs\",\"pending\",\"cpu_share\"]}");
        settings.put(
                "tariffs",
                "{\"cross_zone\":0.005,\"peer\":0.01,\"probe\":0.002,\"connection\":0.0,\"handshake\":0.0}");
        List<String> pairs = new ArrayList<>();
        settings.forEach((key, value) -> pairs.add("\"" + key + "\":" + value));
        return "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + listenPort + "\",\"discovery\":\""
                + discovery.address() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}," + extra + "\"known\":"
                + discovery.list + ",\"settings\":{" + String.join(",", pairs) + "}}";
    }
}
