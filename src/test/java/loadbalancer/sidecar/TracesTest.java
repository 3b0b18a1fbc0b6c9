package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.core.Addresses;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorConfiguration.CollectorOptions;
import loadbalancer.operator.OperatorConfiguration.TraceOptions;
import loadbalancer.testbed.TraceCollector;
import loadbalancer.testbed.TraceCollector.Manner;
import loadbalancer.testbed.TraceCollector.Seen;
import loadbalancer.trace.SamplingOptions;
import loadbalancer.trace.SpanAttributes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Exported traces match the requests and attempts that took place, and a failing collector affects no request. */
@Timeout(60)
class TracesTest {
    private static final String PARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00";
    private static final SamplingOptions PROBLEMS_ONLY = new SamplingOptions(100, 100, 0, 1, Set.of(), 100, 30_000_000);
    private static final SamplingOptions EVERYTHING = new SamplingOptions(100, 100, 1000, 1, Set.of(), 100, 30_000_000);

    private TraceCollector collector;
    private SidecarHarness harness;

    @BeforeEach
    void setUp() throws Exception {
        collector = TraceCollector.alone();
        harness = new SidecarHarness();
    }

    @AfterEach
    void tearDown() throws Exception {
        harness.close();
        collector.close();
    }

    private OperatorConfiguration traces(SamplingOptions sampling) {
        return new OperatorConfiguration(
                null,
                null,
                new TraceOptions(
                        sampling,
                        "test",
                        100,
                        20_000_000,
                        null,
                        new CollectorOptions(Addresses.parse(collector.address()), "/v1/traces", 300_000)),
                null,
                null,
                false);
    }

    private static String confirm(String id, String key, String moreHeaders) {
        return "POST /api/confirm HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: k\r\nIdempotency-Key: " + key
                + "\r\nX-Remaining-Ms: 20000\r\nContent-Length: 0\r\n" + moreHeaders + "\r\n";
    }

    private Seen request(String id) throws InterruptedException {
        return collector.await(s -> s.text(SpanAttributes.REQUEST_ID).equals(id));
    }

    private Seen attempt(Seen request, int number) throws InterruptedException {
        return collector.await(s -> s.parent().equals(request.span())
                && s.text(SpanAttributes.ATTEMPT).equals("" + number));
    }

    /** Both attempts of a retried confirmation are shown, under the trace of the application. */
    @Test
    void retriedConfirmationShowsBothAttemptsInOneTrace() throws Exception {
        ScriptedServer broken = harness.addUpstream((m, connection) -> connection.reset());
        ScriptedServer good = harness.addUpstream((m, connection) ->
                connection.respond("200 OK", "X-Pressure: TEXT busy_reqs=3, pending=2, cpu_share=0.5\r\n", "yes"));
        harness.onOutcome = (id, outcome, done, out) -> {
            if (!done) {
                out.send(id, "u1", 0);
            }
        };
        harness.operator = traces(PROBLEMS_ONLY);
        harness.start();
        try (ScriptedServer.Client client = harness.client()) {
            assertEquals(
                    200,
                    client.send(confirm("a1", "key-1", "traceparent: " + PARENT + "\r\ntracestate: app=1\r\n"))
                            .status());
        }
        Seen request = request("a1");
        assertEquals("4bf92f3577b34da6a3ce929d0e0e4736", request.trace());
        assertEquals("00f067aa0ba902b7", request.parent());
        assertEquals("app=1", request.state());
        assertEquals("retried", request.text(SpanAttributes.REASONS));
        assertEquals("served", request.text(SpanAttributes.RESULT));
        Seen first = attempt(request, 0);
        Seen second = attempt(request, 1);
        assertEquals(
                "reset u0 true",
                first.text(SpanAttributes.OUTCOME) + " " + first.text(SpanAttributes.UPSTREAM) + " "
                        + first.text(SpanAttributes.MAY_HAVE_RUN));
        assertEquals(
                "ok u1 true",
                second.text(SpanAttributes.OUTCOME) + " " + second.text(SpanAttributes.UPSTREAM) + " "
                        + second.text(SpanAttributes.MAY_HAVE_RUN));
        assertEquals("3.0", second.text(SpanAttributes.NODE_IN_FLIGHT));
        assertTrue(first.end() <= second.start() && second.end() <= request.end());
        assertTrue(second.events().get(SpanAttributes.WRITTEN) >= second.start());
        // The upstreams got the ids of these spans, and the second one was told to sample.
        assertEquals(
                "00-" + request.trace() + "-" + first.span() + "-00",
                broken.next().header("traceparent"));
        ScriptedServer.Message forwarded = good.next();
        assertEquals("00-" + request.trace() + "-" + second.span() + "-01", forwarded.header("traceparent"));
        assertEquals("app=1", forwarded.header("tracestate"));
    }

