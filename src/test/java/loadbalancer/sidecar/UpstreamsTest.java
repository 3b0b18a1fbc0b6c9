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

/** Connections and the list: everything here happens on one event loop, as in the program. */
@Timeout(60)
class UpstreamsTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Upstreams upstreams(long idleUs, int maxConnections) throws Exception {
        return loop.submit(() -> new Upstreams(loop, clock, idleUs, 2_000_000, 20_000, maxConnections))
                .get();
    }

    private static EndpointList list(boolean whole, String... entries) {
        return DiscoveryListFormat.read(
                JsonObject.parse(Rig.list(1, whole, entries).getBytes(StandardCharsets.UTF_8)),
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
     * A connection that comes up after its upstream drained, went or restarted must carry nothing. The change
     * falls into the same turn of the loop as the call, so that the connection can't be up before it.
     */
    @Test
    void nothingIsSentToAnUpstreamThatChangedWhileItsConnectionCameUp() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"));
                Peer moved = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            EndpointList ready = list(true, Rig.entry("u", up.address(), "Ready", 0));
            for (EndpointList change : new EndpointList[] {
                list(false, Rig.entry("u", up.address(), "Terminating", 0)),
                list(false, Rig.entry("u", up.address(), "Gone", 0)),
                list(false, Rig.entry("u", up.address(), "Ready", 5_000_000)),
                list(false, Rig.entry("u", moved.address(), "Ready", 0)),
                list(true, Rig.entry("other", moved.address(), "Ready", 0))
            }) {
                loop.execute(() -> {
                    update(upstreams, ready);
                    call(upstreams, "u").start();
                    update(upstreams, change);
                });
                assertEquals("u NOT_SENT", outcome());
            }
            assertTrue(up.messages.isEmpty() && moved.messages.isEmpty(), "a request was sent all the same");
        }
    }

    /** The same upstream named again, as in every whole list, is no change: its connections stay. */
    @Test
    void aListThatSaysTheSameKeepsTheConnections() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> {
                    update(upstreams, list(true, Rig.entry("u", up.address(), "Ready", 0)));
                    call(upstreams, "u").start();
                });
                assertEquals("u OK", outcome());
            }
            assertEquals(1, up.accepted.size());
        }
    }

    /**
     * A drain and a call in one turn of the loop, in either order: a call after it gets no connection that rests, one
     * before it is served.
     */
    @Test
    void aDrainAndACallInOneTurnNeedNoNewConnection() throws Exception {
        for (boolean drainFirst : new boolean[] {true, false}) {
            try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
                Upstreams upstreams = upstreams(15_000_000, 100);
                loop.execute(() -> {
                    update(upstreams, list(true, Rig.entry("u", up.address(), "Ready", 0)));
                    call(upstreams, "u").start();
                });
                assertEquals("u OK", outcome());
                loop.execute(() -> {
                    Runnable drain =
                            () -> update(upstreams, list(false, Rig.entry("u", up.address(), "Terminating", 0)));
                    Runnable ask = () -> call(upstreams, "u").start();
                    (drainFirst ? drain : ask).run();
                    (drainFirst ? ask : drain).run();
                });
                assertEquals(drainFirst ? "u NOT_SENT" : "u OK", outcome());
                // Nothing rests there any more.
                up.next();
                if (!drainFirst) {
                    up.next();
                }
                assertEquals(-1, up.accepted.take().getInputStream().read());
                assertTrue(up.messages.isEmpty(), "something was sent after the drain");
            }
        }
    }

    /** An upstream drops idle connections unseen; a request written to one from then on would end as a reset. */
    @Test
    void connectionsIdleForLongAreDroppedBeforeTheUpstreamDoesSo() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "", "sent"))) {
            Upstreams upstreams = upstreams(1, 100);
            loop.execute(() -> update(upstreams, list(true, Rig.entry("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 2; i++) {
                loop.execute(() -> call(upstreams, "u").start());
                assertEquals("u OK", outcome());
            }
            assertEquals(-1, up.accepted.take().getInputStream().read());
            assertEquals(1, up.accepted.size(), "the second call did not open a connection of its own");
        }
    }

    /** Descriptors are few: at the cap an idle connection elsewhere makes room, and without one nothing is sent. */
    @Test
    void connectionsStayWithinTheirCap() throws Exception {
        try (Peer a = new Peer((m, line) -> line.answer("200 OK", "", ""));
                Peer silent = new Peer((m, line) -> {})) {
            Upstreams upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> update(
                    upstreams,
                    list(
                            true,
                            Rig.entry("a", a.address(), "Ready", 0),
                            Rig.entry("silent", silent.address(), "Ready", 0))));
            loop.execute(() -> call(upstreams, "a").start());
            assertEquals("a OK", outcome());
            loop.execute(() -> call(upstreams, "silent").start());
            silent.next();
            assertEquals(-1, a.accepted.take().getInputStream().read());
            loop.execute(() -> call(upstreams, "a").start());
            assertEquals("a NOT_SENT", outcome());
        }
    }

    /** What never came up holds no place: otherwise a crashed upstream would use up the cap by and by. */
    @Test
    void connectionsThatFailFreeTheirPlace() throws Exception {
        try (Peer up = new Peer((m, line) -> line.answer("200 OK", "Connection: close\r\n", ""))) {
            String gone = "127.0.0.1:" + ClosedPort.hold(0).getPort();
            Upstreams upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> update(
                    upstreams,
                    list(true, Rig.entry("u", up.address(), "Ready", 0), Rig.entry("gone", gone, "Ready", 0))));
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> call(upstreams, "gone").start());
                assertEquals("gone CONNECT_FAILED", outcome());
            }
            loop.execute(() -> call(upstreams, "u").start());
            assertEquals("u OK", outcome());
            up.accepted.take().getInputStream().read();
        }
    }

    /** Upstreams are replaced under ever new ids; what is gone must not be kept for ever, also among changes. */
    @Test
    void whatIsGoneIsForgotten() throws Exception {
        Upstreams upstreams = upstreams(15_000_000, 100);
        int kept = loop.submit(() -> {
                    for (int i = 0; i < 50; i++) {
                        update(upstreams, list(false, Rig.entry("u" + i, "127.0.0.1:9", "Ready", 0)));
                        update(upstreams, list(false, Rig.entry("u" + i, "127.0.0.1:9", "Gone", 0)));
                    }
                    return upstreams.upstreamCount();
                })
                .get();
        assertEquals(0, kept);
    }

    /** A connection that the upstream closed while it rested must cost the next call nothing. */
    @Test
    void aConnectionClosedWhileItRestedIsPassedOver() throws Exception {
        try (Peer up = new Peer((m, line) -> {
            line.answer("200 OK", "", "sent");
            line.socket().close();
        })) {
            Upstreams upstreams = upstreams(15_000_000, 100);
            loop.execute(() -> update(upstreams, list(true, Rig.entry("u", up.address(), "Ready", 0))));
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
