import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Planned restarts while some clients write slowly. The rule is broken if SIGKILL finds a request unanswered that the
 * sidecar took more than 0.7 s after SIGTERM.
 */
final class SlowHeadAtStop {
    private static final int UPSTREAMS = 10;
    private static final int RESTARTS = 12;
    private static final int SLOW_CLIENTS = 12;
    /** Mean work of a request: 73 to 120 ms. */
    private static final int LEAST_SERVICE_MILLIS = 73;

    private static final int MOST_SERVICE_MILLIS = 120;
    private static final long DEADLINE_MILLIS = 830;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; 50 ms more are left. */
    private static final double KILL_AFTER_SECONDS = (DEADLINE_MILLIS + 700 + 50) / 1000.0;
    /** A client may take 2 s for a head. */
    private static final double LONGEST_HEAD_SECONDS = 1.9;

    private final Rig rig;
    private final AtomicLong ids = new AtomicLong(0x77aa000000000000L);
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    /** Time of SIGTERM of the present round; 0 before it. */
    private volatile double stoppedAt;

    private volatile double killedAt;

    private SlowHeadAtStop(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        new SlowHeadAtStop(new Rig(Path.of(arguments[0]), Path.of(arguments[1]))).run();
    }

    private void run() throws Exception {
        SplittableRandom services = new SplittableRandom(7);
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new Rig.Upstream("u" + i, Rig.ZONES.get(i % Rig.ZONES.size()), (u, request, connection) -> {
                int millis;
                synchronized (services) {
                    millis = services.nextInt(LEAST_SERVICE_MILLIS, MOST_SERVICE_MILLIS);
                }
                String id = request.headers().get("x-txn");
                rig.note(u.id + " got " + id);
                Rig.sleep(millis);
                rig.note(u.id + " answered " + id);
                connection.out().write(Rig.response(200, "X-Pressure: TEXT inflight=1, queue=0, util=0.2\r\n", id));
            }));
        }
        Rig.Discovery discovery = new Rig.Discovery(upstreams);
        int port = Rig.freePort();
        Path config = rig.temporary.resolve("config.json");
        List<Rig.Profile> profiles = List.of(new Rig.Profile("slot-lookup", "safe", "all", 5000, 330, DEADLINE_MILLIS));
        Files.writeString(config, Rig.config("n1", port, discovery, profiles, 4, ""));
        int late = 0;
        for (int round = 0; round < RESTARTS; round++) {
            late += round(config, port, discovery, round);
        }
        String counts = answered + " requests answered, " + notTaken + " not taken, " + lost
                + " taken and not answered when SIGKILL came; SIGKILL was needed in " + late + " of " + RESTARTS + " restarts";
        rig.finish(lost.get() > 0 ? 1 : answered.get() > 0 ? 0 : 2, counts);
    }

    /** Returns 1 if the process had not ended by itself when SIGKILL came. */
    private int round(Path config, int port, Rig.Discovery discovery, int round) throws Exception {
        stoppedAt = 0;
        killedAt = 0;
        Process sidecar = rig.sidecar(
                "n1", config, port, discovery, rig.temporary.resolve("tmp" + round), "", "n1");
        if (!rig.awaitReady(port, 30)) {
            rig.finish(2, "the sidecar was not ready within 30 s");
        }
        SplittableRandom random = new SplittableRandom(round);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            double headSeconds = 1.2 + random.nextDouble() * (LONGEST_HEAD_SECONDS - 1.2);
            clients.add(Rig.start("client", () -> slowRequest(port, headSeconds)));
        }
        Rig.sleep(300);
        int late = 0;
        if (rig.trouble) {
            rig.signal(sidecar, "TERM");
            stoppedAt = rig.seconds();
            boolean ended = sidecar.waitFor((long) (KILL_AFTER_SECONDS * 1000), TimeUnit.MILLISECONDS);
            if (!ended) {
                late = 1;
                rig.signal(sidecar, "KILL");
            }
            killedAt = rig.seconds();
        }
        for (Thread client : clients) {
            client.join(5000);
        }
        if (!rig.trouble) {
            rig.signal(sidecar, "TERM");
        }
        sidecar.waitFor(10, TimeUnit.SECONDS);
        return late;
    }

    /** Writes a request in pieces and waits for its answer. */
    private void slowRequest(int port, double headSeconds) throws IOException {
        String id = String.format("%016x", ids.incrementAndGet());
        byte[] bytes = ("GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                        + "\r\nX-Lane: slot-lookup\r\nX-Org: zahnplan-stamm\r\nX-Remaining-Ms: " + DEADLINE_MILLIS
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        double sent = 0;
        try (Socket socket = Rig.connect(port)) {
            socket.setSoTimeout(5000);
            double begun = rig.seconds();
            rig.note("client begins " + id);
            int pieces = 24;
            for (int i = 0; i < pieces; i++) {
                socket.getOutputStream()
                        .write(bytes, bytes.length * i / pieces, bytes.length * (i + 1) / pieces - bytes.length * i / pieces);
                if (i < pieces - 1) {
                    double next = begun + headSeconds * (i + 1) / (pieces - 1);
                    Rig.sleep(Math.max(0, next - rig.seconds()) * 1000);
                }
            }
            sent = rig.seconds();
            rig.note("client sent the last byte of " + id + sinceStop(sent));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Rig.Message answer = Rig.Message.read(in);
            if (answer == null) {
                throw new IOException("closed");
            }
            answered.incrementAndGet();
            rig.note("client got " + answer.status() + " to " + id + sinceStop(rig.seconds()));
        } catch (IOException exception) {
            // Before SIGKILL the sidecar has taken only what it has read; the time tells the two ends apart.
            boolean taken = sent > 0 && rig.trouble && (killedAt == 0 || sent < killedAt);
            if (taken) {
                lost.incrementAndGet();
                rig.note("BROKEN: no answer to " + id + ": " + exception.getMessage() + sinceStop(rig.seconds()));
            } else {
                notTaken.incrementAndGet();
                rig.note("client could not send all of " + id + ": " + exception.getMessage());
            }
        }
    }

    private String sinceStop(double at) {
        return stoppedAt == 0 ? "" : String.format(", %.3f s after SIGTERM", at - stoppedAt);
    }
}
