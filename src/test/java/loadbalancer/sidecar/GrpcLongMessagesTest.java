package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.ServerCall;
import io.grpc.Status;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.testbed.GrpcRig;
import loadbalancer.testbed.GrpcRig.Call;
import loadbalancer.testbed.RawHttp2Client;
import loadbalancer.testbed.RawHttp2Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** gRPC messages of any size, many at a time, whose ends come soon, late or never, beside clients of both protocols. */
@Timeout(60)
class GrpcLongMessagesTest {
    private static final String LOOKUP = "stage.Booking/Lookup";
    private static final String ECHO = "stage.Booking/Echo";
    /** So many that the balancer, which knows nothing of them yet, has capacity for all calls and for others. */
    private static final int UPSTREAMS = 120;

    private static final int CALLS = 80;
    /** All these calls' responses together are longer than the memory for them. */
    private static final int LONG_BYTES = 900_000;
    /** Longer than any response that is held whole. */
    private static final int FORWARDED_BYTES = 2_000_000;

    /** At this pace a forwarded response takes longer than one second. */
    private static final long READ_NANOS_PER_BYTE = 1_250;

    private static final long LATE_STATUS_MILLIS = 1_500;
    private static final long CALL_MILLIS = 5_000;
    /** Time after its due time in which a final answer still counts. */
    private static final long SLACK_MILLIS = 500;

    private static final long OTHERS_MILLIS = 830;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<ManagedChannel> channels = new ArrayList<>();
    private io.grpc.Server upstream;

    /** Ends a call whose message was sent. */
    private interface End {
        void apply(ServerCall<String, String> call);
    }

    private void startUpstream(int responseBytes, End end) throws Exception {
        String message = "r".repeat(responseBytes);
        upstream = GrpcRig.node(
                List.of(GrpcRig.method(LOOKUP, MethodType.UNARY), GrpcRig.method(ECHO, MethodType.BIDI_STREAMING)),
                (call, head) -> {
                    call.request(2);
                    return new ServerCall.Listener<>() {
                        @Override
                        public void onHalfClose() {
                            call.sendHeaders(new Metadata());
                            call.sendMessage(message);
                            end.apply(call);
                        }
                    };
                });
    }

    @AfterEach
    void stop() {
        channels.forEach(ManagedChannel::shutdownNow);
        timer.shutdownNow();
        if (upstream != null) {
            upstream.shutdownNow();
        }
    }

    private static void endNow(ServerCall<String, String> call) {
        call.close(Status.OK, new Metadata());
    }

    private SidecarProcessHarness processHarness() throws Exception {
        SidecarProcessHarness harness = new SidecarProcessHarness();
        harness.operator = SidecarHarness.GRPC_TABLE;
        harness.grpcPort = upstream.getPort();
        harness.addUpstreams(UPSTREAMS, (m, connection) -> connection.respond("200 OK", "", "done"));
        return harness.start();
    }

    private static void assertWithinLimits(SidecarProcessHarness harness) throws Exception {
        assertEquals(List.of(), harness.faults());
        assertTrue(harness.peakMemoryMib() <= SidecarProcessHarness.MEMORY_LIMIT_MIB);
    }

