package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A stand-in for OpenTelemetry's collector: takes spans in OTLP's binary form (its published trace.proto) over HTTP, keeps
 * them, and fails in each way that a collector does. All on the stage's loop.
 */
public final class TraceCollector implements AutoCloseable {
    /** What it does with a batch. */
    public enum Manner {
        TAKES,
        /** 503 with Retry-After. */
        BUSY,
        /** 400: the batch will never be taken. */
        REFUSES,
        /** Never a word. */
        SILENT,
        /** The connection is reset. */
        RESETS
    }

    /** One span; ids in hexadecimal digits, times in nanoseconds of Unix time, attributes as texts, events by name. */
    public record Seen(
            String trace,
            String span,
            String parent,
            String name,
            int kind,
            String state,
            int flags,
            long start,
            long end,
            Map<String, String> attributes,
            Map<String, Long> events,
            List<String> links) {
        public String text(String key) {
            return attributes.getOrDefault(key, "");
        }
    }

    private static final int MAX_BATCH = 8 << 20, MOST = 1 << 18;

    private final EventLoop loop;
    /** Null where it plays on a stage's loop. */
    private EventLoopGroup own;

    private final Set<Channel> connections = new HashSet<>();
    private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();
    private Channel listener;
    private volatile Manner manner = Manner.TAKES;
    private volatile int batches;

    TraceCollector(EventLoop loop) {
        this.loop = loop;
    }

    /** One without a stage. */
    public static TraceCollector alone() throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        TraceCollector c = new TraceCollector(group.next());
        c.own = group;
        return c.listen();
    }

    TraceCollector listen() throws InterruptedException {
        listener = new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(f -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BATCH), new Handler());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        return this;
    }

    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** From the next batch on. */
    public void be(Manner how) {
        manner = how;
    }

    public List<Seen> seen() {
        return List.copyOf(seen);
    }

    /** How many batches have come, taken or not. */
    public int batches() {
        return batches;
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest m) throws IOException {
            batches++;
            switch (manner) {
                case TAKES -> {
                    boolean ours = m.uri().equals("/v1/traces")
                            && "application/x-protobuf".equals(m.headers().get(HttpHeaderNames.CONTENT_TYPE));
                    if (ours && seen.size() < MOST) {
                        Otlp.read(ByteBufUtil.getBytes(m.content()), seen::add);
                        synchronized (seen) {
                            seen.notifyAll();
                        }
                    }
                    answer(ctx, ours ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND);
                }
                case BUSY -> answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE);
                case REFUSES -> answer(ctx, HttpResponseStatus.BAD_REQUEST);
                case SILENT -> {}
                case RESETS -> {
                    ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                    ctx.close();
                }
            }
        }

        private void answer(ChannelHandlerContext ctx, HttpResponseStatus status) {
            FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                r.headers().set(HttpHeaderNames.RETRY_AFTER, 1);
            }
            ctx.writeAndFlush(r);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        loop.execute(() -> {
            listener.close();
            Set.copyOf(connections).forEach(Channel::close);
        });
        if (own != null) {
            own.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Waits for a span, past or to come, for which this holds. */
    public Seen await(Predicate<Seen> which) throws InterruptedException {
        synchronized (seen) {
            for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); ; ) {
                for (Seen s : seen) {
                    if (which.test(s)) {
                        return s;
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                if (left <= 0) {
                    throw new IllegalStateException("no such span came, but " + seen);
                }
                seen.wait(left);
            }
        }
    }
}