    /** The cancel arrives after the upstream has begun, and the upstream goes on. */
    @Test
    void attemptCancelledAfterUpstreamStartedIsTracedAsRun() throws Exception {
        BlockingQueue<ScriptedServer.Connection> held = new LinkedBlockingQueue<>();
        ScriptedServer node = harness.addUpstream((m, connection) -> held.add(connection));
        harness.operator = traces(PROBLEMS_ONLY);
        harness.start();
        ScriptedServer.Client client = harness.client();
        client.send(confirm("a1", "key-1", ""));
        node.next();
        ScriptedServer.Connection connection = held.poll(20, TimeUnit.SECONDS);
        client.close();
        harness.await("expired a1");
        connection.respond("200 OK", "", "booked");
        Seen request = request("a1");
        assertEquals("left left", request.text(SpanAttributes.RESULT) + " " + request.text(SpanAttributes.REASONS));
        Seen attempt = attempt(request, 0);
        assertEquals("ok true", attempt.text(SpanAttributes.OUTCOME) + " " + attempt.text(SpanAttributes.MAY_HAVE_RUN));
        assertTrue(attempt.end() >= request.end(), "it ended after its client had gone");
    }

    @Test
    void samplesRejectedFailedAndSlowRequestsOnly() throws Exception {
        harness.addUpstream(
                (m, connection) -> connection.respond(m.path().contains("bad") ? "500 No" : "200 OK", "", "yes"));
        harness.operator = traces(PROBLEMS_ONLY);
        harness.onRequest = (nowMicros, r, out) -> {
            if (r.id().startsWith("refuse")) {
                out.reject(r.id(), 165_000);
            } else if (r.id().startsWith("late")) {
                out.startTimer("stall", 0);
                out.send(r.id(), "u0", 0);
            } else {
                out.send(r.id(), "u0", 0);
            }
        };
        harness.settings = SidecarHarness.SETTINGS.replace("300000", "100000");
        harness.start();
        try (ScriptedServer.Client client = harness.client()) {
            assertEquals(200, client.send(SidecarHarness.get("usual", 20_000)).status());
            assertEquals(503, client.send(SidecarHarness.get("refuse", 20_000)).status());
            assertEquals(
                    502,
                    client.send(SidecarHarness.get("failed", 20_000).replace("slots", "bad"))
                            .status());
            assertEquals(200, client.send(SidecarHarness.get("late", 20_000)).status());
        }
        Seen refused = request("refuse");
        assertEquals(
                "refused 165 0",
                refused.text(SpanAttributes.REASONS) + " " + refused.text(SpanAttributes.RETRY_AFTER_MILLIS) + " "
                        + refused.text(SpanAttributes.ATTEMPTS));
        assertEquals("failed", request("failed").text(SpanAttributes.REASONS));
        assertEquals("slow", request("late").text(SpanAttributes.REASONS));
        assertTrue(collector.seen().stream()
                .noneMatch(s -> s.text(SpanAttributes.REQUEST_ID).equals("usual")));
    }

