package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Shutdown at the moment when a client has sent data that is still unread, or waits for a response that does not come.
 */
@Timeout(60)
class ShutdownRaceTest {
    /**
     * All requests that were pipelined before the shutdown are answered; the connection is not closed after the first.
     */
    @Test
    void answersPipelinedRequestsAfterStop() throws Exception {
        BlockingQueue<ScriptedServer.Connection> held = new LinkedBlockingQueue<>();
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream((m, connection) -> {
                if (m.header("X-Txn").equals("a0")) {
                    held.add(connection);
                } else {
                    connection.respond("200 OK", "", m.header("X-Txn"));
                }
            });
            harness.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a0", 30_000)
                        + SidecarHarness.get("a1", 30_000)
                        + SidecarHarness.get("a2", 30_000));
                up.next();
                harness.sidecar.stop(stopped::countDown);
                held.take().respond("200 OK", "", "a0");
                for (String id : List.of("a0", "a1", "a2")) {
                    ScriptedServer.Message m = client.response();
                    assertEquals(id, m == null ? "end of connection" : m.body());
                    assertEquals(id.equals("a2") ? "close" : null, m.header("Connection"));
                }
                assertTrue(client.awaitClose());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * An idle connection is closed by a check that follows the client's next request in the same iteration of the event
     * loop.
     */
    @Test
    void servesRequestThatCrossesCloseOfIdleConnection() throws Exception {
        for (boolean inOrder = false; !inOrder; ) {
            try (SidecarHarness harness = new SidecarHarness()) {
                harness.addUpstream((m, connection) -> connection.respond("200 OK", "", m.header("X-Txn")));
                harness.start();
                CountDownLatch stopped = new CountDownLatch(1);
                try (ScriptedServer.Client client = harness.client()) {
                    assertEquals(
                            "a0",
                            client.send(SidecarHarness.get("a0", 30_000))
                                    .response()
                                    .body());
                    inOrder = harness.stopAndRunBeforeNextCheck(
                            stopped::countDown, () -> client.send(SidecarHarness.get("a1", 30_000)));
                    if (inOrder) {
                        ScriptedServer.Message m = client.response();
                        assertEquals("a1", m == null ? "end of connection" : m.body());
                        assertEquals("close", m.header("Connection"));
                        assertTrue(client.awaitClose());
                    }
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** Clients that the kernel has connected, but that are not accepted yet when the listener is closed. */
    @Test
    void servesClientsInBacklogWhenListenerCloses() throws Exception {
        for (boolean inOrder = false; !inOrder; ) {
            try (SidecarHarness harness = new SidecarHarness()) {
                harness.addUpstream((m, connection) -> connection.respond("200 OK", "", m.header("X-Txn")));
                harness.start();
                CountDownLatch stopped = new CountDownLatch(1);
                List<ScriptedServer.Client> late = new ArrayList<>();
                inOrder = harness.stopAndRunBeforeNextCheck(stopped::countDown, () -> {
                    for (int i = 0; i < 5; i++) {
                        late.add(harness.client().send(SidecarHarness.get("a" + i, 30_000)));
                    }
                });
                for (int i = 0; i < late.size(); i++) {
                    if (inOrder) {
                        ScriptedServer.Message m = late.get(i).response();
                        assertEquals("a" + i, m == null ? "end of connection" : m.body());
                    }
                    late.get(i).close();
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** A hanging upstream delays neither the response beyond the client's deadline nor the shutdown. */
    @Test
    void hangingUpstreamDelaysNeitherResponseNorStop() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 1_500));
                harness.upstreams.get(0).next();
                harness.sidecar.stop(stopped::countDown);
                ScriptedServer.Message m = client.response();
                assertTrue(m != null && m.head().startsWith("HTTP/1.1 502"), "no final answer: " + m);
                assertEquals("close", m.header("Connection"));
                assertTrue(client.awaitClose());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }
}
