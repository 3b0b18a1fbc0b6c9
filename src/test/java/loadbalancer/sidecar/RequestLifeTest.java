package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Every request taken gets one final answer, whatever the module does. */
@Timeout(60)
class RequestLifeTest {
    /** An attempt's time-out that is later by 5 ms looks for its answer once more. */
    private static final long IN_TIME_NANOS = 3_000_000;

    @Test
    void aRefusalIsSaidAtOnceWithTheTimeToComeBack() throws Exception {
        try (Rig rig = new Rig()) {
            rig.onRequest = (nowMicros, r, out) -> {
                out.reject(r.id(), 165_000);
                out.fail(r.id());
                out.reject(r.id(), 0);
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 20_000));
                Peer.Message answer = client.answer();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertEquals("0.165", answer.header("Retry-After"));
                // The next answer belongs to the next request: nothing more came about the first.
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    /** The module may fail to answer; the client's time must not run out over it. */
    @Test
    void aRequestThatTheModuleHoldsIsAnsweredBeforeItsTimeIsUp() throws Exception {
        try (Rig rig = new Rig()) {
            rig.onRequest = (nowMicros, r, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 300));
                assertEquals(502, client.status());
                assertEquals("expired a1", rig.await("expired"));
            }
        }
    }

    /**
     * Of a loop that was late itself the module hears later, and the client is answered without it: such a play does
     * not count.
     */
    @Test
    void attemptsAreGivenUpAtTheDeadlineAndTheModuleAnswers() throws Exception {
        for (boolean inTime = false; !inTime; ) {
            try (Rig rig = new Rig()) {
                BlockingQueue<Long> lateNanos = new LinkedBlockingQueue<>();
                rig.upstream((m, line) -> {});
                rig.onRequest = (nowMicros, r, out) -> {
                    out.send(r.id(), "u0", nowMicros + 60_000_000);
                    long dueNanos = System.nanoTime() + r.remainingMicros() * 1_000;
                    rig.sidecar
                            .loop()
                            .schedule(
                                    () -> lateNanos.add(System.nanoTime() - dueNanos),
                                    r.remainingMicros(),
                                    TimeUnit.MICROSECONDS);
                };
                rig.start();
                try (Peer.Client client = rig.client()) {
                    client.send(Rig.get("a1", 300));
                    assertEquals(502, client.status());
                    String outcome = rig.await("outcome");
                    inTime = lateNanos.take() < IN_TIME_NANOS;
                    if (inTime) {
                        assertEquals("outcome a1 0 TIMEOUT false -", outcome);
                    }
                }
            }
        }
    }

    /** A fault in the module ends neither the program nor the request that met it. */
    @Test
    void anExceptionInTheModuleAnswersWhatItMet() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("500 No", "", ""));
            rig.onRequest = (nowMicros, r, out) -> {
                throw new IllegalStateException("as the test wants");
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
                rig.onOutcome = (id, outcome, done, out) -> {
                    throw new IllegalStateException("as the test wants");
                };
                client.send(Rig.get("a2", 20_000));
                assertEquals(502, client.status());
                rig.onRequest = (nowMicros, r, out) -> out.startTimer("break", 1);
                client.send(Rig.get("a3", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    @Test
    void aClientThatLeavesEndsItsRequestAndNoOther() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> {});
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 20_000));
                rig.await("request");
            }
            assertEquals("expired a1", rig.await("expired"));
            rig.onRequest = (nowMicros, r, out) -> out.fail(r.id());
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a2", 20_000));
                assertEquals(502, client.status());
            }
        }
    }

    /** A second copy's answer, or one after the final answer, must not reach the client. */
    @Test
    void theFirstAnswerCountsAndALaterOneIsOnlyTold() throws Exception {
        try (Rig rig = new Rig()) {
            Object[] held = new Object[1];
            rig.upstream((m, line) -> {
                synchronized (held) {
                    held[0] = line;
                }
            });
            rig.upstream((m, line) -> line.answer("200 OK", "", "second"));
            rig.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u0", 0);
            rig.onOutcome = (id, outcome, done, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 20_000));
                rig.peers.get(0).next();
                rig.onRequest = (nowMicros, r, out) -> {
                    out.send("a1", "u1", 0);
                    out.fail(r.id());
                };
                try (Peer.Client other = rig.client()) {
                    other.send(Rig.get("a2", 20_000));
                    assertEquals(502, other.status());
                }
                assertEquals("second", client.answer().body());
                assertEquals("outcome a1 1 OK true -", rig.await("outcome"));
                synchronized (held) {
                    ((Peer.Line) held[0]).answer("200 OK", "", "first");
                }
                assertEquals("outcome a1 0 OK true -", rig.await("outcome"));
                client.send("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(404, client.status());
            }
        }
    }

    @Test
    void attemptsBeyondWhatIsAllowedAreNotSent() throws Exception {
        try (Rig rig = new Rig()) {
            Peer up = rig.upstream((m, line) -> line.answer("500 No", "", ""));
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.NOT_SENT) {
                    out.fail(id);
                } else {
                    out.send(id, "u0", 0);
                }
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals(4, up.messages.size());
            }
        }
    }

    @Test
    void requestsSentAheadAreAnsweredInTheirTurn() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
            rig.start();
            try (Peer.Client client = rig.client()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 40; i++) {
                    all.append(Rig.get("p" + i, 20_000));
                }
                client.send(all.toString());
                for (int i = 0; i < 40; i++) {
                    assertEquals("p" + i, client.answer().body());
                }
            }
        }
    }

    /**
     * A loop that stands still, as in the first second of a start on half a core, reads nothing and opens nothing. What
     * came due meanwhile must not be told as the upstream's silence: it would be left alone just then.
     */
    @Test
    void aLoopThatStoodStillDoesNotTakeItForTheUpstreams() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) ->
                    line.answer("200 OK", "", m.path().equals("/stats") ? "TEXT inflight=1, queue=0, util=0.5" : "ok"));
            rig.onRequest = (nowMicros, r, out) -> {
                out.checkHealth("u0");
                out.startTimer("stall", 0);
                out.send(r.id(), "u0", nowMicros + 100_000);
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 20_000));
                assertEquals(502, client.status());
                assertEquals("outcome a1 0 NOT_SENT false -", rig.await("outcome"));
                assertEquals("probe u0 OK 1.0", rig.await("probe"));
            }
        }
    }
}
