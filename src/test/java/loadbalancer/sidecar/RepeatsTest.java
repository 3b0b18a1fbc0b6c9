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
 * Only requests that did not run, or that may safely run twice, are sent a second time, even if connections break, and
 * keyed requests only within their idempotency window. Uses the production balancer except where noted.
 */
@Timeout(60)
class RepeatsTest {
    /** Settings with two upstreams, no load reports, and a class that must not be retried. */
    private static SidecarHarness harness() throws IOException {
        SidecarHarness harness = new SidecarHarness();
        harness.settings = harness.settings
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
        harness.usesProductionBalancer = true;
        return harness;
    }

    /**
     * The response statuses of requests sent one after the other on one connection, with two upstreams that follow the
     * script.
     */
    private static List<Integer> statuses(ScriptedServer.Script script, String... requests) throws Exception {
        List<Integer> statuses = new ArrayList<>();
        try (SidecarHarness harness = harness()) {
            harness.addUpstream(script);
            harness.addUpstream(script);
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                for (String request : requests) {
                    statuses.add(client.send(request).status());
                }
            }
        }
        return statuses;
    }

    private static String request(String requestClass, String id, long remainingMs) {
        return requestClass.equals("c")
                ? SidecarHarness.get(id, remainingMs)
                : SidecarHarness.post(id, requestClass, requestClass.equals("k") ? "key-" + id : null, remainingMs);
    }

    /**
     * An idle connection is closed at the moment when a request is written to it, so the request may have run. Safe and
     * keyed requests are retried, unsafe ones fail.
     */
    @Test
    void requestOnConnectionThatBreaksMayHaveRun() throws Exception {
        for (Map.Entry<String, Integer> c : Map.of("c", 200, "k", 200, "u", 502).entrySet()) {
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger broken = new AtomicInteger();
            ScriptedServer.Script script = (m, connection) -> {
                if (m.header("X-Txn").equals("warm")) {
                    connection.respond("200 OK", "", "warm");
                } else if (sent.incrementAndGet() == 1) {
                    broken.incrementAndGet();
                    connection.reset();
                } else {
                    connection.respond("200 OK", "", "again");
                }
            };
            assertEquals(
                    List.of(200, c.getValue()),
                    statuses(script, SidecarHarness.get("warm", 20_000), request(c.getKey(), "a1", 20_000)),
                    c.getKey());
            assertEquals(1, broken.get());
            assertEquals(c.getKey().equals("u") ? 1 : 2, sent.get(), c.getKey() + ": number of attempts");
        }
    }

    /** A request that was rejected by the upstream has certainly not run and is retried whatever its class. */
    @Test
    void retriesRequestThatNeverRanEvenIfUnsafe() throws Exception {
        for (String requestClass : new String[] {"c", "k", "u"}) {
            AtomicInteger sent = new AtomicInteger();
            ScriptedServer.Script script = (m, connection) -> {
                if (sent.incrementAndGet() == 1) {
                    connection.respond("503 Full", "X-Turned-Away: 1\r\n", "");
                } else {
                    connection.respond("200 OK", "", "again");
                }
            };
            assertEquals(List.of(200), statuses(script, request(requestClass, "a1", 20_000)), requestClass);
            assertEquals(2, sent.get(), requestClass);
        }
    }

    /**
     * With hanging upstreams an unsafe request is sent once, and at its deadline it fails; it is not rejected, as it
     * may have run.
     */
    @Test
    void unsafeRequestIsSentOnceAndFailsAtDeadline() throws Exception {
        AtomicInteger sent = new AtomicInteger();
        assertEquals(List.of(502), statuses((m, connection) -> sent.incrementAndGet(), request("u", "a1", 1_500)));
        assertEquals(1, sent.get(), "number of attempts");
    }

    /**
     * A retry of a keyed request is decided within the idempotency window, but its connection is established after it,
     * when upstreams have forgotten the first attempt. The test's balancer retries at once.
     */
    @Test
    void doesNotSendKeyedRetryWhenConnectedAfterWindow() throws Exception {
        try (SidecarHarness harness = new SidecarHarness();
                FullBacklogServer fullServer = new FullBacklogServer()) {
            harness.settings = harness.settings
                    .replace("\"window_us\":4000000", "\"window_us\":200000")
                    .replace("\"dial_timeout_us\":2000000", "\"dial_timeout_us\":20000000");
            harness.addUpstream((m, connection) -> connection.respond("500 No", "", ""));
            harness.addUpstreamAt(fullServer.address());
            harness.onOutcome = (id, outcome, done, out) -> {
                if (outcome == Outcome.ERROR) {
                    out.send(id, "u1", 0);
                    out.startTimer("over", 250_000);
                } else {
                    out.fail(id);
                }
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.post("a1", "k", "key", 10_000));
                // The connect is in progress and the window has ended; the kernel retries a connect one second after
                // the first try.
                harness.await("timer over");
                fullServer.drainBacklog();
                assertEquals("outcome a1 1 NOT_SENT false -", harness.await("outcome"));
                assertEquals(502, client.status());
            }
            assertTrue(fullServer.nextConnectionSentNothing(), "the retry was sent after the window");
        }
    }
}
