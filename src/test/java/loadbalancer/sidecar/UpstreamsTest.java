package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.ClosedPort;
import loadbalancer.core.Clock;
import loadbalancer.http1.UpstreamCall;
import loadbalancer.http1.Upstreams;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.discovery.DiscoveryListFormat;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connection pools and the endpoint list; all on one event loop, as in a sidecar. */
@Timeout(60)
class UpstreamsTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Upstreams upstreams(long idleMicros, int maxConnections) throws Exception {
        return loop.submit(() -> new Upstreams(loop, clock, idleMicros, 2_000_000, 20_000, maxConnections))
                .get();
    }

    private static EndpointList list(boolean complete, String... entries) {
        return DiscoveryListFormat.read(
                JsonObject.parse(SidecarHarness.list(1, complete, entries).getBytes(StandardCharsets.UTF_8)),
                ListSource.DISCOVERY,
                0);
    }

    private static void update(Upstreams upstreams, EndpointList list) {
        upstreams.update(list.complete(), list.endpoints());
    }

    private UpstreamCall call(Upstreams upstreams, String upstream) {
        return upstreams.newCall(
                upstream,
                clock.nowMicros() + 20_000_000,
                left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"),
                (c, outcome, report, body) -> outcomes.add(upstream + " " + outcome));
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(20, TimeUnit.SECONDS);
    }

    /**
     * A connection that is established after its upstream drained, was removed or restarted must carry no request. The
     * list change and the call happen in the same iteration of the event loop, so that the connection can't be
     * established before the change.
     */
    @Test
    void sendsNothingToUpstreamThatChangedDuringConnect() throws Exception {
        try (ScriptedServer up = new ScriptedServer((m, connection) -> connection.respond("200 OK", "", "sent"));
                ScriptedServer moved =
                        new ScriptedServer((m, connection) -> connection.respond("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            EndpointList ready = list(true, SidecarHarness.entry("u", up.address(), "Ready", 0));
            for (EndpointList change : new EndpointList[] {
                list(false, SidecarHarness.entry("u", up.address(), "Terminating", 0)),
                list(false, SidecarHarness.entry("u", up.address(), "Gone", 0)),
                list(false, SidecarHarness.entry("u", up.address(), "Ready", 5_000_000)),
                list(false, SidecarHarness.entry("u", moved.address(), "Ready", 0)),
                list(true, SidecarHarness.entry("other", moved.address(), "Ready", 0))
            }) {
                loop.execute(() -> {
                    update(upstreams, ready);
                    call(upstreams, "u").start();
                    update(upstreams, change);
                });
                assertEquals("u NOT_SENT", outcome());
            }
            assertTrue(up.messages.isEmpty() && moved.messages.isEmpty(), "a request was sent to the changed upstream");
        }
    }

    /** A complete list with the same upstream is no change: its connections stay open. */
    @Test
    void keepsConnectionsWhenListIsUnchanged() throws Exception {
        try (ScriptedServer up = new ScriptedServer((m, connection) -> connection.respond("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> {
                    update(upstreams, list(true, SidecarHarness.entry("u", up.address(), "Ready", 0)));
                    call(upstreams, "u").start();
                });
                assertEquals("u OK", outcome());
            }
            assertEquals(1, up.accepted.size());
        }
    }

    /**
     * A drain and a call in one iteration of the event loop: a call after the drain gets no idle connection, one before
     * it is served.
     */
    @Test
    void ordersDrainAndCallInOneLoopIteration() throws Exception {
        for (boolean drainFirst : new boolean[] {true, false}) {
            try (ScriptedServer up = new ScriptedServer((m, connection) -> connection.respond("200 OK", "", "sent"))) {
                Upstreams upstreams = upstreams(15_000_000, 100);
                loop.execute(() -> {
                    update(upstreams, list(true, SidecarHarness.entry("u", up.address(), "Ready", 0)));
                    call(upstreams, "u").start();
                });
                assertEquals("u OK", outcome());
                loop.execute(() -> {
                    Runnable drain = () ->
                            update(upstreams, list(false, SidecarHarness.entry("u", up.address(), "Terminating", 0)));
                    Runnable ask = () -> call(upstreams, "u").start();
                    (drainFirst ? drain : ask).run();
                    (drainFirst ? ask : drain).run();
                });
                assertEquals(drainFirst ? "u NOT_SENT" : "u OK", outcome());
                // No idle connection is left.
                up.next();
                if (!drainFirst) {
                    up.next();
                }
                assertEquals(-1, up.accepted.take().getInputStream().read());
                assertTrue(up.messages.isEmpty(), "a request was sent after the drain");
            }
        }
    }

    /** Upstreams close idle connections without notice; a request written to one after that would end as a reset. */
    @Test
    void closesIdleConnectionsBeforeUpstreamDoes() throws Exception {
        try (ScriptedServer up = new ScriptedServer((m, connection) -> connection.respond("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(1, 100);
            loop.execute(() -> update(upstreams, list(true, SidecarHarness.entry("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 2; i++) {
                loop.execute(() -> call(upstreams, "u").start());
                assertEquals("u OK", outcome());
            }
            assertEquals(-1, up.accepted.take().getInputStream().read());
            assertEquals(1, up.accepted.size(), "the second call did not open a connection of its own");
        }
    }

    /**
     * At the limit an idle connection to another upstream is closed to make room; without one the request is not sent.
     */
    @Test
    void keepsConnectionsWithinLimit() throws Exception {
        try (ScriptedServer a = new ScriptedServer((m, connection) -> connection.respond("200 OK", "", ""));
                ScriptedServer silent = new ScriptedServer((m, connection) -> {})) {
            Upstreams upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> update(
                    upstreams,
                    list(
                            true,
                            SidecarHarness.entry("a", a.address(), "Ready", 0),
                            SidecarHarness.entry("silent", silent.address(), "Ready", 0))));
            loop.execute(() -> call(upstreams, "a").start());
            assertEquals("a OK", outcome());
            loop.execute(() -> call(upstreams, "silent").start());
            silent.next();
            assertEquals(-1, a.accepted.take().getInputStream().read());
            loop.execute(() -> call(upstreams, "a").start());
            assertEquals("a NOT_SENT", outcome());
        }
    }

    /**
     * A connection that was never established must not count towards the limit; otherwise a crashed upstream would use
     * it up.
     */
    @Test
    void failedConnectionsDoNotCountTowardsLimit() throws Exception {
        try (ScriptedServer up =
                new ScriptedServer((m, connection) -> connection.respond("200 OK", "Connection: close\r\n", ""))) {
            String gone = "127.0.0.1:" + ClosedPort.reserve(0).getPort();
            Upstreams upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> update(
                    upstreams,
                    list(
                            true,
                            SidecarHarness.entry("u", up.address(), "Ready", 0),
                            SidecarHarness.entry("gone", gone, "Ready", 0))));
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> call(upstreams, "gone").start());
                assertEquals("gone CONNECT_FAILED", outcome());
            }
            loop.execute(() -> call(upstreams, "u").start());
            assertEquals("u OK", outcome());
            up.accepted.take().getInputStream().read();
        }
    }

    /**
     * Upstreams are replaced under new ids all the time; removed ones must not be kept, even if they are removed by a
     * list of changes.
     */
    @Test
    void forgetsRemovedUpstreams() throws Exception {
        Upstreams upstreams = upstreams(15_000_000, 100);
        int kept = loop.submit(() -> {
                    for (int i = 0; i < 50; i++) {
                        update(upstreams, list(false, SidecarHarness.entry("u" + i, "127.0.0.1:9", "Ready", 0)));
                        update(upstreams, list(false, SidecarHarness.entry("u" + i, "127.0.0.1:9", "Gone", 0)));
                    }
                    return upstreams.upstreamCount();
                })
                .get();
        assertEquals(0, kept);
    }

    /** A connection that the upstream closed while it was idle must not fail the next call. */
    @Test
    void skipsIdleConnectionThatUpstreamClosed() throws Exception {
        try (ScriptedServer up = new ScriptedServer((m, connection) -> {
            connection.respond("200 OK", "", "sent");
            connection.socket().close();
        })) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            loop.execute(() -> update(upstreams, list(true, SidecarHarness.entry("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 5; i++) {
                loop.execute(() -> call(upstreams, "u").start());
                assertEquals("u OK", outcome());
                while (loop.submit(upstreams::openConnectionCount).get() > 0) {
                    Thread.onSpinWait();
                }
            }
            assertEquals(5, up.accepted.size());
        }
    }
}
