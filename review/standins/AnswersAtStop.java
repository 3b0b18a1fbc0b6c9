import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Planned restarts while a client has a few gRPC calls in progress on one connection. The rule is broken if the sidecar
 * ends before the client has the whole answers.
 */
final class AnswersAtStop {
    private static final int UPSTREAMS = 3;
    private static final int RESTARTS = 14;
    private static final long DEADLINE_MILLIS = 830;
    private static final int ANSWER_BYTES = 60_000;
    /** Calls at the same time, on one connection. */
    private static final int CALLS = 5;
    /** Time from the call to the upstream's answer. */
    private static final long SERVICE_MILLIS = 450;
    /** Time from SIGTERM to the client's new connection and its call. */
    private static final double CALL_AFTER_MILLIS = 200;

    private static final double KILL_AFTER_SECONDS = (DEADLINE_MILLIS + 700 + 50) / 1000.0;
    private static final String PATH = "/zahnplan.Slots/Export";

    private final Rig rig;
    /** Ids of the calls that an upstream has answered, which the sidecar had taken. */
    private final Set<String> answered = ConcurrentHashMap.newKeySet();

    private AnswersAtStop(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]));
        try {
            new AnswersAtStop(rig).run();
        } catch (Exception exception) {
            rig.finish(2, "the case could not run: " + exception);
        }
    }

    private final class Export extends Grpc.Call {
        private final String upstream;
        private String id;

        Export(String upstream) {
            this.upstream = upstream;
        }

        @Override
        void begin() {
            id = head.get("x-txn").toString();
            rig.note(upstream + " begins " + id);
        }

        @Override
        void whole() {
            stream.eventLoop()
                    .schedule(
                            () -> {
                                if (!over) {
                                    rig.note(upstream + " answers " + id);
                                    answered.add(id);
                                    reply(id + ".".repeat(ANSWER_BYTES - id.length()));
                                }
                            },
                            SERVICE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        void left() {
            rig.note(upstream + ": the sidecar gave up " + id);
        }
    }

    private void run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            String name = "u" + i;
            Rig.Upstream upstream = new Rig.Upstream(
                    name,
                    Rig.ZONES.get(i % Rig.ZONES.size()),
                    (u, request, connection) -> connection.out().write(Rig.response(200, "", "unused")));
            upstream.grpcPort = Grpc.serve(() -> new Export(name));
            upstreams.add(upstream);
        }
        Rig.Discovery discovery = new Rig.Discovery(upstreams);
        int port = Rig.freePort();
        int grpcPort = Rig.freePort();
        Path config = rig.temporary.resolve("config.json");
        List<Rig.Profile> profiles = List.of(new Rig.Profile("slot-export", "unsafe", "all", 4000, 800, DEADLINE_MILLIS));
        Files.writeString(config, Rig.config("n1", port, discovery, profiles, 4, ""));
        Path operator = rig.temporary.resolve("operator.toml");
        Files.writeString(
                operator,
                "[grpc]\nlisten = \"" + Rig.HOST + ":" + grpcPort + "\"\n[[grpc.method]]\nname = \"zahnplan.Slots/Export\"\n"
                        + "class = \"slot-export\"\n[grpc.other]\nclass = \"slot-export\"\n");
        int served = 0;
        int lost = 0;
        int others = 0;
        for (int round = 0; round < RESTARTS; round++) {
            Process sidecar = rig.sidecar(
                    "n1", config, port, discovery, rig.temporary.resolve("tmp" + round), " --operator " + operator, "n1");
            if (!rig.awaitReady(port, 30)) {
                rig.finish(2, "the sidecar was not ready within 30 s");
            }
            if (rig.trouble) {
                rig.signal(sidecar, "TERM");
            }
            double stopped = rig.seconds();
            Rig.sleep(CALL_AFTER_MILLIS);
            rig.note("client connects");
            List<Grpc.ClientCall> calls = new ArrayList<>();
            try {
                Grpc.Client client = new Grpc.Client(grpcPort);
                for (int i = 0; i < CALLS; i++) {
                    String id = String.format("%016x", 0x5d0f6e1a00000000L + round * CALLS + i);
                    rig.note("client begins " + id);
                    Grpc.ClientCall call = client.call(PATH, id, null);
                    call.send("export", true);
                    calls.add(call);
                }
            } catch (Exception exception) {
                // On a busy machine the stand-in may be too late: what it could not send was not taken.
                rig.note("client could not make all calls: " + exception);
                others += CALLS - calls.size();
            }
            for (int i = 0; i < calls.size(); i++) {
                String id = String.format("%016x", 0x5d0f6e1a00000000L + round * CALLS + i);
                String result = calls.get(i).await(3);
                double ended = rig.seconds() - stopped;
                result = result.length() > 40 ? result.substring(0, 40) + "..." : result;
                rig.note("client got " + result + " to " + id + String.format(", %.3f s after ", ended)
                        + (rig.trouble ? "SIGTERM" : "the start of the round") + "; "
                        + calls.get(i).receivedBytes() + " bytes of the answer");
                if (result.startsWith("status 0")) {
                    served++;
                } else if (!result.startsWith("status") && answered.contains(id) && ended < KILL_AFTER_SECONDS) {
                    lost++;
                    rig.note("BROKEN: " + id + " has no whole answer");
                } else {
                    others++;
                }
            }
            if (!rig.trouble) {
                rig.signal(sidecar, "TERM");
            }
            if (sidecar.waitFor(5, TimeUnit.SECONDS)) {
                rig.note("the sidecar has ended with code " + sidecar.exitValue());
            } else {
                rig.signal(sidecar, "KILL");
                sidecar.waitFor();
            }
        }
        String counts = served + " calls answered whole, " + lost + " ended without a whole answer, " + others + " failed or not taken";
        rig.finish(lost > 0 ? 1 : served > 0 ? 0 : 2, counts);
    }
}
