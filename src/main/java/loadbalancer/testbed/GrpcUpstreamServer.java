package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.grpc.mapping.GrpcTimeout;

/**
 * A stand-in node's other face: gRPC over HTTP/2, in front of the same capacity, queue and life as its HTTP/1.1. A unary call
 * is answered by the node; a call whose path ends in {@code Echo} gets each message back as it comes, and one that ends in
 * {@code LateEcho} does so a while after its start. Calls may be cut as a test scripts it. All on the stage's loop.
 *
 * <p>It does what servers do: a call ends at its {@code grpc-timeout}, with a reset as grpc-java and grpc-go have it; nothing
 * is said on a stream that the client has reset; streams above its limit are refused; it goes away in two steps and closes
 * each connection with its last stream.
 */
final class GrpcUpstreamServer {
    /** Where a call is cut, instead of being answered. */
    enum Cut {
        NONE,
        /** Reset once the head of the answer has gone. */
        AFTER_HEAD,
        /** Reset once the message has gone. */
        AFTER_MESSAGE,
        /** The message ends the stream: no trailers. */
        NO_TRAILERS,
        /** Refused before it was looked at. */
        REFUSED,
        /** Reset with INTERNAL_ERROR, after the node began to work. */
        RESET,
        /** Nothing more is ever said. */
        SILENT,
        /** Head and message go, and then nothing. */
        SILENT_AFTER_MESSAGE,
        /** A head that is the trailer too: UNAVAILABLE, turned away. */
        TURNED_AWAY,
        /** INTERNAL, in trailers. */
        ERROR,
        /** INTERNAL, in a head that is the trailer too. */
        ERROR_ALONE,
        /** The connection goes away before this stream. */
        GO_AWAY,
        /** The connection is closed with all its streams. */
        DROPPED
    }

    /** What the node does with a call that is whole. */
    interface Work {
        /** Later one of the three runs, once, or none where the node dies. */
        void take(String id, String parent, Consumer<String> served, Runnable turnedAway, Runnable reset);

        /** It began to work on it, though it will be cut. */
        void ran(String id);
    }

    private final EventLoop loop;
    private final Work work;
    private final Supplier<String> load;
    private static final long GOODBYE_MS = 50, LATE_MS = 400;
    private static final AttributeKey<AtomicInteger> OPEN = AttributeKey.valueOf("standin.open");

    private final Set<Channel> connections = new HashSet<>();
    private final Set<Channel> leaving = new HashSet<>();
    private Channel listener;
    private InetSocketAddress address;
    private Cut cut = Cut.NONE;
    private int cuts;
    private volatile int streamsAtOnce = 100;
    /** Streams that are open now. */
    final AtomicInteger held = new AtomicInteger();

    final AtomicInteger opened = new AtomicInteger();
    final AtomicInteger calls = new AtomicInteger();

    GrpcUpstreamServer(EventLoop loop, Work work, Supplier<String> load) {
        this.loop = loop;
        this.work = work;
        this.load = load;
    }

    void listen() throws InterruptedException {
        listener = bind(new InetSocketAddress("127.0.0.1", 0)).bind().sync().channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** After the node has come back to life. */
    void listenAgain() {
        bind(address).bind().addListener(f -> {
            if (f.isSuccess()) {
                listener = ((ChannelFuture) f).channel();
            } else if (!loop.isShuttingDown()) {
                loop.schedule(this::listenAgain, 20, TimeUnit.MILLISECONDS);
            }
        });
    }

    int port() {
        return address.getPort();
    }

    void die() {
        listener.close();
        Set.copyOf(connections).forEach(Channel::close);
    }

    /** The next {@code times} calls are cut so, from the moment at which this returns; not for the stage's own thread. */
    void cut(Cut how, int times) {
        loop.submit(() -> {
                    cut = how;
                    cuts = times;
                })
                .syncUninterruptibly();
    }

    /** Connections from now on take no more streams at a time. */
    void limit(int streams) {
        streamsAtOnce = streams;
    }

    /** Its process is told to end: it takes nothing new and finishes what it has (RFC 9113, section 6.8). */
    void goAway() {
        loop.execute(() -> {
            listener.close();
            connections.forEach(c -> goodbye(c, Integer.MAX_VALUE));
            loop.schedule(
                    () -> Set.copyOf(connections).forEach(c -> {
                        goodbye(c, 0);
                        leaving.add(c);
                        closeIfDone(c);
                    }),
                    GOODBYE_MS,
                    TimeUnit.MILLISECONDS);
        });
    }

    private static void goodbye(Channel connection, int extraStreams) {
        DefaultHttp2GoAwayFrame away = new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR, Unpooled.EMPTY_BUFFER);
        away.setExtraStreamIds(extraStreams);
        connection.writeAndFlush(away);
    }

