package loadbalancer.testbed.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Carries the words of real sidecars, so that a rig can lose, delay, double, change or cut them. Each sidecar has one socket here, which
 * is its address in everybody's {@code peers}: what is sent there is for it, and what it says goes out of it. A sidecar speaks from a loopback
 * address of its own, by which it is told from the others; its port is known from its first word on.
 */
final class GossipRelay implements AutoCloseable {
    static final int MOST = 250 * 250;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final GossipLinks links;
    private final List<Channel> faces = new ArrayList<>();
    private final Channel all;
    /** Where each was heard from last; null before its first word. */
    private final InetSocketAddress[] at;

    GossipRelay(int sidecars, GossipLinks links) throws InterruptedException {
        if (sidecars > MOST) {
            throw new IllegalArgumentException(sidecars + " sidecars, " + MOST + " at the most");
        }
        this.links = links;
        at = new InetSocketAddress[sidecars];
        for (int i = 0; i < sidecars; i++) {
            faces.add(open(i));
        }
        all = open(-1);
    }

    private Channel open(int of) throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channelFactory(NioDatagramChannel::new)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        heard(packet, of);
                    }

                    /** One that has died takes no words: no reason to stop. */
                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    private static String own(int sidecar) {
        return "127.77." + (1 + sidecar / 250) + "." + (1 + sidecar % 250);
    }

    /** Its number by the address that it speaks from; -1 for a stranger's. */
    private int number(InetSocketAddress from) {
        byte[] b = from.getAddress().getAddress();
        int number = ((b[2] & 255) - 1) * 250 + (b[3] & 255) - 1;
        return b.length == 4 && b[1] == 77 && number >= 0 && number < at.length ? number : -1;
    }

    /** What the configuration of this sidecar says of peers. */
    Map<String, Object> config(int sidecar) {
        Map<String, Object> c = new LinkedHashMap<>();
        c.put("peer_listen", own(sidecar) + ":0");
        c.put("peers", faces.stream().map(GossipRelay::address).toList());
        c.put("peers_all", address(all));
        return c;
    }

    private static String address(Channel c) {
        return "127.0.0.1:" + ((InetSocketAddress) c.localAddress()).getPort();
    }

    private void heard(DatagramPacket packet, int to) {
        int from = number(packet.sender());
        if (from < 0) {
            return;
        }
        at[from] = packet.sender();
        byte[] word = ByteBufUtil.getBytes(packet.content());
        if (to >= 0) {
            carry(from, to, word);
            return;
        }
        for (int i = 0; i < at.length; i++) {
            if (i != from) {
                carry(from, i, word);
            }
        }
    }

    private void carry(int from, int to, byte[] word) {
        GossipLinks.Fate fate = links.of(from, to, word);
        for (long us : fate.delaysUs()) {
            if (us <= 0) {
                hand(from, to, fate.bytes());
            } else {
                loop.schedule(() -> hand(from, to, fate.bytes()), us, TimeUnit.MICROSECONDS);
            }
        }
    }

    private void hand(int from, int to, byte[] bytes) {
        if (at[to] != null) {
            faces.get(from).writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), at[to]));
        }
    }

    /** On the switch's own thread, between two words. */
    <T> T links(java.util.function.Function<GossipLinks, T> what) {
        Callable<T> call = () -> what.apply(links);
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
