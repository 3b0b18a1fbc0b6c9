import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a planned restart while clients are in the middle of a head. */
final class SlowHeads {
    private static final int RESTARTS = 6;
    private static final int CLIENTS = 8;
    private static final int LONGEST_DEADLINE_MS = 830;
    /** No sooner than the longest deadline and 0.7 s after SIGTERM; each limit on sockets is 50 ms longer. */
    private static final long KILL_AFTER_MS = LONGEST_DEADLINE_MS + 700 + 50;
    /** A head is begun before SIGTERM and takes 1.6 s to 1.9 s, of the 2 s that the page allows. */
    private static final long HEAD_BEFORE_MS = 500;
    private static final int PIECES = 16;
    private static final int PIECE_MS = 100;
    /** An answer after the wanted time of 330 ms, long before the deadline. */
    private static final int WORK_MS = 400;

    private final Rig rig;
    private final ConcurrentHashMap<String, String> ran = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger();

    private SlowHeads(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]));
        int code;
        try {
            code = new SlowHeads(rig).run();
        } catch (Exception e) {
            code = rig.verdict(2, e.toString());
        }
        rig.close();
        System.exit(code);
    }

    private int run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        String[] zones = {"nord", "sued", "west"};
        for (int i = 0; i < 10; i++) {
            upstreams.add(rig.new Upstream("s-" + i, zones[i % 3], (c, m) -> {
                String id = m.header("x-txn");
                ran.put(id, c.upstream.id);
                rig.log("upstream %s runs %s", c.upstream.id, id);
                Thread.sleep(m.start.contains("tag=slow") ? WORK_MS : 20);
                c.write(Rig.ok("answer to " + id, Rig.LOAD));
            }));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar("n0", discovery, Rig.settings(0, 1, Rig.usualProfiles(), 4));
        for (int k = 0; k < RESTARTS; k++) {
            sidecar.start();
            if (!sidecar.ready()) {
                return rig.verdict(2, "the sidecar is not ready");
            }
            restart(sidecar);
        }
        return rig.verdict(
                lost.get() > 0 ? 1 : 0,
                answered + " requests answered, " + lost + " taken and lost, " + notTaken + " not taken");
    }

    private void restart(Rig.Sidecar sidecar) throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Rig.daemon("client", () -> ask(sidecar.port, number * 40)));
        }
        Rig.sleep(1_000 + HEAD_BEFORE_MS);
        if (rig.trouble) {
            sidecar.signal("TERM");
            if (sidecar.exitCode(KILL_AFTER_MS) < 0) {
                sidecar.signal("KILL");
            } else {
                rig.log("the sidecar has ended by itself");
            }
        } else {
            Rig.sleep(KILL_AFTER_MS);
        }
        for (Thread t : clients) {
            t.join(6_000);
        }
        sidecar.close();
    }

    /** A usual request, then one on the same connection whose head is written slowly. */
    private void ask(int port, int delayMs) throws Exception {
        try (Rig.Client c = new Rig.Client(port)) {
            c.send(Rig.lookup(Rig.id(), LONGEST_DEADLINE_MS, "usual"));
            c.receive(3_000);
            Rig.sleep(900);
            String id = Rig.id();
            byte[] request = Rig.lookup(id, LONGEST_DEADLINE_MS, "slow").getBytes(StandardCharsets.ISO_8859_1);
            boolean whole = false;
            double at = Rig.now();
            rig.log("client begins to send %s", id);
            try {
                c.socket.getOutputStream().write(request, 0, 20);
                Rig.sleep(delayMs);
                for (int k = 0; k < PIECES; k++) {
                    Rig.sleep(PIECE_MS);
                    int from = 20 + (request.length - 20) * k / PIECES;
                    int to = 20 + (request.length - 20) * (k + 1) / PIECES;
                    c.socket.getOutputStream().write(request, from, to - from);
                }
                whole = true;
                rig.log("client has sent %s, in %.3f s", id, Rig.now() - at);
                Rig.Message m = c.receive(3_000);
                rig.log("client gets %d for %s", m.status(), id);
                answered.incrementAndGet();
            } catch (IOException e) {
                boolean taken = whole && ran.containsKey(id);
                rig.log("client gets no answer to %s: %s; %s", id, e, taken ? "LOST, an upstream runs it" : "not taken");
                (taken ? lost : notTaken).incrementAndGet();
            }
        }
    }
}
