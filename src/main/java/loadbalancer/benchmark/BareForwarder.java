package loadbalancer.benchmark;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.core.Addresses;
import loadbalancer.http1.Connector;

/**
 * The least that forwards: Netty's own codecs on both sides, upstreams in turn, no decisions, no deadlines, no checks. What a
 * sidecar costs more than this is its own. Only for measurements.
 */
final class BareForwarder {
    private static final int BODY = 64 * 1024;
    private static final AttributeKey<Channel> ANSWERS = AttributeKey.valueOf("forwarder.answers");

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private int turn;

    private BareForwarder() {}

    /** Its arguments: upstreams of HTTP/1.1 and of HTTP/2, each a list with commas. It prints its two ports and serves on. */
    public static void main(String[] args) throws InterruptedException {
        BareForwarder f = new BareForwarder();
        int http = f.listen(f.http1(addresses(args[0])));
        int http2 = f.listen(f.http2(addresses(args[1])));
        System.out.println("forwards on " + http + " " + http2);
        new java.util.concurrent.CountDownLatch(1).await();
    }

    private static List<InetSocketAddress> addresses(String list) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String a : list.split(",")) {
            all.add(Addresses.parse(a));
        }
        return all;
    }

    private interface Equip {
        void on(Channel channel);
    }

    private static ChannelInitializer<Channel> each(Equip equip) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                equip.on(channel);
            }
        };
    }

    private int listen(Equip equip) throws InterruptedException {
        Channel listener = new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(each(equip))
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    private Equip http1(List<InetSocketAddress> upstreams) {
        List<ArrayDeque<Channel>> idle = new ArrayList<>();
        upstreams.forEach(u -> idle.add(new ArrayDeque<>()));
        return client -> client.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(BODY),
                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                                int to = turn++ % upstreams.size();
                                request.retain();
                                Channel c = idle.get(to).pollFirst();
                                if (c != null) {
                                    c.attr(ANSWERS).set(client);
                                    c.writeAndFlush(request);
                                    return;
                                }
                                Connector.tcpBootstrap(loop, 1_000, up -> up.pipeline()
                                                .addLast(
                                                        new HttpClientCodec(),
                                                        new HttpObjectAggregator(BODY),
                                                        new SimpleChannelInboundHandler<FullHttpResponse>() {
                                                            @Override
                                                            protected void channelRead0(
                                                                    ChannelHandlerContext of, FullHttpResponse answer) {
                                                                Channel to1 = of.channel()
                                                                        .attr(ANSWERS)
                                                                        .get();
                                                                idle.get(to).addFirst(of.channel());
                                                                to1.writeAndFlush(answer.retain());
                                                            }
                                                        }))
                                        .connect(upstreams.get(to))
                                        .addListener(f -> {
                                            Channel made = ((io.netty.channel.ChannelFuture) f).channel();
                                            made.attr(ANSWERS).set(client);
                                            made.writeAndFlush(request);
                                        });
                            }
                        });
    }

    private Equip http2(List<InetSocketAddress> upstreams) throws InterruptedException {
        List<Channel> open = new ArrayList<>();
        for (InetSocketAddress u : upstreams) {
            open.add(Connector.tcpBootstrap(loop, 1_000, up -> up.pipeline()
                            .addLast(
                                    Http2FrameCodecBuilder.forClient()
                                            .initialSettings(new Http2Settings().pushEnabled(false))
                                            .build(),
                                    new Http2MultiplexHandler(each(Channel::close))))
                    .connect(u)
                    .sync()
                    .channel());
        }
        return client -> client.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer()
                                .initialSettings(new Http2Settings())
                                .build(),
                        new Http2MultiplexHandler(
                                each(stream -> stream.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                                    private final ArrayDeque<Object> first = new ArrayDeque<>();
                                    private Channel upstream;

                                    @Override
                                    public void channelRead(ChannelHandlerContext ctx, Object frame) {
                                        if (first.isEmpty() && upstream == null) {
                                            new Http2StreamChannelBootstrap(open.get(turn++ % open.size()))
                                                    .handler(pass(ctx.channel()))
                                                    .open()
                                                    .addListener(f -> {
                                                        upstream = (Channel) f.getNow();
                                                        first.forEach(x -> upstream.write(copy(x)));
                                                        upstream.flush();
                                                    });
                                        }
                                        if (upstream == null) {
                                            first.add(frame);
                                        } else {
                                            upstream.write(copy(frame));
                                        }
                                    }

                                    @Override
                                    public void channelReadComplete(ChannelHandlerContext ctx) {
                                        if (upstream != null) {
                                            upstream.flush();
                                        }
                                    }
                                }))));
    }

    private static ChannelHandler pass(Channel to) {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object frame) {
                to.writeAndFlush(copy(frame));
            }
        };
    }

    /** Without the stream that it came on; takes the frame over. */
    private static Object copy(Object frame) {
        if (frame instanceof Http2HeadersFrame h) {
            return new DefaultHttp2HeadersFrame(h.headers(), h.isEndStream());
        }
        if (frame instanceof Http2DataFrame d) {
            return new DefaultHttp2DataFrame(d.content(), d.isEndStream());
        }
        ReferenceCountUtil.release(frame);
        return io.netty.buffer.Unpooled.EMPTY_BUFFER;
    }
}
