package loadbalancer.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import loadbalancer.core.ListenSocket;

/**
 * Datagram socket for gossip between sidecars, or with a control tier. A peer's number is its index in the configured
 * list.
 */
final class GossipSocket {
    private static final int MAX_BYTES = 256;

    private final BiConsumer<Integer, byte[]> receiver;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress broadcastAddress;
    private final Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
    private Channel channel;

    /** {@code receiver} gets the sender's number and the message, on the event loop. */
    GossipSocket(
            BiConsumer<Integer, byte[]> receiver, List<InetSocketAddress> peers, InetSocketAddress broadcastAddress) {
        this.receiver = receiver;
        this.peers = peers;
        this.broadcastAddress = broadcastAddress;
        for (int i = 0; i < peers.size(); i++) {
            peerNumbers.put(peers.get(i), i);
        }
    }

    /**
     * With {@code shared} another process of this sidecar may listen on the address too; each peer's messages reach one
     * of the two.
     */
    void listen(EventLoop loop, InetSocketAddress address, boolean shared) throws InterruptedException {
        channel = ListenSocket.reusePort(new Bootstrap(), shared)
                .group(loop)
                .channelFactory(NioDatagramChannel::new)
                .handler(new Handler())
                .bind(address)
                .sync()
                .channel();
    }

    /** Sends to one peer, or to all with number -1. A message that can't be sent is dropped, as any datagram may be. */
    void send(int peer, byte[] message) {
        InetSocketAddress to =
                peer == -1 ? broadcastAddress : peer >= 0 && peer < peers.size() ? peers.get(peer) : null;
        if (channel != null && to != null && message.length <= MAX_BYTES) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer number = peerNumbers.get(packet.sender());
            if (number == null || packet.content().readableBytes() > MAX_BYTES) {
                return;
            }
            receiver.accept(number, ByteBufUtil.getBytes(packet.content()));
        }

        /** Ignores ICMP errors caused by earlier datagrams, so that the socket keeps listening. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
    }
}
