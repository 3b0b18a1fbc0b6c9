import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** gRPC over HTTP/2 with prior knowledge: a stand-in server and a stand-in client, both with Netty's codec. */
final class Grpc {
    static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    private Grpc() {}

    /** The messages of a stream, put together from DATA frames, whose ends need not be those of messages. */
    static final class Messages {
        private final ByteBuf bytes = Unpooled.buffer();
        final List<String> complete = new ArrayList<>();
        /** Whether the bytes are no sequence of messages. */
        boolean broken;

        /** All bytes so far. */
        int received;

        void add(ByteBuf data) {
            received += data.readableBytes();
            bytes.writeBytes(data);
            while (!broken && bytes.readableBytes() >= 5) {
                int length = bytes.getInt(bytes.readerIndex() + 1);
                broken = bytes.getByte(bytes.readerIndex()) != 0 || length < 0 || length > 1 << 20;
                if (broken || bytes.readableBytes() < 5 + length) {
                    return;
                }
                bytes.skipBytes(5);
                complete.add(bytes.readCharSequence(length, StandardCharsets.ISO_8859_1).toString());
            }
        }

        boolean atEndOfMessage() {
            return !broken && !bytes.isReadable();
        }
    }

    static ByteBuf message(String text) {
        byte[] content = text.getBytes(StandardCharsets.ISO_8859_1);
        return Unpooled.buffer(5 + content.length).writeByte(0).writeInt(content.length).writeBytes(content);
    }

    // ---- server --------------------------------------------------------------------------------------

    /** One call at the server. Its methods run on the connection's event loop. */
    abstract static class Call extends ChannelInboundHandlerAdapter {
        Channel stream;
        Http2Headers head;
        final Messages request = new Messages();
        boolean over;

        /** The head of the request has come. */
        abstract void begin();

        /** The last byte of the request has come. */
        abstract void whole();

        /** The sidecar has given the call up, or its connection has ended. */
        void left() {}

        void reply(String text) {
            stream.write(new DefaultHttp2HeadersFrame(
                    new DefaultHttp2Headers().status("200").set("content-type", "application/grpc"), false));
            stream.write(new DefaultHttp2DataFrame(message(text), false));
            stream.writeAndFlush(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status", "0"), true));
            over = true;
        }

        /** A status with no answer; {@code turnedAway} says that the call has not been looked at. */
        void status(int code, boolean turnedAway) {
            Http2Headers headers = new DefaultHttp2Headers()
                    .status("200")
                    .set("content-type", "application/grpc")
                    .set("grpc-status", "" + code);
            if (turnedAway) {
                headers.set("x-turned-away", "1");
            }
            stream.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true));
            over = true;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            try {
                if (frame instanceof Http2HeadersFrame headers && head == null) {
                    stream = context.channel();
                    head = headers.headers();
                    begin();
                    if (headers.isEndStream() && !over) {
                        whole();
                    }
                } else if (frame instanceof Http2DataFrame data && !over) {
                    request.add(data.content());
                    if (data.isEndStream()) {
                        whole();
                    }
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof Http2ResetFrame && !over) {
                over = true;
                left();
            }
            ReferenceCountUtil.release(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!over) {
                over = true;
                left();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    interface CallFactory {
        Call create();
    }

    /** Starts a server; returns its port. */
    static int serve(CallFactory calls) throws InterruptedException {
        Channel listener = new ServerBootstrap()
                .group(GROUP)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forServer().build(),
                                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                            @Override
                                            protected void initChannel(Channel stream) {
                                                stream.pipeline().addLast(calls.create());
                                            }
                                        }));
                    }
                })
                .bind(Rig.HOST, 0)
                .sync()
                .channel();
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    // ---- client --------------------------------------------------------------------------------------

    static final class Client {
        private final Channel connection;

        Client(int port) throws InterruptedException {
            connection = new Bootstrap()
                    .group(GROUP)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            Http2FrameCodecBuilder.forClient().build(),
                                            new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                            new ChannelInboundHandlerAdapter() {
                                                @Override
                                                public void exceptionCaught(
                                                        ChannelHandlerContext context, Throwable cause) {
                                                    // A reset: the calls learn of the end of the connection.
                                                    context.close();
                                                }
                                            });
                        }
                    })
                    .connect(Rig.HOST, port)
                    .sync()
                    .channel();
        }

        /** Begins a call. */
        ClientCall call(String path, String id, String key) throws Exception {
            ClientCall call = new ClientCall();
            Channel stream = new Http2StreamChannelBootstrap(connection)
                    .handler(call)
                    .open()
                    .sync()
                    .getNow();
            call.stream = stream;
            Http2Headers head = new DefaultHttp2Headers()
                    .method("POST")
                    .path(path)
                    .scheme("http")
                    .authority("api.internal")
                    .set("content-type", "application/grpc")
                    .set("te", "trailers")
                    .set("x-txn", id)
                    .set("x-org", "zahnplan-stamm");
            if (key != null) {
                head.set("idempotency-key", key);
            }
            stream.writeAndFlush(new DefaultHttp2HeadersFrame(head, false)).sync();
            return call;
        }
    }

    /** One call of the client. */
    static final class ClientCall extends ChannelInboundHandlerAdapter {
        private Channel stream;
        private final Messages answer = new Messages();
        private final CompletableFuture<String> end = new CompletableFuture<>();

        void send(String text, boolean last) throws InterruptedException {
            stream.writeAndFlush(new DefaultHttp2DataFrame(message(text), last)).await(1, TimeUnit.SECONDS);
        }

        /** The final status and the answer, or "none" if neither comes within the time. */
        String await(double seconds) {
            try {
                return end.get((long) (seconds * 1000), TimeUnit.MILLISECONDS);
            } catch (Exception exception) {
                return "none";
            }
        }

        int receivedBytes() {
            return answer.received;
        }

        boolean isOver() {
            return end.isDone();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) {
            try {
                if (frame instanceof Http2DataFrame data) {
                    answer.add(data.content());
                } else if (frame instanceof Http2HeadersFrame headers && headers.headers().contains("grpc-status")) {
                    end.complete("status " + headers.headers().get("grpc-status") + " " + answer.complete);
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof Http2ResetFrame reset) {
                end.complete("reset " + reset.errorCode());
            }
            ReferenceCountUtil.release(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end.complete("connection lost");
        }
    }
}
