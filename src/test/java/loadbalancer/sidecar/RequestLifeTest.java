package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every accepted request gets one final response, whatever the balancer does. */
@Timeout(60)
class RequestLifeTest {
    /**
     * Limit on the lag of the event loop: an attempt's timeout that runs 5 ms late first checks once more for a
     * response.
     */
    private static final long MAX_LOOP_LAG_NANOS = 3_000_000;

    @Test
    void rejectsAtOnceWithRetryAfter() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.onRequest = (nowMicros, r, out) -> {
                out.reject(r.id(), 165_000);
                out.fail(r.id());
                out.reject(r.id(), 0);
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                ScriptedServer.Message answer = client.response();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertEquals("0.165", answer.header("Retry-After"));
                // The next response is for the next request, so there was no second response to the first one.
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    /** The balancer may never decide on a request; the client must still get a response before its deadline. */
    @Test
    void respondsBeforeDeadlineIfBalancerHoldsRequest() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.onRequest = (nowMicros, r, out) -> {};
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 300));
                assertEquals(502, client.status());
                assertEquals("expired a1", harness.await("expired"));
            }
        }
    }

    /**
     * If the event loop itself was late, the client is answered without the balancer, which hears of the timeout later;
     * such a run is repeated.
     */
    @Test
    void endsAttemptsAtDeadlineAndBalancerResponds() throws Exception {
        for (boolean inTime = false; !inTime; ) {
            try (SidecarHarness harness = new SidecarHarness()) {
                BlockingQueue<Long> lateNanos = new LinkedBlockingQueue<>();
                harness.addUpstream((m, connection) -> {});
                harness.onRequest = (nowMicros, r, out) -> {
                    out.send(r.id(), "u0", nowMicros + 60_000_000);
                    long dueNanos = System.nanoTime() + r.remainingMicros() * 1_000;
                    harness.sidecar
                            .loop()
                            .schedule(
                                    () -> lateNanos.add(System.nanoTime() - dueNanos),
                                    r.remainingMicros(),
                                    TimeUnit.MICROSECONDS);
                };
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(SidecarHarness.get("a1", 300));
                    assertEquals(502, client.status());
                    String outcome = harness.await("outcome");
                    inTime = lateNanos.take() < MAX_LOOP_LAG_NANOS;
                    if (inTime) {
                        assertEquals("outcome a1 0 TIMEOUT false -", outcome);
                    }
                }
            }
        }
    }

    /** An exception in the balancer ends neither the process nor the request that it concerns without a response. */
    @Test
    void exceptionInBalancerFailsTheRequest() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("500 No", "", ""));
            harness.onRequest = (nowMicros, r, out) -> {
                throw new IllegalStateException("thrown by the test");
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(502, client.status());
                harness.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
                harness.onOutcome = (id, outcome, done, out) -> {
                    throw new IllegalStateException("thrown by the test");
                };
                client.send(SidecarHarness.get("a2", 20_000));
                assertEquals(502, client.status());
                harness.onRequest = (nowMicros, r, out) -> out.startTimer("break", 1);
                client.send(SidecarHarness.get("a3", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    @Test
    void disconnectingClientEndsOnlyItsOwnRequest() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                harness.await("request");
            }
            assertEquals("expired a1", harness.await("expired"));
            harness.onRequest = (nowMicros, r, out) -> out.fail(r.id());
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a2", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    /** The response to a second attempt, or one after the final response, must not reach the client. */
    @Test
    void usesFirstResponseAndReportsLaterOneToBalancer() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            Object[] held = new Object[1];
            harness.addUpstream((m, connection) -> {
                synchronized (held) {
                    held[0] = connection;
                }
            });
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "second"));
            harness.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
            harness.onOutcome = (id, outcome, done, out) -> {};
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                harness.upstreams.get(0).next();
                harness.onRequest = (nowMicros, r, out) -> {
                    out.send("a1", "u1", 0);
                    out.fail(r.id());
                };
                try (ScriptedServer.Client other = harness.client()) {
                    other.send(SidecarHarness.get("a2", 20_000));
                    assertEquals(502, other.status());
                }
                assertEquals("second", client.response().body());
                assertEquals("outcome a1 1 OK true -", harness.await("outcome"));
                synchronized (held) {
                    ((ScriptedServer.Connection) held[0]).respond("200 OK", "", "first");
                }
                assertEquals("outcome a1 0 OK true -", harness.await("outcome"));
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    @Test
    void sendsNoMoreThanMaxAttempts() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream((m, connection) -> connection.respond("500 No", "", ""));
            harness.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.NOT_SENT) {
                    out.fail(id);
                } else {
                    out.send(id, "u0", 0);
                }
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals(4, up.messages.size());
            }
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", m.header("X-Txn")));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 40; i++) {
                    all.append(SidecarHarness.get("p" + i, 20_000));
                }
                client.send(all.toString());
                for (int i = 0; i < 40; i++) {
                    assertEquals("p" + i, client.response().body());
                }
            }
        }
    }

    /**
     * An event loop that stalls, as in the first second of a start on half a core, reads and connects nothing. Timeouts
     * that became due meanwhile must not be reported as the upstream's, which would then get no requests just then.
     */
    @Test
    void doesNotReportStalledLoopAsUpstreamTimeout() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond(
                    "200 OK", "", m.path().equals("/stats") ? "TEXT inflight=1, queue=0, util=0.5" : "ok"));
            harness.onRequest = (nowMicros, r, out) -> {
                out.checkHealth("u0");
                out.startTimer("stall", 0);
                out.send(r.id(), "u0", nowMicros + 100_000);
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals("outcome a1 0 NOT_SENT false -", harness.await("outcome"));
                assertEquals("probe u0 OK 1.0", harness.await("probe"));
            }
        }
    }
}