    /** An application without tracing retries by itself, with a new id and the same key. */
    @Test
    void clientRetryJoinsTraceOfItsFirstTry() throws Exception {
        harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "yes"));
        harness.operator = traces(PROBLEMS_ONLY);
        harness.start();
        try (ScriptedServer.Client client = harness.client()) {
            assertEquals(200, client.send(confirm("a1", "key-1", "")).status());
            assertEquals(
                    200, client.send(confirm("a2", "key-1", "X-Resent: 1\r\n")).status());
        }
        Seen second = request("a2");
        Seen first = request("a1");
        assertEquals(first.trace(), second.trace());
        assertEquals(List.of(first.trace() + " " + first.span()), second.links());
        assertEquals("resent", second.text(SpanAttributes.REASONS));
        assertEquals("", second.parent());
    }

    /** A collector that hangs, resets, is busy or rejects costs spans at most: requests neither wait nor change. */
    @Test
    void failingCollectorDoesNotAffectRequests() throws Exception {
        harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "yes"));
        harness.operator = traces(EVERYTHING);
        harness.start();
        try (ScriptedServer.Client client = harness.client()) {
            for (Manner how : List.of(Manner.SILENT, Manner.RESETS, Manner.BUSY, Manner.REFUSES)) {
                collector.be(how);
                for (int i = 0; i < 300; i++) {
                    assertEquals(
                            200,
                            client.send(SidecarHarness.get(how + "-" + i, 20_000))
                                    .status());
                }
            }
            collector.be(Manner.TAKES);
            assertEquals(200, client.send(SidecarHarness.get("after", 20_000)).status());
        }
        request("after");
        assertTrue(collector.batches() > 1, "the exporter did not retry while the collector failed");
        // The buffer holds a hundred spans: older ones of the same priority were dropped.
        assertTrue(
                collector.seen().size() < 2 * 500,
                "more spans were exported than the buffer holds: "
                        + collector.seen().size());
    }

    /** A reload turns tracing on, changes it, and turns it off, with requests in progress. */
    @Test
    void reloadTurnsTracingOnAndOff() throws Exception {
        ScriptedServer node = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "yes"));
        harness.start();
        try (ScriptedServer.Client client = harness.client()) {
            // With tracing off, a client's trace headers are neither read nor passed on.
            assertNull(sendAndReadParent(client, node, "a1"));
            harness.operator = traces(EVERYTHING);
            harness.reload(harness.discovery.address());
            String parent = null;
            // The tracing library is loaded on another thread, and the event loop installs it afterwards.
            for (int i = 0; parent == null; i++) {
                parent = sendAndReadParent(client, node, "b" + i);
            }
            assertEquals("4bf92f3577b34da6a3ce929d0e0e4736", parent.substring(3, 35));
            sendAndReadParent(client, node, "a2");
            harness.operator = OperatorConfiguration.NONE;
            harness.reload(harness.discovery.address());
            for (int i = 0; parent != null; i++) {
                parent = sendAndReadParent(client, node, "c" + i);
            }
        }
        // Spans that were kept before tracing was turned off are still exported.
        request("a2");
    }

    /** Sends a request; returns the traceparent header that the upstream got. */
    private static String sendAndReadParent(ScriptedServer.Client client, ScriptedServer node, String id)
            throws Exception {
        assertEquals(
                200,
                client.send(SidecarHarness.get(id, 20_000)
                                .replace("\r\n\r\n", "\r\ntraceparent: " + PARENT + "\r\n\r\n"))
                        .status());
        return node.next().header("traceparent");
    }

    @Test
    void invalidTraceHeadersStartNewTrace() throws Exception {
        ScriptedServer node = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "yes"));
        harness.operator = traces(EVERYTHING);
        harness.start();
        try (ScriptedServer.Client client = harness.client()) {
            for (String bad : List.of(
                    "traceparent: nonsense\r\n",
                    "traceparent: " + PARENT + "\r\ntraceparent: " + PARENT + "\r\n",
                    "tracestate: a=1\r\n",
                    "traceparent: " + PARENT.replace("00-4", "ff-4") + "\r\n")) {
                String id = "a" + bad.hashCode();
                assertEquals(
                        200,
                        client.send(SidecarHarness.get(id, 20_000).replace("\r\n\r\n", "\r\n" + bad + "\r\n"))
                                .status());
                ScriptedServer.Message forwarded = node.next();
                assertNotEquals(
                        "4bf92f3577b34da6a3ce929d0e0e4736",
                        forwarded.header("traceparent").substring(3, 35));
                assertEquals("ot=th:0", forwarded.header("tracestate"));
                assertEquals("", request(id).parent());
            }
        }
    }
}
