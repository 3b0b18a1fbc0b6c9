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

/** Answers and bodies that are too large to be held. */
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

    /** Writes so many blocks, of stated length or as chunks. */
    private static void answer(Peer.Line line, boolean chunked, int blocks) throws IOException {
        line.raw("HTTP/1.1 200 OK\r\n"
                + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + blocks * BLOCK.length) + "\r\n\r\n");
        OutputStream out = line.socket().getOutputStream();
        for (int i = 0; i < blocks; i++) {
            if (chunked) {
                line.raw(Integer.toHexString(BLOCK.length) + ";name=value\r\n");
            }
            out.write(BLOCK);
            if (chunked) {
                line.raw("\r\n");
            }
        }
        if (chunked) {
            line.raw("0\r\nTrailer: x\r\n\r\n");
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

    /** Reads a body of so many blocks, in chunks where the head says so, and finds every byte in its place. */
    private static void read(InputStream in, String head, int blocks) throws IOException {
        long total = (long) blocks * BLOCK.length;
        long at = 0;
        while (at < total) {
            int size = head.contains("chunked")
                    ? Integer.parseInt(line(in).trim(), 16)
                    : (int) Math.min(BLOCK.length, total - at);
            byte[] piece = in.readNBytes(size);
            assertEquals(size, piece.length, "cut at " + at);
            for (int i = 0; i < size; i++, at++) {
                if (piece[i] != BLOCK[(int) (at % BLOCK.length)]) {
                    throw new AssertionError("another byte at " + at);
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
    void anAnswerOf32MbPassesUnchangedInEitherFramingAndTheConnectionGoesOn() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            try (Rig rig = new Rig()) {
                rig.upstream(
                        (m, line) -> answer(line, chunked, m.header("X-Txn").equals("big") ? 512 : 1));
                rig.start();
                try (Peer.Client client = rig.client()) {
                    InputStream in = client.socket.getInputStream();
                    client.send(Rig.get("big", 20_000));
                    read(in, head(in), 512);
                    assertEquals("outcome big 0 OK true -", rig.await("outcome"));
                    client.send(Rig.get("small", 20_000));
                    String small = head(in);
                    assertTrue(small.contains("content-length: " + BLOCK.length), small);
                    read(in, small, 1);
                }
            }
        }
    }

    /** What its client does not read is not read from the upstream either: the memory that it takes has a bound. */
    @Test
    void anUpstreamIsReadNoFasterThanItsClientReads() throws Exception {
        try (Rig rig = new Rig()) {
            AtomicLong written = new AtomicLong();
            CountDownLatch blocked = new CountDownLatch(1);
            rig.upstream((m, line) -> {
                line.socket().setSendBufferSize(64 * 1024);
                line.raw("HTTP/1.1 200 OK\r\nContent-Length: " + 32 * MB + "\r\n\r\n");
                for (int i = 0; i < 512; i++) {
                    line.socket().getOutputStream().write(BLOCK);
                    if (written.addAndGet(BLOCK.length) == 2 * MB) {
                        blocked.countDown();
                    }
                }
            });
            rig.start();
            long before =
                    io.netty.buffer.PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
            try (Peer.Client client = rig.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(Rig.get("slow", 20_000));
                String head = head(in);
                blocked.await(2, TimeUnit.SECONDS);
                long held =
                        io.netty.buffer.PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - before;
                assertTrue(held < 8 * MB, held + " bytes are held");
                read(in, head, 512);
                assertEquals(32 * MB, written.get());
            }
        }
    }

    /** Of unknown length and in slow pieces: its first bytes are not held back until it is known to be large. */
    @Test
    void aSlowAnswerOfUnknownLengthBeginsBeforeItIsKnownToBeLarge() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + "x".repeat(0x800) + "\r\n");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                line.raw("800\r\n" + "x".repeat(0x800) + "\r\n");
                try {
                    assertTrue(begun.await(20, TimeUnit.SECONDS));
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
                line.raw("4\r\nlast\r\n0\r\n\r\n");
            });
            rig.start();
            try (Peer.Client client = rig.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(Rig.get("slow", 20_000));
                assertTrue(head(in).contains("chunked"));
                begun.countDown();
                assertEquals("outcome slow 0 OK true -", rig.await("outcome"));
            }
        }
    }

    /** Nobody may take a part for the whole, and nothing follows on what has begun. */
    @Test
    void anAnswerThatBreaksOffBreaksOffForItsClient() throws Exception {
        try (Rig rig = new Rig()) {
            Peer node = rig.upstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nContent-Length: " + 4 * MB + "\r\n\r\n");
                line.socket().getOutputStream().write(BLOCK);
                line.socket().getOutputStream().write(BLOCK);
                line.socket().close();
            });
            rig.onOutcome = (id, outcome, done, out) -> {
                assertTrue(done);
                out.send(id, "u0", 0);
                out.fail(id);
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(Rig.get("cut", 20_000));
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
                    // reset: an end as well
                }
                assertTrue(got <= 2 * BLOCK.length, got + " bytes");
                assertEquals("outcome cut 0 RESET true -", rig.await("outcome"));
                assertEquals(1, node.messages.size());
                assertEquals(
                        1,
                        rig.sidecar.engine().metrics().count("c", loadbalancer.metrics.Metrics.RequestOutcome.FAILED));
                assertEquals(0, rig.sidecar.engine().metrics().inFlight());
            }
        }
    }

    @Test
    void whoLeavesHalfWayEndsWhatItsUpstreamSends() throws Exception {
        try (Rig rig = new Rig()) {
            CountDownLatch ended = new CountDownLatch(1);
            rig.upstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nContent-Length: " + 32 * MB + "\r\n\r\n");
                try {
                    for (int i = 0; i < 512; i++) {
                        line.socket().getOutputStream().write(BLOCK);
                    }
                } catch (IOException exception) {
                    ended.countDown();
                }
            });
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(Rig.get("leaves", 20_000));
                head(client.socket.getInputStream());
            }
            assertTrue(ended.await(20, TimeUnit.SECONDS), "the upstream sends on for nobody");
            assertEquals("outcome leaves 0 CANCELLED true -", rig.await("outcome"));
        }
    }

    /** RFC 9112, 6.3: an answer that says so ends with its connection; one that ends in a reset is none. */
    @Test
    void anAnswerMayEndWithItsConnectionWhereItSaysSo() throws Exception {
        for (int blocks : new int[] {0, 1, 3}) {
            try (Rig rig = new Rig()) {
                rig.upstream((m, line) -> {
                    line.raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                    for (int i = 0; i < blocks; i++) {
                        line.socket().getOutputStream().write(BLOCK);
                    }
                    line.socket().close();
                });
                rig.start();
                try (Peer.Client client = rig.client()) {
                    InputStream in = client.socket.getInputStream();
                    client.send(Rig.get("a" + blocks, 20_000));
                    read(in, head(in), blocks);
                    assertEquals("outcome a" + blocks + " 0 OK true -", rig.await("outcome"));
                }
            }
        }
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> {
                line.raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
                line.reset();
            });
            rig.start();
            try (Peer.Client client = rig.client()) {
                assertEquals(502, client.send(Rig.get("a", 20_000)).status());
                assertTrue(rig.await("outcome").startsWith("outcome a 0 RESET"));
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

    private static void assertBody(Peer.Message m, int blocks) {
        byte[] body = m.body().getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(blocks * BLOCK.length, body.length);
        for (int i = 0; i < blocks; i++) {
            assertTrue(
                    Arrays.equals(BLOCK, Arrays.copyOfRange(body, i * BLOCK.length, (i + 1) * BLOCK.length)),
                    "block " + i);
        }
    }

    @Test
    void aBodyOf32MbPassesUnchangedInEitherFramingAndTheConnectionGoesOn() throws Exception {
        for (boolean chunked : new boolean[] {false, true}) {
            try (Rig rig = new Rig()) {
                Peer node = rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
                rig.start();
                try (Peer.Client client = rig.client()) {
                    client.send(post(
                            "big", chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + 512 * BLOCK.length));
                    write(client.socket.getOutputStream(), chunked, 512);
                    assertEquals("done", client.answer().body());
                    assertBody(node.next(), 512);
                    assertEquals("outcome big 0 OK true -", rig.await("outcome"));
                    assertEquals(1, rig.sidecar.engine().metrics().sentAttempts());
                    assertEquals(200, client.send(Rig.get("small", 20_000)).status());
                }
            }
        }
    }

    /** Its beginning is held: an upstream that is not there has taken nothing of it, so another can have all. */
    @Test
    void aBodyOfWhichNothingIsGoneGoesToAnotherUpstream() throws Exception {
        try (Rig rig = new Rig()) {
            Peer dead = rig.upstream((m, line) -> {});
            Peer node = rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
            dead.close();
            rig.onOutcome = (id, outcome, done, out) -> {
                if (!done) {
                    out.send(id, "u1", 0);
                }
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(post("big", "Content-Length: " + 64 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 64);
                assertEquals("done", client.answer().body());
                assertBody(node.next(), 64);
            }
        }
    }

    /** Its first byte was sent before its upstream drained: what has begun may end, and nothing new follows it. */
    @Test
    void aBodyOnItsWayWhileItsUpstreamDrainsArrivesWhole() throws Exception {
        java.util.concurrent.BlockingQueue<Peer.Line> watch = new java.util.concurrent.LinkedBlockingQueue<>();
        try (Rig rig = new Rig((m, line) -> watch.add(line));
                java.net.ServerSocket node =
                        new java.net.ServerSocket(0, 50, java.net.InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + node.getLocalPort();
            rig.upstreamAt(address);
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(post("big", "Content-Length: " + 6 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 3);
                java.net.Socket upstream = node.accept();
                InputStream in = upstream.getInputStream();
                InputStream first = new java.io.ByteArrayInputStream(new byte[] {(byte) in.read()});
                watch.take().answer("200 OK", "", Rig.list(42, false, Rig.entry("u0", address, "Terminating", 0)));
                assertEquals("list DELTA u0=DRAINING", rig.await("list DELTA"));
                write(client.socket.getOutputStream(), false, 3);
                assertBody(Peer.read(new java.io.SequenceInputStream(first, in)), 6);
                new Peer.Line(upstream).answer("200 OK", "", "done");
                assertEquals("done", client.answer().body());
                rig.onOutcome = (id, outcome, done, out) -> out.fail(id);
                assertEquals(502, client.send(Rig.get("small", 20_000)).status());
                assertEquals(-1, in.read(), "something new was sent after the drain");
            }
        }
    }

    /** An upstream that breaks off half way has run nothing; what is gone can't be sent again, and that can be said. */
    @Test
    void aBodyThatIsGoneIsSentToNobodyElse() throws Exception {
        try (Rig rig = new Rig();
                java.net.ServerSocket breaks =
                        new java.net.ServerSocket(0, 50, java.net.InetAddress.getByName("127.0.0.1"))) {
            Thread reads = new Thread(() -> {
                try (java.net.Socket s = breaks.accept()) {
                    s.getInputStream().readNBytes(4 * MB);
                    s.setSoLinger(true, 0);
                } catch (IOException exception) {
                    // ended
                }
            });
            reads.start();
            Peer other = rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
            rig.upstreamAt("127.0.0.1:" + breaks.getLocalPort());
            rig.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u1", 0);
            rig.onOutcome = (id, outcome, done, out) -> {
                if (outcome == loadbalancer.balancing.Balancer.Outcome.CONNECT_FAILED) {
                    out.send(id, "u0", 0);
                } else if (!done) {
                    out.reject(id, 0);
                }
            };
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(post("big", "Content-Length: " + 512 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 512);
                Peer.Message answer = client.answer();
                assertTrue(answer.head().startsWith("HTTP/1.1 503 "), answer.head());
                assertTrue(client.ended());
            }
            assertEquals("outcome big 0 CONNECT_FAILED false -", rig.await("outcome"));
            assertEquals("outcome big 1 NOT_SENT false -", rig.await("outcome"));
            assertEquals(0, other.messages.size());
            assertEquals(0, rig.sidecar.engine().metrics().sentAttempts());
            reads.join();
        }
    }

    /** Who leaves half way through leaves nothing that could run. */
    @Test
    void aClientThatLeavesHalfWayLeavesNothingBehind() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
            rig.start();
            try (Peer.Client client = rig.client()) {
                client.send(post("big", "Content-Length: " + 512 * BLOCK.length));
                write(client.socket.getOutputStream(), false, 100);
                rig.await("request big");
            }
            rig.await("expired big");
            rig.await("outcome big 0 CANCELLED");
            assertEquals(0, rig.sidecar.engine().metrics().sentAttempts());
            assertEquals(0, rig.sidecar.engine().metrics().inFlight());
        }
    }

    /**
     * Halves of bodies on many connections take no more memory than is set aside: past that they go on as they come.
     */
    @Test
    void whatManyConnectionsHoldHasABound() throws Exception {
        try (Rig rig = new Rig()) {
            // So many that the backlog of none is overrun.
            for (int i = 0; i < 8; i++) {
                rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
            }
            rig.onRequest = (nowMicros, r, out) -> out.send(r.id(), "u" + Math.floorMod(r.id().hashCode(), 8), 0);
            rig.sockets = 2048;
            rig.start();
            java.util.List<Peer.Client> clients = new java.util.ArrayList<>();
            try {
                String half = "x".repeat(60_000);
                for (int i = 0; i < 200; i++) {
                    clients.add(rig.client().send(post("h" + i, "Content-Length: 64000") + half));
                }
                // 8 MiB are 140 such halves; of the others each is taken before it is whole.
                String taken = rig.await("request");
                assertTrue(taken.startsWith("request h1"), taken);
                for (Peer.Client c : clients) {
                    c.send("x".repeat(4_000));
                }
                for (Peer.Client c : clients) {
                    assertEquals(
                            200,
                            c.status(),
                            rig.told.stream()
                                    .filter(t -> t.startsWith("outcome") && !t.contains(" OK "))
                                    .toList()
                                    .toString());
                }
                assertEquals(
                        200, rig.peers.stream().mapToInt(p -> p.messages.size()).sum());
            } finally {
                for (Peer.Client c : clients) {
                    c.close();
                }
            }
        }
    }

    /** Its answer comes at once, and is not lost because its client is still sending. */
    @Test
    void whatIsNoRequestIsAnsweredHoweverLongItsBody() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> line.answer("200 OK", "", "done"));
            rig.start();
            for (String error : new String[] {
                post("a", "Content-Length: 33554432").replace("X-Lane: k", "X-Lane: nobody"),
                post("b", "Content-Length: 33554432").replace("/api", "/other")
            }) {
                try (Peer.Client client = rig.client()) {
                    client.send(error);
                    write(client.socket.getOutputStream(), false, 512);
                    int status = client.status();
                    assertTrue(status == 400 || status == 404, "status " + status);
                    assertTrue(client.ended());
                }
            }
            try (Peer.Client client = rig.client()) {
                client.send(post("c", "Expect: 100-continue\r\nContent-Length: " + 2 * BLOCK.length));
                assertTrue(client.answer().head().startsWith("HTTP/1.1 100 "));
                write(client.socket.getOutputStream(), false, 2);
                assertEquals("done", client.answer().body());
                client.send(post("d", "Content-Length: 67108865"));
                assertEquals(413, client.status());
            }
        }
    }

    /** Who speaks HTTP/1.0 knows no chunks: the end of the connection ends the answer. */
    @Test
    void anOldClientIsGivenNoChunks() throws Exception {
        try (Rig rig = new Rig()) {
            rig.upstream((m, line) -> answer(line, true, 3));
            rig.start();
            try (Peer.Client client = rig.client()) {
                InputStream in = client.socket.getInputStream();
                client.send(Rig.get("old", 20_000).replace("HTTP/1.1", "HTTP/1.0"));
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
