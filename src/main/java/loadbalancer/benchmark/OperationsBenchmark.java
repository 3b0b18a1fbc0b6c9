package loadbalancer.benchmark;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.json.JsonObject;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.Referee;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.Testbed.Listed;
import loadbalancer.testbed.UpstreamShape;

/**
 * A day of operators under steady load: bans, a drain, reloads of which half are broken, large answers and upgrades of one real sidecar.
 * Ends with a line {@code holds} or {@code falls short: ...} and the exit code 0 or 1. Run by {@code bench/operations.sh}.
 */
public final class OperationsBenchmark {
    private static final int NODES = 8, BANS = 5, RELOADS = 20, LARGE = 8, LARGE_MB = 32;
    private static final double RATE = 150;
    /** What of the page is 1 s for a caller, 2 requests at the door for each upgrade, and 144 MB for two processes. */
    private static final long MOST_CALL_MS = 1_000, MOST_MB = 144;

    private static final int MOST_AT_DOOR = 2;
    private static final long GRACE_MS = 500;

    private final Testbed world;
    private final List<String> shortfalls = new ArrayList<>();
    private final List<SidecarProcess> ended = new ArrayList<>();
    private SidecarProcess sidecar;
    private long worstCallMs;
    private long peakMb;
    private int toBanned;

