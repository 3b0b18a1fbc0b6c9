package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned stop loses nothing that a client has sent. */
@Timeout(60)
class ShutdownTest {
    @Test
    void newConnectionsAndHalfReadRequestsAreServedAfterTheStopWasAskedFor() throws Exception {
        try (Rig rig = new Rig()) {
            CountDownLatch answer = new CountDownLatch(1);
            rig.upstream((m, line) -> {
                if (m.header("X-Txn").equals("held")) {
                    try {
                        answer.await();
                    } catch (InterruptedException e) {
                        throw new java.io.InterruptedIOException();
                    }
                }
                line.answer("200 OK", "", m.header("X-Txn"));
            });
            rig.start();
            CountDownLatch stopped = new CountDownLatch(1);
            try (Peer.Client held = rig.client(); Peer.Client half = rig.client(); Peer.Client idle = rig.client()) {
                held.send(Rig.get("held", 30_000));
                rig.await("request held");
                idle.send(Rig.get("before", 30_000));
                assertEquals("before", idle.answer().body());
                String text = Rig.get("half", 30_000);
                half.send(text.substring(0, 30));
                rig.sidecar.stop(stopped::countDown);
                try (Peer.Client fresh = rig.client()) {
                    fresh.send(Rig.get("fresh", 30_000));
                    Peer.Message m = fresh.answer();
                    assertEquals("fresh", m.body());
                    assertEquals("close", m.header("Connection"));
                    assertEquals(null, fresh.answer());
                }
                // An idle connection is closed; until then it is served.
                assertEquals(null, idle.answer());
                half.send(text.substring(30));
                Peer.Message late = half.answer();
                assertEquals("half", late.body());
                assertEquals("close", late.header("Connection"));
                assertEquals(1, stopped.getCount(), "it stopped with a request held");
                answer.countDown();
                assertEquals("held", held.answer().body());
                assertEquals(null, held.answer());
                assertTrue(stopped.await(20, TimeUnit.SECONDS));
            }
        }
    }
}
