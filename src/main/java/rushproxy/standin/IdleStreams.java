package rushproxy.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rushproxy.http1.Dialling;

/** Streams that are opened and then say nothing: what a desk that is left running holds. */
final class IdleStreams {
    private static final int PER_CONNECTION = 100;
    private static final long SPACING_MS = 30, AGAIN_MS = 100;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final int wanted;
    private final CountDownLatch answered;

    IdleStreams(EventLoop loop, InetSocketAddress to, int wanted) {
        this.loop = loop;
        this.to = to;
        this.wanted = wanted;
        answered = new CountDownLatch(wanted);
    }

    int open(long ms) throws InterruptedException {
        Bootstrap bootstrap = Dialling.tcp(loop, 1_000, channel -> channel.pipeline().addLast(
                Http2FrameCodecBuilder.forClient().initialSettings(new Http2Settings().pushEnabled(false)).build(),
                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel pushed) {
                        pushed.close();
                    }
                })));
        for (int from = 0; from < wanted; from += PER_CONNECTION) {
            int here = Math.min(PER_CONNECTION, wanted - from);
            var connecting = bootstrap.connect(to);
            connecting.addListener(f -> {
                for (int i = 0; i < here && f.isSuccess(); i++) {
                    // Not all in one instant: a stream takes its turn like any request.
                    loop.schedule(() -> one(connecting.channel()), SPACING_MS * i, TimeUnit.MILLISECONDS);
                }
            });
        }
        answered.await(ms, TimeUnit.MILLISECONDS);
        return wanted - (int) answered.getCount();
    }

    private void one(Channel connection) {
        new Http2StreamChannelBootstrap(connection).handler(new ChannelInboundHandlerAdapter() {
            private boolean ended;

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object frame) {
                if (frame instanceof Http2DataFrame d && d.content().isReadable()) {
                    answered.countDown();
                }
                if (frame instanceof Http2HeadersFrame h && h.isEndStream() && !ended) {
                    // Refused: it may be tried again, and is, for as long as the measurement waits.
                    ended = true;
                    loop.schedule(() -> one(connection), AGAIN_MS, TimeUnit.MILLISECONDS);
                }
                ReferenceCountUtil.release(frame);
            }
        }).open().addListener(f -> {
            if (f.isSuccess()) {
                Channel stream = (Channel) f.getNow();
                stream.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().method("POST").scheme("http")
                        .authority("api.internal").path("/stage.Booking/Echo").set("content-type", "application/grpc")
                        .set("te", "trailers"), false));
                stream.writeAndFlush(new DefaultHttp2DataFrame(GrpcFace.message("idle"), false));
            }
        });
    }
}
