package loadbalancer.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.GrpcBurst;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.Testbed.Listed;
import loadbalancer.testbed.UpstreamShape;

/**
 * Measures gRPC beside HTTP/1.1 through one sidecar: whether equal faults end equally, what becomes of bursts and of long
 * streams, and what open streams hold. What it costs is {@link ForwardBenchmark}'s matter. Ends with {@code holds} or {@code falls short: ...}. Run by
 * {@code bench/grpc.sh}.
 */
public final class GrpcBenchmark {
    private static final double MOST_STREAMS_MB = 20;
    private static final int BURST = 300;
    private static final long LASTING_MS = 5_000;
    private static final UpstreamShape QUICK_NODE = new UpstreamShape(4, 1, 64, 0.13, 3_000);

    private final int seconds;
    private final List<String> shortfalls = new ArrayList<>();

    private GrpcBenchmark(int seconds) {
        this.seconds = seconds;
    }

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/grpc.sh [--quick]");
            System.exit(2);
        }
        GrpcBenchmark m = new GrpcBenchmark(quick ? 6 : 30);
        m.faults();
        m.bursts();
        m.streams();
        System.out.println(m.shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", m.shortfalls));
        System.exit(m.shortfalls.isEmpty() ? 0 : 1);
    }

    private static SidecarProcess sidecar(Testbed world, String core) throws Exception {
        SidecarProcess s = world.sidecar(
                1,
                Testbed.list(1, world.nodes().stream().map(Listed::of).toList()),
                Testbed.grpcTable(),
                "taskset",
                "-c",
                core);
        world.ready(s.address()).get(60, TimeUnit.SECONDS);
        return s;
    }

    /** The same faults at the same time for both: nodes that reset, stand still, die and come back cold. */
    private void faults() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).grpc().nodes(4)) {
            SidecarProcess sidecar = sidecar(world, "0");
            LoadClients http = world.clients(sidecar.name());
            LoadClients grpc = world.grpcClients(sidecar.name());
            http.start(sidecar.address(), 60);
            grpc.start(sidecar.grpcAddress(), 60);
            for (int round = 0; round < seconds / 3; round++) {
                StandInUpstream a = world.nodes().get(round % 4);
                StandInUpstream b = world.nodes().get((round + 1) % 4);
                a.reset(true);
                b.stall(300);
                world.play(700);
                a.reset(false);
                b.kill();
                world.play(1_000);
                b.restart();
                world.play(100);
                world.registry().list(b, "Ready");
                world.play(1_200);
            }
            Testbed.Verdict verdict = world.verdict();
            LoadClients.Tally h = http.tally(0, Integer.MAX_VALUE);
            LoadClients.Tally g = grpc.tally(0, Integer.MAX_VALUE);
            System.out.println("faults   HTTP/1.1 " + h);
            System.out.println("faults   gRPC     " + g);
            agree("served", h.inTime() + h.late(), h.sent(), g.inTime() + g.late(), g.sent());
            agree("refused", h.refused(), h.sent(), g.refused(), g.sent());
            agree("failed", h.failed() + h.unreachable(), h.sent(), g.failed() + g.unreachable(), g.sent());
            verdict.first().stream().limit(5).forEach(f -> System.out.println("    " + f));
            System.out.println(
                    "faults   rules broken: " + verdict.fouls() + " times over " + verdict.tries() + " tries");
            if (verdict.fouls() > 0) {
                shortfalls.add("rules broken " + verdict.fouls() + " times");
            }
        }
    }

    /** Within three standard deviations of the difference of two such shares, and a hundredth. */
    private void agree(String what, int a, int ofA, int b, int ofB) {
        double p = (double) a / ofA;
        double q = (double) b / ofB;
        double mean = (double) (a + b) / (ofA + ofB);
        double noise = 0.01 + 3 * Math.sqrt(mean * (1 - mean) * (1.0 / ofA + 1.0 / ofB));
        System.out.printf(Locale.ROOT, "faults   %-8s HTTP/1.1 %.4f  gRPC %.4f  noise %.4f%n", what, p, q, noise);
        if (Math.abs(p - q) > noise) {
            shortfalls.add(String.format(Locale.ROOT, "%s differs: HTTP/1.1 %.3f, gRPC %.3f", what, p, q));
        }
    }

    /** Calls at once to one idle node: the first on cold code, then thrice more. Its room and its class's aim decide. Beside them streams that last. */
    private void bursts() throws Exception {
        try (Testbed world = new Testbed(QUICK_NODE).grpc().nodes(1);
                Testbed other = new Testbed(QUICK_NODE).grpc().nodes(1)) {
            SidecarProcess sidecar = sidecar(world, "0");
            GrpcBurst lasting = other.burst("Echo", 9_000);
            int begun =
                    lasting.make(sidecar(other, "1").grpcAddress(), 20, 5_000).served();
            long begunNanos = System.nanoTime();
            for (String method : List.of("Echo", "Lookup", "Note", "Confirm")) {
                boolean streams = method.equals("Echo");
                for (int round = 0; round < (streams ? 4 : 2); round++) {
                    GrpcBurst burst = world.burst(method, streams ? 9_000 : 600);
                    GrpcBurst.Result r = burst.make(sidecar.grpcAddress(), BURST, 5_000);
                    int well = burst.finish(5_000);
                    System.out.printf(
                            Locale.ROOT,
                            "burst    %-8s %d of %d served, %d refused, %d failed, worst wait %.0f ms%n",
                            method,
                            r.served(),
                            BURST,
                            r.refused(),
                            r.failed(),
                            r.worstMs());
                    if (r.served() + r.refused() + r.failed() < BURST) {
                        shortfalls.add("calls of a burst of " + method + " without an answer");
                    }
                    // A node works on so many at once: unary calls that would come too late are refused, and none is
                    // lost.
                    if (streams ? r.served() < BURST || well < BURST : r.failed() > 0 || r.served() < BURST / 2) {
                        shortfalls.add("of a burst of " + BURST + " " + method + " " + r.served() + " were served, "
                                + well + " ended well");
                    }
                    world.play(300);
                }
            }
            // The class allows 600 ms, the client nine seconds, and the node ends a call at the time it is told.
            other.play(Math.max(0, LASTING_MS - (System.nanoTime() - begunNanos) / 1_000_000));
            int well = lasting.finish(3_000);
            System.out.printf(
                    Locale.ROOT,
                    "long     %d of 20 streams begun, %d of them ended well after %d s%n",
                    begun,
                    well,
                    LASTING_MS / 1_000);
            if (well < 20) {
                shortfalls.add(20 - well + " of 20 streams of " + LASTING_MS / 1_000 + " s did not end well");
            }
        }
    }

    /** A thousand streams, each with one message there and back, then idle. */
    private void streams() throws Exception {
        int wanted = 1_000;
        try (Testbed world = new Testbed(QUICK_NODE).grpc().nodes(6)) {
            SidecarProcess sidecar = sidecar(world, "0");
            LoadClients warm = world.grpcClients(sidecar.name());
            warm.start(sidecar.grpcAddress(), 200);
            world.play(1_000);
            warm.stop();
            world.play(300);
            double before = residentMb(sidecar);
            GrpcBurst.Result all = world.burst("Echo", 0).make(sidecar.grpcAddress(), wanted, 12_000);
            int open = all.served();
            double held = residentMb(sidecar) - before;
            System.out.printf(
                    Locale.ROOT,
                    "streams  %d of %d open, %.1f MB more resident (from %.1f)%n",
                    open,
                    wanted,
                    held,
                    before);
            if (open < wanted) {
                shortfalls.add("only " + open + " of " + wanted + " streams were opened");
            }
            if (held > MOST_STREAMS_MB) {
                shortfalls.add(String.format(Locale.ROOT, "%d streams hold %.1f MB", open, held));
            }
        }
    }

    private static double residentMb(SidecarProcess s) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + s.process().pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
            }
        }
        throw new IOException("no VmRSS");
    }
}
