package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.Metadata;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.ServerCall;
import java.io.IOException;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes complete late in a shutdown is answered before the process may be killed. */
@Timeout(60)
class LateInShutdownTest {
    private static final String STREAM = "stage.Booking/Echo";
    private static final long DEADLINE_MILLIS = 600;
    /** SIGKILL comes no sooner after SIGTERM. */
    private static final long KILL_MILLIS = DEADLINE_MILLIS + 700;
    /** Interval between the pieces of a request that is sent slowly. */
    private static final long PIECE_MILLIS = 100;
    /** So early that a request can still be served before the kill. */
    private static final long EARLY_MILLIS = 700;
    /** So late that its client would wait for longer than until the kill. */
    private static final long LATE_MILLIS = 950;
    /** So late that no request can be served before the kill. */
    private static final long TOO_LATE_MILLIS = 1_150;

    private static final int UPLOAD_BYTES = 100_000;

    private final CountDownLatch stopped = new CountDownLatch(1);
    private SidecarHarness harness;
    private ScriptedServer upstream;
    private io.grpc.Server grpcUpstream;
    private long stopNanos;

    @BeforeEach
    void start() throws Exception {
        grpcUpstream = GrpcRig.node(List.of(GrpcRig.method(STREAM, MethodType.BIDI_STREAMING)), (call, head) -> {
            call.request(1);
            call.sendHeaders(new Metadata());
            call.sendMessage("first");
            return new ServerCall.Listener<>() {};
        });
        harness = new SidecarHarness().withGrpc();
        harness.addGrpcUpstream(grpcUpstream.getPort());
        upstream = harness.upstreams.get(0);
        upstream.script = (m, connection) -> {
            if (!m.header("X-Txn").startsWith("hangs")) {
                connection.respond("200 OK", "", m.header("X-Txn"));
            }
        };
        harness.settings = harness.settings.replace("60000000", "" + DEADLINE_MILLIS * 1_000);
        harness.start();
    }

    @AfterEach
    void close() throws Exception {
        harness.close();
        grpcUpstream.shutdownNow();
    }

    private void stop() {
        stopNanos = System.nanoTime();
        harness.sidecar.stop(stopped::countDown);
    }

    private long sinceStopMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
    }

    /** Sends the text in pieces, the last of which at this time after the stop. */
    private void sendUntil(ScriptedServer.Client client, String text, long lastMillis) throws IOException {
        int pieces = 0;
        for (long left; (left = lastMillis - sinceStopMillis()) > 0; pieces++) {
            client.send(text.substring(pieces, pieces + 1));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(Math.min(left, PIECE_MILLIS)));
        }
        client.send(text.substring(pieces));
    }

    private void assertAnsweredBeforeKill(int status, ScriptedServer.Client client) throws IOException {
        assertEquals(status, client.status());
        assertTrue(sinceStopMillis() < KILL_MILLIS, "answered " + sinceStopMillis() + " ms after the stop");
    }

    private ScriptedServer.Client clientWithFirstResponse() throws IOException {
        ScriptedServer.Client client = harness.client();
        assertEquals(
                200, client.send(SidecarHarness.get("first", DEADLINE_MILLIS)).status());
        return client;
    }

    /** Guards against review case 8: a request with a slow head had its whole deadline, beyond the earliest kill. */
    @Test
    void requestWhoseUpstreamHangsFailsBeforeTheKill() throws Exception {
        try (ScriptedServer.Client client = clientWithFirstResponse()) {
            stop();
            sendUntil(client, SidecarHarness.get("hangs", DEADLINE_MILLIS), LATE_MILLIS);
            assertAnsweredBeforeKill(502, client);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against rejecting what can still be served before the kill. */
    @ParameterizedTest
    @ValueSource(longs = {EARLY_MILLIS, LATE_MILLIS})
    void requestThatCanBeServedBeforeTheKillIsServed(long completeMillis) throws Exception {
        try (ScriptedServer.Client client = clientWithFirstResponse()) {
            stop();
            sendUntil(client, SidecarHarness.get("late", DEADLINE_MILLIS), completeMillis);
            assertAnsweredBeforeKill(200, client);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against a request being forwarded for which no time is left: it is rejected, and has not run. */
    @Test
    void requestThatComesTooLateIsRejectedUnexecuted() throws Exception {
        try (ScriptedServer.Client client = clientWithFirstResponse()) {
            upstream.messages.clear();
            stop();
            sendUntil(client, SidecarHarness.post("late", "k", "key", DEADLINE_MILLIS), TOO_LATE_MILLIS);
            assertAnsweredBeforeKill(503, client);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            assertEquals(0, upstream.messages.size());
        }
    }

    /** Guards against the same for an upload, most of which an upstream has. */
    @Test
    void uploadWhoseEndComesTooLateIsRejectedUnexecuted() throws Exception {
        try (ScriptedServer.Client client = clientWithFirstResponse()) {
            upstream.messages.clear();
            client.send(SidecarHarness.post("late", "k", "key", DEADLINE_MILLIS)
                    .replace("Content-Length: 0", "Content-Length: " + (UPLOAD_BYTES + KILL_MILLIS)));
            client.send("x".repeat(UPLOAD_BYTES));
            harness.await("request late");
            stop();
            sendUntil(client, "x".repeat((int) KILL_MILLIS), TOO_LATE_MILLIS);
            assertAnsweredBeforeKill(503, client);
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
            // The stand-in takes down what came of the body before its connection ended.
            int length = UPLOAD_BYTES + (int) KILL_MILLIS;
            assertTrue(upstream.messages.stream().noneMatch(m -> m.body().length() == length));
        }
    }

    /** Guards against a gRPC stream that is open at the kill, and so has no final status. */
    @Test
    void openStreamGetsItsFinalStatusBeforeTheKill() throws Exception {
        try (RawHttp2Client client = new RawHttp2Client(harness.sidecar.grpcAddress())) {
            client.frame(RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS, 1, RawHttp2Client.head("/" + STREAM));
            client.flush();
            while (client.read().type() != RawHttp2Client.DATA) {
                // The stream has begun once its first message has come.
            }
            stop();
            RawHttp2Client.Frame frame = client.read();
            while (!frame.ends(1)) {
                frame = client.read();
            }
            assertEquals(RawHttp2Client.HEADERS, frame.type(), "the stream ended without a status");
            assertTrue(sinceStopMillis() < KILL_MILLIS, "ended " + sinceStopMillis() + " ms after the stop");
        }
    }
}
