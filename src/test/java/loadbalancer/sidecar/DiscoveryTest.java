package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DiscoveryTest {
    private static final int LARGEST_FLEET = 3_200;
    private static final String UP = SidecarHarness.entry("u0", "127.0.0.1:9", "Ready", 0);

    /** Responds to each call with the next of these bodies, and to no further call. */
    private static ScriptedServer.Script inOrder(String... bodies) {
        AtomicInteger calls = new AtomicInteger();
        return (m, connection) -> {
            int call = calls.getAndIncrement();
            if (call < bodies.length) {
                connection.respond("200 OK", "", bodies[call]);
            }
        };
    }

    /** Starts the sidecar with one upstream and this kind of discovery, as the settings name it. */
    private static void start(SidecarHarness harness, String discovery) throws Exception {
        harness.settings = harness.settings.replace("on_request", discovery);
        harness.pollsDiscovery = discovery.equals("on_request");
        harness.addUpstream((m, connection) -> {});
        harness.start();
    }

    @Test
    void watchContinuesFromEachGeneration() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarHarness harness = new SidecarHarness((m, connection) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> connection.respond("200 OK", "", SidecarHarness.list(41, false));
                case 2 -> connection.respond(
                        "200 OK", "", SidecarHarness.list(42, false, UP.replace("Ready", "Terminating")));
                case 3 -> connection.respond("200 OK", "Connection: close\r\n", SidecarHarness.list(44, true, UP));
                default -> {}
            }
        })) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            assertEquals("list CACHED u0=READY", harness.await("list"));
            // The first response tells the balancer that it is subscribed, even without a change.
            assertEquals("list DELTA ", harness.await("list"));
            assertEquals("list DELTA u0=DRAINING", harness.await("list"));
            assertEquals("list FULL u0=READY", harness.await("list"));
            for (int index : new int[] {41, 41, 42, 44}) {
                String path = harness.discovery.next().path();
                assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
            }
        }
    }

    /** An invalid response is a failed call; it says nothing about the upstreams. */
    @Test
    void invalidResponseFailsCallAndRequestsCompleteList() throws Exception {
        String[] bad = {
            "no json",
            "",
            "{}",
            "[]",
            "null",
            "{\"generation\":50,\"reset\":true}",
            SidecarHarness.list(40, false, UP),
            SidecarHarness.list(50, false, UP.replace("Ready", "?")),
            SidecarHarness.list(50, true, UP.replace("127.0.0.1:9", "nowhere")),
            "{\"generation\":50,\"reset\":true,\"instances\":[7]}"
        };
        for (String answer : bad) {
            try (SidecarHarness harness = new SidecarHarness(inOrder(answer, SidecarHarness.list(60, true, UP)))) {
                harness.addUpstream((m, connection) -> {});
                harness.start();
                harness.await("list CACHED");
                assertEquals("list FAILED ", harness.await("list"), answer);
                assertEquals("list FULL u0=READY", harness.await("list"));
                harness.discovery.next();
                assertEquals("/registry/instances", harness.discovery.next().path(), answer);
                assertTrue(harness.discovery.next().path().contains("?index=60&wait="));
            }
        }
    }

    /** Guards against incident 3e0307, for both kinds of discovery and for a first and a later call. */
    @Test
    void emptyCompleteListRemovesAllUpstreamsAndWatchGoesOn() throws Exception {
        for (String discovery : new String[] {"on_request", "pushed"}) {
            try (SidecarHarness harness = new SidecarHarness(inOrder(
                    SidecarHarness.list(50, true),
                    SidecarHarness.list(51, false, UP),
                    SidecarHarness.list(52, true)))) {
                start(harness, discovery);
                assertEquals("list CACHED u0=READY", harness.await("list"));
                assertEquals("list FULL ", harness.await("list"), discovery);
                assertEquals("list DELTA u0=READY", harness.await("list"), discovery);
                assertEquals("list FULL ", harness.await("list"), discovery);
                for (int index : new int[] {41, 50, 51, 52}) {
                    String path = harness.discovery.next().path();
                    assertTrue(path.startsWith("/registry/instances?index=" + index + "&wait="), path);
                }
            }
        }
    }

    /** A list that can't be used as a whole withdraws upstreams all the same, before it is requested again. */
    @Test
    void unusableListWithdrawsUpstreamsAtOnce() throws Exception {
        String draining = UP.replace("Ready", "Terminating");
        String unreadable = SidecarHarness.entry("u1", "nowhere", "Ready", 0);
        String[] unusable = {
            SidecarHarness.list(50, false, unreadable, draining),
            SidecarHarness.list(50, true, draining, unreadable),
            SidecarHarness.list(50, true, draining, "7"),
            SidecarHarness.list(50, false, draining.replace("127.0.0.1:9", "nowhere")),
            SidecarHarness.list(40, false, draining)
        };
        for (String discovery : new String[] {"on_request", "pushed"}) {
            for (String answer : unusable) {
                try (SidecarHarness harness = new SidecarHarness(inOrder(answer, SidecarHarness.list(60, true, UP)))) {
                    start(harness, discovery);
                    assertEquals("list CACHED u0=READY", harness.await("list"));
                    String withdrawn = harness.await("list");
                    assertTrue(
                            withdrawn.equals("list CACHED u0=DRAINING") || withdrawn.equals("list CACHED "),
                            answer + ": " + withdrawn);
                    if (harness.pollsDiscovery) {
                        assertEquals("list FAILED ", harness.await("list"), answer);
                    }
                    assertEquals("list FULL u0=READY", harness.await("list"), answer);
                    harness.discovery.next();
                    assertEquals("/registry/instances", harness.discovery.next().path(), answer);
                }
            }
        }
    }

    /** The largest fleet's list, written with eight spaces for each level. */
    @Test
    void acceptsTheIndentedListOfTheLargestFleet() throws Exception {
        String indent = "\n" + " ".repeat(24);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < LARGEST_FLEET; i++) {
            String entry = SidecarHarness.entry("upstream-" + i, "127.0.0.1:9", "Ready", 0);
            entries.add(entry.replace("{", "{" + indent).replace(",", "," + indent));
        }
        String list = SidecarHarness.list(50, true, entries.toArray(String[]::new));
        try (SidecarHarness harness = new SidecarHarness(inOrder(list))) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            harness.await("list CACHED");
            String full = harness.await("list");
            assertTrue(full.startsWith("list FULL upstream-0=READY"), full.substring(0, Math.min(80, full.length())));
            assertEquals(LARGEST_FLEET, full.split(",").length, list.length() + " bytes");
        }
    }

    @Test
    void reportsFailedCallsAndKeepsGeneration() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarHarness harness = new SidecarHarness((m, connection) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> connection.respond("503 Down", "", "");
                case 2 -> connection.reset();
                case 3 -> connection.raw("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n");
                case 4 -> connection.respond("200 OK", "", SidecarHarness.list(43, false, UP));
                default -> {}
            }
        })) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            harness.await("list CACHED");
            for (int i = 0; i < 3; i++) {
                assertEquals("list FAILED ", harness.await("list"));
                assertTrue(harness.discovery.next().path().contains("?index=41&wait="));
            }
            assertEquals("list DELTA u0=READY", harness.await("list"));
        }
    }

    /**
     * Where lists are pushed the balancer never polls: the sidecar keeps up its watch by itself, even after failures.
     */
    @Test
    void watchesPushedListsWithoutPolling() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (SidecarHarness harness = new SidecarHarness((m, connection) -> {
            switch (calls.incrementAndGet()) {
                case 1 -> connection.respond("200 OK", "", SidecarHarness.list(41, false));
                case 2 -> connection.respond("503 Down", "", "");
                case 3 -> connection.respond("200 OK", "", SidecarHarness.list(42, false, UP));
                default -> {}
            }
        })) {
            harness.settings = harness.settings.replace("on_request", "pushed");
            harness.pollsDiscovery = false;
            harness.addUpstream((m, connection) -> {});
            harness.start();
            harness.await("list CACHED");
            assertEquals(
                    "list DELTA u0=READY",
                    harness.await("list"),
                    "the balancer got a response to a call that it has not made, or a list without a change");
        }
    }

    /**
     * After a reload the former discovery service may stop responding or reset open connections: the complete list
     * comes from the new one at once, the former call is no failure after which the balancer would wait, and its late
     * response is ignored.
     */
    @Test
    void requestsCompleteListFromNewServiceAtOnce() throws Exception {
        try (ScriptedServer next = new ScriptedServer((m, connection) -> {
                    if (m.path().equals("/registry/instances")) {
                        connection.respond("200 OK", "", SidecarHarness.list(3, true, UP));
                    }
                });
                SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            harness.await("list CACHED");
            assertTrue(harness.discovery.next().path().contains("?index=41&wait="));
            harness.reload(next.address());
            assertEquals("list FULL u0=READY", harness.balancerEvents.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", next.next().path());
            assertTrue(next.next().path().contains("?index=3&wait="));
            assertEquals(
                    -1, harness.discovery.accepted.take().getInputStream().read(), "the old connection was left open");
        }
    }

    /**
     * A watch stops responding, then an upstream drains: the missed change is fetched on a new connection, without the
     * balancer having to poll for it, which it would do only after a pause.
     */
    @Test
    void renewsSilentWatchBeforeDrainAtOnce() throws Exception {
        for (String discovery : new String[] {"on_request", "pushed"}) {
            List<ScriptedServer.Connection> connections = new CopyOnWriteArrayList<>();
            try (SidecarHarness harness = new SidecarHarness((m, connection) -> {
                connections.add(connection);
                if (connections.size() == 1) {
                    connection.respond("200 OK", "", SidecarHarness.list(41, false));
                } else if (connections.size() > 2 && m.path().endsWith("&wait=0")) {
                    connection.respond(
                            "200 OK", "", SidecarHarness.list(42, false, UP.replace("Ready", "Terminating")));
                }
            })) {
                harness.settings = harness.settings.replace("\"ask_every_us\":10000000", "\"ask_every_us\":400000");
                start(harness, discovery);
                assertEquals("list CACHED u0=READY", harness.await("list"));
                if (harness.pollsDiscovery) {
                    assertEquals("list DELTA ", harness.await("list"));
                }
                assertEquals("list DELTA u0=DRAINING", harness.await("list"), discovery);
                ScriptedServer.Connection silent = connections.get(1);
                assertEquals(connections.get(0), silent, "the connection was not kept for the second call");
                assertTrue(connections.size() > 2);
                assertFalse(
                        connections.subList(2, connections.size()).contains(silent),
                        "a call used the silent connection again");
            }
        }
    }

    /**
     * The first call to the new discovery service is lost: its complete list still arrives within 4 s of the new
     * configuration.
     */
    @Test
    void seesDrainAtNewServiceIfFirstCallIsLost() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ScriptedServer next = new ScriptedServer((m, connection) -> {
                    if (calls.incrementAndGet() == 2) {
                        connection.respond(
                                "200 OK", "", SidecarHarness.list(3, true, UP.replace("Ready", "Terminating")));
                    }
                });
                SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            harness.await("list CACHED");
            harness.discovery.next();
            harness.reload(next.address());
            assertEquals("list FULL u0=DRAINING", harness.balancerEvents.poll(20, TimeUnit.SECONDS));
            assertEquals("/registry/instances", next.next().path());
            assertEquals("/registry/instances", next.next().path());
        }
    }
}
