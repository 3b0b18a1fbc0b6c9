package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A graceful shutdown loses no request that a client has sent. */
@Timeout(60)
class ShutdownTest {
    @Test
    void servesNewConnectionsAndIncompleteRequestsAfterStop() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            CountDownLatch answer = new CountDownLatch(1);
            harness.addUpstream((m, connection) -> {
                if (m.header("X-Txn").equals("held")) {
                    try {
                        answer.await();
                    } catch (InterruptedException exception) {
                        throw new java.io.InterruptedIOException();
                    }
                }
                connection.respond("200 OK", "", m.header("X-Txn"));
            });
            harness.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (ScriptedServer.Client held = harness.client();
                    ScriptedServer.Client half = harness.client();
                    ScriptedServer.Client idle = harness.client()) {
                held.send(SidecarHarness.get("held", 30_000));
                harness.await("request held");
                idle.send(SidecarHarness.get("before", 30_000));
                assertEquals("before", idle.response().body());
                String text = SidecarHarness.get("half", 30_000);
                half.send(text.substring(0, 30));
                harness.sidecar.stop(stopped::countDown);
                try (ScriptedServer.Client fresh = harness.client()) {
                    fresh.send(SidecarHarness.get("fresh", 30_000));
                    ScriptedServer.Message m = fresh.response();
                    assertEquals("fresh", m.body());
                    assertEquals("close", m.header("Connection"));
                    assertEquals(null, fresh.response());
                }
                // The shutdown closes the idle connection; requests on it before that are still served.
                assertEquals(null, idle.response());
                half.send(text.substring(30));
                ScriptedServer.Message late = half.response();
                assertEquals("half", late.body());
                assertEquals("close", late.header("Connection"));
                assertEquals(1, stopped.getCount(), "the sidecar stopped with a request in progress");
                answer.countDown();
                assertEquals("held", held.response().body());
                assertEquals(null, held.response());
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** An incomplete request of a silent client delays the shutdown no longer than a client would wait. */
    @Test
    void silentClientDoesNotPreventStop() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (ScriptedServer.Client half = harness.client()) {
                half.send("GET /api HTTP/1.1\r\nX-T");
                harness.sidecar.stop(stopped::countDown);
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
                assertEquals(408, half.status());
            }
        }
    }

    /** At the limit of connections an idle one is closed to make room; otherwise new ones would wait forever. */
    @Test
    void closesIdleConnectionsForNewOnes() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.maxDescriptors = 64 + 2 * 16;
            harness.start();
            ScriptedServer.Client[] clients = new ScriptedServer.Client[40];
            for (int i = 0; i < clients.length; i++) {
                clients[i] = harness.client();
                clients[i].send(SidecarHarness.get("c" + i, 30_000));
                assertEquals(200, clients[i].status());
            }
            assertEquals(null, clients[0].response());
            for (ScriptedServer.Client c : clients) {
                c.close();
            }
        }
    }
}
