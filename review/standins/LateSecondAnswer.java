import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Upstreams give some of their good answers a second time, some milliseconds late and only while nothing waits on the
 * connection. The rule is broken if a client is served with an answer that was made for another request.
 */
final class LateSecondAnswer {
    private static final int UPSTREAMS = 10;
    private static final int CLIENTS = 12;
    private static final double RUN_SECONDS = 70;
    /** Mean time between the answer to a client's request and its next request; about 300 requests a second in all. */
    private static final double THINK_MILLIS = 33;

    private static final double SERVICE_MILLIS = 4;
    private static final int PERCENT_WITH_COPY = 10;
    private static final int MOST_LATE_MILLIS = 5;

    private final Rig rig;
    /** Time at which the last second answer was written, for each connection on which no request has come since. */
    private final Map<Socket, Long> copyNanos = new ConcurrentHashMap<>();

    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger others = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong(0x9b1f000000000000L);

    private LateSecondAnswer(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        new LateSecondAnswer(new Rig(Path.of(arguments[0]), Path.of(arguments[1]))).run();
    }

    private void run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new Rig.Upstream("u" + i, Rig.ZONES.get(i % Rig.ZONES.size()), this::answer));
        }
        Rig.Discovery discovery = new Rig.Discovery(upstreams);
        int port = Rig.freePort();
        Path config = rig.temporary.resolve("config.json");
        List<Rig.Profile> profiles = List.of(new Rig.Profile("slot-lookup", "safe", "all", 5000, 330, 830));
        Files.writeString(config, Rig.config("n1", port, discovery, profiles, 4, ""));
        Process sidecar = rig.sidecar("n1", config, port, discovery, rig.temporary.resolve("tmp"), "", "n1");
        if (!rig.awaitReady(port, 30)) {
            rig.finish(2, "the sidecar was not ready within 30 s");
        }
        double end = rig.seconds() + RUN_SECONDS;
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int seed = c;
            clients.add(Rig.start("client", () -> client(port, seed, end)));
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = served + " requests served with their own answer, " + foreign + " with another request's, "
                + others + " not served; " + copies + " second answers";
        boolean ran = sidecar.isAlive() && served.get() > 1000 && (copies.get() > 0 || !rig.trouble);
        rig.finish(foreign.get() > 0 ? 1 : ran ? 0 : 2, counts);
    }

    private void answer(Rig.Upstream upstream, Rig.Message request, Rig.Connection connection) throws IOException {
        String id = request.headers().get("x-txn");
        Long copied = copyNanos.remove(connection.socket());
        String after = copied == null ? "" : ", " + (System.nanoTime() - copied) / 1000 + " us after a second answer";
        rig.note(upstream.id + " got " + id + after);
        Rig.sleep(SERVICE_MILLIS);
        byte[] answer = Rig.response(
                200, "X-Pressure: TEXT inflight=1, queue=0, util=0.2\r\n", "answer to " + id + " by " + upstream.id);
        connection.out().write(answer);
        rig.note(upstream.id + " answered " + id);
        SplittableRandom random = new SplittableRandom(id.hashCode());
        int lateMillis = 1 + random.nextInt(MOST_LATE_MILLIS);
        if (rig.trouble && random.nextInt(100) < PERCENT_WITH_COPY && !connection.receivesWithin(lateMillis)) {
            copyNanos.put(connection.socket(), System.nanoTime());
            connection.out().write(answer);
            copies.incrementAndGet();
            rig.note(upstream.id + " answered " + id + " again, nothing waited on the connection");
        }
    }

    private void client(int port, int seed, double end) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        while (rig.seconds() < end) {
            try (Socket socket = Rig.connect(port)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && rig.seconds() < end) {
                    Rig.sleep(-Math.log(1 - random.nextDouble()) * THINK_MILLIS);
                    open = request(socket, in);
                }
            }
        }
    }

    /** Sends a request; returns whether the connection can carry another one. */
    private boolean request(Socket socket, InputStream in) throws IOException {
        String id = String.format("%016x", ids.incrementAndGet());
        socket.getOutputStream()
                .write(("GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                                + "\r\nX-Lane: slot-lookup\r\nX-Org: zahnplan-stamm\r\nX-Remaining-Ms: 830\r\n\r\n")
                        .getBytes());
        rig.note("client sent " + id);
        Rig.Message answer = Rig.Message.read(in);
        if (answer == null) {
            others.incrementAndGet();
            rig.note("client got no answer to " + id);
            return false;
        }
        if (answer.status() != 200) {
            others.incrementAndGet();
            rig.note("client got " + answer.status() + " to " + id);
        } else if (answer.text().startsWith("answer to " + id + " ")) {
            served.incrementAndGet();
            rig.note("client got '" + answer.text() + "' to " + id);
        } else {
            foreign.incrementAndGet();
            rig.note("BROKEN: client got '" + answer.text() + "' to " + id);
        }
        return !"close".equalsIgnoreCase(answer.headers().get("connection"));
    }
}
