package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses and request bodies that are too large to be buffered whole. */
@Timeout(90)
class LargeTest {
    private static final int MB = 1024 * 1024;
    private static final byte[] BLOCK = block();

    private static byte[] block() {
        byte[] b = new byte[64 * 1024];
        for (int i = 0; i < b.length; i++) {
            b[i] = (byte) (i * 31 + i / 251);
        }
        return b;
    }

    /** Writes a response of this many blocks, with a stated length or chunked. */
    private static void answer(ScriptedServer.Connection connection, boolean chunked, int blocks) throws IOException {
        connection.raw("HTTP/1.1 200 OK\r\n"
                + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + blocks * BLOCK.length) + "\r\n\r\n");
        OutputStream out = connection.socket().getOutputStream();
        for (int i = 0; i < blocks; i++) {
            if (chunked) {
                connection.raw(Integer.toHexString(BLOCK.length) + ";name=value\r\n");
            }
            out.write(BLOCK);
            if (chunked) {
                connection.raw("\r\n");
            }
        }
        if (chunked) {
            connection.raw("0\r\nTrailer: x\r\n\r\n");
        }
        out.flush();
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int c; head.indexOf("\r\n\r\n") < 0 && (c = in.read()) >= 0; ) {
            head.append((char) c);
        }
        return head.toString();
    }

    /** Reads a body of this many blocks, chunked where the head says so, and checks every byte. */
    private static void read(InputStream in, String head, int blocks) throws IOException {
        long total = (long) blocks * BLOCK.length;
        long at = 0;
        while (at < total) {
            int size = head.contains("chunked")
                    ? Integer.parseInt(line(in).trim(), 16)
                    : (int) Math.min(BLOCK.length, total - at);
            byte[] piece = in.readNBytes(size);
            assertEquals(size, piece.length, "body ends at byte " + at);
            for (int i = 0; i < size; i++, at++) {
                if (piece[i] != BLOCK[(int) (at % BLOCK.length)]) {
                    throw new AssertionError("wrong byte at " + at);
                }
            }
            if (head.contains("chunked")) {
                line(in);
            }
        }
        if (head.contains("chunked")) {
            assertEquals("0", line(in));
            assertEquals("", line(in));
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) >= 0 && c != '\n'; ) {
            line.append((char) c);
        }
        return line.toString().trim();
    }

    @Test
    void forwardsResponseOf32MbUnchangedAndReusesConnection() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            try (SidecarHarness harness = new SidecarHarness()) {
                harness.addUpstream((m, connection) ->
                        answer(connection, chunked, m.header("X-Txn").equals("big") ? 512 : 1));
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    InputStream in = client.socket.getInputStream();
                    client.send(SidecarHarness.get("big", 20_000));
                    read(in, head(in), 512);
                    assertEquals("outcome big 0 OK true -", harness.await("outcome"));
                    client.send(SidecarHarness.get("small", 20_000));
                    String small = head(in);
                    assertTrue(small.contains("content-length: " + BLOCK.length), small);
                    read(in, small, 1);
                }
            }
        }
    }

    /** Data that its client does not read is not read from the upstream either, which bounds the memory used. */
    @Test
    void readsUpstreamNoFasterThanClientReads() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            AtomicLong written = new AtomicLong();
            CountDownLatch blocked = new CountDownLatch(1);
            harness.addUpstream((m, connection) -> {
                connection.socket().setSendBufferSize(64 * 1024);
                connection.raw("HTTP/1.1 200 OK\r\nContent-Length: " + 32 * MB + "\r\n\r\n");
                for (int i = 0; i < 512; i++) {
                    connection.socket().getOutputStream().write(BLOCK);
                    if (written.addAndGet(BLOCK.length) == 2 * MB) {
                        blocked.countDown();
                    }
                }
            });
            harness.start();
            long before =
                    io.netty.buffer.PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
            try (ScriptedServer.Client client = harness.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(SidecarHarness.get("slow", 20_000));
                String head = head(in);
                blocked.await(2, TimeUnit.SECONDS);
                long held =
                        io.netty.buffer.PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - before;
                assertTrue(held < 8 * MB, held + " bytes are buffered");
                read(in, head, 512);
                assertEquals(32 * MB, written.get());
            }
        }
    }

    /** A response of unknown length in slow pieces: its first bytes are not held back until it is known to be large. */
    @Test
    void startsSlowResponseOfUnknownLengthBeforeItIsKnownToBeLarge() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {
                connection.raw(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + "x".repeat(0x800) + "\r\n");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                connection.raw("800\r\n" + "x".repeat(0x800) + "\r\n");
                try {
                    assertTrue(begun.await(20, TimeUnit.SECONDS));
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
                connection.raw("4\r\nlast\r\n0\r\n\r\n");
            });
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(SidecarHarness.get("slow", 20_000));
                assertTrue(head(in).contains("chunked"));
                begun.countDown();
                assertEquals("outcome slow 0 OK true -", harness.await("outcome"));
            }
        }
    }

    /**
     * The client must not take a part for the whole response, and the request is not retried once the response has
     * begun.
     */
    @Test
    void truncatesResponseForClientWhenUpstreamBreaksOff() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer node = harness.addUpstream((m, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nContent-Length: " + 4 * MB + "\r\n\r\n");
                connection.socket().getOutputStream().write(BLOCK);
                connection.socket().getOutputStream().write(BLOCK);
                connection.socket().close();
            });
            harness.onOutcome = (id, outcome, done, out) -> {
                assertTrue(done);
                out.send(id, "u0", 0);
                out.fail(id);
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(SidecarHarness.get("cut", 20_000));
                head(in);
                long got = 0;
                try {
                    for (byte[] b = new byte[4096]; ; ) {
                        int n = in.read(b);
                        if (n < 0) {
                            break;
                        }
                        got += n;
                    }
                } catch (java.net.SocketException exception) {
                    // A reset ends the response as well.
                }
                assertTrue(got <= 2 * BLOCK.length, got + " bytes");
                assertEquals("outcome cut 0 RESET true -", harness.await("outcome"));
                assertEquals(1, node.messages.size());
                assertEquals(
                        1,
                        harness.sidecar
                                .engine()
                                .metrics()
                                .count("c", loadbalancer.metrics.Metrics.RequestOutcome.FAILED));
                assertEquals(0, harness.sidecar.engine().metrics().inFlight());
            }
        }
    }

    @Test
    void closesUpstreamConnectionWhenClientDisconnectsDuringResponse() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            CountDownLatch ended = new CountDownLatch(1);
            harness.addUpstream((m, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nContent-Length: " + 32 * MB + "\r\n\r\n");
                try {
                    for (int i = 0; i < 512; i++) {
                        connection.socket().getOutputStream().write(BLOCK);
                    }
                } catch (IOException exception) {
                    ended.countDown();
                }
            });
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("leaves", 20_000));
                head(client.socket.getInputStream());
            }
            assertTrue(ended.await(20, TimeUnit.SECONDS), "the upstream still sends after the client has disconnected");
            assertEquals("outcome leaves 0 CANCELLED true -", harness.await("outcome"));
        }
    }

    /**
     * RFC 9112, 6.3: a response without a length ends with its connection if it says so; one that ends in a reset is
     * incomplete.
     */
    @Test
    void acceptsResponseThatEndsWithItsConnection() throws Exception {
        for (int blocks : new int[] {0, 1, 3}) {
            try (SidecarHarness harness = new SidecarHarness()) {
                harness.addUpstream((m, connection) -> {
                    connection.raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    for (int i = 0; i < blocks; i++) {
                        connection.socket().getOutputStream().write(BLOCK);
                    }
                    connection.socket().close();
                });
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    InputStream in = client.socket.getInputStream();
                    client.send(SidecarHarness.get("a" + blocks, 20_000));
                    read(in, head(in), blocks);
                    assertEquals("outcome a" + blocks + " 0 OK true -", harness.await("outcome"));
                }
            }
        }
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {
                connection.raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
                connection.reset();
            });
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                assertEquals(502, client.send(SidecarHarness.get("a", 20_000)).status());
                assertTrue(harness.await("outcome").startsWith("outcome a 0 RESET"));
            }
        }
    }

    private static String post(String id, String framing) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: k\r\nIdempotency-Key: " + id
                + "\r\nX-Remaining-Ms: 20000\r\n" + framing + "\r\n\r\n";
    }

    private static void write(OutputStream out, boolean chunked, int blocks) throws IOException {
        for (int i = 0; i < blocks; i++) {
            if (chunked) {
                out.write((Integer.toHexString(BLOCK.length) + ";x\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            out.write(BLOCK);
            if (chunked) {
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
        if (chunked) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.flush();
    }

    private static void assertBody(ScriptedServer.Message m, int blocks) {
        byte[] body = m.body().getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(blocks * BLOCK.length, body.length);
        for (int i = 0; i < blocks; i++) {
            assertTrue(
                    Arrays.equals(BLOCK, Arrays.copyOfRange(body, i * BLOCK.length, (i + 1) * BLOCK.length)),
                    "block " + i);
        }
    }

    @Test
    void forwardsBodyOf32MbUnchangedAndReusesConnection() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            try (SidecarHarness harness = new SidecarHarness()) {
                ScriptedServer node = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
                harness.start();
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(post(
                            "big", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + 512 * BLOCK.length));
                    write(client.socket.getOutputStream(), chunked, 512);
                    assertEquals("done", client.response().body());
                    assertBody(node.next(), 512);
                    assertEquals("outcome big 0 OK true -", harness.await("outcome"));
                    assertEquals(1, harness.sidecar.engine().metrics().sentAttempts());
                    assertEquals(
                            200,
                            client.send(SidecarHarness.get("small", 20_000)).status());
                }
            }
        }
    }

    /**
     * The beginning of a body is buffered: an upstream that refuses the connection has got nothing of it, so another
     * one can get all.
     */
    @Test
    void retriesLargeBodyAtAnotherUpstreamIfNothingWasSent() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            ScriptedServer dead = harness.addUpstream((m, connection) -> {});
            ScriptedServer node = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            dead.close();
            harness.onOutcome = (id, outcome, done, out) -> {
                if (!done) {
                    out.send(id, "u1", 0);
                }
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(post("big", "Content-Length: " + 64 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 64);
                assertEquals("done", client.response().body());
                assertBody(node.next(), 64);
            }
        }
    }

    /**
     * A body whose first byte was sent before its upstream drained may be sent to its end, but no new request follows
     * it.
     */
    @Test
    void completesBodyThatWasBeingSentWhenUpstreamDrained() throws Exception {
        java.util.concurrent.BlockingQueue<ScriptedServer.Connection> watch =
                new java.util.concurrent.LinkedBlockingQueue<>();
        try (SidecarHarness harness = new SidecarHarness((m, connection) -> watch.add(connection));
                java.net.ServerSocket node =
                        new java.net.ServerSocket(0, 50, java.net.InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + node.getLocalPort();
            harness.addUpstreamAt(address);
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(post("big", "Content-Length: " + 6 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 3);
                java.net.Socket upstream = node.accept();
                InputStream in = upstream.getInputStream();
                InputStream first = new java.io.ByteArrayInputStream(new byte[] {(byte) in.read()});
                watch.take()
                        .respond(
                                "200 OK",
                                "",
                                SidecarHarness.list(42, false, SidecarHarness.entry("u0", address, "Terminating", 0)));
                assertEquals("list DELTA u0=DRAINING", harness.await("list DELTA"));
                write(client.socket.getOutputStream(), false, 3);
                assertBody(ScriptedServer.read(new java.io.SequenceInputStream(first, in)), 6);
                new ScriptedServer.Connection(upstream).respond("200 OK", "", "done");
                assertEquals("done", client.response().body());
                harness.onOutcome = (id, outcome, done, out) -> out.fail(id);
                assertEquals(
                        502, client.send(SidecarHarness.get("small", 20_000)).status());
                assertEquals(-1, in.read(), "a new request was sent after the drain");
            }
        }
    }

    /**
     * An upstream that resets half way through the body has run nothing; the sent part can't be sent again, and the
     * client is told so with 503.
     */
    @Test
    void doesNotRetryBodyThatWasPartlySent() throws Exception {
        try (SidecarHarness harness = new SidecarHarness();
                java.net.ServerSocket resettingServer =
                        new java.net.ServerSocket(0, 50, java.net.InetAddress.getByName("127.0.0.1"))) {
            Thread reader = new Thread(() -> {
                try (java.net.Socket s = resettingServer.accept()) {
                    s.getInputStream().readNBytes(4 * MB);
                    s.setSoLinger(true, 0);
                } catch (IOException exception) {
                    // The connection was closed.
                }
            });
            reader.start();
            ScriptedServer other = harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            harness.addUpstreamAt("127.0.0.1:" + resettingServer.getLocalPort());
            harness.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u1", 0);
            harness.onOutcome = (id, outcome, done, out) -> {
                if (outcome == loadbalancer.balancing.Balancer.Outcome.CONNECT_FAILED) {
                    out.send(id, "u0", 0);
                } else if (!done) {
                    out.reject(id, 0);
                }
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(post("big", "Content-Length: " + 512 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 512);
                ScriptedServer.Message answer = client.response();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertTrue(client.awaitClose());
            }
            assertEquals("outcome big 0 CONNECT_FAILED false -", harness.await("outcome"));
            assertEquals("outcome big 1 NOT_SENT false -", harness.await("outcome"));
            assertEquals(0, other.messages.size());
            assertEquals(0, harness.sidecar.engine().metrics().sentAttempts());
            reader.join();
        }
    }

    /** A client that disconnects half way through its body leaves no request that an upstream could run. */
    @Test
    void cancelsRequestWhenClientDisconnectsDuringBody() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(post("big", "Content-Length: " + 512 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 100);
                harness.await("request big");
            }
            harness.await("expired big");
            harness.await("outcome big 0 CANCELLED");
            assertEquals(0, harness.sidecar.engine().metrics().sentAttempts());
            assertEquals(0, harness.sidecar.engine().metrics().inFlight());
        }
    }

    /**
     * Incomplete bodies on many connections are buffered up to a bound on memory; beyond it a request is forwarded
     * before its body is complete.
     */
    @Test
    void boundsMemoryOfBufferedBodies() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            // Eight upstreams, so that no accept backlog overflows.
            for (int i = 0; i < 8; i++) {
                harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            }
            harness.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u" + Math.floorMod(r.id().hashCode(), 8), 0);
            harness.maxDescriptors = 2048;
            harness.start();
            java.util.List<ScriptedServer.Client> clients = new java.util.ArrayList<>();
            try {
                String half = "x".repeat(60_000);
                for (int i = 0; i < 200; i++) {
                    clients.add(harness.client().send(post("h" + i, "Content-Length: 64000") + half));
                }
                // 8 MiB hold 140 such halves; of the others each request is forwarded before its body is complete.
                String taken = harness.await("request");
                assertTrue(taken.startsWith("request h1"), taken);
                for (ScriptedServer.Client c : clients) {
                    c.send("x".repeat(4_000));
                }
                for (ScriptedServer.Client c : clients) {
                    assertEquals(
                            200,
                            c.status(),
                            harness.balancerEvents.stream()
                                    .filter(t -> t.startsWith("outcome") && !t.contains(" OK "))
                                    .toList()
                                    .toString());
                }
                assertEquals(
                        200,
                        harness.upstreams.stream()
                                .mapToInt(p -> p.messages.size())
                                .sum());
            } finally {
                for (ScriptedServer.Client c : clients) {
                    c.close();
                }
            }
        }
    }

    /** The error is sent at once, and is not lost because its client is still sending. */
    @Test
    void respondsToInvalidRequestWithLargeBody() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "done"));
            harness.start();
            for (String invalidRequest : new String[] {
                post("a", "Content-Length: 33554432").replace("X-Lane: k", "X-Lane: nobody"),
                post("b", "Content-Length: 33554432").replace("/api", "/other")
            }) {
                try (ScriptedServer.Client client = harness.client()) {
                    client.send(invalidRequest);
                    write(client.socket.getOutputStream(), false, 512);
                    int status = client.status();
                    assertTrue(status == 400 || status == 404, "status " + status);
                    assertTrue(client.awaitClose());
                }
            }
            try (ScriptedServer.Client client = harness.client()) {
                client.send(post("c", "Expect: 100-continue\r\nContent-Length: " + 2 * BLOCK.length));
                assertTrue(client.response().head().startsWith("HTTP/1.1 100 "));
                write(client.socket.getOutputStream(), false, 2);
                assertEquals("done", client.response().body());
                client.send(post("d", "Content-Length: 67108865"));
                assertEquals(413, client.status());
            }
        }
    }

    /** HTTP/1.0 has no chunked encoding: the end of the connection ends the response. */
    @Test
    void sendsNoChunksToHttp10Client() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> answer(connection, true, 3));
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(SidecarHarness.get("old", 20_000).replace("HTTP/1.1", "HTTP/1.0"));
                String head = head(in);
                assertTrue(!head.contains("chunked"), head);
                byte[] body = in.readAllBytes();
                assertEquals(3 * BLOCK.length, body.length);
                assertTrue(Arrays.equals(BLOCK, Arrays.copyOf(body, BLOCK.length)));
                assertTrue(new String(head.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8)
                        .startsWith("HTTP/1.1 200"));
            }
        }
    }
}
