import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A call that streams messages to an upstream is turned away, unseen, because the upstream is full for some tenths of a
 * second. The sidecar may send it again. The rule is broken if an upstream then gets a part of the messages as if they
 * were all, and the client is told that the call succeeded.
 */
final class RefusedUpload {
    private static final int UPSTREAMS = 3;
    private static final int ROUNDS = 20;
    private static final int MESSAGES = 40;
    private static final int MESSAGE_BYTES = 4000;
    private static final double MESSAGE_EVERY_MILLIS = 5;
    private static final String PATH = "/zahnplan.Slots/Import";

    private final Rig rig;
    /** Time until which all upstreams are full. */
    private volatile double fullUntil;

    private final Map<String, Integer> received = new ConcurrentHashMap<>();
    private final AtomicInteger turnedAway = new AtomicInteger();

    private RefusedUpload(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]));
        try {
            new RefusedUpload(rig).run();
        } catch (Exception exception) {
            rig.finish(2, "the case could not run: " + exception);
        }
    }

    private final class Import extends Grpc.Call {
        private final String upstream;
        private String id;

        Import(String upstream) {
            this.upstream = upstream;
        }

        @Override
        void begin() {
            id = head.get("x-txn").toString();
            if (rig.seconds() < fullUntil) {
                rig.note(upstream + " turns " + id + " away: queue full");
                turnedAway.incrementAndGet();
                status(14, true);
            } else {
                rig.note(upstream + " begins " + id);
            }
        }

        @Override
        void whole() {
            String result = request.atEndOfMessage()
                    ? request.complete.size() + " messages, the first "
                            + (request.complete.isEmpty() ? "none" : request.complete.get(0).substring(0, 10))
                    : "bytes that are no messages";
            received.put(id, request.atEndOfMessage() ? request.complete.size() : -1);
            rig.note(upstream + " got the whole of " + id + ": " + result);
            stream.eventLoop()
                    .schedule(
                            () -> reply(upstream + " got " + result + " of " + id),
                            10,
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
            upstream.grpcPort = Grpc.serve(() -> new Import(name));
            upstreams.add(upstream);
        }
        Rig.Discovery discovery = new Rig.Discovery(upstreams);
        int port = Rig.freePort();
        int grpcPort = Rig.freePort();
        Path config = rig.temporary.resolve("config.json");
        List<Rig.Profile> profiles = List.of(new Rig.Profile("slot-import", "unsafe", "all", 4000, 1000, 3000));
        Files.writeString(config, Rig.config("n1", port, discovery, profiles, 4, ""));
        Path operator = rig.temporary.resolve("operator.toml");
        Files.writeString(
                operator,
                "[grpc]\nlisten = \"" + Rig.HOST + ":" + grpcPort + "\"\n[[grpc.method]]\nname = \"zahnplan.Slots/Import\"\n"
                        + "class = \"slot-import\"\nstreams = true\n[grpc.other]\nclass = \"slot-import\"\n");
        Process sidecar = rig.sidecar(
                "n1", config, port, discovery, rig.temporary.resolve("tmp"), " --operator " + operator, "n1");
        if (!rig.awaitReady(port, 30)) {
            rig.finish(2, "the sidecar was not ready within 30 s");
        }
        Grpc.Client client = new Grpc.Client(grpcPort);
        int broken = 0;
        int served = 0;
        int failed = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String id = String.format("%016x", 0x5c0f6e1a00000000L + round);
            // Of several rounds, only some begin while the upstreams are full.
            if (rig.trouble && round % 2 == 1) {
                fullUntil = rig.seconds() + 0.3;
            }
            String result = call(client, id);
            rig.note("client got " + result + " to " + id);
            if (result.startsWith("status 0") && received.getOrDefault(id, 0) != MESSAGES) {
                broken++;
                rig.note("BROKEN: the client sent " + MESSAGES + " messages in " + id + " and was told: " + result);
            } else if (result.startsWith("status 0")) {
                served++;
            } else {
                failed++;
            }
            Rig.sleep(1000);
        }
        String counts = served + " calls served with all messages, " + broken + " served with a part of them, " + failed
                + " refused or failed; turned away " + turnedAway + " times";
        boolean ran = sidecar.isAlive() && served > 0 && (turnedAway.get() > 0 || !rig.trouble);
        rig.finish(broken > 0 ? 1 : ran ? 0 : 2, counts);
    }

    private String call(Grpc.Client client, String id) throws Exception {
        rig.note("client begins " + id + ", " + MESSAGES + " messages");
        Grpc.ClientCall call = client.call(PATH, id, null);
        for (int i = 1; i <= MESSAGES && !call.isOver(); i++) {
            call.send(String.format("message %02d", i) + ".".repeat(MESSAGE_BYTES - 10), i == MESSAGES);
            Rig.sleep(MESSAGE_EVERY_MILLIS);
        }
        return call.await(5);
    }
}
