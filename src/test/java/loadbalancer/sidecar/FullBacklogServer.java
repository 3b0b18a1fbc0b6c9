package loadbalancer.sidecar;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;

/** An upstream where connections are not established: its accept backlog is full, and nothing accepts from it. */
final class FullBacklogServer implements AutoCloseable {
    /** The kernel queues one connection more than the given backlog. */
    private static final int BACKLOG = 1;

    private final ServerSocket server;
    private final Socket[] backlogFillers = new Socket[BACKLOG + 1];

    FullBacklogServer() throws IOException {
        server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        for (int i = 0; i < backlogFillers.length; i++) {
            backlogFillers[i] = new Socket(server.getInetAddress(), server.getLocalPort());
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts the connections that filled the backlog. */
    void drainBacklog() throws IOException {
        for (Socket s : backlogFillers) {
            s.close();
        }
        for (int i = 0; i < backlogFillers.length; i++) {
            if (server.accept().getInputStream().read() >= 0) {
                throw new IOException("a connection that filled the backlog has sent data");
            }
        }
    }

    /** Accepts the next connection after those that filled the backlog. */
    Socket acceptNext() throws IOException {
        return server.accept();
    }

    /**
     * Reads all connections that were made before one that this method opens; true if none of them sent a body of this
     * length to its end.
     */
    boolean receivedNoCompleteBody(int length) throws IOException {
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
                    // The connection was reset half way, so its end was never written.
                }
            }
        }
    }

    /** Whether the next connection ended without sending anything. */
    boolean nextConnectionSentNothing() throws IOException {
        return server.accept().getInputStream().read() < 0;
    }

    /**
     * Accepts the connections that filled the backlog, and opens one itself; true if no other connection came before
     * it.
     */
    boolean receivedNoOtherConnection() throws IOException {
        drainBacklog();
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
        for (Socket s : backlogFillers) {
            s.close();
        }
        server.close();
    }
}
