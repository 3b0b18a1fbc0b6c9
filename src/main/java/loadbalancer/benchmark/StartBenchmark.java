package loadbalancer.benchmark;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.disk.EndpointListStore;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.Testbed.Listed;
import loadbalancer.testbed.UnrelatedServer;
import loadbalancer.testbed.UpstreamShape;

/**
 * Measures starts without discovery: real sidecars, lists of several ages, each judged or trusted blindly. Ends with a line
 * {@code holds} or {@code falls short: ...} and the exit code 0 or 1. Run by {@code bench/start.sh}.
 */
public final class StartBenchmark {
    private static final int LISTED = 12;
    /** Older than the registry remembers, so that on its return it gives the whole list. */
    private static final int GENERATION = 30;

    private static final double RATE = 100;
    private static final long SECOND_US = 1_000_000;
    /** Cold for long enough that a start falls into it. */
    private static final UpstreamShape SHAPE = new UpstreamShape(1, 10, 12, 0.13, 12_000);

    private static final double MOST_FAILED = 0.01, MOST_COLD = 3, MOST_FIRST_S = 1.5;

    /** How old the list is, and which share of its names is dead by then. */
    private enum Age {
        NOW(0, 0),
        MINUTE(60, 0.08),
        HOUR(3_600, 0.25),
        DAY(86_400, 0.5),
        WEEK(604_800, 0.67);

        final long seconds;
        final double dead;

        Age(long seconds, double dead) {
            this.seconds = seconds;
            this.dead = dead;
        }
    }

    private enum Mode {
        DISK,
        KNOWN,
        BLIND
    }

    private record Case(Age age, int sidecars, Mode mode, int offS, List<Integer> cores) {}

    private record Result(
            Case of,
            LoadClients.Tally first,
            LoadClients.Tally five,
            LoadClients.Tally all,
            Testbed.Verdict verdict,
            double firstServedS,
            int callsOnReturn,
            int notReady) {
        double failed() {
            return all.sent() == 0 ? 1 : (double) (all.failed() + all.unreachable()) / all.sent();
        }

        double refused() {
            return all.sent() == 0 ? 1 : (double) all.refused() / all.sent();
        }
    }

    private StartBenchmark() {}

    public static void main(String[] args) throws Exception {
        boolean quick = args.length == 1 && args[0].equals("--quick");
        if (args.length > 0 && !quick) {
            System.err.println("usage: bench/start.sh [--quick]");
            System.exit(2);
        }
        System.exit(run(quick) ? 0 : 1);
    }

    private static boolean run(boolean quick) throws Exception {
        int offS = quick ? 5 : 20;
        List<List<Case>> rounds = new ArrayList<>();
        if (quick) {
            rounds.add(List.of(
                    of(Age.WEEK, 1, Mode.DISK, offS, 0),
                    of(Age.WEEK, 1, Mode.BLIND, offS, 1),
                    of(Age.NOW, 4, Mode.DISK, offS, 2)));
            rounds.add(List.of(
                    of(Age.DAY, 1, Mode.KNOWN, offS, 0),
                    of(Age.WEEK, 4, Mode.KNOWN, offS, 1),
                    of(Age.NOW, 1, Mode.DISK, offS, 5)));
        } else {
            for (Age age : Age.values()) {
                for (Mode mode : Mode.values()) {
                    rounds.add(List.of(of(age, 1, mode, offS, 0), of(age, 4, mode, offS, 1)));
                }
            }
        }
        System.out.println(
                "12 listed nodes of 100 requests a second, 100 requests a second in all, discovery off for " + offS
                        + " s; of the dead names a third are strangers; one living node restarts cold as the sidecars start");
        System.out.println(
                "age     of  mode   sent  failed%  refused%  in time% of 1 s, 5 s, all   cold x  first s  calls/s  fouls");
        List<String> shortfalls = new ArrayList<>();
        for (List<Case> round : rounds) {
            ExecutorService stages = Executors.newFixedThreadPool(round.size());
            try {
                List<Future<Result>> results = new ArrayList<>();
                for (Case c : round) {
                    results.add(stages.submit(() -> play(c)));
                }
                for (Future<Result> r : results) {
                    judge(r.get(), shortfalls);
                }
            } finally {
                stages.shutdownNow();
            }
        }
        System.out.println(shortfalls.isEmpty() ? "holds" : "falls short: " + String.join("; ", shortfalls));
        return shortfalls.isEmpty();
    }

