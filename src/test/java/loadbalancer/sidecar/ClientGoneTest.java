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

/** A request whose client has left while it waited, whatever it waited for, is sent to nobody any more. */
@Timeout(60)
class ClientGoneTest {
    private interface Leaves {
        void leave(Peer.Client client) throws IOException;
    }

    private static final Map<String, Leaves> WAYS =
            Map.of("FIN", c -> c.socket.close(), "FIN alone", c -> c.socket.shutdownOutput(), "RST", c -> {
                c.socket.setSoLinger(true, 0);
                c.socket.close();
            });

    private static Rig rig() throws IOException {
        Rig rig = new Rig();
        rig.settings = rig.settings.replace("\"dial_timeout_us\":2000000", "\"dial_timeout_us\":20000000");
        return rig;
    }

    /**
     * What is sent waits at a door that does not open, the first of it as a request; then its client goes, in each way.
     */
    private static void isWithdrawn(String id, String sent) throws Exception {
        for (Map.Entry<String, Leaves> way : WAYS.entrySet()) {
            try (Rig rig = rig();
                    LateDoor late = new LateDoor()) {
                rig.upstreamAt(late.address());
                rig.start();
                try (Peer.Client client = rig.client()) {
                    client.send(sent);
                    rig.await("request " + id);
                    way.getValue().leave(client);
                    assertEquals("outcome " + id + " 0 NOT_SENT true -", rig.await("outcome"), way.getKey());
                }
                assertTrue(late.openedToNobodyElse(), way.getKey() + ": it was sent on");
            }
        }
    }

    @Test
    void whileItsConnectionComesUp() throws Exception {
        isWithdrawn("a1", Rig.get("a1", 20_000));
    }

    /** Where noise follows, nothing behind it is read as a request; the end of the connection is seen all the same. */
    @Test
    void whileItsConnectionComesUpAndWhatFollowsIsNoise() throws Exception {
        isWithdrawn("a1", Rig.get("a1", 20_000) + "NOISE\u0001 WITHOUT END\r\n\r\n" + "x".repeat(200_000));
    }

    /** Who sends much at once and goes has left for all of it. */
    @Test
    void whileOthersOfItsConnectionAreAheadOfIt() throws Exception {
        for (Map.Entry<String, Leaves> way : WAYS.entrySet()) {
            BlockingQueue<Peer.Line> held = new LinkedBlockingQueue<>();
            try (Rig rig = rig()) {
                Peer up = rig.upstream((m, line) -> held.add(line));
                rig.start();
                try (Peer.Client client = rig.client()) {
                    StringBuilder much = new StringBuilder();
                    for (int i = 0; i < 25; i++) {
                        much.append(Rig.get("a" + i, 20_000));
                    }
                    client.send(much.toString());
                    up.next();
                    way.getValue().leave(client);
                    assertEquals("expired a0", rig.await("expired"), way.getKey());
                    held.take().answer("200 OK", "", "late");
                    assertEquals("outcome a0 0 OK true -", rig.await("outcome"));
                }
                try (Peer.Client next = rig.client()) {
                    next.send(Rig.get("b", 20_000));
                    assertTrue(
                            up.next().head().contains("X-Txn: b"), way.getKey() + ": what waited behind was sent on");
                }
            }
        }
    }

