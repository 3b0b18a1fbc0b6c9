package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request whose client has disconnected while the request was waiting is not sent to an upstream any more. */
@Timeout(60)
class ClientGoneTest {
    private interface Disconnect {
        void apply(ScriptedServer.Client client) throws IOException;
    }

    private static final Map<String, Disconnect> DISCONNECTS =
            Map.of("FIN", c -> c.socket.close(), "FIN alone", c -> c.socket.shutdownOutput(), "RST", c -> {
                c.socket.setSoLinger(true, 0);
                c.socket.close();
            });

    private static SidecarHarness harness() throws IOException {
        SidecarHarness harness = new SidecarHarness();
        harness.settings = harness.settings.replace("\"dial_timeout_us\":2000000", "\"dial_timeout_us\":20000000");
        return harness;
    }

    /**
     * Sends requests to an upstream that accepts no connections, disconnects in each way, and checks that the first
     * request is withdrawn.
     */
    private static void assertWithdrawn(String id, String sent) throws Exception {
        for (Map.Entry<String, Disconnect> way : DISCONNECTS.entrySet()) {
            try (SidecarHarness harness = harness();
                    FullBacklogServer fullServer = new FullBacklogServer()) {
                harness.addUpstreamAt(fullServer.address());
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(sent);
                    harness.await("request " + id);
                    way.getValue().apply(client);
                    assertEquals("outcome " + id + " 0 NOT_SENT true -", harness.await("outcome"), way.getKey());
                }
                assertTrue(fullServer.receivedNoOtherConnection(), way.getKey() + ": the request was sent");
            }
        }
    }

    @Test
    void withdrawsRequestWhileUpstreamConnects() throws Exception {
        assertWithdrawn("a1", SidecarHarness.get("a1", 20_000));
    }

    /** Invalid bytes after the request are not read as requests; the end of the connection is still noticed. */
    @Test
    void withdrawsRequestFollowedByInvalidBytes() throws Exception {
        assertWithdrawn(
                "a1", SidecarHarness.get("a1", 20_000) + "NOISE\u0001 WITHOUT END\r\n\r\n" + "x".repeat(200_000));
    }

    /** A client that pipelines requests and disconnects withdraws all of them. */
    @Test
    void withdrawsPipelinedRequests() throws Exception {
        for (Map.Entry<String, Disconnect> way : DISCONNECTS.entrySet()) {
            BlockingQueue<ScriptedServer.Connection> held = new LinkedBlockingQueue<>();
            try (SidecarHarness harness = harness()) {
                ScriptedServer up = harness.addUpstream((m, connection) -> held.add(connection));
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    StringBuilder pipelined = new StringBuilder();
                    for (int i = 0; i < 25; i++) {
                        pipelined.append(SidecarHarness.get("a" + i, 20_000));
                    }
                    client.send(pipelined.toString());
                    up.next();
                    way.getValue().apply(client);
                    assertEquals("expired a0", harness.await("expired"), way.getKey());
                    held.take().respond("200 OK", "", "late");
                    assertEquals("outcome a0 0 OK true -", harness.await("outcome"));
                }
                try (ScriptedServer.Client next = harness.client()) {
                    next.send(SidecarHarness.get("b", 20_000));
                    assertTrue(up.next().head().contains("X-Txn: b"), way.getKey() + ": a pipelined request was sent");
                }
            }
        }
    }

    /**
     * More requests than the sidecar serves at once on a connection; the end of the connection behind them is still
     * noticed.
     */
    @Test
    void withdrawsFirstOfHundredsOfPipelinedRequests() throws Exception {
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            pipelined.append(SidecarHarness.get("a" + i, 20_000));
        }
        assertWithdrawn("a0", pipelined.toString());
    }

    /** The kernel has all of a large body, and the client disconnects before an upstream has been reached. */
    @Test
    void withdrawsLargeBodyWhileUpstreamConnects() throws Exception {
        for (int length : new int[] {150_000, 3_000_000}) {
            for (Map.Entry<String, Disconnect> way : DISCONNECTS.entrySet()) {
                try (SidecarHarness harness = harness();
                        FullBacklogServer fullServer = new FullBacklogServer()) {
                    harness.addUpstreamAt(fullServer.address());
                    harness.start();
                    try (ScriptedServer.Client client = harness.client()) {
                        client.send(SidecarHarness.post("a1", "k", "key-1", 20_000)
                                        .replace("Content-Length: 0", "Content-Length: " + length)
                                + "x".repeat(length));
                        harness.await("request a1");
                        harness.awaitConnectTasks();
                        way.getValue().apply(client);
                    }
                    fullServer.drainBacklog();
                    harness.await("outcome a1 0");
                    assertTrue(
                            fullServer.receivedNoCompleteBody(length),
                            way.getKey() + ", " + length + " bytes: all of the request was sent");
                }
            }
        }
    }

    /**
     * The request is unread in the kernel, because the event loop is stalled or the connection is not yet accepted,
     * when its client disconnects.
     */
    @Test
    void withdrawsUnreadRequest() throws Exception {
        for (Map.Entry<String, Disconnect> way : DISCONNECTS.entrySet()) {
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            try (SidecarHarness harness = harness()) {
                ScriptedServer up = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
                harness.onRequest = (nowMicros, r, out) -> {
                    if (r.id().equals("stall")) {
                        stalled.countDown();
                        EventLoopStallTest.awaitLatch(resume);
                    }
                    out.send(r.id(), "u0", 0);
                };
                harness.start();
                try (ScriptedServer.Client other = harness.client();
                        ScriptedServer.Client known = harness.client()) {
                    assertEquals(
                            200, known.send(SidecarHarness.get("first", 20_000)).status());
                    other.send(SidecarHarness.get("stall", 20_000));
                    assertTrue(stalled.await(20, TimeUnit.SECONDS));
                    way.getValue().apply(known.send(SidecarHarness.get("a1", 20_000)));
                    try (ScriptedServer.Client newcomer = harness.client()) {
                        way.getValue()
                                .apply(newcomer.send(
                                        SidecarHarness.get("a2", 20_000) + SidecarHarness.get("a3", 20_000) + "half"));
                        resume.countDown();
                        assertEquals(200, other.status());
                    }
                }
                try (ScriptedServer.Client next = harness.client()) {
                    assertEquals(200, next.send(SidecarHarness.get("b", 20_000)).status());
                }
                assertEquals(3, up.messages.size(), way.getKey() + ": the request was sent");
            }
        }
    }

    /**
     * While the event loop is stalled the upstream connection is established, and then the client disconnects; the loop
     * then finds both events, the connection first.
     */
    @Test
    void withdrawsRequestWhenStalledLoopSeesUpstreamConnectionFirst() throws Exception {
        for (Map.Entry<String, Disconnect> way : DISCONNECTS.entrySet()) {
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            try (SidecarHarness harness = harness();
                    FullBacklogServer fullServer = new FullBacklogServer()) {
                harness.addUpstreamAt(fullServer.address());
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(SidecarHarness.get("a1", 20_000));
                    harness.await("request a1");
                    harness.awaitConnectTasks();
                    harness.sidecar.loop().execute(() -> {
                        stalled.countDown();
                        EventLoopStallTest.awaitLatch(resume);
                    });
                    assertTrue(stalled.await(20, TimeUnit.SECONDS));
                    fullServer.drainBacklog();
                    try (Socket up = fullServer.acceptNext()) {
                        way.getValue().apply(client);
                        resume.countDown();
                        assertEquals("outcome a1 0 NOT_SENT true -", harness.await("outcome"), way.getKey());
                        assertEquals(-1, up.getInputStream().read(), way.getKey() + ": the request was sent");
                    }
                }
            }
        }
    }

    /** The balancer holds the request, or is about to retry it: its later actions for the request have no effect. */
    @Test
    void withdrawsRequestThatBalancerHoldsOrRetries() throws Exception {
        for (boolean tried : new boolean[] {false, true}) {
            for (Map.Entry<String, Disconnect> way : DISCONNECTS.entrySet()) {
                try (SidecarHarness harness = harness()) {
                    ScriptedServer up = harness.addUpstream(
                            (m, connection) -> connection.respond("503 Full", "X-Turned-Away: 1\r\n", ""));
                    harness.onRequest = (nowMicros, r, out) -> {
                        if (tried) {
                            out.send(r.id(), "u0", 0);
                        }
                    };
                    harness.onOutcome = (id, outcome, done, out) -> {};
                    harness.start();
                    try (ScriptedServer.Client client = harness.client()) {
                        client.send(SidecarHarness.get("a1", 20_000));
                        harness.await(tried ? "outcome a1 0 REJECTED" : "request a1");
                        way.getValue().apply(client);
                        assertEquals("expired a1", harness.await("expired"), way.getKey());
                    }
                    harness.onRequest = (nowMicros, r, out) -> {
                        out.send("a1", "u0", 0);
                        out.send(r.id(), "u0", 0);
                    };
                    harness.onOutcome = (id, outcome, done, out) -> out.fail(id);
                    try (ScriptedServer.Client next = harness.client()) {
                        next.send(SidecarHarness.get("b", 20_000));
                        assertEquals(502, next.status());
                    }
                    assertEquals(tried ? 2 : 1, up.messages.size(), way.getKey() + ": the request was sent");
                }
            }
        }
    }

    /** The same holds for hedged requests: a second attempt that waits for its connection is not sent. */
    @Test
    void doesNotSendHedgedRequestAfterResponse() throws Exception {
        try (SidecarHarness harness = harness();
                FullBacklogServer fullServer = new FullBacklogServer()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "first"));
            harness.addUpstreamAt(fullServer.address());
            harness.onRequest = (nowMicros, r, out) -> {
                out.send(r.id(), "u1", 0);
                out.send(r.id(), "u0", 0);
            };
            harness.onOutcome = (id, outcome, done, out) -> {};
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                assertEquals(
                        "first",
                        client.send(SidecarHarness.get("a1", 20_000)).response().body());
                assertEquals("outcome a1 0 NOT_SENT true -", harness.await("outcome"));
                assertEquals("outcome a1 1 OK true -", harness.await("outcome"));
            }
            assertTrue(fullServer.receivedNoOtherConnection(), "the hedged request was sent");
        }
    }

    /** The same holds for a request that the balancer has failed or rejected. */
    @Test
    void doesNotSendFailedOrRejectedRequestWhenConnected() throws Exception {
        for (int status : new int[] {502, 503}) {
            try (SidecarHarness harness = harness();
                    FullBacklogServer fullServer = new FullBacklogServer()) {
                harness.addUpstreamAt(fullServer.address());
                harness.onRequest = (nowMicros, r, out) -> {
                    out.send(r.id(), "u0", 0);
                    if (status == 502) {
                        out.fail(r.id());
                    } else {
                        out.reject(r.id(), 0);
                    }
                };
                harness.onOutcome = (id, outcome, done, out) -> {};
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    assertEquals(
                            status,
                            client.send(SidecarHarness.get("a1", 20_000)).status());
                    assertEquals("outcome a1 0 NOT_SENT true -", harness.await("outcome"));
                }
                assertTrue(fullServer.receivedNoOtherConnection(), "the request was sent");
            }
        }
    }
}
