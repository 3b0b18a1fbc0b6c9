package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Peers that read as slowly as the protocol allows, for longer than a peer may take nothing at all. */
@Timeout(120)
class SlowPeerTest {
    private static final int BYTES_PER_SECOND = 64_000;
    private static final int READS_PER_SECOND = 10;
    /** Much more than the kernel holds for a connection. */
    private static final int BODY_BYTES = 32_000_000;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
    /** Longer than a peer may take nothing: 10 s, and the time for its part of what the kernels hold. */
    private static final int SLOW_SECONDS = 25;
    /** Longer than an upload may stand still. */
    private static final int SLOW_UPLOAD_SECONDS = 12;
    /** So much of an upload that it is forwarded, or rejected, before it is whole. */
    private static final int FIRST_BYTES = 100_000;

    /** Reads steadily at the slowest pace for this time; false if the connection ended before. */
    private static boolean readSlowly(InputStream in, int seconds) {
        byte[] piece = new byte[BYTES_PER_SECOND / READS_PER_SECOND];
        long startNanos = System.nanoTime();
        try {
            for (int reads = 1; reads <= seconds * READS_PER_SECOND; reads++) {
                if (in.readNBytes(piece, 0, piece.length) < piece.length) {
                    return false;
                }
                long dueNanos = startNanos + TimeUnit.SECONDS.toNanos(reads) / READS_PER_SECOND;
                LockSupport.parkNanos(dueNanos - System.nanoTime());
            }
            return true;
        } catch (IOException exception) {
            return false;
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    private static void writeBody(OutputStream out) throws IOException {
        byte[] piece = new byte[BYTES_PER_SECOND];
        for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
            out.write(piece);
        }
    }

    /** Guards against review case 10: a client that reads a long response slowly was taken for one that reads nothing. */
    @Test
    void longResponseIsServedToClientThatReadsSlowly() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> {
                connection.raw(HEAD);
                writeBody(connection.socket().getOutputStream());
            });
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("slow", 20_000));
                InputStream in = client.socket.getInputStream();
                assertTrue(readSlowly(in, SLOW_SECONDS), "the client was cut off");
                in.skipNBytes(BODY_BYTES - (long) SLOW_SECONDS * BYTES_PER_SECOND);
            }
        }
    }

    /** Guards against the same in the other direction: an upload was ended whose upstream reads it slowly. */
    @Test
    void uploadGoesOnToUpstreamThatReadsSlowly() throws Exception {
        try (SidecarHarness harness = new SidecarHarness();
                ServerSocket server = listen()) {
            harness.addUpstreamAt("127.0.0.1:" + server.getLocalPort());
            harness.start();
            Thread upstream = new Thread(() -> readSlowlyAndAnswer(server));
            upstream.setDaemon(true);
            upstream.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.post("upload", "k", "key", 20_000)
                        .replace("Content-Length: 0", "Content-Length: " + BODY_BYTES));
                writeBody(client.socket.getOutputStream());
                assertEquals(200, client.status());
            }
        }
    }

    /** Guards against a rejected upload being reset: the rest of its body, sent slowly, was taken for a slow head. */
    @Test
    void rejectedUploadThatIsSentSlowlyIsReadToItsEnd() throws Exception {
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.onRequest = (nowMicros, r, out) -> out.reject(r.id(), 0);
            harness.addUpstream((m, connection) -> {});
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                int length = SLOW_UPLOAD_SECONDS * BYTES_PER_SECOND + FIRST_BYTES;
                client.send(SidecarHarness.post("upload", "k", "key", 20_000)
                        .replace("Content-Length: 0", "Content-Length: " + length));
                OutputStream out = client.socket.getOutputStream();
                out.write(new byte[FIRST_BYTES]);
                for (int i = 0; i < SLOW_UPLOAD_SECONDS * READS_PER_SECOND; i++) {
                    out.write(new byte[BYTES_PER_SECOND / READS_PER_SECOND]);
                    LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1) / READS_PER_SECOND);
                }
                assertEquals(503, client.status());
                assertTrue(client.awaitClose());
            }
        }
    }

    /** Reads the request's head and some of its body slowly, then the rest as fast as it comes. */
    private static void readSlowlyAndAnswer(ServerSocket server) {
        try (Socket socket = server.accept()) {
            InputStream in = socket.getInputStream();
            for (String head = ""; !head.endsWith("\r\n\r\n"); ) {
                head += (char) in.read();
            }
            readSlowly(in, SLOW_UPLOAD_SECONDS);
            in.skipNBytes(BODY_BYTES - (long) SLOW_UPLOAD_SECONDS * BYTES_PER_SECOND);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
        } catch (IOException exception) {
            // The sidecar has given up.
        }
    }
}
