package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The admin address, over loopback sockets. */
@Timeout(60)
class OperatorsTest {
    private static SidecarHarness harness() throws Exception {
        SidecarHarness harness = new SidecarHarness();
        harness.extraConfigFields = "\"admin\":\"127.0.0.1:0\",";
        return harness;
    }

    private static ScriptedServer.Message call(SidecarHarness harness, String method, String path) throws Exception {
        try (ScriptedServer.Client c = new ScriptedServer.Client(harness.sidecar.adminAddress())) {
            return c.send(method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n").response();
        }
    }

    private static int status(ScriptedServer.Message answer) {
        return Integer.parseInt(answer.head().split(" ")[1]);
    }

    private static JsonObject counters(SidecarHarness harness) throws Exception {
        return JsonObject.parse(call(harness, "GET", "/control/counters").body().getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void doesNotListenWithoutAdminAddress() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().start()) {
            assertNull(harness.sidecar.adminAddress());
        }
    }

    /** The counters match the responses that clients got, and no request is left in progress at the end. */
    @Test
    void countersMatchWhatClientsAndUpstreamsSaw() throws Exception {
        try (SidecarHarness harness = harness()) {
            harness.addUpstream((m, connection) -> {
                if (m.header("X-Txn").startsWith("e")) {
                    connection.respond("500 No", "", "");
                } else if (m.header("X-Txn").startsWith("r")) {
                    connection.reset();
                } else if (!m.header("X-Txn").startsWith("l")) {
                    connection.respond("200 OK", "", "x");
                }
            });
            harness.onRequest = (nowMicros, r, out) -> {
                if (r.id().startsWith("d")) {
                    out.reject(r.id(), 0);
                } else {
                    out.send(r.id(), "u0", 0);
                }
            };
            harness.start();
            JsonObject before = counters(harness);
            assertEquals(0, before.object("transactions").object("k").integer("answered"));
            assertEquals(1, before.integer("cluster_size"));
            String[] ids = {"a1", "a2", "a3", "d1", "d2", "e1", "r1"};
            try (ScriptedServer.Client client = harness.client()) {
                for (String id : ids) {
                    client.send(SidecarHarness.get(id, 20_000)).response();
                }
                client.send("GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: x1\r\nX-Lane: c\r\n\r\n");
                assertEquals(400, client.status());
            }
            try (ScriptedServer.Client leaves = harness.client()) {
                leaves.send(SidecarHarness.get("l1", 20_000));
                harness.await("request l1");
                while (!harness.upstreams.get(0).next().head().contains("l1")) {
                    assertEquals(0, counters(harness).integer("conf_loaded"));
                }
                assertEquals(1, counters(harness).integer("current"));
            }
            harness.await("expired l1");
            JsonObject after = counters(harness);
            JsonObject c = after.object("transactions").object("c");
            assertEquals(3, c.integer("answered"));
            assertEquals(2, c.integer("deferred"));
            assertEquals(3, c.integer("errored"));
            assertEquals(0, after.integer("current"));
            assertEquals(6, after.integer("sends"));
        }
    }

    /**
     * An upstream that is out of service gets no request once the call was answered, not even one that the balancer
     * still sends there.
     */
    @Test
    void sendsNothingToUpstreamOutOfServiceUntilItIsBack() throws Exception {
        try (SidecarHarness harness = harness()) {
            ScriptedServer node = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "x"));
            harness.onOutcome = (id, outcome, done, out) -> {
                if (!done) {
                    out.reject(id, 0);
                }
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                assertEquals(200, client.send(SidecarHarness.get("a1", 20_000)).status());
                assertEquals(200, status(call(harness, "POST", "/control/upstreams/u0/offline")));
                harness.await("list CACHED u0=DRAINING");
                assertEquals(503, client.send(SidecarHarness.get("a2", 20_000)).status());
                assertEquals(200, status(call(harness, "POST", "/control/upstreams/u0/offline")));
                assertEquals(1, counters(harness).integer("cluster_unhealthy"));
                assertEquals(1, node.messages.size());
                assertEquals(200, status(call(harness, "POST", "/control/upstreams/u0/online")));
                harness.await("list CACHED u0=READY");
                assertEquals(200, client.send(SidecarHarness.get("a3", 20_000)).status());
                assertEquals(0, counters(harness).integer("cluster_unhealthy"));
            }
            assertEquals(404, status(call(harness, "POST", "/control/upstreams/u9/offline")));
            assertEquals(404, status(call(harness, "POST", "/control/upstreams/u9/online")));
        }
    }

    @Test
    void outOfServiceSidecarIsNotReadyAndClosesConnectionsWithoutLoss() throws Exception {
        try (SidecarHarness harness = harness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "x"));
            harness.start();
            try (ScriptedServer.Client asks = harness.client();
                    ScriptedServer.Client idle = harness.client();
                    ScriptedServer.Client late = harness.client()) {
                assertEquals(
                        200,
                        asks.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                                .status());
                assertEquals(200, idle.send(SidecarHarness.get("a1", 20_000)).status());
                assertEquals(200, status(call(harness, "POST", "/control/out-of-service")));
                assertEquals(200, status(call(harness, "POST", "/control/out-of-service")));
                assertEquals(503, status(call(harness, "GET", "/control/ready")));
                ScriptedServer.Message no = asks.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                        .response();
                assertTrue(no.head().startsWith("HTTP/1.1 503 "), no.head());
                ScriptedServer.Message served =
                        late.send(SidecarHarness.get("a2", 20_000)).response();
                assertTrue(served.head().startsWith("HTTP/1.1 200 "), served.head());
                assertEquals("close", served.header("Connection"));
                assertTrue(late.awaitClose() && idle.awaitClose(), "connections were left open");
            }
            try (ScriptedServer.Client newcomer = harness.client()) {
                assertEquals(
                        200, newcomer.send(SidecarHarness.get("a3", 20_000)).status());
            }
            assertEquals(200, status(call(harness, "POST", "/control/in-service")));
            assertEquals(200, status(call(harness, "GET", "/control/ready")));
            try (ScriptedServer.Client client = harness.client()) {
                assertEquals(
                        200,
                        client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                                .status());
                assertNull(
                        client.send(SidecarHarness.get("a4", 20_000)).response().header("Connection"));
            }
        }
    }

    /** Incomplete and invalid calls don't hinder other callers. */
    @Test
    void incompleteAndInvalidCallsDoNotHinderOthers() throws Exception {
        try (SidecarHarness harness = harness().start()) {
            List<ScriptedServer.Client> silent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                silent.add(new ScriptedServer.Client(harness.sidecar.adminAddress()).send("GET /control/re"));
            }
            assertEquals(200, status(call(harness, "GET", "/control/counters")));
            for (String[] invalidCall : new String[][] {
                {"GET", "/", "404"},
                {"DELETE", "/control/ready", "405"},
                {"GET", "/" + "x".repeat(5_000), "431"},
                {"POST", "/control/upstreams/%zz/offline", "400"}
            }) {
                assertEquals(
                        Integer.parseInt(invalidCall[2]),
                        status(call(harness, invalidCall[0], invalidCall[1])),
                        invalidCall[1]);
            }
            try (ScriptedServer.Client two = new ScriptedServer.Client(harness.sidecar.adminAddress())) {
                two.send(
                        "POST /control/in-service HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /control/ready HTTP/1.1\r\n\r\n");
                assertEquals(200, two.status());
                assertTrue(two.awaitClose());
            }
            try (ScriptedServer.Client invalid = new ScriptedServer.Client(harness.sidecar.adminAddress())) {
                assertEquals(
                        400, invalid.send("\u0016\u0003\u0001 nothing\r\n\r\n").status());
            }
            for (ScriptedServer.Client c : silent) {
                assertTrue(c.awaitClose());
                c.close();
            }
            assertEquals(200, status(call(harness, "GET", "/control/counters")));
        }
    }
}
