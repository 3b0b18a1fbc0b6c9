package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** A stalled event loop reads nothing; unread data must not make a client count as silent. */
class EventLoopStallTest {
    /** After this many connections with one request each, idle ones are kept only briefly. */
    private static final int SINGLE_REQUEST_CONNECTIONS = 150;

    @Test
    void keepsNewConnectionWithUnreadRequest() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            harness.onRequest = (nowMicros, r, out) -> {
                if (r.id().equals("stall")) {
                    stalled.countDown();
                    awaitLatch(written);
                    // Longer than any connection may now be idle, and than two sweeps.
                    LockSupport.parkNanos(600_000_000);
                }
                out.send(r.id(), "u0", 0);
            };
            harness.start();
            harness.sendOnePerConnection(SINGLE_REQUEST_CONNECTIONS);
            try (ScriptedServer.Client other = harness.client();
                    ScriptedServer.Client newClient = harness.client()) {
                // Its response comes after the loop has accepted both connections.
                assertEquals(
                        200, other.send(SidecarHarness.get("first", 20_000)).status());
                other.send(SidecarHarness.get("stall", 20_000));
                assertTrue(stalled.await(20, TimeUnit.SECONDS));
                newClient.send(SidecarHarness.get("unread", 20_000));
                written.countDown();
                assertEquals(200, newClient.status());
                assertEquals(200, other.status());
            }
        }
    }

    /** A silent connection is still closed, soon where connections are hardly reused. */
    @Test
    void closesSilentConnection() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            harness.start();
            try (ScriptedServer.Client silent = harness.client()) {
                assertTrue(silent.awaitClose());
            }
        }
    }

    static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
