package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The stage itself: stand-ins that do not do what they are told would prove nothing of what plays on it. */
@Timeout(60)
class StageTest {
    private static String ask(String address, String request) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket s = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            s.setSoTimeout(20_000);
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            StringBuilder text = new StringBuilder();
            InputStream in = s.getInputStream();
            while (text.indexOf("\r\n\r\n") < 0) {
                int c = in.read();
                if (c < 0) {
                    return text.toString();
                }
                text.append((char) c);
            }
            String head = text.toString().toLowerCase(java.util.Locale.ROOT);
            int at = head.indexOf("content-length: ") + 16;
            int length = Integer.parseInt(head.substring(at, head.indexOf("\r", at)));
            return text + new String(in.readNBytes(length), StandardCharsets.UTF_8);
        }
    }

    private static String request(String id) {
        return "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\n\r\n";
    }

    @Test
    void aNodeServesReportsDrainsDiesAndComesBackCold() throws Exception {
        try (Testbed world = new Testbed(new UpstreamShape(1, 5, 4, 0.2, 60_000))) {
            StandInUpstream node = world.node();
            String served = ask(node.address(), request("s0-1"));
            assertTrue(served.startsWith("HTTP/1.1 200") && served.contains("\"txn\":\"s0-1\""), served);
            assertTrue(ask(node.address(), "GET /stats HTTP/1.1\r\nHost: a\r\n\r\n")
                    .endsWith("TEXT inflight=0, queue=0, util=0.00"));
            assertTrue(
                    ask(node.address(), "GET /api HTTP/1.1\r\nHost: a\r\n\r\n").startsWith("HTTP/1.1 404"));
            assertEquals(1, node.served());
            assertEquals(0, node.startedMs());
            node.drain();
            String turned = ask(node.address(), request("s0-2")).toLowerCase(java.util.Locale.ROOT);
            assertTrue(turned.startsWith("http/1.1 503") && turned.contains("x-turned-away: 1"), turned);
            node.kill();
            node.restart();
            // The calls take effect in their order on the stage's loop.
            world.play(1);
            String cold = "";
            for (int i = 0; i < 100 && !cold.startsWith("HTTP/1.1 200"); i++) {
                try {
                    cold = ask(node.address(), request("s0-c" + i));
                } catch (IOException exception) {
                    world.play(20);
                }
            }
            assertTrue(cold.startsWith("HTTP/1.1 200"), cold);
            assertTrue(node.startedMs() > 0);
            assertTrue(world.verdict().coldPeak() > 0);
        }
    }

    @Test
    void aNodeThatResetsSaysNothing() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL)) {
            StandInUpstream node = world.node();
            node.reset(true);
            boolean answered = true;
            try {
                answered = !ask(node.address(), request("s0-1")).isEmpty();
            } catch (IOException exception) {
                answered = false;
            }
            assertFalse(answered);
        }
    }

    @Test
    void theRegistryTellsAllOrWhatChanged() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).nodes(2)) {
            String address = world.registry().addressFor("s0");
            String call = "GET /registry/instances%s HTTP/1.1\r\nHost: a\r\n\r\n";
            String all = ask(address, call.formatted(""));
            assertTrue(
                    all.contains("\"generation\":42,\"reset\":true")
                            && all.contains("\"n0\"")
                            && all.contains("\"n1\""),
                    all);
            String changes = ask(address, call.formatted("?index=41&wait=0"));
            assertTrue(
                    changes.contains("\"reset\":false") && !changes.contains("\"n0\"") && changes.contains("\"n1\""),
                    changes);
            String none = ask(address, call.formatted("?index=42&wait=0"));
            assertTrue(none.contains("\"instances\":[]"), none);
            // A watch is answered by the change it waits for.
            world.after(50, () -> world.registry().list(world.nodes().get(0), "Gone"));
            String told = ask(address, call.formatted("?index=42&wait=20000"));
            assertTrue(told.contains("\"generation\":43") && told.contains("\"Gone\""), told);
            assertFalse(ask(address, call.formatted("")).contains("\"n0\""), "what is gone is in a whole list");
            String old = ask(address, call.formatted("?index=7&wait=0"));
            assertTrue(old.contains("\"reset\":true"), "changes were told that nobody remembers");
            world.registry().resetVersions();
            assertTrue(ask(address, call.formatted("?index=43&wait=0")).contains("\"generation\":1,\"reset\":true"));
            world.registry().empty(true);
            assertTrue(ask(address, call.formatted("")).contains("\"reset\":true,\"instances\":[]"));
            world.registry().empty(false);
            world.registry().down(true);
            // Whoever was connected is hung up on first.
            world.play(1);
            assertTrue(ask(address, call.formatted("")).startsWith("HTTP/1.1 503"));
            assertTrue(world.registry().calls() >= 9);
            assertTrue(world.registry().callsPeakSince(0) > 0);
        }
    }

    /** A key's repeat is dropped in its zone, which the referee must see through the stand-ins, too. */
    @Test
    void whatANodeDoesReachesTheReferee() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).nodes(1)) {
            ask(world.nodes().get(0).address(), request("s0-nobody"));
            Testbed.Verdict verdict = world.verdict();
            assertEquals(List.of(), verdict.first());
            assertEquals(0, verdict.tries(), "a try that no client of the stage sent was counted");
        }
    }
}
