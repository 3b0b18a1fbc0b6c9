package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class BadInputTest {
    @Test
    void rejectsInvalidRequests() throws Exception {
        String good = SidecarHarness.get("a1", 9000);
        Map<String, Integer> cases = new LinkedHashMap<>();
        cases.put("RUBBISH\r\n\r\n", 400);
        cases.put("GET /api HTTP/1.1\r\n: : :\r\nbad header\r\n\r\n", 400);
        cases.put(good.replace("X-Txn: a1\r\n", ""), 400);
        cases.put(good.replace("X-Lane: c", "X-Lane: nobody"), 400);
        cases.put(good.replace("X-Lane: c\r\n", ""), 400);
        for (String time : new String[] {"", "soon", "-5", "0", "1.5", "99999999999999999999"}) {
            cases.put(good.replace("X-Remaining-Ms: 9000", "X-Remaining-Ms: " + time), 400);
        }
        cases.put(good.replace("GET", "DELETE"), 400);
        cases.put(good.replace("GET", "POST"), 400);
        cases.put(good.replace("X-Lane: c", "X-Lane: k"), 400);
        cases.put(good.replace("GET", "POST").replace("X-Lane: c", "X-Lane: k"), 400);
        cases.put(good.replace("X-Txn: a1", "X-Txn: a1\r\nX-Txn: a2"), 400);
        cases.put(good.replace("X-Txn: a1", "X-Txn: a 1"), 400);
        cases.put(good.replace("X-Txn: a1", "X-Txn: " + "a".repeat(200)), 400);
        cases.put(good.replace("X-Lane: c", "X-Lane: c\r\nX-Lane: k"), 400);
        cases.put(good.replace("X-Txn: a1", "X-Txn: a1\r\nContent-Length: 1") + "x", 400);
        cases.put(good.replace("/api/slots", "/api/\u00e4"), 400);
        cases.put(good.replace("HTTP/1.1", "HTTP/7.3"), 400);
        cases.put(good.replace("X-Txn: a1", "a line without a colon"), 400);
        cases.put("GET /api HTTP/1.1\r\nX-Endless: " + "x".repeat(20_000), 400);
        cases.put(good.replace("/api/slots", "http://api.internal/api/slots").replace("a1", "abs"), 200);
        cases.put(good.replace("/api/slots", "http://api.internal").replace("a1", "abs"), 404);
        cases.put("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /apiary HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200);
        cases.put(
                "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k1\r\nContent-Length: 65537\r\n\r\n"
                        + "x".repeat(65_537),
                200);
        cases.put(
                "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k1\r\nContent-Length: 65536\r\n\r\n"
                        + "x".repeat(65_536),
                200);
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.start();
            for (Map.Entry<String, Integer> testCase : cases.entrySet()) {
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(testCase.getKey());
                    assertEquals(
                            testCase.getValue(),
                            client.status(),
                            testCase.getKey().lines().limit(9).toList().toString());
                }
            }
        }
    }

    /**
     * A request whose end two parsers may see in different places (request smuggling) must not let the bytes behind it
     * reach an upstream, and the error comes without waiting for a body that was announced as huge.
     */
    @Test
    void rejectsRequestSmugglingAndClosesConnection() throws Exception {
        String smuggled = SidecarHarness.get("hidden", 9000);
        String head = "POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: k\r\nX-Remaining-Ms: 9000\r\nIdempotency-Key: k1\r\n";
        String chunked = "Transfer-Encoding: chunked\r\n";
        Map<String, Integer> cases = new LinkedHashMap<>();
        cases.put(head + chunked + "Content-Length: 4\r\n\r\n0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 4\r\n" + chunked + "\r\n0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Transfer-Encoding: identity\r\n\r\n" + smuggled, 400);
        cases.put(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 4\r\nContent-Length: 0\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: -1\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 0x10\r\n\r\n" + smuggled, 400);
        cases.put(head + "Content-Length: 67108865\r\n\r\n" + smuggled, 413);
        cases.put(head + chunked + "\r\nzz\r\n" + smuggled, 400);
        cases.put(head.replace("X-Lane: k", "X-Lane: none") + "\r\n" + smuggled, 400);
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer up = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.start();
            for (Map.Entry<String, Integer> testCase : cases.entrySet()) {
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(testCase.getKey());
                    assertEquals(testCase.getValue(), client.status(), testCase.getKey());
                    assertTrue(client.awaitClose(), testCase.getKey());
                }
            }
            assertTrue(up.messages.isEmpty(), "a smuggled request was forwarded");
        }
    }

    /** An error for the request being read must not overtake the response to the request before it. */
    @Test
    void sendsErrorAfterResponseToEarlierRequest() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {
                try {
                    answer.await();
                } catch (InterruptedException exception) {
                    throw new java.io.InterruptedIOException();
                }
                connection.respond("200 OK", "", "first");
            });
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000)
                        + "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000000\r\n\r\n");
                harness.await("request a1");
                answer.countDown();
                assertEquals("first", client.response().body());
                assertEquals(413, client.status());
                assertTrue(client.awaitClose());
            }
        }
    }

    /**
     * Silent clients and incomplete requests hold descriptors that others need; each is closed within 3 s of
     * connecting.
     */
    @Test
    void closesSilentAndIncompleteConnections() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.start();
            try (ScriptedServer.Client silent = harness.client();
                    ScriptedServer.Client half = harness.client();
                    ScriptedServer.Client body = harness.client();
                    ScriptedServer.Client once = harness.client()) {
                half.send("GET /api HTTP/1.1\r\nX-T");
                body.send("POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
                once.send(SidecarHarness.get("a1", 20_000));
                assertEquals(200, once.status());
                assertTrue(silent.awaitClose());
                assertEquals(408, half.status());
                assertEquals(408, body.status());
                assertTrue(half.awaitClose() && body.awaitClose());
                assertTrue(once.awaitClose(), "a connection with a single request was kept open");
            }
        }
    }

    /** An overlong X-Remaining-Ms would hold the request, and all that is kept for it, for days. */
    @Test
    void limitsRemainingTimeToDeadlineOfClass() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 999_999_999));
                assertEquals(200, client.status());
                assertTrue(Long.parseLong(harness.await("request").split(" ")[2]) <= 60_000_000);
            }
        }
    }

    /** The id of a request in progress must not be used again: the response must not go to both clients. */
    @Test
    void rejectsIdOfRequestInProgress() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {});
            harness.start();
            try (ScriptedServer.Client one = harness.client();
                    ScriptedServer.Client other = harness.client()) {
                one.send(SidecarHarness.get("a1", 20_000));
                harness.await("request a1");
                other.send(SidecarHarness.get("a1", 20_000));
                assertEquals(400, other.status());
            }
        }
    }

    /** The sidecar is not ready without an upstream, because the application would lose its first requests. */
    @Test
    void isNotReadyWithoutUpstream() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.status());
            }
        }
    }

    private static void assertInvalid(String json, String... named) {
        SidecarConfig.InvalidConfigException e =
                assertThrows(SidecarConfig.InvalidConfigException.class, () -> SidecarHarness.config(json));
        for (String name : named) {
            assertTrue(e.getMessage().contains(name), e.getMessage());
        }
        assertEquals(1, e.getMessage().lines().count());
    }

    @Test
    void invalidConfigurationErrorIsOneLineThatNamesTheField() throws Exception {
        String good =
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"peers\":[\"127.0.0.1:7\"],\"known\":"
                        + SidecarHarness.list(1, true, SidecarHarness.entry("u", "127.0.0.1:8", "Ready", 7))
                        + ",\"settings\":" + SidecarHarness.SETTINGS + ",\"new\":{\"x\":[1]}}";
        assertEquals(
                7000,
                SidecarHarness.config(good)
                        .knownEndpoints()
                        .endpoints()
                        .get(0)
                        .upstream()
                        .startedMicros());
        assertEquals(0x8c1f30d27a5be964L, SidecarHarness.config(good).seed());
        assertInvalid("", "JSON");
        assertInvalid("[]", "JSON");
        assertInvalid("{\n\n", "JSON");
        assertInvalid(good.replace("\"listen\"", "\"x\""), "'listen' is missing");
        assertInvalid(good.replace("127.0.0.1:0", "localhost:0"), "listen");
        assertInvalid(good.replace("127.0.0.1:9", "127.0.0.1:99999"), "discovery");
        assertInvalid(good.replace("[\"127.0.0.1:7\"]", "7"), "peers");
        assertInvalid(good.replace("127.0.0.1:7", "7"), "peers");
        assertInvalid(good.replace("8c1f30d27a5be964", "seed!"), "seed");
        assertInvalid(good.replace("\"Ready\"", "\"Odd\""), "known", "lifecycle");
        assertInvalid(good.replace("\"balancers\":2,", ""), "settings", "balancers");
        assertInvalid(good.replace("\"balancers\":2", "\"balancers\":\"few\""), "settings", "balancers");
        assertThrows(SidecarConfig.InvalidConfigException.class, () -> SidecarConfig.read(Map.of()));
        assertThrows(
                SidecarConfig.InvalidConfigException.class,
                () -> SidecarConfig.read(Map.of("BALANCER_CONFIG", "/nowhere/at/all")));
    }
}
