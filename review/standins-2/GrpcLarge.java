import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: many long gRPC answers at a time from slow nodes, beside usual HTTP clients. */
final class GrpcLarge {
    private static final int ROUNDS = 4;
    private static final int CALLS = 80;
    private static final int CALLS_PER_CONNECTION = 10;
    private static final int LONG_BYTES = 900_000;
    private static final int SHORT_BYTES = 1_000;
    private static final int FRAME_BYTES = 16_384;
    private static final int HTTP_CLIENTS = 8;
    private static final int HTTP_TIME_MS = 830;
    /** The longest deadline is 3 s at most. */
    private static final int CALL_TIME_MS = 2_800;
    /** Time from an answer's message to its status. */
    private static final int STATUS_AFTER_MS = 1_500;
    /** The rule's slack: 50 ms on sockets, and half a second in which a late answer only earns nothing. */
    private static final double SLACK_S = 0.55;

    private final Rig rig;
    private final AtomicInteger httpAnswered = new AtomicInteger();
    private final AtomicInteger httpLost = new AtomicInteger();
    private int callsAnswered;
    private int callsLost;
    private volatile boolean ending;
    private volatile double harnessLate;

    private GrpcLarge(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]));
        int code;
        try (GrpcPeers peers = new GrpcPeers()) {
            code = new GrpcLarge(rig).run(peers);
        } catch (Exception e) {
            code = rig.verdict(2, e.toString());
        }
        rig.close();
        System.exit(code);
    }

    /** The message goes out at once, the status later. */
    private void answer(ChannelHandlerContext stream, String node, String id, byte[] answer) {
        rig.log("node %s runs %s", node, id);
        stream.write(GrpcPeers.answerHead());
        for (int at = 0; at < answer.length; at += FRAME_BYTES) {
            int n = Math.min(FRAME_BYTES, answer.length - at);
            stream.write(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(answer, at, n), false));
        }
        stream.flush();
        stream.channel()
                .eventLoop()
                .schedule(() -> stream.writeAndFlush(GrpcPeers.trailers(0)), STATUS_AFTER_MS, TimeUnit.MILLISECONDS);
    }

    private int run(GrpcPeers peers) throws Exception {
        byte[] payload = new byte[rig.trouble ? LONG_BYTES : SHORT_BYTES];
        Arrays.fill(payload, (byte) 'x');
        byte[] answer = GrpcPeers.message(payload);
        List<Rig.Upstream> upstreams = new ArrayList<>();
        String[] zones = {"nord", "sued", "west"};
        for (int i = 0; i < 12; i++) {
            Rig.Upstream u = rig.new Upstream("s-" + i, zones[i % 3], (c, m) -> {
                rig.log("upstream %s runs %s", c.upstream.id, m.header("x-txn"));
                Thread.sleep(30);
                c.write(Rig.ok("answer to " + m.header("x-txn"), Rig.LOAD));
            });
            u.grpcPort = peers.node((stream, path, id, message) -> answer(stream, u.id, id, answer));
            upstreams.add(u);
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        List<String> profiles = new ArrayList<>(Rig.usualProfiles());
        profiles.set(0, Rig.profile("slot-lookup", "safe", "all", 5_000, 330, CALL_TIME_MS));
        Rig.Sidecar sidecar = rig.new Sidecar("n0", discovery, Rig.settings(0, 1, profiles, 4));
        int port = Rig.freePort();
        sidecar.operator = GrpcPeers.operator(port);
        sidecar.start();
        if (!sidecar.ready()) {
            return rig.verdict(2, "the sidecar is not ready");
        }
        Rig.daemon("harness", this::watchHarness);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < HTTP_CLIENTS; i++) {
            clients.add(Rig.daemon("client", () -> ask(sidecar.port)));
        }
        Rig.sleep(1_500);
        for (int round = 0; round < ROUNDS; round++) {
            callAll(peers, port);
            Rig.sleep(500);
        }
        ending = true;
        for (Thread t : clients) {
            t.join(6_000);
        }
        if (harnessLate > 0.4) {
            return rig.verdict(2, "this machine was busy: the test itself was late by " + harnessLate + " s");
        }
        return rig.verdict(
                callsLost + httpLost.get() > 0 ? 1 : 0,
                "gRPC calls: " + callsAnswered + " ended in time, " + callsLost + " lost; HTTP requests: "
                        + httpAnswered + " answered in time, " + httpLost + " lost");
    }

    private void watchHarness() {
        while (true) {
            double at = Rig.now();
            Rig.sleep(10);
            harnessLate = Math.max(harnessLate, Rig.now() - at - 0.01);
        }
    }

    /** One usual client: some requests a second on a connection that it keeps. */
    private void ask(int port) throws IOException {
        Rig.Client c = new Rig.Client(port);
        while (!ending) {
            String id = Rig.id();
            double at = Rig.now();
            rig.log("client sends %s", id);
            try {
                c.send(Rig.lookup(id, HTTP_TIME_MS, "usual"));
                int status = c.receive(5_000).status();
                double took = Rig.now() - at;
                rig.log("client gets %d after %.3f s for %s", status, took, id);
                (took > HTTP_TIME_MS / 1e3 + SLACK_S ? httpLost : httpAnswered).incrementAndGet();
            } catch (IOException e) {
                rig.log("client gets no answer in %.3f s for %s: %s", Rig.now() - at, id, e);
                httpLost.incrementAndGet();
                c.close();
                c = new Rig.Client(port);
            }
            Rig.sleep(40);
        }
    }

    private void callAll(GrpcPeers peers, int port) throws Exception {
        List<Channel> connections = new ArrayList<>();
        List<CompletableFuture<Double>> ends = new ArrayList<>();
        for (int k = 0; k < CALLS; k++) {
            if (k % CALLS_PER_CONNECTION == 0) {
                connections.add(peers.connect(port));
            }
            String id = Rig.id();
            double at = Rig.now();
            rig.log("client calls Find %s", id);
            ends.add(peers.call(connections.get(connections.size() - 1), "/zahnplan.Slots/Find", id, null, CALL_TIME_MS, new byte[20])
                    .thenApply(a -> {
                        double took = Rig.now() - at;
                        rig.log("client gets status %d '%s' after %.3f s for %s", a.status(), a.text(), took, id);
                        return a.status() < 0 ? Double.MAX_VALUE : took;
                    }));
        }
        for (CompletableFuture<Double> end : ends) {
            try {
                boolean lost = end.get(8, TimeUnit.SECONDS) > CALL_TIME_MS / 1e3 + SLACK_S;
                callsLost += lost ? 1 : 0;
                callsAnswered += lost ? 0 : 1;
            } catch (TimeoutException e) {
                rig.log("a call has not ended after 8 s");
                callsLost++;
            }
        }
        connections.forEach(Channel::close);
    }
}
