package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.Metadata;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.ServerCall;
import io.grpc.Status;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.testbed.GrpcRig;
import loadbalancer.testbed.RawHttp2Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Graceful shutdown while gRPC clients have not read their responses, or have sent what is still unread. */
@Timeout(60)
class GrpcShutdownTest {
    private static final String METHOD = "stage.Booking/Lookup";
    private static final String PATH = "/" + METHOD;
    /** More than HTTP/2's default windows, so that a response waits in the sidecar until its client reads. */
    private static final int RESPONSE_BYTES = 500_000;
    /** Flag and length before each message. */
    private static final int FRAMING_BYTES = 5;
    /** Longer than clients are still served and idle connections are kept during a shutdown. */
    private static final long SERVE_ON_MILLIS = 1_500;
    /** The sidecar gives up clients that read nothing for 10 s. */
    private static final long MAX_STOP_SECONDS = 20;
    /** The slowest pace at which clients read; all these calls' responses take twice 10 s at it. */
    private static final int SLOW_BYTES_PER_SECOND = 64_000;

    private static final int SLOW_CALLS = 3;
    /** More often than a quiet connection is closed. */
    private static final long PING_MILLIS = 50;

    private SidecarHarness harness;
    private CountDownLatch stopped;
    private io.grpc.Server upstream;

    @BeforeEach
    void start() throws Exception {
        upstream = GrpcRig.node(List.of(GrpcRig.method(METHOD, MethodType.UNARY)), (call, head) -> {
            call.request(2);
            return new ServerCall.Listener<>() {
                @Override
                public void onHalfClose() {
                    call.sendHeaders(new Metadata());
                    call.sendMessage("r".repeat(RESPONSE_BYTES));
                    call.close(Status.OK, new Metadata());
                }
            };
        });
        stopped = new CountDownLatch(1);
        harness = new SidecarHarness().withGrpc();
        harness.addGrpcUpstream(upstream.getPort());
        harness.start();
    }

    @AfterEach
    void close() throws Exception {
        harness.close();
        upstream.shutdownNow();
    }

    private void restart() throws Exception {
        close();
        start();
    }

    private RawHttp2Client client() throws IOException {
        return new RawHttp2Client(harness.sidecar.grpcAddress());
    }

    private static void assertWholeResponse(RawHttp2Client client, int stream) throws IOException {
        assertEquals(FRAMING_BYTES + RESPONSE_BYTES, client.response(stream).length);
    }

    private void assertStopped() throws InterruptedException {
        assertTrue(stopped.await(MAX_STOP_SECONDS, TimeUnit.SECONDS), "the shutdown did not end");
    }

    private void assertStillServing() throws InterruptedException {
        assertFalse(
                stopped.await(SERVE_ON_MILLIS, TimeUnit.MILLISECONDS), "stopped before the client had its response");
    }

    /** Guards against a shutdown that ends while HTTP/2's flow control still holds back a part of a response. */
    @Test
    void waitsForResponseThatClientHasNotReadYet() throws Exception {
        try (RawHttp2Client client = client()) {
            client.call(1, PATH);
            harness.await("outcome n0-g1 0 OK");
            harness.sidecar.stop(stopped::countDown);
            assertStillServing();
            client.openWindows(2 * RESPONSE_BYTES);
            client.flush();
            assertWholeResponse(client, 1);
            assertStopped();
        }
    }

