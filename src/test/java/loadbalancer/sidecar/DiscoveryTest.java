package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DiscoveryTest {
    private static final String UP = Rig.entry("u0", "127.0.0.1:9", "Ready", 0);

    @Test
    void theWatchGoesOnFromEachVersion() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Rig rig = new Rig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", Rig.list(41, false));
                case 2 -> line.answer("200 OK", "", Rig.list(42, false, UP.replace("Ready", "Terminating")));
                case 3 -> line.answer("200 OK", "Connection: close\r\n", Rig.list(44, true, UP));
                default -> {}
            }
        })) {
            rig.upstream((m, line) -> {});
            rig.start();
            assertEquals("list CACHED u0=READY", rig.await("list"));
            // The first answer tells the module that it is subscribed, even without a change.
            assertEquals("list DELTA ", rig.await("list"));
            assertEquals("list DELTA u0=DRAINING", rig.await("list"));
            assertEquals("list FULL u0=READY", rig.await("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = rig.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** A bad answer is a failed call; taken for an empty list it would end all service. */
    @Test
    void aBadAnswerIsAFailedCallAndThenTheWholeListIsAskedFor() throws Exception {
        String[] bad = {
            "no json",
            "",
            "{}",
            "[]",
            "null",
            "{\"generation\":50,\"reset\":true,\"instances\":[]}",
            "{\"generation\":50,\"reset\":true}",
            Rig.list(40, false, UP),
            Rig.list(50, false, UP.replace("Ready", "?")),
            Rig.list(50, true, UP.replace("127.0.0.1:9", "nowhere")),
            "{\"generation\":50,\"reset\":true,\"instances\":[7]}"
        };
        for (String answer : bad) {
            AtomicInteger calls = new AtomicInteger();
            try (Rig rig = new Rig((m, line) -> {
                switch (calls.incrementAndGet()) {
                    case 1 -> line.answer("200 OK", "", answer);
                    case 2 -> line.answer("200 OK", "", Rig.list(60, true, UP));
                    default -> {}
                }
            })) {
                rig.upstream((m, line) -> {});
                rig.start();
                rig.await("list CACHED");
                assertEquals("list FAILED ", rig.await("list"), answer);
                assertEquals("list FULL u0=READY", rig.await("list"));
                rig.discovery.next();
                assertEquals("/registry/instances", rig.discovery.next().path(), answer);
                assertTrue(rig.discovery.next().path().contains("?index=60&wait="));
            }
        }
    }

    @Test
    void callsThatFailAreToldAndTheVersionIsKept() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Rig rig = new Rig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("503 Down", "", "");
                case 2 -> line.reset();
                case 3 -> line.raw("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n");
                case 4 -> line.answer("200 OK", "", Rig.list(43, false, UP));
                default -> {}
            }
        })) {
            rig.upstream((m, line) -> {});
            rig.start();
            rig.await("list CACHED");
            for (int i = 0; i < 3; i++) {
                assertEquals("list FAILED ", rig.await("list"));
                assertTrue(rig.discovery.next().path().contains("?index=41&wait="));
            }
            assertEquals("list DELTA u0=READY", rig.await("list"));
        }
    }

    /** Where lists are pushed the module never asks: the sidecar keeps its watch by itself, also after failures. */
    @Test
    void pushedListsAreWatchedWithoutBeingAskedFor() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Rig rig = new Rig((m, line) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> line.answer("200 OK", "", Rig.list(41, false));
                case 2 -> line.answer("503 Down", "", "");
                case 3 -> line.answer("200 OK", "", Rig.list(42, false, UP));
                default -> {}
            }
        })) {
            rig.settings = rig.settings.replace("on_request", "pushed");
            rig.asks = false;
            rig.upstream((m, line) -> {});
            rig.start();
            rig.await("list CACHED");
            assertEquals("list DELTA u0=READY", rig.await("list"), "told of a call it has not made, or of no change");
        }
    }

    /**
     * After a new configuration the old service may fall silent or reset what is open: the whole list comes from the
     * new one at once, the old call is no failure that the module would wait after, and its late answer is nobody's.
     */
    @Test
    void anotherServiceIsAskedForTheWholeListAtOnce() throws Exception {
        try (Peer next = new Peer((m, line) -> {
                    if (m.path().equals("/registry/instances")) {
                        line.answer("200 OK", "", Rig.list(3, true, UP));
                    }
                });
                Rig rig = new Rig()) {
            rig.upstream((m, line) -> {});
            rig.start();
            rig.await("list CACHED");
            assertTrue(rig.discovery.next().path().contains("?index=41&wait="));
            rig.reload(next.address());
            assertEquals("list FULL u0=READY", rig.told.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", next.next().path());
            assertTrue(next.next().path().contains("?index=3&wait="));
            assertEquals(-1, rig.discovery.accepted.take().getInputStream().read(), "the old connection was left open");
        }
    }

    /**
     * A watch falls silent, then an upstream drains: what was missed is asked for on a new connection before it counts
     * as told, and the module need not ask for it, which it would do after a pause.
     */
    @Test
    void aWatchThatFallsSilentBeforeADrainIsMadeAnewAtOnce() throws Exception {
        for (String discovery : new String[] {"on_request", "pushed"}) {
            AtomicInteger calls = new AtomicInteger();
            try (Rig rig = new Rig((m, line) -> {
                int number = calls.incrementAndGet();
                if (number == 1) {
                    line.answer("200 OK", "", Rig.list(41, false));
                } else if (number > 2 && m.path().endsWith("&wait=0")) {
                    line.answer("200 OK", "", Rig.list(42, false, UP.replace("Ready", "Terminating")));
                }
            })) {
                rig.settings = rig.settings
                        .replace("\"ask_every_us\":10000000", "\"ask_every_us\":400000")
                        .replace("on_request", discovery);
                rig.asks = discovery.equals("on_request");
                rig.upstream((m, line) -> {});
                rig.start();
                assertEquals("list CACHED u0=READY", rig.await("list"));
                if (rig.asks) {
                    assertEquals("list DELTA ", rig.await("list"));
                }
                assertEquals("list DELTA u0=DRAINING", rig.await("list"), discovery);
                assertEquals(
                        2, rig.discovery.accepted.size(), "the call after the silence went on the silent connection");
            }
        }
    }

    /**
     * The first call at the new place is lost: its whole list still comes before it counts as told, 4 s after the new
     * configuration.
     */
    @Test
    void aDrainAtANewPlaceIsSeenThoughTheFirstCallThereIsLost() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Peer next = new Peer((m, line) -> {
                    if (calls.incrementAndGet() == 2) {
                        line.answer("200 OK", "", Rig.list(3, true, UP.replace("Ready", "Terminating")));
                    }
                });
                Rig rig = new Rig()) {
            rig.upstream((m, line) -> {});
            rig.start();
            rig.await("list CACHED");
            rig.discovery.next();
            rig.reload(next.address());
            assertEquals("list FULL u0=DRAINING", rig.told.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", next.next().path());
            assertEquals("/registry/instances", next.next().path());
        }
    }
}
