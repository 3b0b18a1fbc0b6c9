package loadbalancer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Provides addresses that refuse connections. The ports stay bound without listening, so no one else gets
 * them.
 */
public final class ClosedPort {
    private static final List<Socket> BOUND_SOCKETS = new CopyOnWriteArrayList<>();

    private ClosedPort() {}

    /** Reserves a loopback address with the given port, or with a free port if {@code port} is 0. */
    public static InetSocketAddress reserve(int port) throws IOException {
        Socket socket = new Socket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        BOUND_SOCKETS.add(socket);
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }
}