    private OperationsBenchmark(Testbed world) {
        this.world = world;
    }

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/operations.sh [--quick]");
            System.exit(2);
        }
        boolean holds;
        try (Testbed world = new Testbed(new UpstreamShape(2, 5, 32, 0.3, 2_000)).nodes(NODES)) {
            holds = new OperationsBenchmark(world).run(quick ? 1 : 3);
        }
        // Not within: the world's processes have to end first.
        System.exit(holds ? 0 : 1);
    }

    private boolean run(int upgrades) throws Exception {
        sidecar = world.operated(
                Testbed.list(1, world.nodes().stream().map(Listed::of).toList()));
        sidecar.awaitLog(" ready after ");
        LoadClients clients = world.clients(sidecar.name());
        clients.start(sidecar.address(), RATE);
        world.play(1_000);

        for (int i = 0; i < BANS; i++) {
            ban(world.nodes().get(i % NODES));
        }
        figures(clients);
        reloads();
        drain();
        large();
        for (int i = 0; i < upgrades; i++) {
            upgrade();
        }
        world.play(500);
        Testbed.Verdict verdict = world.verdict();
        LoadClients.Tally all = world.tally(0, 1_000);
        memory();

        List<Long> took = clients.latenciesUs().stream().sorted().toList();
        long p99 = took.isEmpty() ? 0 : took.get((int) (took.size() * 0.99)) / 1_000;
        System.out.printf(
                Locale.ROOT,
                "%d requests, %d in time, %d refused, %d failed, %d at a closed door; p99 %d ms; worst call %d ms; "
                        + "both processes at most %d MB%n",
                all.sent(),
                all.inTime(),
                all.refused(),
                all.failed(),
                all.unreachable(),
                p99,
                worstCallMs,
                peakMb);
        for (Referee.Foul f : verdict.first()) {
            System.out.println("foul: " + f);
        }
        check(verdict.fouls() == 0, verdict.fouls() + " rules broken");
        check(toBanned == 0, toBanned + " sent to upstreams that were out");
        check(all.failed() == 0, all.failed() + " failed");
        check(all.unreachable() <= MOST_AT_DOOR * upgrades, all.unreachable() + " at a closed door");
        check(all.inTimeShare() >= 0.98, "only " + Math.round(1000 * all.inTimeShare()) / 10.0 + " % in time");
        check(worstCallMs < MOST_CALL_MS, "a call took " + worstCallMs + " ms");
        check(peakMb <= MOST_MB, peakMb + " MB");
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        return shortfalls.isEmpty();
    }

    private void check(boolean holds, String otherwise) {
        if (!holds) {
            shortfalls.add(otherwise);
        }
    }

    /** Nothing comes to it from the grace after the yes to the call back. */
    private void ban(StandInUpstream node) throws Exception {
        check(
                call("POST", "/control/upstreams/" + node.id() + "/offline").startsWith("HTTP/1.1 200"),
                "no yes to a ban");
        world.play(GRACE_MS);
        int before = node.served();
        world.play(300);
        toBanned += node.served() - before;
        node.restart();
        check(
                call("POST", "/control/upstreams/" + node.id() + "/online").startsWith("HTTP/1.1 200"),
                "no yes to a call back");
    }

    /** All that was asked so far has ended, or is held: the sums agree. */
    private void figures(LoadClients clients) throws Exception {
        JsonObject told = counters();
        long ended = 0;
        for (String c : told.object("transactions").fieldNames()) {
            JsonObject of = told.object("transactions").object(c);
            ended += of.integer("answered") + of.integer("deferred") + of.integer("errored");
        }
        long sent = world.tally(0, 1_000).sent();
        long error = Math.abs(sent - ended - told.integer("current"));
        System.out.println(
                "figures: " + ended + " ended and " + told.integer("current") + " held of " + sent + " sent");
        check(error <= Math.max(3, sent / 100 + RATE / 20), "figures are " + error + " off");
        check(told.integer("cluster_size") == NODES, "a list of " + told.integer("cluster_size"));
    }

    private void reloads() throws Exception {
        Path file = world.config(sidecar.name());
        String good = Files.readString(file);
        for (int i = 0; i < RELOADS; i++) {
            long loaded = counters().integer("conf_loaded");
            long invalid = counters().integer("conf_invalid");
            boolean broken = i % 2 == 0;
            Files.writeString(
                    file,
                    broken
                            ? broken(good, i)
                            : good.replace("\"max_attempts\":4", "\"max_attempts\":" + (i % 4 == 1 ? 3 : 4)));
            sidecar.hangUp();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            JsonObject told = counters();
            while (told.integer("conf_loaded") + told.integer("conf_invalid") == loaded + invalid
                    && System.nanoTime() < until) {
                world.play(10);
                told = counters();
            }
            check(
                    told.integer(broken ? "conf_invalid" : "conf_loaded") == (broken ? invalid : loaded) + 1,
                    "a " + (broken ? "broken" : "good") + " file was not counted as one");
        }
        Files.writeString(file, good);
    }

    private static String broken(String good, int i) {
        return switch (i / 2 % 4) {
            case 0 -> "";
            case 1 -> good.substring(0, good.length() / 2);
            case 2 -> good.replaceFirst("\"give_up_us\":[0-9]+", "\"give_up_us\":0");
            default -> good.replace("\"cold_share\"", "\"cold_shore\"");
        };
    }

    /** Its clients leave and come back by themselves. */
    private void drain() throws Exception {
        call("POST", "/control/out-of-service");
        check(call("GET", "/control/ready").startsWith("HTTP/1.1 503"), "ready while out of service");
        world.play(1_000);
        call("POST", "/control/in-service");
        check(call("GET", "/control/ready").startsWith("HTTP/1.1 200"), "not ready when back in service");
    }

    private void large() throws Exception {
        List<CompletableFuture<Long>> answers = new ArrayList<>();
        for (int i = 0; i < LARGE; i++) {
            int number = i;
            answers.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return bytes(number);
                } catch (Exception exception) {
                    throw new IllegalStateException(exception);
                }
            }));
        }
        for (CompletableFuture<Long> a : answers) {
            long got;
            try {
                got = a.get(20, TimeUnit.SECONDS);
            } catch (java.util.concurrent.ExecutionException e) {
                got = -1;
            }
            check(got == LARGE_MB * 1024L * 1024, "a large answer of " + got + " bytes");
        }
        memory();
    }

    private long bytes(int number) throws Exception {
        InetSocketAddress at = sidecar.address();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(15_000);
            s.getOutputStream()
                    .write(("GET /api?mb=" + LARGE_MB + " HTTP/1.1\r\nHost: a\r\nX-Txn: " + sidecar.name() + "-large"
                                    + number
                                    + "\r\nX-Lane: slot-lookup\r\nX-Remaining-Ms: 600\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = s.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = in.read();
                if (c < 0) {
                    return -1;
                }
                head.append((char) c);
            }
            long total = 0;
            byte[] b = new byte[65_536];
            for (int n; (n = in.read(b)) > 0; ) {
                total += n;
            }
            return head.toString().startsWith("HTTP/1.1 200") ? total : -1;
        }
    }

    private void upgrade() throws Exception {
        SidecarProcess old = sidecar;
        sidecar = world.beside(old);
        sidecar.awaitLog(" ready after ");
        check(call("GET", "/control/ready").startsWith("HTTP/1.1 200"), "not ready though it says so");
        memory();
        int code = old.terminate();
        check(code == 0, "the old process ended with " + code);
        ended.add(old);
        world.play(1_500);
    }

    /** What all living processes of the sidecar hold now. */
    private void memory() throws IOException {
        long kb = 0;
        for (long pid : pids()) {
            Path status = Path.of("/proc/" + pid + "/status");
            if (Files.exists(status)) {
                for (String line : Files.readAllLines(status)) {
                    kb += line.startsWith("VmRSS:") ? Long.parseLong(line.replaceAll("[^0-9]", "")) : 0;
                }
            }
        }
        peakMb = Math.max(peakMb, kb / 1024);
    }

    private List<Long> pids() {
        return world.processes().stream()
                .filter(p -> p.process().isAlive())
                .map(p -> p.process().pid())
                .toList();
    }

    private JsonObject counters() throws Exception {
        String answer = call("GET", "/control/counters");
        return JsonObject.parse(answer.substring(answer.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.UTF_8));
    }

    private String call(String method, String path) throws Exception {
        long begun = System.nanoTime();
        InetSocketAddress at = sidecar.adminAddress();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(5_000);
            s.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String answer = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            worstCallMs = Math.max(worstCallMs, (System.nanoTime() - begun) / 1_000_000);
            return answer;
        }
    }
}
