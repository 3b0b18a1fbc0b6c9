package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.core.Addresses;

/** A real sidecar as a process of its own, started as {@code run} starts it, from the same jar or classes as this stage. */
public final class SidecarProcess extends LoggedProcess {
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
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=40m",
            "-Dio.netty.allocator.type=pooled",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.maxOrder=3",
            "-Dio.netty.leakDetection.level=disabled",
            "-Dio.netty.jfr.enabled=false");

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
        super(name, command(config, operator, wrapper, environment));
        readLog();
    }

    private static ProcessBuilder command(
            Path config, Path operator, List<String> wrapper, Map<String, String> environment) {
        List<String> command = new ArrayList<>(wrapper);
        command.addAll(java());
        command.addAll(List.of("loadbalancer.cli.Main", "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", operator.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_") || k.equals("JAVA_TOOL_OPTIONS"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().putAll(environment);
        return builder;
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

    @Override
    void said(String line) {
        Matcher m = SERVES.matcher(line);
        if (m.matches()) {
            InetSocketAddress at = Addresses.parse(m.group(1) + ":" + m.group(2));
            listening.complete(at);
        }
    }

    @Override
    void ended(IOException why) {
        listening.completeExceptionally(why);
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

    /** Where its gRPC clients connect. */
    public InetSocketAddress grpcAddress() throws Exception {
        Matcher m = GRPC.matcher(awaitLog("takes gRPC on "));
        if (!m.matches()) {
            throw new IOException("no address in its log: " + log());
        }
        return new InetSocketAddress(InetAddress.getByName(m.group(1)), Integer.parseInt(m.group(2)));
    }
}
