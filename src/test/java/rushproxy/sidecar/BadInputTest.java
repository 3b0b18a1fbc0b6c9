package rushproxy.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class BadInputTest {
    @Test
    void whatIsNoRequestOfTheProtocolIsSaidSo() throws Exception {
        String good = Rig.get("a1", 9000);
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
        cases.put("GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /apiary HTTP/1.1\r\nHost: a\r\n\r\n", 404);
        cases.put("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200);
        cases.put("POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\nContent-Length: 65537\r\n\r\n"
                + "x".repeat(65_537), 413);
        cases.put("POST /api HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: c\r\nX-Remaining-Ms: 9000\r\nContent-Length: 65536\r\n\r\n"
                + "x".repeat(65_536), 200);
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "ok"));
            rig.start();
            for (Map.Entry<String, Integer> c : cases.entrySet()) {
                try (Peer.Client client = rig.client()) {
                    client.send(c.getKey());
                    assertEquals(c.getValue(), client.status(), c.getKey().lines().limit(9).toList().toString());
                }
            }
        }
    }

    /** Not ready while there is nobody to send to: the application would begin to lose requests at once. */
    @Test
    void readyOnlyOnceThereIsAnUpstream() throws Exception {
        try (Rig rig = new Rig()) {
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.status());
            }
        }
    }

    private static void broken(String json, String... named) {
        Config.Broken e = assertThrows(Config.Broken.class, () -> Rig.config(json));
        for (String name : named) {
            assertTrue(e.getMessage().contains(name), e.getMessage());
        }
        assertEquals(1, e.getMessage().lines().count());
    }

    @Test
    void aBrokenConfigurationIsOneLineThatNamesTheField() throws Exception {
        String good = "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:9\",\"seed\":\"8c1f30d27a5be964\","
                + "\"peers\":[\"127.0.0.1:7\"],\"known\":" + Rig.list(1, true, Rig.entry("u", "127.0.0.1:8", "Ready", 7))
                + ",\"settings\":" + Rig.SETTINGS + ",\"new\":{\"x\":[1]}}";
        assertEquals(7000, Rig.config(good).known().entries().get(0).upstream().startedUs());
        assertEquals(0x8c1f30d27a5be964L, Rig.config(good).seed());
        broken("", "JSON");
        broken("[]", "JSON");
        broken("{\n\n", "JSON");
        broken(good.replace("\"listen\"", "\"x\""), "'listen' is missing");
        broken(good.replace("127.0.0.1:0", "localhost:0"), "listen");
        broken(good.replace("127.0.0.1:9", "127.0.0.1:99999"), "discovery");
        broken(good.replace("[\"127.0.0.1:7\"]", "7"), "peers");
        broken(good.replace("127.0.0.1:7", "7"), "peers");
        broken(good.replace("8c1f30d27a5be964", "seed!"), "seed");
        broken(good.replace("\"Ready\"", "\"Odd\""), "known", "lifecycle");
        broken(good.replace("\"balancers\":2,", ""), "settings", "balancers");
        broken(good.replace("\"balancers\":2", "\"balancers\":\"few\""), "settings", "balancers");
        assertThrows(Config.Broken.class, () -> Config.read(Map.of()));
        assertThrows(Config.Broken.class, () -> Config.read(Map.of("BALANCER_CONFIG", "/nowhere/at/all")));
    }
}