    /** Guards against review case 7: the event loop waited for direct memory, which held responses had used up. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8})
    void manyLongResponsesWithLateStatusAreServedBesideOthers(int connections) throws Exception {
        startUpstream(
                LONG_BYTES, call -> timer.schedule(() -> endNow(call), LATE_STATUS_MILLIS, TimeUnit.MILLISECONDS));
        try (SidecarProcessHarness harness = processHarness()) {
            for (int i = 0; i < connections; i++) {
                channels.add(GrpcRig.channel(harness.process().grpcAddress()));
            }
            CompletableFuture<Integer> served = CompletableFuture.supplyAsync(this::serveManyCalls);
            SidecarProcessHarness.Service others = harness.serveUntil(served, OTHERS_MILLIS);
            assertEquals(List.of(), others.wrong());
            assertTrue(others.served() >= others.rejected(), others.toString());
            assertTrue(served.get() >= CALLS / 2, served.get() + " calls were served");
            assertWithinLimits(harness);
        }
    }

    /** Returns how many calls were served; the others must be rejected, and all of them in time. */
    private int serveManyCalls() {
        try {
            long startNanos = System.nanoTime();
            List<Call> calls = new ArrayList<>();
            for (int i = 0; i < CALLS; i++) {
                calls.add(Call.unary(channels.get(i % channels.size()), LOOKUP, null, "q", CALL_MILLIS));
            }
            int served = 0;
            for (Call call : calls) {
                Status.Code code = call.status().getCode();
                assertTrue(code == Status.Code.OK || code == Status.Code.UNAVAILABLE, code.toString());
                served += code == Status.Code.OK ? 1 : 0;
            }
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(tookMillis <= CALL_MILLIS + SLACK_MILLIS, "all had ended after " + tookMillis + " ms");
            return served;
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private SidecarHarness harness(int port, long deadlineMillis) throws Exception {
        SidecarHarness harness = new SidecarHarness().withGrpc();
        harness.settings = harness.settings.replace("60000000", String.valueOf(deadlineMillis * 1_000));
        harness.addGrpcUpstream(port);
        return harness.start();
    }

    private Call lookup(SidecarHarness harness) {
        ManagedChannel channel = GrpcRig.channel(harness.sidecar.grpcAddress());
        channels.add(channel);
        return Call.unary(channel, LOOKUP, null, "q", 0);
    }

    /** Guards against long unary responses failing, which were only ever held whole. */
    @Test
    void responseThatIsTooLongToBeHeldIsServed() throws Exception {
        startUpstream(FORWARDED_BYTES, GrpcLongMessagesTest::endNow);
        try (SidecarHarness harness = harness(upstream.getPort(), CALL_MILLIS)) {
            Call call = lookup(harness);
            assertEquals(Status.Code.OK, call.status().getCode(), call.status().toString());
            assertEquals(FORWARDED_BYTES, call.next().length());
        }
    }

    @Test
    void forwardedResponseWhoseStatusNeverComesEndsAtItsDeadline() throws Exception {
        startUpstream(FORWARDED_BYTES, call -> {});
        try (SidecarHarness harness = harness(upstream.getPort(), 1_000)) {
            long startNanos = System.nanoTime();
            assertEquals(Status.Code.DEADLINE_EXCEEDED, lookup(harness).status().getCode());
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(tookMillis <= 1_000 + SLACK_MILLIS, "ended after " + tookMillis + " ms");
        }
    }

    @Test
    void forwardedResponseThatFailsEndsWithTheFailure() throws Exception {
        startUpstream(FORWARDED_BYTES, call -> call.close(Status.DATA_LOSS, new Metadata()));
        try (SidecarHarness harness = harness(upstream.getPort(), CALL_MILLIS)) {
            assertEquals(Status.Code.DATA_LOSS, lookup(harness).status().getCode());
        }
    }

    /** A client that has set no time of its own may read for longer than its class's deadline. */
    @Test
    void forwardedResponseIsServedToClientThatReadsSlowly() throws Exception {
        byte[] message = new byte[FORWARDED_BYTES];
        try (RawHttp2Node node = new RawHttp2Node(message, 16_384);
                SidecarHarness harness = harness(node.port(), 1_000);
                RawHttp2Client client = new RawHttp2Client(harness.sidecar.grpcAddress())) {
            client.call(1, "/" + LOOKUP);
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            for (RawHttp2Client.Frame frame; !(frame = client.read()).ends(1); ) {
                if (frame.type() == RawHttp2Client.DATA) {
                    received.writeBytes(frame.payload());
                    client.openWindow(1, frame.payload().length);
                    LockSupport.parkNanos(frame.payload().length * READ_NANOS_PER_BYTE);
                }
            }
            assertArrayEquals(RawHttp2Node.framed(message), received.toByteArray());
        }
    }

    /** Guards against one stream that its client does not read using up the window of the upstream's connection. */
    @Test
    void responseThatIsNotReadDoesNotStopOthersOfTheSameUpstream() throws Exception {
        startUpstream(LONG_BYTES, GrpcLongMessagesTest::endNow);
        try (SidecarHarness harness = harness(upstream.getPort(), CALL_MILLIS);
                RawHttp2Client unread = new RawHttp2Client(harness.sidecar.grpcAddress())) {
            unread.call(1, "/" + ECHO);
            while (unread.read().type() != RawHttp2Client.DATA) {
                // The response has begun with the first DATA frame.
            }
            Call other = lookup(harness);
            assertEquals(
                    Status.Code.OK, other.status().getCode(), other.status().toString());
        }
    }

    /** Guards against clients that don't read occupying all streams of an upstream for as long as they are connected. */
    @Test
    void responsesThatAreNotReadGiveTheirStreamsToOthers() throws Exception {
        int streams = 4;
        startUpstream(FORWARDED_BYTES, GrpcLongMessagesTest::endNow);
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.withGrpc("node_connections = 1\nnode_streams = " + streams);
            harness.addGrpcUpstream(upstream.getPort());
            harness.start();
            try (RawHttp2Client unread = new RawHttp2Client(harness.sidecar.grpcAddress())) {
                for (int stream = 1; stream < 2 * streams; stream += 2) {
                    unread.call(stream, "/" + LOOKUP);
                }
                while (unread.read().type() != RawHttp2Client.DATA) {
                    // The first response has begun with the first DATA frame.
                }
                Call other = lookup(harness);
                assertEquals(
                        Status.Code.OK, other.status().getCode(), other.status().toString());
            }
        }
    }

    /** Guards against the heap filling with requests whose ends do not come. */
    @Test
    void incompleteRequestsDoNotStopOthers() throws Exception {
        int connections = 30;
        int streams = 20;
        int sentBytes = 60_000;
        List<RawHttp2Client> clients = new ArrayList<>();
        startUpstream(10, GrpcLongMessagesTest::endNow);
        try (SidecarProcessHarness harness = processHarness()) {
            for (int i = 0; i < connections; i++) {
                RawHttp2Client client = new RawHttp2Client(harness.process().grpcAddress());
                clients.add(client);
                for (int stream = 1; stream < 2 * streams; stream += 2) {
                    client.frame(
                            RawHttp2Client.HEADERS,
                            RawHttp2Client.END_HEADERS,
                            stream,
                            RawHttp2Client.head("/" + LOOKUP));
                }
                for (int piece = 0; piece < sentBytes; piece += 10_000) {
                    for (int stream = 1; stream < 2 * streams; stream += 2) {
                        client.frame(RawHttp2Client.DATA, 0, stream, new int[10_000]);
                    }
                }
                client.flush();
            }
            channels.add(GrpcRig.channel(harness.process().grpcAddress()));
            CompletableFuture<Call> call = CompletableFuture.supplyAsync(
                    () -> Call.unary(channels.get(0), LOOKUP, null, "q".repeat(sentBytes), 10_000));
            CompletableFuture<Status> status = call.thenApply(GrpcLongMessagesTest::statusOf);
            SidecarProcessHarness.Service others = harness.serveUntil(status, OTHERS_MILLIS);
            assertEquals(Status.Code.OK, status.get().getCode(), status.get().toString());
            assertEquals(List.of(), others.wrong());
            assertFalse(others.served() < others.rejected(), others.toString());
            assertWithinLimits(harness);
        } finally {
            for (RawHttp2Client client : clients) {
                client.close();
            }
        }
    }

    private static Status statusOf(Call call) {
        try {
            return call.status();
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
