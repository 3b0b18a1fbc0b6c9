package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Each behaviour of an upstream is reported to the balancer as the right outcome. */
@Timeout(60)
class OutcomesTest {
    private static void assertOutcome(String expected, int status, ScriptedServer.Script script) throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream(script);
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals("outcome a1 0 " + expected, harness.await("outcome"));
                assertEquals(status, client.status());
            }
        }
    }

    private static void assertMalformed(String answer) throws Exception {
        try {
            assertOutcome("MALFORMED false -", 502, (m, connection) -> connection.raw(answer));
        } catch (AssertionError exception) {
            throw new AssertionError(
                    "a malformed response was accepted: "
                            + answer.lines().limit(4).toList(),
                    exception);
        }
    }

    @Test
    void readsLoadReportOfResponse() throws Exception {
        assertOutcome(
                "OK true 7.0",
                200,
                (m, connection) ->
                        connection.respond("200 OK", "X-Pressure: TEXT inflight=7, queue=2, util=0.61\r\n", "slot"));
    }

    @Test
    void ignoresMalformedLoadReports() throws Exception {
        for (String report : new String[] {
            "TEXT inflight=", "TEXT inflight=NaN", "TEXT inflight=-1", "TEXT inflight=1e300, queue=0", "JSON {}", "TEXT"
        }) {
            assertOutcome(
                    "OK true -",
                    200,
                    (m, connection) -> connection.respond("200 OK", "X-Pressure: " + report + "\r\n", "slot"));
        }
    }

    @Test
    void onlyResponseMarkedAsRejectedProvesThatNothingRan() throws Exception {
        assertOutcome(
                "REJECTED false -", 502, (m, connection) -> connection.respond("503 Busy", "X-Turned-Away: 1\r\n", ""));
        assertOutcome(
                "REJECTED false -", 502, (m, connection) -> connection.respond("504 Late", "X-Turned-Away: 1\r\n", ""));
        assertOutcome("ERROR false -", 502, (m, connection) -> connection.respond("503 Busy", "", ""));
        assertOutcome(
                "ERROR false -", 502, (m, connection) -> connection.respond("500 Oops", "X-Turned-Away: 1\r\n", ""));
        assertOutcome("ERROR false -", 502, (m, connection) -> connection.respond("302 Found", "", ""));
    }

    @Test
    void connectionThatBreaksAfterWriteIsReset() throws Exception {
        assertOutcome("RESET false -", 502, (m, connection) -> connection.reset());
        assertOutcome(
                "RESET false -", 502, (m, connection) -> connection.socket().close());
        assertOutcome("RESET false -", 502, (m, connection) -> {
            connection.raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            connection.socket().close();
        });
    }

    /**
     * A response that can't be told from a truncated one or from noise must not be served. The upstream keeps the
     * connection open, so each of these must be noticed without its help and long before the deadline.
     */
    @Test
    void malformedResponsesAreNotServed() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\n";
        for (String answer : new String[] {
            "this is no HTTP at all\r\n\r\n",
            "noise without a line's end",
            ok + "X-Endless: ",
            ok + "X-Endless: " + "x".repeat(20_000),
            ok + "Content-Length: 67108865\r\n\r\nx",
            ok + "Content-Length: 1048577\r\n\r\nx",
            ok + "Content-Length: 3221225472\r\n\r\nxx",
            ok + "Content-Length: -1\r\n\r\nslot",
            ok + "Content-Length: four\r\n\r\nslot",
            ok + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nslots",
            ok + "Content-Length: 10\r\n\r\nslot",
            ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nslot\r\n0\r\n\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n",
            ok + "\r\nslot",
            ok + "a line without a colon\r\nContent-Length: 4\r\n\r\nslot",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: upgrade\r\n\r\nslot",
            "HTTP/9.9 twohundred OK\r\nContent-Length: 4\r\n\r\nslot"
        }) {
            assertMalformed(answer);
        }
        assertOutcome("MALFORMED false -", 502, (m, connection) -> {
            connection.raw(ok + "\r\nslot");
            connection.socket().close();
        });
    }

    /** Bytes behind a response belong to no request: they must not become the response to the next one. */
    @Test
    void bytesBehindResponseAreNotServed() throws Exception {
        for (String behind : new String[] {
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy",
            "noise",
            "noise\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Le"
        }) {
            try (SidecarHarness harness = new SidecarHarness()) {
                ScriptedServer up = harness.addUpstream((m, connection) ->
                        connection.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + m.header("X-Txn") + behind));
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    for (String id : new String[] {"a1", "a2", "a3"}) {
                        client.send(SidecarHarness.get(id, 20_000));
                        assertEquals(id, client.response().body());
                    }
                    assertEquals(3, up.accepted.size(), "a connection with unread bytes was reused");
                }
            }
        }
    }

    /** A request that an upstream can't handle is its client's fault and must not count against the upstream. */
    @Test
    void clientErrorIsInvalidAndNotAnError() throws Exception {
        assertOutcome("INVALID false -", 502, (m, connection) -> connection.respond("400 Bad Request", "", ""));
        assertOutcome("INVALID false -", 502, (m, connection) -> connection.respond("404 Not Found", "", ""));
    }

    /** A slow response is valid: its pieces may together take longer than any single pause is allowed to. */
    @Test
    void waitsForResponseInPieces() throws Exception {
        assertOutcome("OK true -", 200, (m, connection) -> {
            for (String piece : "HTTP/1.1 200 OK|\r\nContent-|Length: 4\r\n|\r\ns|l|o|t".split("[|]")) {
                connection.raw(piece);
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            }
        });
    }

    /** An interim (1xx) response is not the final response. */
    @Test
    void waitsForFinalResponseAfterInterimOnes() throws Exception {
        assertOutcome("OK true -", 200, (m, connection) -> {
            connection.raw("HTTP/1.1 100 Continue\r\n\r\n");
            connection.raw("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            connection.respond("200 OK", "", "slot");
        });
    }

    @Test
    void refusedConnectionIsConnectFailure() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {}).close();
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals("outcome a1 0 CONNECT_FAILED false -", harness.await("outcome"));
            }
        }
    }

    /**
     * A late response to an attempt that timed out must not reach another request, so its connection must not be
     * reused.
     */
    @Test
    void timeoutClosesConnectionAndNextRequestOpensAnother() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream((m, connection) -> {});
            harness.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", nowMicros + 100_000);
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals("outcome a1 0 TIMEOUT false -", harness.await("outcome"));
                // Otherwise the read below could see the request itself, if this server is slower than the timeout.
                up.next();
                assertEquals(-1, up.accepted.take().getInputStream().read(), "the connection was left open");
                assertEquals(502, client.status());
                up.script = (m, connection) -> connection.respond("200 OK", "", "fresh");
                harness.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
                client.send(SidecarHarness.get("a2", 20_000));
                assertEquals("fresh", client.response().body());
                assertNotNull(up.accepted.poll(20, TimeUnit.SECONDS));
            }
        }
    }

    @Test
    void cancelledAttemptClosesItsConnection() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {});
            harness.onRequest = (nowMicros, r, out) -> {
                out.send(r.id(), "u0", 0);
                out.cancel(r.id(), 0);
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals("outcome a1 0 CANCELLED false -", harness.await("outcome"));
            }
        }
    }

    /** Neither a library nor the pool may resend a request by itself: the reset of a stale connection is an outcome. */
    @Test
    void staleConnectionIsResetAndRequestIsNotResent() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "one"));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(200, client.status());
                up.script = (m, connection) -> connection.reset();
                client.send(SidecarHarness.get("a2", 20_000));
                harness.await("outcome a1");
                assertEquals("outcome a2 0 RESET false -", harness.await("outcome"));
                assertEquals(502, client.status());
                assertEquals(2, up.messages.size());
                assertEquals(1, up.accepted.size(), "the second request did not use the idle connection");
            }
        }
    }

    /** A request written to a connection that the upstream has announced to close would end as a reset. */
    @Test
    void doesNotReuseConnectionThatUpstreamCloses() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream(
                    (m, connection) -> connection.respond("200 OK", "Connection: close\r\n", "one"));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                for (String id : new String[] {"a1", "a2"}) {
                    client.send(SidecarHarness.get(id, 20_000));
                    assertEquals(200, client.status());
                }
                assertEquals(2, up.accepted.size());
            }
        }
    }

    /**
     * Upstreams send larger responses than the protocol says; rejecting one would reject it from each upstream in turn.
     */
    @Test
    void forwardsLargeResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "z".repeat(400_000)));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(400_000, client.response().body().length());
            }
        }
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream(
                    (m, connection) -> connection.respond("200 OK", "", "b\u00f6dy\u0000" + "y".repeat(60_000)));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(
                        "POST /api/x?y=%20z HTTP/1.1\r\nHost: a\r\nX-Txn: q7\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\n"
                                + "Idempotency-Key: k9\r\nContent-Length: 5\r\n\r\nh\u00e9llo");
                ScriptedServer.Message answer = client.response();
                assertEquals("b\u00f6dy\u0000" + "y".repeat(60_000), answer.body());
                ScriptedServer.Message sent = up.next();
                assertTrue(sent.head().startsWith("POST /api/x?y=%20z HTTP/1.1\r\n"), sent.head());
                assertEquals("q7", sent.header("X-Txn"));
                assertEquals("k9", sent.header("Idempotency-Key"));
                assertEquals("h\u00e9llo", sent.body());
                int waits = Integer.parseInt(sent.header("X-Remaining-Ms"));
                assertTrue(waits > 0 && waits <= 9000, "remaining ms " + waits);
            }
        }
    }
}
