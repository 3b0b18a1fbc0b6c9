package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A slow client gets its whole response, however briefly idle connections are kept. */
class SlowReaderTest {
    private static final int SINGLE_REQUEST_CONNECTIONS = 150;
    private static final int BLOCK = 64 * 1024;
    /** Responses of different lengths, since only some end just when the kernel's buffer is full. */
    private static final int CLIENTS = 6;

    /** Bytes of receive buffers; before the usual one, the sidecar's kernel holds megabytes of a response. */
    private static final int SMALL_BUFFER = 4_096;

    private static final int USUAL_BUFFER = 64 * 1024;

    private static final int MIN_LENGTH = 8 * 1024 * 1024;
    private static final int LENGTH_STEP = 40_000;
    /** Number of the client whose response, of 2 MB, is surely less than the kernel holds. */
    private static final int SHORTEST_NUMBER = -160;

    /** Longest deadline of all classes, for which a shutdown waits for the rest of a request. */
    private static final long DEADLINE_MILLIS = 2_000;
    /** The slowest pace at which clients read is 64 kB/s. */
    private static final int SLOW_PIECE = 6_400;

    private static final long SLOW_INTERVAL_MILLIS = 100;
    /** More than the 10 s for which a client may take nothing, and the 4 s for which a connection may be idle. */
    private static final int SLOW_READS = 200;

    private static final class SlowClient implements AutoCloseable {
        final Socket socket = new Socket();
        final String id;
        final long length;
        long read;
        boolean responseComplete;

        SlowClient(SidecarHarness harness, int number, int receiveBufferBytes) throws IOException {
            id = "long" + number;
            length = MIN_LENGTH + (long) number * LENGTH_STEP;
            socket.setReceiveBufferSize(receiveBufferBytes);
            socket.setSoTimeout(20_000);
            socket.connect(harness.address());
            OutputStream out = socket.getOutputStream();
            out.write(SidecarHarness.get(id, 20_000).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void read() throws IOException {
            read(16 * 1024);
        }

        void read(int most) throws IOException {
            int n = socket.getInputStream().read(new byte[most]);
            assertTrue(n > 0, id + " was cut off after " + read + " of " + length);
            read += n;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static void answer(ScriptedServer.Connection connection, long length) throws IOException {
        connection.raw("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
        byte[] block = new byte[BLOCK];
        for (long left = length; left > 0; left -= BLOCK) {
            connection.socket().getOutputStream().write(block, 0, (int) Math.min(left, BLOCK));
        }
    }

    private final List<SlowClient> clients = new ArrayList<>();
    private final CountDownLatch stopped = new CountDownLatch(1);

    @AfterEach
    void closeClients() throws IOException {
        for (SlowClient client : clients) {
            client.close();
        }
    }

    private static void addUpstream(SidecarHarness harness) throws IOException {
        harness.addUpstream((m, connection) -> {
            int at = m.head().indexOf("X-Txn: long");
            if (at < 0) {
                connection.respond("200 OK", "", "done");
            } else {
                String number = m.head().substring(at + "X-Txn: long".length()).split("\\s", 2)[0];
                answer(connection, MIN_LENGTH + Long.parseLong(number) * LENGTH_STEP);
            }
        });
    }

    /** Reads until the sidecar has got the whole responses; the rest is then in the sidecar or the kernel. */
    private void startReading(SidecarHarness harness) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new SlowClient(harness, i, SMALL_BUFFER));
        }
        while (clients.stream().anyMatch(c -> !c.responseComplete)) {
            for (SlowClient c : clients) {
                if (!c.responseComplete) {
                    c.read();
                    c.responseComplete = harness.balancerEvents.contains("outcome " + c.id + " 0 OK true -");
                }
            }
        }
    }

    private void readToEnd() throws IOException {
        for (SlowClient c : clients) {
            while (c.read < c.length) {
                c.read();
            }
        }
    }

    @Test
    void sweepOfIdleConnectionsDoesNotTruncateLongResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            addUpstream(harness);
            harness.start();
            // After connections that are not reused, idle ones are kept only briefly.
            harness.sendOnePerConnection(SINGLE_REQUEST_CONNECTIONS);
            startReading(harness);
            // A silent connection is closed by a sweep that checks the slow ones too.
            for (int i = 0; i < 2; i++) {
                try (ScriptedServer.Client silent = harness.client()) {
                    assertTrue(silent.awaitClose());
                }
            }
            readToEnd();
        }
    }

    /** Guards against review case 10 at the end of a response: it was dropped while its client read it steadily. */
    @Test
    void endOfLongResponseIsSentToClientsThatReadSlowly() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            addUpstream(harness);
            harness.start();
            connectUntilBuffersAreFull(harness);
            for (int i = 0; i < SLOW_READS; i++) {
                for (SlowClient c : clients) {
                    c.read(SLOW_PIECE);
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_INTERVAL_MILLIS));
            }
            readToEnd();
        }
    }

    /**
     * Adds clients that read nothing, each with a longer response, until the sidecar can't receive one as a whole. The
     * last ones that it received fill the kernel's buffers, so that their ends are in the sidecar.
     */
    private void connectUntilBuffersAreFull(SidecarHarness harness) throws Exception {
        for (int number = SHORTEST_NUMBER; number < 0; number++) {
            SlowClient client = new SlowClient(harness, number, USUAL_BUFFER);
            clients.add(client);
            if (clients.size() > CLIENTS) {
                clients.remove(0).close();
            }
            if (!isReceived(harness, client)) {
                return;
            }
        }
    }

    private static boolean isReceived(SidecarHarness harness, SlowClient client) throws InterruptedException {
        String event = "outcome " + client.id + " 0 OK true -";
        for (String line; (line = harness.balancerEvents.poll(500, TimeUnit.MILLISECONDS)) != null; ) {
            if (line.equals(event)) {
                return true;
            }
        }
        return false;
    }

    /** Guards against a shutdown that closes a connection whose response is still being sent. */
    @Test
    void shutdownDoesNotTruncateLongResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            assertNotTruncatedBy(harness, () -> harness.sidecar.stop(stopped::countDown));
            assertTrue(stopped.await(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against the same when an operator takes the sidecar out of service. */
    @Test
    void outOfServiceDoesNotTruncateLongResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.extraConfigFields = "\"admin\":\"127.0.0.1:0\",";
            assertNotTruncatedBy(harness, () -> {
                try (ScriptedServer.Client operator = new ScriptedServer.Client(harness.sidecar.adminAddress())) {
                    operator.send("POST /control/out-of-service HTTP/1.1\r\nHost: a\r\n\r\n");
                    assertEquals(200, operator.status());
                }
            });
        }
    }

    private void assertNotTruncatedBy(SidecarHarness harness, SidecarHarness.Action action) throws Exception {
        harness.settings = SidecarHarness.SETTINGS.replace("60000000", "" + DEADLINE_MILLIS * 1000);
        addUpstream(harness);
        harness.start();
        startReading(harness);
        action.run();
        // The clients read nothing for a while.
        stopped.await(2 * DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        readToEnd();
    }
}