    private static Case of(Age age, int sidecars, Mode mode, int offS, int firstCore) {
        List<Integer> cores = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            cores.add((firstCore + i) % Runtime.getRuntime().availableProcessors());
        }
        return new Case(age, sidecars, mode, offS, cores);
    }

    private static void judge(Result r, List<String> shortfalls) {
        Case c = r.of;
        System.out.printf(
                Locale.ROOT,
                "%-7s %2d  %-5s %5d  %7.2f  %8.2f  %8.1f %5.1f %5.1f %14.2f  %7.2f  %7d  %5d%n",
                c.age,
                c.sidecars,
                c.mode,
                r.all.sent(),
                100 * r.failed(),
                100 * r.refused(),
                100 * r.first.inTimeShare(),
                100 * r.five.inTimeShare(),
                100 * r.all.inTimeShare(),
                r.verdict.coldPeak(),
                r.firstServedS,
                r.callsOnReturn,
                r.verdict.fouls());
        r.verdict.first().stream().limit(3).forEach(f -> System.out.println("    " + f));
        if (c.mode == Mode.BLIND) {
            return;
        }
        String name = c.age + " " + c.mode + " x" + c.sidecars;
        if (r.notReady > 0) {
            shortfalls.add(name + ": " + r.notReady + " never ready");
        }
        if (r.failed() > MOST_FAILED) {
            shortfalls.add(String.format(Locale.ROOT, "%s: %.2f %% failed", name, 100 * r.failed()));
        }
        if (r.verdict.coldPeak() > MOST_COLD) {
            shortfalls.add(String.format(
                    Locale.ROOT, "%s: a cold node had %.2f times its capacity", name, r.verdict.coldPeak()));
        }
        if (r.verdict.fouls() > 0) {
            shortfalls.add(name + ": rules broken " + r.verdict.fouls() + " times");
        }
        if (c.sidecars == 1 && !(r.firstServedS <= MOST_FIRST_S)) {
            shortfalls.add(String.format(Locale.ROOT, "%s: first served after %.2f s", name, r.firstServedS));
        }
    }

    private static Result play(Case c) throws Exception {
        try (Testbed world = new Testbed(SHAPE).nodes(LISTED)) {
            List<Listed> list = new ArrayList<>();
            int dead = (int) Math.round(LISTED * c.age.dead);
            for (int i = 0; i < LISTED; i++) {
                StandInUpstream n = world.nodes().get(i);
                // The fleet is as large as ever: where a name is dead, another node has taken its place under a new
                // one.
                list.add(
                        i >= dead
                                ? Listed.of(n)
                                : new Listed(
                                        "gone-" + i,
                                        i % 3 == 0
                                                ? world.impostor(UnrelatedServer.Manner.values()[i / 3 % 3])
                                                        .address()
                                                : nobodysAddress(),
                                        n.zone(),
                                        0));
            }
            world.registry().down(true);
            StandInUpstream restarting = world.nodes().get(LISTED - 1);
            restarting.kill();
            restarting.restart();
            List<SidecarProcess> sidecars = start(c, world, list);
            List<LoadClients> clients = new ArrayList<>();
            int notReady = 0;
            for (SidecarProcess s : sidecars) {
                try {
                    world.ready(s.address()).get(8, TimeUnit.SECONDS);
                } catch (TimeoutException exception) {
                    notReady++;
                }
                LoadClients application = world.clients(s.name());
                application.start(s.address(), RATE / c.sidecars);
                clients.add(application);
            }
            world.play(c.offS * 1000L);
            long backS = world.clock().nowMicros() / SECOND_US;
            world.registry().down(false);
            world.play(3_000);
            Testbed.Verdict verdict = world.verdict();
            double first = 0;
            for (int i = 0; i < clients.size(); i++) {
                long served = clients.get(i).firstServedUs();
                first = Math.max(
                        first,
                        served == 0
                                ? Double.POSITIVE_INFINITY
                                : (served - sidecars.get(i).startedUs()) / 1e6);
            }
            return new Result(
                    c,
                    world.tally(0, 1),
                    world.tally(0, 5),
                    world.tally(0, Integer.MAX_VALUE),
                    verdict,
                    first,
                    world.registry().callsPeakSince(backS),
                    notReady);
        }
    }

    private static List<SidecarProcess> start(Case c, Testbed world, List<Listed> list) throws Exception {
        long asOfUs = world.clock().nowMicros() - c.age.seconds * SECOND_US;
        List<SidecarProcess> sidecars = new ArrayList<>();
        for (int i = 0; i < c.sidecars; i++) {
            Map<String, Object> known = Testbed.list(GENERATION, list);
            String operator = null;
            if (c.mode == Mode.KNOWN) {
                operator = "[membership]\nknown_age = \"" + Math.max(1, c.age.seconds) + "s\"\n";
            } else if (c.mode == Mode.DISK) {
                Path folder = world.folder().resolve("kept" + i);
                try (EndpointListStore store = new EndpointListStore(folder, "stage", 1 << 20)) {
                    store.write(new EndpointList(
                            ListSource.DISK,
                            GENERATION,
                            true,
                            asOfUs,
                            list.stream()
                                    .map(e -> new Endpoint(
                                            new Upstream(e.id(), e.zone(), "stand-in", 0, 0, 1, UpstreamState.READY),
                                            e.address()))
                                    .toList()));
                }
                known = Testbed.list(1, List.of());
                operator = "[membership]\n[membership.disk]\nfleet = \"stage\"\nfolder = \"" + folder + "\"\n";
            }
            sidecars.add(world.sidecar(c.sidecars, known, operator, "taskset", "-c", String.valueOf(c.cores.get(i))));
        }
        return sidecars;
    }

    private static String nobodysAddress() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }
}
