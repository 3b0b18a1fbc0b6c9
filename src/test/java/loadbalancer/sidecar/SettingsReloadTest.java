package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer;
import loadbalancer.testbed.RawHttp2Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Settings that are reloaded while requests are in progress. */
@Timeout(60)
class SettingsReloadTest {
    private static final String SETTINGS_WITH_NEW_CLASS = SidecarHarness.SETTINGS
            .replace(
                    "{\"name\":\"c\"",
                    """
            {"name":"new","semantics":"unsafe","objective_us":300000,"give_up_us":60000000},{"name":"c\"""")
            .replace("\"max_attempts\":4", "\"max_attempts\":1");

    private static String post(String id, String requestClass) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: " + requestClass
                + "\r\nX-Remaining-Ms: 20000\r\nContent-Length: 0\r\n\r\n";
    }

    @Test
    void servesNewClassAndKeepsAttemptsOfOpenRequests() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            CountDownLatch reloaded = new CountDownLatch(1);
            ScriptedServer node = harness.addUpstream((m, connection) -> {
                if (m.header("X-Txn").equals("open")) {
                    try {
                        reloaded.await(20, TimeUnit.SECONDS);
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    }
                }
                connection.respond(m.header("X-Txn").equals("ok") ? "200 OK" : "500 No", "", "");
            });
            harness.onOutcome = (id, outcome, done, out) -> {
                if (outcome == loadbalancer.balancing.Balancer.Outcome.NOT_SENT) {
                    out.fail(id);
                } else if (!done) {
                    out.send(id, "u0", 0);
                }
            };
            harness.start();
            try (ScriptedServer.Client open = harness.client();
                    ScriptedServer.Client client = harness.client()) {
                assertEquals(400, client.send(post("early", "new")).status());
                open.send(SidecarHarness.get("open", 20_000));
                harness.await("request open");
                harness.settings = SETTINGS_WITH_NEW_CLASS;
                harness.reload(harness.discovery.address());
                harness.await("settings [new, c, k]");
                reloaded.countDown();
                assertEquals(502, open.status());
                assertEquals(4, node.messages.size(), "the open request did not keep its four attempts");
            }
            try (ScriptedServer.Client client = harness.client()) {
                assertEquals(502, client.send(SidecarHarness.get("one", 20_000)).status());
                assertEquals(5, node.messages.size());
                assertEquals(200, client.send(post("ok", "new")).status());
                // A client that still uses the former class is served under it.
                harness.settings = SETTINGS_WITH_NEW_CLASS.replace("\"name\":\"c\"", "\"name\":\"d\"");
                harness.reload(harness.discovery.address());
                harness.await("settings [new, d, k]");
                assertEquals(
                        502, client.send(SidecarHarness.get("late", 20_000)).status());
            }
        }
    }

    /** Guards against review case 6 over both protocols: a further reload freed requests from a class that still binds. */
    @Test
    void classOfEachFormerConfigurationBindsThroughReloadsInARow() throws Exception {
        try (SidecarHarness harness = new SidecarHarness().withGrpc()) {
            BlockingQueue<Balancer.RequestClass> bound = new LinkedBlockingQueue<>();
            harness.onRequest = (nowMicros, request, out) -> {
                bound.add(request.classAtAdmission());
                out.reject(request.id(), 0);
            };
            harness.addUpstream((m, connection) -> {});
            harness.settings = harness.settings.replace("\"semantics\":\"safe\"", "\"semantics\":\"unsafe\"");
            harness.start();
            // Both classes are relaxed; two further files change the number of attempts, and their deadlines.
            harness.settings = SidecarHarness.SETTINGS.replace("\"window_us\":4000000", "\"window_us\":9000000");
            harness.reload(harness.discovery.address());
            harness.settings = harness.settings.replace("60000000", "50000000");
            harness.reload(harness.discovery.address());
            harness.settings = harness.settings.replace("\"max_attempts\":4", "\"max_attempts\":3");
            harness.reload(harness.discovery.address());
            for (int reloads = 0; reloads < 3; reloads++) {
                harness.await("settings [c, k]");
            }
            try (ScriptedServer.Client client = harness.client();
                    RawHttp2Client grpc = new RawHttp2Client(harness.sidecar.grpcAddress())) {
                String keyed = SidecarHarness.post("h1", "k", "key", 20_000);
                assertEquals(503, client.send(keyed).status());
                Balancer.RequestClass http = bound.poll(20, TimeUnit.SECONDS);
                assertEquals(4_000_000, http.idempotencyWindowMicros());
                assertEquals(50_000_000, http.deadlineMicros());
                grpc.call(1, "/stage.Booking/Lookup");
                Balancer.RequestClass overGrpc = bound.poll(20, TimeUnit.SECONDS);
                assertEquals(Balancer.Idempotency.NOT_IDEMPOTENT, overGrpc.idempotency());
                assertEquals(50_000_000, overGrpc.deadlineMicros());
            }
        }
    }

    /** A truncated file, or one that lacks a key of the active file, is invalid. */
    @Test
    void rejectsTruncatedFile() throws Exception {
        String json =
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"known\":"
                        + SidecarHarness.list(1, true) + ",\"limits\":{\"sockets\":99},\"settings\":"
                        + SidecarHarness.SETTINGS + "}";
        SidecarConfig active = SidecarHarness.config(json);
        SidecarHarness.config(json).requireKeysOf(active);
        for (int cut = 0; cut < json.length(); cut++) {
            String truncated = json.substring(0, cut);
            assertThrows(SidecarConfig.InvalidConfigException.class, () -> SidecarHarness.config(truncated), truncated);
        }
        for (String key : new String[] {
            "\"seed\":\"1\",",
            "\"max_attempts\":4,",
            "\"peers\":true,",
            "\"limits\":{\"sockets\":99},",
            "\"cold_share\":0.2,",
            "\"objective_us\":300000,",
            "\"retry_after\":true,"
        }) {
            String without = json.replace(key, "");
            assertThrows(
                    SidecarConfig.InvalidConfigException.class,
                    () -> SidecarHarness.config(without).requireKeysOf(active),
                    key);
        }
    }
}
