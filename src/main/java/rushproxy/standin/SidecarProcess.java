package rushproxy.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A real sidecar as a process of its own, started as {@code run} starts it, from the same jar or classes as this stage. */
public final class SidecarProcess implements AutoCloseable {
    private static final Pattern SERVES = Pattern.compile(".* serves on [^/]*/([0-9.]+):([0-9]+),.*");
    private static final Pattern ADMIN = Pattern.compile(".*operators call at [^/]*/([0-9.]+):([0-9]+)(?:[^0-9].*)?");
    private static final Pattern GRPC = Pattern.compile(".* takes gRPC on [^/]*/([0-9.]+):([0-9]+)");
    /** Like those of the line {@code run}; a class archive beside the jar is used where there is one. */
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-XX:C1MaxInlineSize=12",
            "-XX:Tier0InvokeNotifyFreqLog=5",
            "-XX:Tier3InvocationThreshold=64",
            "-XX:Tier3MinInvocationThreshold=32",
            "-XX:Tier3CompileThreshold=640",
            "-Xshare:auto",
            "-Xlog:disable",
            "-Xlog:all=off",
            "-Xms24m",
            "-Xmx72m",
            "-Xss512k",
            "-Dio.netty.allocator.type=pooled",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.maxOrder=3",
            "-Dio.netty.leakDetection.level=disabled",
            "-Dio.netty.jfr.enabled=false");

    private record Awaited(Predicate<String> line, CompletableFuture<String> came) {}

    private final String name;
    private final Process process;
    private final long startedUs = System.currentTimeMillis() * 1000;
    private final List<String> log = new ArrayList<>();
    private final List<Awaited> awaited = new CopyOnWriteArrayList<>();
    private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();

    /**
     * @param config   the file that BALANCER_CONFIG names
     * @param operator the operator's file, or null
     * @param wrapper  put before the command; empty for none
     */
    public SidecarProcess(String name, Path config, Path operator, List<String> wrapper) throws IOException {
        this(name, config, operator, wrapper, Map.of());
    }

    /** {@code environment}: more variables that it is started with. */
    SidecarProcess(String name, Path config, Path operator, List<String> wrapper, Map<String, String> environment)
            throws IOException {
        this.name = name;
        List<String> command = new ArrayList<>(wrapper);
        command.addAll(java());
        command.addAll(List.of("rushproxy.cli.Main", "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_") || k.equals("JAVA_TOOL_OPTIONS"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        process = builder.start();
        Thread reader = new Thread(this::read, "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** The command of a program of this jar as {@code run} starts it; a class's name and its arguments follow. */
    public static List<String> java() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        String classes = System.getProperty("java.class.path");
        Path archive = Path.of(classes.split(java.io.File.pathSeparator)[0]).resolveSibling("sidecar.jsa");
        if (Files.isRegularFile(archive)) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        command.addAll(List.of("-cp", classes));
        return command;
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line; (line = in.readLine()) != null; ) {
                Matcher m = SERVES.matcher(line);
                if (m.matches()) {
                    listening.complete(
                            new InetSocketAddress(InetAddress.getByName(m.group(1)), Integer.parseInt(m.group(2))));
                }
                synchronized (log) {
                    log.add(line);
                    for (Awaited a : awaited) {
                        if (a.line.test(line)) {
                            a.came.complete(line);
                        }
                    }
                }
            }
        } catch (IOException e) {
            // it ended
        }
        listening.completeExceptionally(new IOException(name + " ended: " + log()));
        awaited.forEach(a -> a.came.completeExceptionally(new IOException(name + " ended: " + log())));
    }

    public String name() {
        return name;
    }

    public Process process() {
        return process;
    }

    /** Where its clients connect; waits until it listens. */
    public InetSocketAddress address() throws Exception {
        return listening.get(60, TimeUnit.SECONDS);
    }

    /** Where operators call it. */
    public InetSocketAddress adminAddress() throws Exception {
        Matcher m = ADMIN.matcher(awaitLog("operators call at "));
        if (!m.matches()) {
            throw new IOException("no address in its log: " + log());
        }
        return new InetSocketAddress(InetAddress.getByName(m.group(1)), Integer.parseInt(m.group(2)));
    }

    /** Tells it that its configuration has changed. */
    public void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** It stands still, at whatever instruction, until it is told to go on. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    public void goOn() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /** Where its gRPC clients connect. */
    public InetSocketAddress grpcAddress() throws Exception {
        Matcher m = GRPC.matcher(awaitLog("takes gRPC on "));
        if (!m.matches()) {
            throw new IOException("no address in its log: " + log());
        }
        return new InetSocketAddress(InetAddress.getByName(m.group(1)), Integer.parseInt(m.group(2)));
    }

    /** Waits for a line of its log, past or to come. */
    public String awaitLog(String part) throws Exception {
        return awaitLog(l -> l.contains(part), "'" + part + "'");
    }

    /** Waits for the first such line of its log, past or to come. */
    public String awaitLog(Predicate<String> line) throws Exception {
        return awaitLog(line, "what was waited for");
    }

    private String awaitLog(Predicate<String> wanted, String what) throws Exception {
        Awaited a = new Awaited(wanted, new CompletableFuture<>());
        synchronized (log) {
            for (String line : log) {
                if (a.line.test(line)) {
                    return line;
                }
            }
            awaited.add(a);
        }
        try {
            return a.came.get(60, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new IOException(name + " never said " + what + ": " + log());
        } finally {
            awaited.remove(a);
        }
    }

    public List<String> log() {
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    /** When it was started, in Unix time, microseconds. */
    public long startedUs() {
        return startedUs;
    }

    /** SIGTERM, then its exit code. */
    public int terminate() throws InterruptedException {
        // Not the process itself, which would close its log with it: what it says of its end is wanted.
        process.toHandle().destroy();
        return process.waitFor(30, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().join();
    }
}
