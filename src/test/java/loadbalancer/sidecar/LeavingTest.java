package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * SIGTERM in the instant in which a client has sent something that nobody has read, or waits for something that does
 * not come.
 */
@Timeout(60)
class LeavingTest {
    /** Longer than the application is served on and a quiet connection is left alone, with the looks after that. */
    private static final long PAST_MS = 900;
    /** Two looks of a stop are further apart than this. */
    private static final long LOOK_LEAST_MS = 15;

    /** Several requests sent at once are taken, all of them: the connection is not ended behind the first. */
    @Test
    void whatWasSentAheadIsAnsweredAfterTheStop() throws Exception {
        BlockingQueue<Peer.Line> held = new LinkedBlockingQueue<>();
        try (Rig rig = new Rig()) {
            Peer up = rig.upstream((m, line) -> {
                if (m.header("X-Txn").equals("a0")) {
                    held.add(line);
                } else {
                    line.answer("200 OK", "", m.header("X-Txn"));
                }
            });
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a0", 30_000) + Rig.get("a1", 30_000) + Rig.get("a2", 30_000));
                up.next();
                rig.sidecar.stop(stopped::countDown);
                held.take().answer("200 OK", "", "a0");
                for (String id : List.of("a0", "a1", "a2")) {
                    Peer.Message m = client.answer();
                    assertEquals(id, m == null ? "the end" : m.body());
                    assertEquals(id.equals("a2") ? "close" : null, m.header("Connection"));
                }
                assertTrue(client.ended());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * Asks for the stop, and stands still until all that the stop waits for has passed. {@code what} runs after that
     * and right before the stop's next look, in one turn of the loop: what it sends can't be read between. False where
     * the loop was too slow for that order.
     */
    private static boolean beforeTheNextLook(Rig rig, Runnable stopped, Does what) throws InterruptedException {
        EventLoop loop = rig.sidecar.loop();
        CountDownLatch done = new CountDownLatch(1);
        AtomicBoolean inOrder = new AtomicBoolean();
        loop.execute(() -> {
            long askedNanos = System.nanoTime();
            rig.sidecar.stop(stopped);
            loop.execute(() -> {
                loop.schedule(
                        () -> {
                            try {
                                what.it();
                            } catch (IOException exception) {
                                throw new UncheckedIOException(exception);
                            } finally {
                                done.countDown();
                            }
                        },
                        0,
                        TimeUnit.NANOSECONDS);
                inOrder.set(System.nanoTime() - askedNanos < TimeUnit.MILLISECONDS.toNanos(LOOK_LEAST_MS));
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAST_MS));
            });
        });
        assertTrue(done.await(30, TimeUnit.SECONDS), "the loop never got there");
        return inOrder.get();
    }

    /** A quiet connection is closed by a look which follows the client's next request in the same turn of the loop. */
    @Test
    void aRequestThatCrossesTheCloseOfAQuietConnectionIsServed() throws Exception {
        for (boolean inOrder = false; !inOrder; ) {
            try (Rig rig = new Rig()) {
                rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
                rig.start();
                CountDownLatch stopped = new CountDownLatch(1);
                try (Peer.Client client = rig.client()) {
                    assertEquals(
                            "a0", client.send(Rig.get("a0", 30_000)).answer().body());
                    inOrder = beforeTheNextLook(rig, stopped::countDown, () -> client.send(Rig.get("a1", 30_000)));
                    if (inOrder) {
                        Peer.Message m = client.answer();
                        assertEquals("a1", m == null ? "the end" : m.body());
                        assertEquals("close", m.header("Connection"));
                        assertTrue(client.ended());
                    }
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** Whom the kernel has connected, and the program has not heard of, when the listener is closed. */
    @Test
    void whoWaitsInTheBacklogWhenTheListenerClosesIsServed() throws Exception {
        for (boolean inOrder = false; !inOrder; ) {
            try (Rig rig = new Rig()) {
                rig.upstream((m, line) -> line.answer("200 OK", "", m.header("X-Txn")));
                rig.start();
                CountDownLatch stopped = new CountDownLatch(1);
                List<Peer.Client> late = new ArrayList<>();
                inOrder = beforeTheNextLook(rig, stopped::countDown, () -> {
                    for (int i = 0; i < 5; i++) {
                        late.add(rig.client().send(Rig.get("a" + i, 30_000)));
                    }
                });
                for (int i = 0; i < late.size(); i++) {
                    if (inOrder) {
                        Peer.Message m = late.get(i).answer();
                        assertEquals("a" + i, m == null ? "the end" : m.body());
                    }
                    late.get(i).close();
                }
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /** An upstream that hangs is not waited for longer than the client waits, and the stop is not held up by it. */
    @Test
    void whatHangsAtAnUpstreamIsAnsweredInTimeAndTheStopEnds() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> {});
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("a1", 1_500));
                rig.peers.get(0).next();
                rig.sidecar.stop(stopped::countDown);
                Peer.Message m = client.answer();
                assertTrue(m != null && m.head().startsWith("HTTP/1.1 502"), "no final answer: " + m);
                assertEquals("close", m.header("Connection"));
                assertTrue(client.ended());
            }
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    private interface Does {
        void it() throws IOException;
    }
}
