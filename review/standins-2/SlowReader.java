import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: clients take long answers at 64 kB a second. */
final class SlowReader {
    private static final int CLIENTS = 4;
    private static final int ANSWER_BYTES = 32_000_000;
    private static final int BYTES_PER_SECOND = 64_000;
    private static final int READS_PER_SECOND = 10;
    private static final double PLAY_S = 70;

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
        List<Rig.Upstream> upstreams = new ArrayList<>();
        String[] zones = {"nord", "sued", "west"};
        byte[] piece = new byte[16_000];
        java.util.Arrays.fill(piece, (byte) 'x');
        AtomicInteger cutByUpstream = new AtomicInteger();
        for (int i = 0; i < 3; i++) {
            upstreams.add(rig.new Upstream("s-" + i, zones[i], (c, m) -> {
                String id = m.header("x-txn");
                rig.log("upstream %s runs %s and gives %d bytes", c.upstream.id, id, ANSWER_BYTES);
                c.write(("HTTP/1.1 200 OK\r\n" + Rig.LOAD + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes());
                int sent = 0;
                try {
                    for (; sent < ANSWER_BYTES; sent += piece.length) {
                        c.write(piece);
                    }
                    rig.log("upstream %s has given the whole answer to %s", c.upstream.id, id);
                } catch (IOException e) {
                    rig.log("upstream %s: its connection was ended after %d bytes for %s: %s", c.upstream.id, sent, id, e);
                    throw e;
                }
            }));
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar("n0", discovery, Rig.settings(0, 1, Rig.usualProfiles(), 4));
        sidecar.start();
        if (!sidecar.ready()) {
            return rig.verdict(2, "the sidecar is not ready");
        }
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger reading = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Rig.daemon("client", () -> {
                String id = Rig.id();
                rig.log("client sends %s", id);
                double at = Rig.now();
                try (Rig.Client c = new Rig.Client(sidecar.port)) {
                    c.send(Rig.lookup(id, 830, "long"));
                    c.socket.setSoTimeout(30_000);
                    String status = Rig.line(c.in);
                    while (!Rig.line(c.in).isEmpty()) {
                        // the rest of the head
                    }
                    rig.log("client gets %s after %.3f s for %s", status, Rig.now() - at, id);
                    if (!status.contains(" 200 ")) {
                        failed.incrementAndGet();
                        return;
                    }
                    int got = 0;
                    byte[] buffer = new byte[BYTES_PER_SECOND / READS_PER_SECOND];
                    try {
                        while (got < ANSWER_BYTES && Rig.now() - at < PLAY_S) {
                            int n = c.in.readNBytes(buffer, 0, Math.min(buffer.length, ANSWER_BYTES - got));
                            if (n == 0) {
                                throw new IOException("the connection ended");
                            }
                            got += n;
                            if (rig.trouble) {
                                Rig.sleep(1000 / READS_PER_SECOND);
                            }
                        }
                        rig.log("client has %d bytes after %.1f s of %s", got, Rig.now() - at, id);
                        (got == ANSWER_BYTES ? whole : reading).incrementAndGet();
                    } catch (IOException e) {
                        rig.log("client is cut off after %d bytes and %.1f s of %s: %s", got, Rig.now() - at, id, e);
                        cut.incrementAndGet();
                    }
                }
            }));
        }
        for (Thread t : clients) {
            t.join(100_000);
        }
        return rig.verdict(
                cut.get() > 0 ? 1 : failed.get() == CLIENTS ? 2 : 0,
                whole + " answers came whole, " + reading + " were still being read, " + cut + " were cut off, " + failed
                        + " failed at once");
    }
}
