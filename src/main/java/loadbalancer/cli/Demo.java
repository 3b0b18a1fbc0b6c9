package loadbalancer.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.UpstreamShape;

/** A newcomer's first command: a small world with a real sidecar in it, troubles, and a referee's verdict. */
final class Demo {
    private Demo() {}

    /** {@code traces} is a folder for the sidecar's traces, or null. */
    static int play(int seconds, int rate, boolean grpc, String traces) throws Exception {
        try (Testbed world = grpc ? new Testbed(UpstreamShape.SMALL).grpc() : new Testbed(UpstreamShape.SMALL)) {
            List<Testbed.Listed> known = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                known.add(Testbed.Listed.of(world.node()));
            }
            System.out.println("3 stand-in nodes of " + (int) (1000 / UpstreamShape.SMALL.workMs())
                    + " requests a second each, a registry, one sidecar; " + rate + " requests a second for " + seconds
                    + " s");
            SidecarProcess sidecar = world.sidecar(
                    1,
                    Testbed.list(1, known),
                    "[membership]\nknown_age = \"0s\"\n"
                            + (grpc ? Testbed.grpcTable() : "")
                            + (traces == null
                                    ? ""
                                    : "[traces]\nordinary_per_second = 5\n[traces.file]\nfolder = '" + traces + "'\n"));
            world.ready(sidecar.address()).get(30, TimeUnit.SECONDS);
            System.out.println("the sidecar is ready on " + sidecar.address());
            LoadClients clients = world.clients(sidecar.name());
            // Half of it as gRPC, where that was asked for: the same requests, nodes and rules.
            clients.start(sidecar.address(), grpc ? rate / 2.0 : rate);
            LoadClients other = grpc ? world.grpcClients(sidecar.name()) : null;
            if (grpc) {
                other.start(sidecar.grpcAddress(), rate / 2.0);
                System.out.println("half of the requests are gRPC, on " + sidecar.grpcAddress());
            }
            StandInUpstream unlucky = world.nodes().get(1);
            for (int s = 0; s < seconds; s++) {
                String event = "";
                // The node dies at a quarter of the time and is back, cold, at the half; meanwhile the registry is
                // down.
                if (s == seconds / 4) {
                    unlucky.kill();
                    event = unlucky.id() + " dies";
                } else if (s == seconds / 4 + 1) {
                    world.registry().down(true);
                    event = "the registry is down";
                } else if (s == seconds / 2) {
                    unlucky.restart();
                    event = unlucky.id() + " is back, cold";
                } else if (s == seconds * 3 / 4) {
                    world.registry().down(false);
                    world.registry().list(unlucky, "Ready");
                    event = "the registry is back and tells of " + unlucky.id();
                }
                int[] before =
                        world.nodes().stream().mapToInt(StandInUpstream::served).toArray();
                world.play(1_000);
                line(world, world.tally(s, s + 1), s, seconds, before, event);
            }
            Testbed.Verdict verdict = world.verdict();
            LoadClients.Tally all = world.tally(0, seconds + 1);
            System.out.printf(
                    Locale.ROOT,
                    "in all: %d sent, %.1f %% served in time, %d late, %d refused, %d failed%n",
                    all.sent(),
                    100 * all.inTimeShare(),
                    all.late(),
                    all.refused(),
                    all.failed() + all.unreachable());
            verdict.first().forEach(f -> System.out.println("referee: " + f));
            System.out.println(
                    verdict.fouls() == 0
                            ? "referee: all four rules kept over " + verdict.tries() + " tries"
                            : "referee: rules broken " + verdict.fouls() + " times");
            return verdict.fouls() == 0 ? 0 : 1;
        }
    }

    private static void line(Testbed world, LoadClients.Tally t, int s, int seconds, int[] before, String event) {
        StringBuilder who = new StringBuilder();
        for (int i = 0; i < before.length; i++) {
            StandInUpstream n = world.nodes().get(i);
            who.append(' ').append(n.id()).append(' ').append(n.served() - before[i]);
        }
        System.out.printf(
                Locale.ROOT,
                "%3d/%d s  sent %3d  in time %3d  late %2d  refused %2d  failed %2d  nodes:%s  %s%n",
                s + 1,
                seconds,
                t.sent(),
                t.inTime(),
                t.late(),
                t.refused(),
                t.failed() + t.unreachable(),
                who,
                event);
    }
}
