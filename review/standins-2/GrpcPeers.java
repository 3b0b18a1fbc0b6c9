import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A gRPC node and a gRPC client, on the HTTP/2 codec that the program's jar brings. */
final class GrpcPeers implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    /** What a node does with a call that has come whole; {@code id} is its x-txn. */
    interface Node {
        void call(ChannelHandlerContext stream, String path, String id, byte[] message);
    }

    /** Starts a node on a free port and returns the port. */
    int node(Node node) throws InterruptedException {
        Channel listener = new ServerBootstrap()
                .group(group)
                .channelFactory(NioServerSocketChannel::new)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forServer()
                                                .initialSettings(new Http2Settings().maxConcurrentStreams(100))
                                                .build(),
                                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                            @Override
                                            protected void initChannel(Channel stream) {
                                                stream.pipeline().addLast(new Served(node));
                                            }
                                        }));
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private static final class Served extends ChannelInboundHandlerAdapter {
        private final Node node;
        private final ByteArrayOutputStream message = new ByteArrayOutputStream();
        private Http2Headers head;

        Served(Node node) {
            this.node = node;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            boolean last = false;
            if (frame instanceof Http2HeadersFrame h) {
                head = h.headers();
                last = h.isEndStream();
            } else if (frame instanceof Http2DataFrame d) {
                byte[] b = new byte[d.content().readableBytes()];
                d.content().readBytes(b);
                message.writeBytes(b);
                last = d.isEndStream();
            }
            ReferenceCountUtil.release(frame);
            if (last) {
                node.call(ctx, "" + head.path(), "" + head.get("x-txn"), message.toByteArray());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** The head of a good answer. */
    static Object answerHead() {
        return new DefaultHttp2HeadersFrame(
                new DefaultHttp2Headers().status("200").set("content-type", "application/grpc"), false);
    }

    static Object trailers(int status) {
        return new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status", "" + status), true);
    }

    /** A gRPC message: flag, length, bytes. */
    static byte[] message(byte[] payload) {
        ByteBuf b = Unpooled.buffer(payload.length + 5);
        b.writeByte(0).writeInt(payload.length).writeBytes(payload);
        return b.array();
    }

    /** Status of a call that the server's GOAWAY says it has not begun. */
    static final int NOT_BEGUN = -2;

    /** What a client got: status -1 where no status came. */
    record Answer(int status, String text, byte[] message) {}

    /** A client's connection. */
    Channel connect(int port) throws InterruptedException {
        return new Bootstrap()
                .group(group)
                .channelFactory(NioSocketChannel::new)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forClient()
                                                .initialSettings(new Http2Settings().initialWindowSize(4 << 20))
                                                .build(),
                                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
                    }
                })
                .connect(new InetSocketAddress("127.0.0.1", port))
                .sync()
                .channel();
    }

    /** Makes a unary call. */
    CompletableFuture<Answer> call(Channel connection, String path, String id, String key, long timeoutMs, byte[] payload)
            throws InterruptedException {
        CompletableFuture<Answer> done = new CompletableFuture<>();
        Channel stream = new Http2StreamChannelBootstrap(connection)
                .handler(new Called(done))
                .open()
                .syncUninterruptibly()
                .getNow();
        Http2Headers h = new DefaultHttp2Headers()
                .method("POST")
                .scheme("http")
                .path(path)
                .authority("api.internal")
                .set("content-type", "application/grpc")
                .set("te", "trailers")
                .set("x-txn", id)
                .set("grpc-timeout", timeoutMs + "m");
        if (key != null) {
            h.set("idempotency-key", key);
        }
        stream.write(new DefaultHttp2HeadersFrame(h, false));
        stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(message(payload)), true));
        return done;
    }

    private static final class Called extends ChannelInboundHandlerAdapter {
        private final CompletableFuture<Answer> done;
        private final ByteArrayOutputStream message = new ByteArrayOutputStream();

        Called(CompletableFuture<Answer> done) {
            this.done = done;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            if (frame instanceof Http2HeadersFrame h && h.isEndStream()) {
                CharSequence status = h.headers().get("grpc-status");
                done.complete(new Answer(
                        status == null ? -1 : Integer.parseInt(status.toString()),
                        "" + h.headers().get("grpc-message"),
                        message.toByteArray()));
            } else if (frame instanceof Http2DataFrame d) {
                byte[] b = new byte[d.content().readableBytes()];
                d.content().readBytes(b);
                message.writeBytes(b);
            } else if (frame instanceof Http2ResetFrame r) {
                done.complete(new Answer(-1, "reset " + r.errorCode(), message.toByteArray()));
            }
            ReferenceCountUtil.release(frame);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2ResetFrame r) {
                done.complete(new Answer(-1, "reset " + r.errorCode(), message.toByteArray()));
            } else if (event instanceof Http2GoAwayFrame g) {
                // The server says that it has not begun this call: it may be made again.
                done.complete(new Answer(
                        NOT_BEGUN,
                        "goodbye before stream " + ((Http2StreamChannel) ctx.channel()).stream().id() + ", last "
                                + g.lastStreamId(),
                        message.toByteArray()));
            }
            ReferenceCountUtil.release(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            done.complete(new Answer(-1, "the connection ended", message.toByteArray()));
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The table [grpc] of an operator's file, with the classes of the usual settings. */
    static String operator(int port) {
        return "[grpc]\nlisten = \"127.0.0.1:" + port + "\"\n"
                + "[[grpc.method]]\nname = \"zahnplan.Slots\"\nclass = \"slot-lookup\"\n"
                + "[[grpc.method]]\nname = \"zahnplan.Booking/Confirm\"\nclass = \"booking-confirm\"\n"
                + "key = \"idempotency-key\"\n"
                + "[[grpc.method]]\nname = \"zahnplan.Booking/Note\"\nclass = \"booking-update\"\n"
                + "[grpc.other]\nclass = \"booking-update\"\n";
    }
}
