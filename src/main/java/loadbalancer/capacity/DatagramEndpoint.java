package loadbalancer.capacity;

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

/**
 * The datagram socket of one member, which counts its traffic. Used on the host's event loop only, except
 * {@link #open}.
 */
final class DatagramEndpoint {
    /** Receives each datagram with the number of the member that sent it. */
    interface Receiver {
        void receive(int from, byte[] datagram);
    }

    private final MemberDirectory directory;
    private final TrafficCounters traffic;
    private final Receiver receiver;
    private Channel channel;

    DatagramEndpoint(MemberDirectory directory, TrafficCounters traffic, Receiver receiver) {
        this.directory = directory;
        this.traffic = traffic;
        this.receiver = receiver;
    }

    /**
     * Binds the socket to any free loopback port and returns the port. Waits for the event loop, so it must not be
     * called on it.
     */
    int open(EventLoop loop) throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channelFactory(NioDatagramChannel::new)
                .handler(new Handler())
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Sends a datagram to a member, by its number; dropped if the member's address is not known yet. */
    void send(int to, byte[] datagram) {
        InetSocketAddress address = directory.address(to);
        if (address != null) {
            traffic.countSent(datagram.length);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address));
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            int from = directory.number(packet.sender());
            if (from >= 0) {
                byte[] datagram = ByteBufUtil.getBytes(packet.content());
                traffic.countReceived(from, datagram.length);
                receiver.receive(from, datagram);
            }
        }

        /**
         * Ignores errors, such as an ICMP "port unreachable" for an earlier datagram, so that the socket stays open.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
    }
}
