package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.RequestClass;
import rushproxy.Balancer.Semantics;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/**
 * Before it says that it is ready, a sidecar serves some requests of its own: a second sidecar in this program, its
 * only upstream and its only client here too. Code that has never run takes ten times as long; met by full traffic,
 * that makes every upstream look slow and most first requests late. Requests that come all the same end it at once.
 */
final class Rehearsal {
    private static final int REQUESTS = 400;
    /** Clients that send at once: as many as keep the loop busy, and few enough to leave no upstream overrun. */
    private static final int CLIENTS = 3;
    private static final int UPSTREAMS = 6;
    private static final long LONGEST_MS = 1_500;

    private final Config config;
    private final Sidecar.Module module;
    private final CountDownLatch over = new CountDownLatch(1);
    private int begun;
    private int answered;

    Rehearsal(Config config, Sidecar.Module module) {
        this.config = config;
        this.module = module;
    }

    /** May be called from any thread, also before the play has begun. */
    void cut() {
        over.countDown();
    }

    /** Returns when enough was played, or at once where it can't be: without it a sidecar only starts slower. */
    void play() {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Sidecar second = null;
        try {
            EventLoop loop = group.next();
            InetSocketAddress here = new InetSocketAddress(config.listen().getAddress(), 0);
            InetSocketAddress stage = (InetSocketAddress) new ServerBootstrap().group(loop)
                    .channel(NioServerSocketChannel.class).childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(Headers.MAX_BODY),
                                    new Stage());
                        }
                    }).bind(here).sync().channel().localAddress();
            second = new Sidecar(config.elsewhere(here, stage, list(stage)), module);
            second.start();
            Bootstrap clients = Dialling.http(loop, 1_000, Headers.MAX_BODY, Client::new);
            for (int i = 0; i < CLIENTS; i++) {
                clients.connect(second.listening());
            }
            over.await(LONGEST_MS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            Log.trouble("no rehearsal", e);
        } finally {
            if (second != null) {
                second.end();
            }
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static UpstreamList list(InetSocketAddress stage) {
        List<UpstreamList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            entries.add(new UpstreamList.Entry(new Upstream("stage-" + i, "", "", -1, 0, 1, UpstreamState.READY), stage));
        }
        return new UpstreamList(1, true, entries);
    }

    /** Upstream and discovery in one. A watch is left waiting, as where nothing changes. */
    private static final class Stage extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.uri().startsWith("/registry/")) {
                return;
            }
            String load = "TEXT inflight=0, queue=0, util=0.1";
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    Unpooled.copiedBuffer(load, StandardCharsets.US_ASCII));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, load.length()).set(Headers.LOAD, load);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++answered >= REQUESTS) {
                over.countDown();
            } else {
                ask(ctx);
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            List<RequestClass> classes = config.settings().classes();
            RequestClass c = classes.get(begun++ % classes.size());
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    c.semantics() == Semantics.SAFE ? HttpMethod.GET : HttpMethod.POST, "/api");
            request.headers().set(HttpHeaderNames.HOST, "api.internal").set(Headers.TXN, "rehearsal-" + begun)
                    .set(Headers.CLASS, c.name()).set(Headers.REMAINING, Math.max(1, c.deadlineUs() / 1000))
                    .set(HttpHeaderNames.COOKIE, Headers.KEY_COOKIE + "=" + begun)
                    .set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (c.semantics() == Semantics.KEYED) {
                request.headers().set(Headers.IDEMPOTENCY_KEY, "rehearsal-" + begun);
            }
            ctx.writeAndFlush(request);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
