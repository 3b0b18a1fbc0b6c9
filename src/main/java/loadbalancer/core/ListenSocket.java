package loadbalancer.core;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.function.Consumer;

/** Opens listen sockets on the event loop, optionally shared with another process of the same sidecar. */
public final class ListenSocket {
    private ListenSocket() {}

    /**
     * Listens for TCP connections. {@code onAccept} is called for each before anything is read from it. Blocks until
     * bound.
     *
     * @param backlog number of connections that the kernel queues until they are accepted
     * @param shared  whether another process may listen on the address too (SO_REUSEPORT)
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static <C extends ServerChannel> Channel bindTcp(
            EventLoop loop,
            ChannelFactory<C> factory,
            int backlog,
            boolean shared,
            InetSocketAddress address,
            Consumer<Channel> onAccept)
            throws InterruptedException {
        return reusePort(new ServerBootstrap(), shared)
                .group(loop)
                .channelFactory(factory)
                .option(ChannelOption.SO_BACKLOG, backlog)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, SocketBuffers.readBuffers())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, SocketBuffers.writeWaterMark())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccept.accept(channel);
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    /** Sets SO_REUSEPORT if {@code shared}; leaves the option unset otherwise. */
    public static <B extends AbstractBootstrap<B, C>, C extends Channel> B reusePort(B bootstrap, boolean shared) {
        return shared ? bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true) : bootstrap;
    }
}
