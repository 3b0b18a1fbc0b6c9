import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a second answer comes some milliseconds late on a resting connection, while the sidecar is held up. */
final class StaleAnswer {
    private static final int ROUNDS = 120;
    private static final int LATE_MS = 10;
    /** The page allows for 150 ms. */
    private static final int HOLD_MS = 60;

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]));
        int code;
        try {
            code = run(rig);
        } catch (Exception e) {
            code = rig.verdict(2, e.toString());
        }
        rig.close();
        System.exit(code);
    }

    private static int run(Rig rig) throws Exception {
        AtomicInteger seconds = new AtomicInteger();
        AtomicInteger count = new AtomicInteger();
        List<Rig.Upstream> upstreams = new ArrayList<>();
        String[] zones = {"nord", "sued", "west"};
        for (int i = 0; i < 3; i++) {
            upstreams.add(rig.new Upstream("s-" + i, zones[i], (c, m) -> {
                String id = m.header("x-txn");
                rig.log("upstream %s runs %s %s", c.upstream.id, id, m.start);
                Thread.sleep(20);
                byte[] answer = Rig.ok("answer to " + id, Rig.LOAD);
                c.write(answer);
                boolean again = rig.trouble && m.start.contains("tag=first");
                if (again) {
                    int before = c.requests;
                    Thread.sleep(LATE_MS);
                    // Only when nothing else waits on the connection.
                    if (c.in.available() == 0 && c.requests == before) {
                        c.write(answer);
                        seconds.incrementAndGet();
                        rig.log("upstream %s sends a second answer to %s", c.upstream.id, id);
                    }
                }
            }));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar("n0", discovery, Rig.settings(0, 1, Rig.usualProfiles(), 4));
        sidecar.start();
        if (!sidecar.ready()) {
            return rig.verdict(2, "the sidecar is not ready");
        }
        int foreign = 0;
        Rig.Client one = new Rig.Client(sidecar.port);
        Rig.Client two = new Rig.Client(sidecar.port);
        for (int round = 0; round < ROUNDS; round++) {
            foreign += ask(rig, one, "first");
            sidecar.signal("STOP");
            String id = Rig.id();
            rig.log("client sends %s", id);
            two.send(Rig.lookup(id, 830, "second"));
            Rig.sleep(HOLD_MS);
            sidecar.signal("CONT");
            foreign += answer(rig, two, id);
            count.addAndGet(2);
            Rig.sleep(30);
        }
        String text = foreign + " of " + count + " requests were served with another request's answer; " + seconds
                + " second answers";
        return rig.verdict(foreign > 0 ? 1 : 0, text);
    }

    private static int ask(Rig rig, Rig.Client c, String tag) throws Exception {
        String id = Rig.id();
        rig.log("client sends %s", id);
        c.send(Rig.lookup(id, 830, tag));
        return answer(rig, c, id);
    }

    private static int answer(Rig rig, Rig.Client c, String id) throws Exception {
        Rig.Message m = c.receive(3_000);
        boolean foreign = m.status() == 200 && !m.text().equals("answer to " + id);
        rig.log("client gets %d '%s' for %s%s", m.status(), m.text(), id, foreign ? " FOREIGN" : "");
        return foreign ? 1 : 0;
    }
}
