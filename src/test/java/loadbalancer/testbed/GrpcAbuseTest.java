package loadbalancer.testbed;

import static loadbalancer.testbed.RawHttp2Client.CONTINUATION;
import static loadbalancer.testbed.RawHttp2Client.DATA;
import static loadbalancer.testbed.RawHttp2Client.GOAWAY;
import static loadbalancer.testbed.RawHttp2Client.HEADERS;
import static loadbalancer.testbed.RawHttp2Client.PING;
import static loadbalancer.testbed.RawHttp2Client.RST_STREAM;
import static loadbalancer.testbed.RawHttp2Client.WINDOW_UPDATE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.GrpcRig.Call;
import loadbalancer.testbed.Testbed.Listed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Frames that a well-meaning client never sends: each ends its own connection, and nobody else's calls. */
@Timeout(120)
class GrpcAbuseTest {
    private static final String NOTE = "/stage.Booking/Note";
    private static final int ENHANCE_YOUR_CALM = 11;

    /** Reads to the end of the connection; the error code of the GOAWAY that came, -1 without one. */
    private static int end(RawHttp2Client client) throws IOException {
        int code = -1;
        try {
            client.flush();
        } catch (IOException exception) {
            // Hung up on in the middle of it: what was said before is still there to be read.
        }
        try {
            while (true) {
                RawHttp2Client.Frame frame = client.read();
                if (frame.type() == GOAWAY && frame.payload().length >= 8) {
                    // A second one, as the connection closes, names no error any more.
                    code = Math.max(code, frame.payload()[7] & 0xff);
                }
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("the connection was left open");
        } catch (IOException exception) {
            return code;
        }
    }

    interface Attack {
        void on(RawHttp2Client a) throws IOException;
    }

    private static void floods(RawHttp2Client a, int times, Attack one) throws IOException {
        try {
            for (int i = 0; i < times; i++) {
                one.on(a);
            }
            a.out.flush();
        } catch (IOException exception) {
            // It was hung up on: what is wanted.
        }
    }

    /** Calls that lie unread, behind a sidecar that stands still, when their client resets them or goes: none is sent on. */
    @Test
    void whatLiesUnreadWhenItsClientLeavesIsNotSentOn() throws Exception {
        Attack[] ways = {
            a -> {
                a.frame(RST_STREAM, 0, 1, 0, 0, 0, 8);
                a.out.flush();
            },
            a -> a.socket.close(),
            a -> {
                a.socket.setSoLinger(true, 0);
                a.socket.close();
            },
        };
        for (Attack way : ways) {
            try (Testbed world =
                    new Testbed(UpstreamShape.SMALL).patient().grpc().nodes(1)) {
                SidecarProcess sidecar = world.sidecar(
                        1,
                        Testbed.list(1, world.nodes().stream().map(Listed::of).toList()),
                        Testbed.grpcTable());
                world.ready(sidecar.address()).get(60, TimeUnit.SECONDS);
                ManagedChannel good = GrpcRig.channel(sidecar.grpcAddress());
                assertEquals(
                        Status.Code.OK,
                        Call.unary(good, "stage.Booking/Lookup", null, "{}", 0)
                                .status()
                                .getCode());
                try (RawHttp2Client known = new RawHttp2Client(sidecar.grpcAddress())) {
                    sidecar.pause();
                    known.frame(HEADERS, 4, 1, RawHttp2Client.head("/stage.Booking/Lookup"));
                    known.frame(DATA, 1, 1, 0, 0, 0, 0, 0);
                    known.out.flush();
                    way.on(known);
                    sidecar.goOn();
                    assertEquals(
                            Status.Code.OK,
                            Call.unary(good, "stage.Booking/Lookup", null, "{}", 0)
                                    .status()
                                    .getCode());
                }
                assertEquals(2, world.nodes().get(0).grpc().calls.get(), "what its client has left was sent on");
                good.shutdownNow();
            }
        }
    }

    @Test
    void eachFloodEndsItsOwnConnectionAndNobodyElses() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().grpc().nodes(2)) {
            SidecarProcess sidecar = world.sidecar(
                    1, Testbed.list(1, world.nodes().stream().map(Listed::of).toList()), Testbed.grpcTable());
            world.ready(sidecar.address()).get(60, TimeUnit.SECONDS);
            InetSocketAddress to = sidecar.grpcAddress();
            ManagedChannel good = GrpcRig.channel(to);
            List<Integer> codes = new ArrayList<>();
            Attack[] attacks = {
                // Rapid reset, CVE-2023-44487.
                a -> {
                    int[] stream = {1};
                    floods(a, 2_000, x -> {
                        x.frame(HEADERS, 4, stream[0], RawHttp2Client.head(NOTE));
                        x.frame(RST_STREAM, 0, stream[0], 0, 0, 0, 8);
                        stream[0] += 2;
                    });
                },
                // A head that never ends.
                a -> {
                    a.frame(HEADERS, 0, 1, 0x83);
                    floods(a, 10_000, x -> x.frame(CONTINUATION, 0, 1));
                },
                // Frames of data without data.
                a -> {
                    a.frame(HEADERS, 4, 1, RawHttp2Client.head(NOTE));
                    floods(a, 10_000, x -> x.frame(DATA, 0, 1));
                },
                // Pings whose answers nobody reads.
                a -> floods(a, 1_500_000, x -> x.frame(PING, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8)),
                // A window beyond all bounds.
                a -> floods(a, 3, x -> x.frame(WINDOW_UPDATE, 0, 0, 0x7f, 0xff, 0xff, 0xff)),
                // Metadata without end in one frame.
                a -> {
                    int[] block = new int[16_000];
                    a.frame(HEADERS, 0, 1, RawHttp2Client.head(NOTE));
                    for (int i = 0; i < 40; i++) {
                        for (int at = 0; at + 20 <= block.length; at += 20) {
                            block[at] = 0;
                            block[at + 1] = 1;
                            block[at + 2] = 'x';
                            block[at + 3] = 16;
                            for (int k = 4; k < 20; k++) {
                                block[at + k] = 'y';
                            }
                        }
                        a.frame(CONTINUATION, i == 39 ? 4 : 0, 1, block);
                    }
                },
            };
            for (Attack attack : attacks) {
                try (RawHttp2Client a = new RawHttp2Client(to)) {
                    try {
                        attack.on(a);
                    } catch (IOException exception) {
                        // It was hung up on.
                    }
                    if (codes.size() == 5) {
                        // Too large a head ends its own stream; the connection may go on.
                        codes.add(0);
                    } else {
                        codes.add(end(a));
                    }
                }
                Call call = Call.unary(good, "stage.Booking/Lookup", null, "{}", 2_000);
                assertEquals(
                        Status.Code.OK, call.status().getCode(), "after attack " + codes.size() + ": " + call.status());
            }
            assertEquals(ENHANCE_YOUR_CALM, codes.get(0), codes.toString());
            assertEquals(ENHANCE_YOUR_CALM, codes.get(1), codes.toString());
            assertTrue(
                    sidecar.log().stream().noneMatch(l -> l.contains("a gRPC") || l.contains("Exception")),
                    sidecar.log().toString());
            good.shutdownNow();
            assertEquals(0, sidecar.terminate());
        }
    }
}