    /** Many more than are ever served at once: the end behind them is seen all the same. */
    @Test
    void whileHundredsOfItsConnectionAreAheadOfIt() throws Exception {
        StringBuilder much = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            much.append(Rig.get("a" + i, 20_000));
        }
        isWithdrawn("a0", much.toString());
    }

    /** All of a large body is with the kernel, and its client is gone before an upstream has been reached. */
    @Test
    void whileItsLargeBodyWaitsForAConnection() throws Exception {
        for (int length : new int[] {150_000, 3_000_000}) {
            for (Map.Entry<String, Leaves> way : WAYS.entrySet()) {
                try (Rig rig = rig();
                        LateDoor late = new LateDoor()) {
                    rig.upstreamAt(late.address());
                    rig.start();
                    try (Peer.Client client = rig.client()) {
                        client.send(Rig.post("a1", "k", "key-1", 20_000)
                                        .replace("Content-Length: 0", "Content-Length: " + length)
                                + "x".repeat(length));
                        rig.await("request a1");
                        rig.dials();
                        way.getValue().leave(client);
                    }
                    late.letsIn();
                    rig.await("outcome a1 0");
                    assertTrue(late.ranNothing(length), way.getKey() + ", " + length + " bytes: all of it was sent on");
                }
            }
        }
    }

    /**
     * It lies unread in the kernel, behind a loop that stands still or a connection that nobody has accepted, and its
     * client has gone.
     */
    @Test
    void whileNobodyHasReadIt() throws Exception {
        for (Map.Entry<String, Leaves> way : WAYS.entrySet()) {
            CountDownLatch standing = new CountDownLatch(1);
            CountDownLatch goOn = new CountDownLatch(1);
            try (Rig rig = rig()) {
                Peer up = rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
                rig.onRequest = (nowMicros, r, out) -> {
                    if (r.id().equals("stall")) {
                        standing.countDown();
                        StoodStillTest.awaited(goOn);
                    }
                    out.send(r.id(), "u0", 0);
                };
                rig.start();
                try (Peer.Client other = rig.client();
                        Peer.Client known = rig.client()) {
                    assertEquals(200, known.send(Rig.get("first", 20_000)).status());
                    other.send(Rig.get("stall", 20_000));
                    assertTrue(standing.await(20, TimeUnit.SECONDS));
                    way.getValue().leave(known.send(Rig.get("a1", 20_000)));
                    try (Peer.Client newcomer = rig.client()) {
                        way.getValue().leave(newcomer.send(Rig.get("a2", 20_000) + Rig.get("a3", 20_000) + "half"));
                        goOn.countDown();
                        assertEquals(200, other.status());
                    }
                }
                try (Peer.Client next = rig.client()) {
                    assertEquals(200, next.send(Rig.get("b", 20_000)).status());
                }
                assertEquals(3, up.messages.size(), way.getKey() + ": it was sent on");
            }
        }
    }

    /**
     * Its connection comes up, and then its client goes, while the loop stands still: both are there at once, that
     * first.
     */
    @Test
    void whileALoopThatStoodStillFindsItsConnectionFirst() throws Exception {
        for (Map.Entry<String, Leaves> way : WAYS.entrySet()) {
            CountDownLatch standing = new CountDownLatch(1);
            CountDownLatch goOn = new CountDownLatch(1);
            try (Rig rig = rig();
                    LateDoor late = new LateDoor()) {
                rig.upstreamAt(late.address());
                rig.start();
                try (Peer.Client client = rig.client()) {
                    client.send(Rig.get("a1", 20_000));
                    rig.await("request a1");
                    rig.dials();
                    rig.sidecar.loop().execute(() -> {
                        standing.countDown();
                        StoodStillTest.awaited(goOn);
                    });
                    assertTrue(standing.await(20, TimeUnit.SECONDS));
                    late.letsIn();
                    try (Socket up = late.next()) {
                        way.getValue().leave(client);
                        goOn.countDown();
                        assertEquals("outcome a1 0 NOT_SENT true -", rig.await("outcome"), way.getKey());
                        assertEquals(-1, up.getInputStream().read(), way.getKey() + ": it was sent on");
                    }
                }
            }
        }
    }

    /** The module holds it, or will try it again: whatever the module says of it later goes nowhere. */
    @Test
    void whileTheModuleHoldsItOrIsToTryItAgain() throws Exception {
        for (boolean tried : new boolean[] {false, true}) {
            for (Map.Entry<String, Leaves> way : WAYS.entrySet()) {
                try (Rig rig = rig()) {
                    Peer up = rig.upstream((m, line) -> line.answer("503 Full", "X-Turned-Away: 1\r\n", ""));
                    rig.onRequest = (nowMicros, r, out) -> {
                        if (tried) {
                            out.send(r.id(), "u0", 0);
                        }
                    };
                    rig.onOutcome = (id, outcome, done, out) -> {};
                    rig.start();
                    try (Peer.Client client = rig.client()) {
                        client.send(Rig.get("a1", 20_000));
                        rig.await(tried ? "outcome a1 0 REJECTED" : "request a1");
                        way.getValue().leave(client);
                        assertEquals("expired a1", rig.await("expired"), way.getKey());
                    }
                    rig.onRequest = (nowMicros, r, out) -> {
                        out.send("a1", "u0", 0);
                        out.send(r.id(), "u0", 0);
                    };
                    rig.onOutcome = (id, outcome, done, out) -> out.fail(id);
                    try (Peer.Client next = rig.client()) {
                        next.send(Rig.get("b", 20_000));
                        assertEquals(502, next.status());
                    }
                    assertEquals(tried ? 2 : 1, up.messages.size(), way.getKey() + ": it was sent on");
                }
            }
        }
    }

    /** The same at the end of a request of any kind: a copy that waits for its connection goes out to nobody. */
    @Test
    void aSecondCopyIsNotSentOnceTheFirstIsAnswered() throws Exception {
        try (Rig rig = rig();
                LateDoor late = new LateDoor()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "first"));
            rig.upstreamAt(late.address());
            rig.onRequest = (nowMicros, r, out) -> {
                out.send(r.id(), "u1", 0);
                out.send(r.id(), "u0", 0);
            };
            rig.onOutcome = (id, outcome, done, out) -> {};
            rig.start();
            try (Peer.Client client = rig.client()) {
                assertEquals(
                        "first", client.send(Rig.get("a1", 20_000)).answer().body());
                assertEquals("outcome a1 0 NOT_SENT true -", rig.await("outcome"));
                assertEquals("outcome a1 1 OK true -", rig.await("outcome"));
            }
            assertTrue(late.openedToNobodyElse(), "the copy was sent on");
        }
    }

    /** And where the module has given it up, or refused it. */
    @Test
    void whatTheModuleHasEndedIsNotSentWhenItsConnectionComesUp() throws Exception {
        for (int status : new int[] {502, 503}) {
            try (Rig rig = rig();
                    LateDoor late = new LateDoor()) {
                rig.upstreamAt(late.address());
                rig.onRequest = (nowMicros, r, out) -> {
                    out.send(r.id(), "u0", 0);
                    if (status == 502) {
                        out.fail(r.id());
                    } else {
                        out.reject(r.id(), 0);
                    }
                };
                rig.onOutcome = (id, outcome, done, out) -> {};
                rig.start();
                try (Peer.Client client = rig.client()) {
                    assertEquals(status, client.send(Rig.get("a1", 20_000)).status());
                    assertEquals("outcome a1 0 NOT_SENT true -", rig.await("outcome"));
                }
                assertTrue(late.openedToNobodyElse(), "it was sent on");
            }
        }
    }
}
