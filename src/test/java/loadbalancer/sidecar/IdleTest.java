package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Idle connections are kept long only if clients reuse them. An application may abandon each connection after one
 * response and limit the number of connections that it holds: if they are kept for seconds, it can't send. Seen in
 * service: it held 128 connections and sent 120 requests a second instead of 250.
 */
@Timeout(60)
class IdleTest {
    @Test
    void closesConnectionsSoonIfNeverReused() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.start();
            List<ScriptedServer.Client> abandoned = new ArrayList<>();
            try {
                for (int i = 0; i < 150; i++) {
                    ScriptedServer.Client c = harness.client();
                    abandoned.add(c);
                    assertEquals(
                            200, c.send(SidecarHarness.get("a" + i, 20_000)).status());
                }
                long startNanos = System.nanoTime();
                assertTrue(abandoned.get(149).awaitClose());
                assertTrue(
                        System.nanoTime() - startNanos < 2_000_000_000L,
                        "closed only after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
            } finally {
                for (ScriptedServer.Client c : abandoned) {
                    c.close();
                }
            }
        }
    }

    @Test
    void keepsConnectionsThatAreReused() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.start();
            try (ScriptedServer.Client c = harness.client()) {
                for (int i = 0; i < 150; i++) {
                    assertEquals(
                            200, c.send(SidecarHarness.get("a" + i, 20_000)).status());
                }
                c.socket.setSoTimeout(1_000);
                assertThrows(SocketTimeoutException.class, c::awaitClose);
                c.socket.setSoTimeout(20_000);
                assertEquals(200, c.send(SidecarHarness.get("again", 20_000)).status());
            }
        }
    }
}
