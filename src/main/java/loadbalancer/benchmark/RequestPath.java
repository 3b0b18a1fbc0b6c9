package loadbalancer.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.Testbed;

/** One way from clients to nodes, played in short rounds that take turns with other ways': a machine's moods meet all. */
final class RequestPath {
    private record Cost(double cpuUs, double p50Us, double p99Us) {}

    final String name;
    private final Testbed world;
    private final InetSocketAddress to;
    private final boolean grpc;
    /** Whose CPU counts; null for nobody's. */
    private final ProcessHandle process;

    private final List<Cost> rounds = new ArrayList<>();

    RequestPath(String name, Testbed world, InetSocketAddress to, boolean grpc, ProcessHandle process) {
        this.name = name;
        this.world = world;
        this.to = to;
        this.grpc = grpc;
        this.process = process;
    }

    /** Warms all of them for so long, one after the other, and plays their rounds in turn. */
    static void play(List<RequestPath> ways, int rate, long warmMs, int rounds, long roundMs) {
        ways.forEach(w -> w.run(rate, warmMs));
        ways.forEach(w -> w.rounds.clear());
        for (int r = 0; r < rounds; r++) {
            ways.forEach(w -> w.run(rate, roundMs));
        }
    }

    private void run(int rate, long ms) {
        LoadClients clients = grpc ? world.grpcClients("direct") : world.clients("direct");
        long before = cpuUs();
        clients.start(to, rate);
        world.play(ms);
        clients.stop();
        world.play(150);
        long[] sorted =
                clients.latenciesUs().stream().mapToLong(l -> l).sorted().toArray();
        if (sorted.length == 0) {
            throw new IllegalStateException(name + ": nothing was served");
        }
        rounds.add(new Cost(
                (cpuUs() - before) / (double) sorted.length,
                sorted[sorted.length / 2],
                sorted[(int) (sorted.length * 0.99)]));
    }

    private long cpuUs() {
        if (process == null) {
            return 0;
        }
        // The process's own figure goes by steps of 10 ms, a tenth of what a short round takes.
        long nanos = 0;
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path task : tasks.toList()) {
                nanos += Long.parseLong(
                        Files.readString(task.resolve("schedstat")).split(" ")[0]);
            }
            return nanos / 1_000;
        } catch (IOException | NumberFormatException exception) {
            return process.info().totalCpuDuration().orElseThrow().toNanos() / 1_000;
        }
    }

    private double median(ToDoubleFunction<Cost> of) {
        return rounds.stream().mapToDouble(of).sorted().toArray()[rounds.size() / 2];
    }

    double p50Us() {
        return median(Cost::p50Us);
    }

    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "%-22s %5.0f us of CPU a request, p50 %5.0f us, p99 %5.0f us",
                name,
                costUs(),
                p50Us(),
                median(Cost::p99Us));
    }

    /** CPU of one request, of the middle round. */
    double costUs() {
        return median(Cost::cpuUs);
    }
}
