package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.testbed.RawHttp2Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A gRPC call whose client has left while the call was waiting is not sent to an upstream any more. */
@Timeout(60)
class GrpcClientGoneTest {
    /** An empty SETTINGS frame, with which an upstream's connection becomes usable. */
    private static final byte[] SETTINGS_FRAME = {0, 0, 0, RawHttp2Client.SETTINGS, 0, 0, 0, 0, 0};

    private static final int CANCEL = 8;
    /** Longer than the 0.1 s after which no attempt may begin for a client that has left. */
    private static final long STALL_NANOS = 200_000_000;

    /** How a client leaves. */
    private interface Disconnect {
        void apply(RawHttp2Client client) throws IOException;
    }

    private static Map<String, Disconnect> disconnects() {
        Map<String, Disconnect> ways = new LinkedHashMap<>();
        ways.put("reset of the stream", client -> {
            client.frame(RawHttp2Client.RST_STREAM, 0, 1, 0, 0, 0, CANCEL);
            client.flush();
        });
        ways.put("close of the connection", RawHttp2Client::close);
        return ways;
    }

    /**
     * Guards against an attempt that begins after its client has left: while the event loop is stalled an upstream's
     * connection becomes usable, and then the client leaves; the loop finds both, the upstream's frame first.
     */
    @Test
    void withdrawsCallWhenStalledLoopSeesUpstreamFirst() throws Exception {
        for (Map.Entry<String, Disconnect> way : disconnects().entrySet()) {
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                    SidecarHarness harness = new SidecarHarness().withGrpc()) {
                harness.addGrpcUpstream(upstream.getLocalPort());
                harness.start();
                try (RawHttp2Client client = new RawHttp2Client(harness.sidecar.grpcAddress())) {
                    client.call(1, "/stage.Booking/Lookup");
                    try (Socket connection = upstream.accept()) {
                        // The client's preface: the connection is established for the sidecar too.
                        connection.getInputStream().read();
                        harness.sidecar.loop().execute(() -> {
                            stalled.countDown();
                            EventLoopStallTest.awaitLatch(resume);
                            LockSupport.parkNanos(STALL_NANOS);
                        });
                        assertTrue(stalled.await(20, TimeUnit.SECONDS));
                        connection.getOutputStream().write(SETTINGS_FRAME);
                        way.getValue().apply(client);
                        resume.countDown();
                        assertEquals("outcome n0-g1 0 NOT_SENT true -", harness.await("outcome"), way.getKey());
                    }
                }
            }
        }
    }
}
