import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case: two new configurations in quick succession, the first of which widens the group of a keyed class. */
final class QuickReload {
    private static final int ROUNDS = 4;
    private static final int CLIENTS = 12;
    /** From then on the first new configuration's rules bind. */
    private static final double BINDS_S = 1.2;
    /** Requests are sent well before that. */
    private static final double LAST_SEND_S = 1.0;

    private static final String ZONE = Rig.profile("booking-confirm", "keyed", "zone", 4_000, 330, 830);
    private static final String ALL = Rig.profile("booking-confirm", "keyed", "all", 4_000, 330, 830);
    private static final List<String> OTHERS = Rig.usualProfiles().subList(0, 2);

    private record Run(String upstream, String zone) {}

    private final Rig rig;
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

    private QuickReload(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]));
        int code;
        try {
            code = new QuickReload(rig).run();
        } catch (Exception e) {
            code = rig.verdict(2, e.toString());
        }
        rig.close();
        System.exit(code);
    }

    private static List<String> with(String profile) {
        List<String> profiles = new ArrayList<>(OTHERS);
        profiles.add(profile);
        return profiles;
    }

    private int run() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        String[] zones = {"nord", "sued", "west"};
        for (int i = 0; i < 9; i++) {
            upstreams.add(rig.new Upstream("s-" + i, zones[i % 3], (c, m) -> {
                String id = m.header("x-txn");
                List<Run> before = runs.computeIfAbsent(id, k -> Collections.synchronizedList(new ArrayList<>()));
                boolean first = before.isEmpty();
                before.add(new Run(c.upstream.id, c.upstream.zone));
                rig.log("upstream %s in %s runs %s", c.upstream.id, c.upstream.zone, id);
                Thread.sleep(10);
                if (first && m.start.startsWith("POST")) {
                    rig.log("upstream %s answers 500 to %s", c.upstream.id, id);
                    c.write("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".getBytes());
                } else {
                    c.write(Rig.ok("answer to " + id, Rig.LOAD));
                }
            }));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar("n0", discovery, Rig.settings(0, 1, with(ZONE), 4));
        sidecar.start();
        if (!sidecar.ready()) {
            return rig.verdict(2, "the sidecar is not ready");
        }
        Rig.sleep(1_500);
        int sent = 0;
        int twice = 0;
        for (int round = 0; round < ROUNDS; round++) {
            sidecar.configure(discovery, Rig.settings(0, 1, with(ALL), 4));
            double changed = Rig.now();
            sidecar.signal("HUP");
            Rig.sleep(400);
            if (rig.trouble) {
                sidecar.configure(discovery, Rig.settings(0, 1, with(ALL), 3));
                sidecar.signal("HUP");
            }
            Rig.sleep(100);
            List<String> ids = Collections.synchronizedList(new ArrayList<>());
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Rig.daemon("client", () -> ask(sidecar.port, changed, ids)));
            }
            for (Thread t : clients) {
                t.join(5_000);
            }
            Rig.sleep(200);
            for (String id : ids) {
                List<Run> of = List.copyOf(runs.getOrDefault(id, List.of()));
                sent++;
                if (of.stream().map(Run::zone).distinct().count() > 1) {
                    twice++;
                    rig.log("RAN IN TWO ZONES: %s %s", id, of);
                }
            }
            // Back to the old settings, and until only they are in force.
            Rig.sleep(3_000);
            sidecar.configure(discovery, Rig.settings(0, 1, with(ZONE), 4));
            sidecar.signal("HUP");
            Rig.sleep(3_500);
        }
        if (sent == 0) {
            return rig.verdict(2, "no request was sent in time");
        }
        return rig.verdict(
                twice > 0 ? 1 : 0, twice + " of " + sent + " confirmations of group zone ran in two zones");
    }

    /** One client: a confirmation after the other until shortly before the new rules bind. */
    private void ask(int port, double changed, List<String> ids) throws Exception {
        try (Rig.Client c = new Rig.Client(port)) {
            while (Rig.now() - changed < LAST_SEND_S) {
                String id = Rig.id();
                String request = Rig.post(id, "booking-confirm", Rig.id(), 830, "slot 7");
                c.send(request);
                double after = Rig.now() - changed;
                rig.log("client sends %s, %.3f s after the first signal", id, after);
                if (after < BINDS_S) {
                    ids.add(id);
                }
                Rig.Message m = c.receive(3_000);
                rig.log("client gets %d for %s", m.status(), id);
                Rig.sleep(50);
            }
        }
    }
}
