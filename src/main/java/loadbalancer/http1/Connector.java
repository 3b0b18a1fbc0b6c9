package loadbalancer.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.core.SocketBuffers;

/** Creates bootstraps for outgoing connections on the event loop, without DNS. */
public final class Connector {
    private Connector() {}

    /**
     * A bootstrap for HTTP/1.1 connections, each with its own handler, which receives complete responses.
     *
     * @param maxBodyBytes limit on response bodies; longer ones raise an exception in the handler
     */
    public static Bootstrap httpBootstrap(
            EventLoop loop, int connectTimeoutMillis, int maxBodyBytes, Supplier<ChannelHandler> handler) {
        return tcpBootstrap(loop, connectTimeoutMillis, channel -> channel.pipeline()
                .addLast(new HttpClientCodec(), new HttpObjectAggregator(maxBodyBytes), handler.get()));
    }

    /** A bootstrap for TCP connections; {@code initializer} adds the handlers of each. */
    public static Bootstrap tcpBootstrap(EventLoop loop, int connectTimeoutMillis, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(NioSocketChannel::new)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, SocketBuffers.readBuffers())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, SocketBuffers.writeWaterMark())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                });
    }
}
