package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Something that has taken a dead node's address and is no booking node. */
public final class UnrelatedServer {
    /** What it does with whatever it is sent. */
    public enum Manner {
        SILENT,
        NOT_FOUND,
        NOISE
    }

    private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    private static final String NOISE = "220 mail ready\r\n\u0001\u0002\r\n\r\n";

    private final Channel listener;
    private final AtomicInteger requests = new AtomicInteger();

    UnrelatedServer(EventLoop loop, Manner manner) throws InterruptedException {
        listener = new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Handler(manner, requests));
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
    }

    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Clients' requests that came here, where none belongs. */
    public int requests() {
        return requests.get();
    }

    private static final class Handler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Manner manner;
        private final AtomicInteger requests;

        Handler(Manner manner, AtomicInteger requests) {
            this.manner = manner;
            this.requests = requests;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            if (bytes.toString(StandardCharsets.ISO_8859_1).contains("X-Txn")) {
                requests.incrementAndGet();
            }
            if (manner != Manner.SILENT) {
                ctx.writeAndFlush(
                        Unpooled.copiedBuffer(manner == Manner.NOISE ? NOISE : NOT_FOUND, StandardCharsets.ISO_8859_1));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
