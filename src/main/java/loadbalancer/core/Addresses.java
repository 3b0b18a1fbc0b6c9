package loadbalancer.core;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses numeric socket addresses. There are no DNS lookups, because they would block the event loop. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text is anything else; the message quotes it
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException exception) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
    }
}
