package loadbalancer.sidecar;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;

/** An upstream at which connections don't come up: its queue is full, and nobody is taken out of it. */
final class LateDoor implements AutoCloseable {
    /** The kernel holds one more than it is told. */
    private static final int QUEUE = 1;

    private final ServerSocket server;
    private final Socket[] queued = new Socket[QUEUE + 1];

    LateDoor() throws IOException {
        server = new ServerSocket(0, QUEUE, InetAddress.getByName("127.0.0.1"));
        for (int i = 0; i < queued.length; i++) {
            queued[i] = new Socket(server.getInetAddress(), server.getLocalPort());
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Takes those out of its queue that filled it. */
    void letsIn() throws IOException {
        for (Socket s : queued) {
            s.close();
        }
        for (int i = 0; i < queued.length; i++) {
            if (server.accept().getInputStream().read() >= 0) {
                throw new IOException("who filled the queue has written something");
            }
        }
    }

    /** The next that comes after those who filled the queue. */
    Socket next() throws IOException {
        return server.accept();
    }

    /**
     * Hears out whoever comes until one does whom the test sends now; true where nobody else has sent a body of so many
     * bytes to its end.
     */
    boolean ranNothing(int length) throws IOException {
        try (Socket last = new Socket(server.getInetAddress(), server.getLocalPort())) {
            last.shutdownOutput();
            while (true) {
                try (Socket up = server.accept()) {
                    if (up.getPort() == last.getLocalPort()) {
                        return true;
                    }
                    if (up.getInputStream().transferTo(OutputStream.nullOutputStream()) >= length) {
                        return false;
                    }
                } catch (SocketException exception) {
                    // Reset half way: its end was never written.
                }
            }
        }
    }

    /** Whoever has come since has gone without a word. */
    boolean heardNobody() throws IOException {
        return server.accept().getInputStream().read() < 0;
    }

    /** Lets in whoever comes until one does whom the test sends now; true where nobody else has come. */
    boolean openedToNobodyElse() throws IOException {
        letsIn();
        try (Socket last = new Socket(server.getInetAddress(), server.getLocalPort())) {
            last.getOutputStream().write('.');
            try (Socket next = server.accept()) {
                return next.getInputStream().read() == '.'
                        && next.getInputStream().available() == 0;
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket s : queued) {
            s.close();
        }
        server.close();
    }
}