    private void closeIfDone(Channel connection) {
        if (leaving.contains(connection) && connection.attr(OPEN).get().get() == 0) {
            connection.close();
        }
    }

    private ServerBootstrap bind(InetSocketAddress to) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .localAddress(to)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        opened.incrementAndGet();
                        connections.add(channel);
                        channel.attr(OPEN).set(new AtomicInteger());
                        channel.closeFuture().addListener(f -> {
                            connections.remove(channel);
                            leaving.remove(channel);
                        });
                        channel.pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forServer()
                                                .initialSettings(
                                                        new Http2Settings().maxConcurrentStreams(streamsAtOnce))
                                                .build(),
                                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                            @Override
                                            protected void initChannel(Channel stream) {
                                                stream.pipeline().addLast(new Call(channel));
                                            }
                                        }));
                    }
                });
    }

    private final class Call extends ChannelInboundHandlerAdapter {
        private final Channel connection;
        private Http2Headers head;
        private boolean echo;
        private boolean answered;
        private Future<?> timeout;

        Call(Channel connection) {
            this.connection = connection;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            held.incrementAndGet();
            connection.attr(OPEN).get().incrementAndGet();
            ctx.channel().closeFuture().addListener(f -> {
                held.decrementAndGet();
                connection.attr(OPEN).get().decrementAndGet();
                if (timeout != null) {
                    timeout.cancel(false);
                }
                closeIfDone(connection);
            });
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            // The client has reset it: nothing is said to it any more.
            answered |= event instanceof Http2ResetFrame;
            ReferenceCountUtil.release(event);
        }

        private void begin(ChannelHandlerContext ctx) {
            String path = String.valueOf(head.path());
            echo = path.endsWith("Echo");
            if (head.get("grpc-timeout") != null) {
                timeout = loop.schedule(
                        () -> reset(ctx, Http2Error.CANCEL),
                        GrpcTimeout.parse(head.get("grpc-timeout")),
                        TimeUnit.MICROSECONDS);
            }
            if (path.endsWith("LateEcho")) {
                ctx.channel().config().setAutoRead(false);
                loop.schedule(
                        () -> {
                            ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head(), false));
                            ctx.channel().config().setAutoRead(true);
                        },
                        LATE_MS,
                        TimeUnit.MILLISECONDS);
            } else if (echo) {
                ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head(), false));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            try {
                if (frame instanceof Http2HeadersFrame h) {
                    head = h.headers();
                    begin(ctx);
                    if (h.isEndStream()) {
                        whole(ctx);
                    }
                } else if (frame instanceof Http2DataFrame d) {
                    if (echo && d.content().isReadable()) {
                        ctx.writeAndFlush(new DefaultHttp2DataFrame(d.content().retain(), false));
                    }
                    if (d.isEndStream()) {
                        whole(ctx);
                    }
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private void whole(ChannelHandlerContext ctx) {
            calls.incrementAndGet();
            String id = String.valueOf(head.get("x-txn"));
            Cut now = cuts > 0 ? cut : Cut.NONE;
            cuts = Math.max(0, cuts - 1);
            if (now == Cut.NONE) {
                if (echo) {
                    trailers(ctx, 0);
                } else {
                    work.take(
                            id,
                            head.get("traceparent") == null
                                    ? null
                                    : head.get("traceparent").toString(),
                            body -> served(ctx, body),
                            () -> turnedAway(ctx),
                            () -> reset(ctx, Http2Error.INTERNAL_ERROR));
                }
                return;
            }
            if (now != Cut.REFUSED && now != Cut.TURNED_AWAY && now != Cut.GO_AWAY) {
                work.ran(id);
            }
            play(ctx, now, id);
        }

        private void play(ChannelHandlerContext ctx, Cut how, String id) {
            ByteBuf message = message("{\"node\":\"cut\",\"txn\":\"" + id + "\"}");
            switch (how) {
                case AFTER_HEAD -> ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head(), false))
                        .addListener(f -> reset(ctx, Http2Error.INTERNAL_ERROR));
                case AFTER_MESSAGE -> {
                    ctx.write(new DefaultHttp2HeadersFrame(head(), false));
                    ctx.writeAndFlush(new DefaultHttp2DataFrame(message.retain(), false))
                            .addListener(f -> reset(ctx, Http2Error.INTERNAL_ERROR));
                }
                case NO_TRAILERS -> {
                    ctx.write(new DefaultHttp2HeadersFrame(head(), false));
                    ctx.writeAndFlush(new DefaultHttp2DataFrame(message.retain(), true));
                }
                case SILENT_AFTER_MESSAGE -> {
                    ctx.write(new DefaultHttp2HeadersFrame(head(), false));
                    ctx.writeAndFlush(new DefaultHttp2DataFrame(message.retain(), false));
                }
                case REFUSED -> reset(ctx, Http2Error.REFUSED_STREAM);
                case RESET -> reset(ctx, Http2Error.INTERNAL_ERROR);
                case TURNED_AWAY -> turnedAway(ctx);
                case ERROR -> {
                    ctx.write(new DefaultHttp2HeadersFrame(head(), false));
                    trailers(ctx, 13);
                }
                case ERROR_ALONE -> ctx.writeAndFlush(new DefaultHttp2HeadersFrame(
                        head().set("grpc-status", "13").set("x-pressure", load.get()), true));
                case GO_AWAY -> {
                    goodbye(connection, 0);
                    reset(ctx, Http2Error.REFUSED_STREAM);
                }
                case DROPPED -> connection.close();
                default -> {}
            }
            message.release();
        }

        private void served(ChannelHandlerContext ctx, String body) {
            if (!answered && ctx.channel().isActive()) {
                answered = true;
                ctx.write(new DefaultHttp2HeadersFrame(head(), false));
                ctx.write(new DefaultHttp2DataFrame(message(body), false));
                trailers(ctx, 0);
            }
        }

        private void turnedAway(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(new DefaultHttp2HeadersFrame(
                    head().set("grpc-status", "14").set("x-turned-away", "1").set("x-pressure", load.get()), true));
        }

        private void trailers(ChannelHandlerContext ctx, int status) {
            ctx.writeAndFlush(new DefaultHttp2HeadersFrame(
                    new DefaultHttp2Headers().set("grpc-status", "" + status).set("x-pressure", load.get()), true));
        }

        private void reset(ChannelHandlerContext ctx, Http2Error code) {
            ctx.writeAndFlush(new DefaultHttp2ResetFrame(code));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static Http2Headers head() {
        return new DefaultHttp2Headers().status("200").set("content-type", "application/grpc");
    }

    /** One message in gRPC's framing: a flag, its length, its bytes. */
    static ByteBuf message(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return Unpooled.buffer(5 + bytes.length)
                .writeByte(0)
                .writeInt(bytes.length)
                .writeBytes(bytes);
    }
}
