import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Case: a gRPC node writes its answer to a unary call in small pieces. */
final class GrpcPieces {
    private static final int ROUNDS = 20;
    private static final int ANSWER_BYTES = 600_000;
    private static final int PIECE_BYTES = 75;
    private static final int WHOLE_BYTES = 16_384;

    private final Rig rig;
    private int served;
    private int failed;
    private int lost;

    private GrpcPieces(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]));
        int code;
        try (GrpcPeers peers = new GrpcPeers()) {
            code = new GrpcPieces(rig).run(peers);
        } catch (Exception e) {
            code = rig.verdict(2, e.toString());
        }
        rig.close();
        System.exit(code);
    }

    /** Each piece follows once the one before is with the kernel, so that the codec does not merge them. */
    private static void writePiece(ChannelHandlerContext stream, byte[] answer, int at, int size) {
        if (at >= answer.length) {
            stream.writeAndFlush(GrpcPeers.trailers(0));
            return;
        }
        int n = Math.min(size, answer.length - at);
        stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(answer, at, n), false))
                .addListener(f -> stream.channel().eventLoop().execute(() -> writePiece(stream, answer, at + n, size)));
    }

    private void answer(ChannelHandlerContext stream, String node, String path, String id, byte[] large) {
        rig.log("node %s runs %s %s", node, id, path);
        if (path.endsWith("Confirm")) {
            stream.channel()
                    .eventLoop()
                    .schedule(
                            () -> {
                                stream.write(GrpcPeers.answerHead());
                                stream.write(new DefaultHttp2DataFrame(
                                        Unpooled.wrappedBuffer(GrpcPeers.message(new byte[20])), false));
                                stream.writeAndFlush(GrpcPeers.trailers(0));
                            },
                            400,
                            TimeUnit.MILLISECONDS);
        } else {
            stream.writeAndFlush(GrpcPeers.answerHead());
            writePiece(stream, GrpcPeers.message(large), 0, rig.trouble ? PIECE_BYTES : WHOLE_BYTES);
        }
    }

    private int run(GrpcPeers peers) throws Exception {
        byte[] large = new byte[ANSWER_BYTES];
        Arrays.fill(large, (byte) 'x');
        List<Rig.Upstream> upstreams = new ArrayList<>();
        String[] zones = {"nord", "sued", "west"};
        for (int i = 0; i < 3; i++) {
            Rig.Upstream u = rig.new Upstream(
                    "s-" + i, zones[i], (c, m) -> c.write(Rig.ok("answer to " + m.header("x-txn"), Rig.LOAD)));
            u.grpcPort = peers.node((stream, path, id, message) -> answer(stream, u.id, path, id, large));
            upstreams.add(u);
        }
        Rig.Discovery discovery = rig.new Discovery(upstreams);
        Rig.Sidecar sidecar = rig.new Sidecar("n0", discovery, Rig.settings(0, 1, Rig.usualProfiles(), 4));
        int port = Rig.freePort();
        sidecar.operator = GrpcPeers.operator(port);
        sidecar.start();
        if (!sidecar.ready()) {
            return rig.verdict(2, "the sidecar is not ready");
        }
        for (int round = 0; round < ROUNDS; round++) {
            Channel c = peers.connect(port);
            String confirm = call("Confirm");
            CompletableFuture<GrpcPeers.Answer> confirmed =
                    peers.call(c, "/zahnplan.Booking/Confirm", confirm, Rig.id(), 830, new byte[20]);
            String find = call("Find");
            CompletableFuture<GrpcPeers.Answer> found =
                    peers.call(c, "/zahnplan.Slots/Find", find, null, 830, new byte[20]);
            await(found, find);
            await(confirmed, confirm);
            c.close();
        }
        return rig.verdict(
                lost > 0 ? 1 : 0,
                served + " calls served, " + failed + " failed, " + lost + " ended without a final status");
    }

    private String call(String method) {
        String id = Rig.id();
        rig.log("client calls %s %s", method, id);
        return id;
    }

    /** The client waits much longer than the rule's half a second beyond its time. */
    private void await(CompletableFuture<GrpcPeers.Answer> call, String id) throws Exception {
        try {
            GrpcPeers.Answer a = call.get(3, TimeUnit.SECONDS);
            rig.log("client gets status %d '%s' and %d bytes for %s", a.status(), a.text(), a.message().length, id);
            if (a.status() < 0) {
                lost++;
            } else if (a.status() == 0) {
                served++;
            } else {
                failed++;
            }
        } catch (TimeoutException e) {
            rig.log("client gets nothing for %s", id);
            lost++;
        }
    }
}
