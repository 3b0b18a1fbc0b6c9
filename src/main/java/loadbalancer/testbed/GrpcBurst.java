package loadbalancer.testbed;

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
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.core.Clock;
import loadbalancer.http1.Connector;

/** Calls that are all made in the same instant, unary ones or streams, a hundred to a connection. Made once, on the stage's loop. */
public final class GrpcBurst {
    private static final int PER_CONNECTION = 100;

    /** @param worstMs from the burst to the last first word of an answer, whatever it was */
    public record Result(int served, int refused, int failed, double worstMs) {}

    private final EventLoop loop;
    private final Clock clock;
    private final String path;
    private final boolean streams;
    private final String timeout;
    private final List<One> calls = new ArrayList<>();
    private final List<Channel> connections = new ArrayList<>();
    private long startUs;
    private long lastUs;
    private int served;
    private int refused;
    private int failed;
    private int endedWell;
    private CountDownLatch left;

    /** {@code timeoutMs} is what its calls tell as theirs; 0 for nothing. */
    GrpcBurst(EventLoop loop, Clock clock, String path, boolean streams, long timeoutMs) {
        this.loop = loop;
        this.clock = clock;
        this.path = path;
        this.streams = streams;
        timeout = timeoutMs == 0 ? null : timeoutMs + "m";
    }

    /** Makes so many calls and waits for a word on each, no longer than {@code ms}. */
    public Result make(InetSocketAddress to, int wanted, long ms) throws InterruptedException {
        left = new CountDownLatch(wanted);
        Bootstrap bootstrap = Connector.tcpBootstrap(loop, 1_000, channel -> channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forClient()
                                .initialSettings(new Http2Settings().pushEnabled(false))
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel pushed) {
                                pushed.close();
                            }
                        })));
        // All connections first, so that the calls come together.
        for (int i = 0; i * PER_CONNECTION < wanted; i++) {
            connections.add(bootstrap.connect(to).sync().channel());
        }
        loop.execute(() -> {
            startUs = clock.nowMicros();
            for (int i = 0; i < wanted; i++) {
                one(connections.get(i / PER_CONNECTION));
            }
        });
        left.await(ms, TimeUnit.MILLISECONDS);
        return loop.submit(() -> new Result(served, refused, failed, (lastUs - startUs) / 1000.0))
                .sync()
                .getNow();
    }

    /** Says one more word on each open stream and half-closes it; how many then ended with OK. */
    public int finish(long ms) throws InterruptedException {
        loop.submit(() -> {
                    List<One> open =
                            calls.stream().filter(c -> c.answered && !c.ended).toList();
                    left = new CountDownLatch(open.size());
                    open.forEach(c -> c.channel.writeAndFlush(
                            new DefaultHttp2DataFrame(GrpcUpstreamServer.message("last"), true)));
                })
                .sync();
        left.await(ms, TimeUnit.MILLISECONDS);
        return loop.submit(() -> {
                    connections.forEach(Channel::close);
                    return endedWell;
                })
                .sync()
                .getNow();
    }

    private void one(Channel connection) {
        One call = new One();
        new Http2StreamChannelBootstrap(connection).handler(call).open().addListener(f -> {
            if (f.isSuccess()) {
                call.channel = (Channel) f.getNow();
                calls.add(call);
                Http2Headers head = new DefaultHttp2Headers()
                        .method("POST")
                        .scheme("http")
                        .authority("api.internal")
                        .path(path)
                        .set("content-type", "application/grpc")
                        .set("te", "trailers")
                        .set("idempotency-key", "b" + calls.size() + "-" + startUs);
                if (timeout != null) {
                    head.set("grpc-timeout", timeout);
                }
                call.channel.write(new DefaultHttp2HeadersFrame(head, false));
                call.channel.writeAndFlush(new DefaultHttp2DataFrame(GrpcUpstreamServer.message("first"), !streams));
            }
        });
    }

    private final class One extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private boolean answered;
        private boolean ended;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            if (frame instanceof Http2HeadersFrame h && h.isEndStream()) {
                ended(String.valueOf(h.headers().get("grpc-status")));
            } else if (streams && !answered && frame instanceof Http2DataFrame) {
                answered = true;
                word();
                served++;
            }
            ReferenceCountUtil.release(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended("none");
        }

        private void word() {
            lastUs = clock.nowMicros();
            left.countDown();
        }

        private void ended(String status) {
            if (ended) {
                return;
            }
            ended = true;
            endedWell += status.equals("0") ? 1 : 0;
            if (!answered) {
                served += status.equals("0") ? 1 : 0;
                refused += status.equals("14") ? 1 : 0;
                failed += status.equals("0") || status.equals("14") ? 0 : 1;
            }
            answered = true;
            word();
        }
    }
}
