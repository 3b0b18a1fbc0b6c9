package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.ServerCall;
import io.grpc.Status;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.testbed.GrpcRig;
import loadbalancer.testbed.GrpcRig.Call;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streaming gRPC calls that an upstream rejects while their client goes on sending. */
@Timeout(60)
class GrpcStreamRetryTest {
    private static final MethodDescriptor<String, String> ECHO =
            GrpcRig.method("stage.Booking/Echo", MethodType.BIDI_STREAMING);
    private static final int MESSAGES = 40;
    /** All messages together exceed what the sidecar holds of a call, 64 KiB, and HTTP/2's windows. */
    private static final String MESSAGE = "m".repeat(4_000);

    /** Counts the messages of a call, and rejects it, unexecuted, when it has {@code messagesBeforeRejection}. */
    private static final class Upstream extends ServerCall.Listener<String> {
        private final ServerCall<String, String> call;
        private final int messagesBeforeRejection;
        private final Semaphore received;
        private int messages;

        private Upstream(ServerCall<String, String> call, int messagesBeforeRejection, Semaphore received) {
            this.call = call;
            this.messagesBeforeRejection = messagesBeforeRejection;
            this.received = received;
            call.request(MESSAGES + 1);
        }

        /** Starts a server; {@code received} gets a permit for each message. */
        static io.grpc.Server start(int messagesBeforeRejection, Semaphore received) throws Exception {
            return GrpcRig.node(List.of(ECHO), (call, head) -> new Upstream(call, messagesBeforeRejection, received));
        }

        @Override
        public void onMessage(String message) {
            messages++;
            received.release();
            if (messages == messagesBeforeRejection) {
                Metadata trailers = new Metadata();
                trailers.put(Metadata.Key.of("x-turned-away", Metadata.ASCII_STRING_MARSHALLER), "1");
                call.close(Status.UNAVAILABLE.withDescription("queue full"), trailers);
            }
        }

        @Override
        public void onHalfClose() {
            call.sendHeaders(new Metadata());
            call.sendMessage(messages + " messages");
            call.close(Status.OK, new Metadata());
        }
    }

    /** A sidecar whose balancer sends all calls to u0, and two upstreams of which u0 rejects. */
    private static final class Setup implements AutoCloseable {
        final SidecarHarness harness = new SidecarHarness().withGrpc();
        final ManagedChannel channel;
        private final io.grpc.Server rejecting;
        private final io.grpc.Server serving = Upstream.start(Integer.MAX_VALUE, new Semaphore(0));
        private final Semaphore receivedByRejecting = new Semaphore(0);

        Setup(int messagesBeforeRejection, SidecarHarness.OutcomeHandler onRejection) throws Exception {
            rejecting = Upstream.start(messagesBeforeRejection, receivedByRejecting);
            harness.addGrpcUpstream(rejecting.getPort());
            harness.addGrpcUpstream(serving.getPort());
            harness.onOutcome = (id, outcome, done, out) -> {
                if (!outcome.mayHaveRun) {
                    onRejection.handle(id, outcome, done, out);
                } else if (!done) {
                    out.fail(id);
                }
            };
            harness.start();
            channel = GrpcRig.channel(harness.sidecar.grpcAddress());
        }

        /** Waits until u0 has got this many more messages. */
        void awaitReceived(int messages) throws InterruptedException {
            assertTrue(receivedByRejecting.tryAcquire(messages, 20, TimeUnit.SECONDS), "messages that did not arrive");
        }

        @Override
        public void close() throws Exception {
            channel.shutdownNow();
            harness.close();
            rejecting.shutdownNow();
            serving.shutdownNow();
        }
    }

    private static Call open(ManagedChannel channel, String id) {
        Metadata head = new Metadata();
        head.put(Metadata.Key.of("x-txn", Metadata.ASCII_STRING_MARSHALLER), id);
        return new Call(channel, ECHO, head, 20_000, 2);
    }

    private static void send(Call call, int messages) {
        for (int i = 0; i < messages; i++) {
            call.call.sendMessage(MESSAGE);
        }
    }

    /**
     * Guards against messages that arrive between two attempts being dropped, and the call served without them. The
     * rejected attempt got a part, or nearly all, of what the sidecar holds.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 16})
    void retriesRejectedStreamWithMessagesReceivedBetweenAttempts(int messagesBeforeRejection) throws Exception {
        try (Setup setup = new Setup(messagesBeforeRejection, (id, outcome, done, out) -> {})) {
            setup.harness.onRequest = (nowMicros, request, out) -> {
                if (request.id().equals("retry")) {
                    out.send("upload", "u1", 0);
                    out.reject("retry", 0);
                } else {
                    out.send(request.id(), "u0", 0);
                }
            };
            Call upload = open(setup.channel, "upload");
            send(upload, messagesBeforeRejection);
            setup.harness.await("outcome upload 0 REJECTED");
            send(upload, MESSAGES - messagesBeforeRejection);
            upload.call.halfClose();
            // On the same connection, so behind as many of the messages as HTTP/2's windows allow.
            open(setup.channel, "retry").status();
            assertServedWith(MESSAGES, upload);
        }
    }

    /** Guards against messages that were forwarded as they arrived missing from the next attempt. */
    @Test
    void retriesRejectedStreamWithMessagesThatWereForwarded() throws Exception {
        try (Setup setup = new Setup(3, (id, outcome, done, out) -> out.send(id, "u1", 0))) {
            Call upload = open(setup.channel, "upload");
            for (int i = 0; i < 3; i++) {
                send(upload, 1);
                setup.awaitReceived(1);
            }
            upload.call.halfClose();
            assertServedWith(3, upload);
        }
    }

    /** Guards against a call that surely did not run being told as one that may have: its client could not send it again. */
    @Test
    void refusesRejectedStreamThatIsTooLongToBeSentAgain() throws Exception {
        SidecarHarness.OutcomeHandler retryOrRefuse = (id, outcome, done, out) -> {
            if (outcome == Outcome.REJECTED) {
                out.send(id, "u1", 0);
            } else {
                out.reject(id, 0);
            }
        };
        try (Setup setup = new Setup(MESSAGES, retryOrRefuse)) {
            Call upload = open(setup.channel, "upload");
            send(upload, 1);
            setup.awaitReceived(1);
            send(upload, MESSAGES - 1);
            assertEquals(
                    Status.Code.UNAVAILABLE,
                    upload.status().getCode(),
                    upload.status().toString());
            setup.harness.await("outcome upload 1 NOT_SENT");
        }
    }

    private static void assertServedWith(int messages, Call call) throws InterruptedException {
        assertEquals(Status.Code.OK, call.status().getCode(), call.status().toString());
        assertEquals(messages + " messages", call.next());
    }
}
