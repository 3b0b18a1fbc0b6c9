package loadbalancer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Addresses that refuse connections, and that nobody else is given meanwhile: bound, and not listening. */
public final class ClosedPort {
    private static final List<Socket> HELD = new CopyOnWriteArrayList<>();

    private ClosedPort() {}

    /** One that was free, or {@code wanted} where that is not 0. */
    public static InetSocketAddress reserve(int wanted) throws IOException {
        Socket socket = new Socket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), wanted));
        HELD.add(socket);
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }
}
