package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What may be sent a second time, and until when, whatever the connections do: with the program's own module but where
 * said.
 */
@Timeout(60)
class RepeatsTest {
    /** As the settings have them: two upstreams, no reports, and a class that must not be repeated. */
    private static Rig rig() throws IOException {
        Rig rig = new Rig();
        rig.settings = rig.settings
                .replace(
                        "\"profiles\":[",
                        "\"profiles\":[{\"name\":\"u\",\"semantics\":\"unsafe\",\"objective_us\":300000,"
                                + "\"give_up_us\":60000000},")
                .replace(
                        "\"how\":\"inline\",\"fields\":[\"busy_reqs\",\"pending\",\"cpu_share\"]",
                        "\"how\":\"off\",\"fields\":[]")
                .replace("\"probing\":true", "\"probing\":false")
                .replace("\"peers\":true", "\"peers\":false")
                .replace("\"cancelling\":true", "\"cancelling\":true,\"second_copies\":true");
        rig.decides = true;
        return rig;
    }

    /** How each is answered that is sent in turn on one connection, with two upstreams that do as the script says. */
    private static List<Integer> statuses(Peer.Script script, String... requests) throws Exception {
        List<Integer> statuses = new ArrayList<>();
        try (Rig rig = rig()) {
            rig.upstream(script);
            rig.upstream(script);
            rig.start();
            try (Peer.Client client = rig.client()) {
                for (String request : requests) {
                    statuses.add(client.send(request).status());
                }
            }
        }
        return statuses;
    }

    private static String request(String lane, String id, long remainingMs) {
        return lane.equals("c")
                ? Rig.get(id, remainingMs)
                : Rig.post(id, lane, lane.equals("k") ? "key-" + id : null, remainingMs);
    }

    /**
     * An idle connection is closed in the instant in which it is written to: the request may have run. What is safe or
     * keyed is tried again, what is unsafe has failed.
     */
    @Test
    void anIdleConnectionThatBreaksAsItIsWrittenToMayHaveRunWhatItCarried() throws Exception {
        for (Map.Entry<String, Integer> c : Map.of("c", 200, "k", 200, "u", 502).entrySet()) {
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger broken = new AtomicInteger();
            Peer.Script script = (m, line) -> {
                if (m.header("X-Txn").equals("warm")) {
                    line.answer("200 OK", "", "warm");
                } else if (sent.incrementAndGet() == 1) {
                    broken.incrementAndGet();
                    line.reset();
                } else {
                    line.answer("200 OK", "", "again");
                }
            };
            assertEquals(
                    List.of(200, c.getValue()),
                    statuses(script, Rig.get("warm", 20_000), request(c.getKey(), "a1", 20_000)),
                    c.getKey());
            assertEquals(1, broken.get());
            assertEquals(c.getKey().equals("u") ? 1 : 2, sent.get(), c.getKey() + ": times sent");
        }
    }

    /** One that surely never ran is tried again whatever its class: turned away, or nobody listened. */
    @Test
    void whatSurelyNeverRanIsTriedAgainAlsoWhereUnsafe() throws Exception {
        for (String lane : new String[] {"c", "k", "u"}) {
            AtomicInteger sent = new AtomicInteger();
            Peer.Script script = (m, line) -> {
                if (sent.incrementAndGet() == 1) {
                    line.answer("503 Full", "X-Turned-Away: 1\r\n", "");
                } else {
                    line.answer("200 OK", "", "again");
                }
            };
            assertEquals(List.of(200), statuses(script, request(lane, "a1", 20_000)), lane);
            assertEquals(2, sent.get(), lane);
        }
    }

    /**
     * Upstreams that hang: an unsafe request is out once, until its time is over, and is then answered as failed, not
     * refused.
     */
    @Test
    void anUnsafeRequestNeverHasTwoAttemptsOutAndIsNotRefusedOnceItMayHaveRun() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        assertEquals(List.of(502), statuses((m, line) -> sent.incrementAndGet(), request("u", "a1", 1_500)));
        assertEquals(1, sent.get(), "attempts out");
    }

    /**
     * A repeat of a keyed request is decided inside the window, and its connection comes up after it: those who drop
     * repeats have forgotten the first by then. The module is the test's, which repeats at once.
     */
    @Test
    void aKeyedRepeatIsNotSentWhenItsConnectionComesUpAfterTheWindow() throws Exception {
        try (Rig rig = new Rig();
                LateDoor late = new LateDoor()) {
            rig.settings = rig.settings
                    .replace("\"window_us\":4000000", "\"window_us\":200000")
                    .replace("\"dial_timeout_us\":2000000", "\"dial_timeout_us\":20000000");
            rig.upstream((m, line) -> line.answer("500 No", "", ""));
            rig.upstreamAt(late.address());
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.ERROR) {
                    out.send(id, "u1", 0);
                    out.startTimer("over", 250_000);
                } else {
                    out.fail(id);
                }
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.post("a1", "k", "key", 10_000));
                // It is being connected, and the window is over; the kernel tries again a second after its first try.
                rig.await("timer over");
                late.letsIn();
                assertEquals("outcome a1 1 NOT_SENT false -", rig.await("outcome"));
                assertEquals(502, client.status());
            }
            assertTrue(late.heardNobody(), "it was sent all the same");
        }
    }
}
