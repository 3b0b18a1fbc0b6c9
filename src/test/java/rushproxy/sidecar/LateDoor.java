package rushproxy.sidecar;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

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

    /** Lets in who waits, and whoever comes until one does whom the test sends now; true where nobody has written a byte but he. */
    boolean openedToNobodyElse() throws IOException {
        for (Socket s : queued) {
            s.close();
        }
        for (int i = 0; i < queued.length; i++) {
            if (server.accept().getInputStream().read() >= 0) {
                return false;
            }
        }
        try (Socket last = new Socket(server.getInetAddress(), server.getLocalPort())) {
            last.getOutputStream().write('.');
            try (Socket next = server.accept()) {
                return next.getInputStream().read() == '.' && next.getInputStream().available() == 0;
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
