package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.core.Addresses;
import loadbalancer.http1.HealthCheck;
import loadbalancer.membership.EndpointEvidence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks of unverified endpoints: each has one result, and sends no client's request. */
@Timeout(60)
class EndpointCheckTest {
    private static final String LOAD = "TEXT inflight=1, queue=0, util=0.5";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<EndpointEvidence> results = new LinkedBlockingQueue<>();

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private EndpointEvidence check(String address, HealthCheck.Mode mode, long ms) throws InterruptedException {
        loop.execute(() -> new HealthCheck(loop, mode, ms).check(Addresses.parse(address), results::add));
        EndpointEvidence evidence = results.poll(20, TimeUnit.SECONDS);
        // Only one result: the timeout of the check, which comes later, adds none.
        loop.submit(() -> {}).syncUninterruptibly();
        assertNull(results.poll());
        return evidence;
    }

    private EndpointEvidence check(ScriptedServer.Script script, HealthCheck.Mode mode, long ms) throws Exception {
        try (ScriptedServer peer = new ScriptedServer(script)) {
            return check(peer.address(), mode, ms);
        }
    }

    @Test
    void recognisesUpstreamByItsLoadReport() throws Exception {
        assertEquals(
                EndpointEvidence.RESPONDS_AS_UPSTREAM,
                check(
                        (m, connection) -> {
                            assertEquals("/stats", m.path());
                            assertNull(m.header("X-Txn"));
                            connection.respond("200 OK", "", LOAD);
                        },
                        HealthCheck.Mode.LOAD_REPORT,
                        20_000));
        assertEquals(
                EndpointEvidence.RESPONDS_AS_UPSTREAM,
                check((m, connection) -> connection.respond("503 Full", "", ""), HealthCheck.Mode.LOAD_REPORT, 20_000));
    }

    @Test
    void checksLivenessWithoutLoadReports() throws Exception {
        assertEquals(
                EndpointEvidence.RESPONDS_AS_UPSTREAM,
                check(
                        (m, connection) -> {
                            assertEquals("/health/live", m.path());
                            connection.respond("200 OK", "", "");
                        },
                        HealthCheck.Mode.LIVENESS,
                        20_000));
    }

    @Test
    void recognisesServersThatAreNoUpstream() throws Exception {
        ScriptedServer.Script[] otherServers = {
            (m, connection) -> connection.respond("404 Not Found", "", ""),
            (m, connection) -> connection.respond("200 OK", "", "<html>hello</html>"),
            (m, connection) -> connection.respond("200 OK", "", "TEXT inflight=-1"),
            (m, connection) -> connection.respond("302 Found", "Location: /login\r\n", ""),
            (m, connection) -> connection.raw("220 mail ready\r\n\r\n"),
            (m, connection) -> connection.raw("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n"),
            (m, connection) -> connection.reset(),
            (m, connection) -> connection.socket().close(),
        };
        for (int i = 0; i < otherServers.length; i++) {
            assertEquals(
                    EndpointEvidence.NOT_AN_UPSTREAM,
                    check(otherServers[i], HealthCheck.Mode.LOAD_REPORT, 20_000),
                    "server " + i);
        }
    }

    @Test
    void reportsNoResponse() throws Exception {
        assertEquals(EndpointEvidence.NO_RESPONSE, check((m, connection) -> {}, HealthCheck.Mode.LOAD_REPORT, 100));
        assertEquals(
                EndpointEvidence.NO_RESPONSE,
                check(
                        (m, connection) -> connection.raw("HTTP/1.1 200 OK\r\nContent-Le"),
                        HealthCheck.Mode.LOAD_REPORT,
                        100));
    }

    @Test
    void reportsRefusedConnection() throws Exception {
        String unusedAddress;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            unusedAddress = "127.0.0.1:" + s.getLocalPort();
        }
        assertEquals(EndpointEvidence.REFUSES_CONNECTIONS, check(unusedAddress, HealthCheck.Mode.LOAD_REPORT, 20_000));
    }

    /** Without health checks an accepted connection is the only evidence. */
    @Test
    void reportsAcceptedConnectionWithoutHealthChecks() throws Exception {
        try (ScriptedServer peer = new ScriptedServer((m, connection) -> {})) {
            assertEquals(EndpointEvidence.ACCEPTS_CONNECTIONS, check(peer.address(), HealthCheck.Mode.CONNECT, 20_000));
            assertEquals(0, peer.messages.size());
        }
    }
}