    /**
     * Guards against a close while a part of a response is in the kernel only: the client's next frame would reset the
     * connection, and lose it.
     */
    @Test
    void waitsForResponseThatIsWithTheKernel() throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        try (RawHttp2Client client = new RawHttp2Client(harness.sidecar.grpcAddress(), socket)) {
            client.openWindows(2 * RESPONSE_BYTES);
            client.call(1, PATH);
            harness.await("outcome n0-g1 0 OK");
            harness.sidecar.stop(stopped::countDown);
            assertStillServing();
            client.frame(RawHttp2Client.PING, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8);
            client.flush();
            assertWholeResponse(client, 1);
            assertStopped();
        }
    }

    /** Guards against review case 10 over gRPC: a shutdown gave up a client that reads its responses slowly. */
    @Test
    void waitsForClientThatReadsItsResponsesSlowly() throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        try (RawHttp2Client client = new RawHttp2Client(harness.sidecar.grpcAddress(), socket)) {
            client.openWindows(SLOW_CALLS * 2 * RESPONSE_BYTES);
            for (int call = 0; call < SLOW_CALLS; call++) {
                client.call(1 + 2 * call, PATH);
                harness.await("outcome n0-g" + (call + 1) + " 0 OK");
            }
            harness.sidecar.stop(stopped::countDown);
            int received = 0;
            int ended = 0;
            while (ended < SLOW_CALLS) {
                RawHttp2Client.Frame frame = client.read();
                if (frame.type() == RawHttp2Client.DATA) {
                    received += frame.payload().length;
                    client.frame(RawHttp2Client.WINDOW_UPDATE, 0, 0, 0, 0, 1, 0);
                    client.flush();
                }
                ended += frame.ends(frame.stream()) && frame.stream() > 0 ? 1 : 0;
                LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(frame.payload().length) / SLOW_BYTES_PER_SECOND);
            }
            assertEquals(SLOW_CALLS * (FRAMING_BYTES + RESPONSE_BYTES), received);
            assertStopped();
        }
    }

    @Test
    void clientThatNeverReadsDoesNotPreventStop() throws Exception {
        try (RawHttp2Client client = client()) {
            client.call(1, PATH);
            harness.await("outcome n0-g1 0 OK");
            harness.sidecar.stop(stopped::countDown);
            assertStopped();
        }
    }

    /** Guards against a stop that waits for a client without calls, as long as it sends anything. */
    @Test
    void clientThatOnlySendsPingsDoesNotPreventStop() throws Exception {
        try (RawHttp2Client client = client()) {
            client.flush();
            harness.sidecar.stop(stopped::countDown);
            assertThrows(IOException.class, () -> {
                for (long sent = 0; sent * PING_MILLIS < TimeUnit.SECONDS.toMillis(MAX_STOP_SECONDS); sent++) {
                    client.frame(RawHttp2Client.PING, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8);
                    client.flush();
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PING_MILLIS));
                }
            });
            assertStopped();
        }
    }

    /** Guards against a call being lost that arrives right before the check that closes its idle connection. */
    @Test
    void servesCallThatCrossesCloseOfIdleConnection() throws Exception {
        for (boolean inOrder = false; !inOrder; ) {
            restart();
            try (RawHttp2Client client = client()) {
                client.openWindows(4 * RESPONSE_BYTES);
                client.call(1, PATH);
                assertWholeResponse(client, 1);
                inOrder = harness.stopAndRunBeforeNextCheck(stopped::countDown, () -> client.call(3, PATH));
                if (inOrder) {
                    assertWholeResponse(client, 3);
                    assertStopped();
                }
            }
        }
    }

    /** Guards against clients being reset that the kernel has connected, but that are not accepted yet. */
    @Test
    void servesClientsInBacklogWhenListenerCloses() throws Exception {
        for (boolean inOrder = false; !inOrder; ) {
            restart();
            List<RawHttp2Client> late = new ArrayList<>();
            inOrder = harness.stopAndRunBeforeNextCheck(stopped::countDown, () -> {
                for (int i = 0; i < 3; i++) {
                    RawHttp2Client client = client();
                    client.openWindows(2 * RESPONSE_BYTES);
                    late.add(client.call(1, PATH));
                }
            });
            for (RawHttp2Client client : late) {
                if (inOrder) {
                    assertWholeResponse(client, 1);
                }
                client.close();
            }
            assertStopped();
        }
    }
}
