package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import loadbalancer.core.Clock;
import loadbalancer.http1.Connector;

/** Clients that speak gRPC: all calls on one connection, another when that one goes away. */
final class GrpcClients extends LoadClients {
    private static final int MOST_WAITING = 256;

    private final Bootstrap bootstrap;
    private final ArrayDeque<Asked> waiting = new ArrayDeque<>();
    private Channel connection;
    private boolean up;

    GrpcClients(EventLoop loop, Clock clock, Referee referee, String sidecar, long seed, int patience) {
        super(loop, clock, referee, sidecar, seed, patience);
        bootstrap = Connector.tcpBootstrap(loop, 500, channel -> channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forClient()
                                .initialSettings(new Http2Settings().pushEnabled(false))
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel pushed) {
                                pushed.close();
                            }
                        }),
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object frame) {
                                if (frame instanceof Http2GoAwayFrame && ctx.channel() == connection) {
                                    // What is on it goes on; new calls take another.
                                    connection = null;
                                }
                                ReferenceCountUtil.release(frame);
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        }));
    }

    @Override
    String idMark() {
        return "g";
    }

    @Override
    void send(Asked a, InetSocketAddress to) {
        if (connection != null && up && connection.isActive()) {
            open(a, connection);
            return;
        }
        if (waiting.size() >= MOST_WAITING) {
            end(a, 5);
            return;
        }
        waiting.add(a);
        if (connection == null || up) {
            up = false;
            var connecting = bootstrap.connect(to);
            Channel made = connecting.channel();
            connection = made;
            connecting.addListener(f -> {
                up = f.isSuccess();
                if (!up) {
                    connection = null;
                }
                for (Asked w; (w = waiting.poll()) != null; ) {
                    if (f.isSuccess()) {
                        open(w, made);
                    } else {
                        again(w, 5);
                    }
                }
            });
        }
    }

    @Override
    public boolean grpc() {
        return true;
    }

    private void open(Asked a, Channel on) {
        long now = clock.nowMicros();
        if (now >= a.untilUs) {
            end(a, 5);
            return;
        }
        new Http2StreamChannelBootstrap(on).handler(new Handler(a)).open().addListener(f -> {
            if (!f.isSuccess()) {
                again(a, 5);
                return;
            }
            Channel stream = (Channel) f.getNow();
            a.on = stream;
            long at = clock.nowMicros();
            Http2Headers h = new DefaultHttp2Headers()
                    .method("POST")
                    .scheme("http")
                    .authority("api.internal")
                    .path("/stage.Booking/" + a.kind.method)
                    .set("content-type", "application/grpc")
                    .set("te", "trailers")
                    .set("x-txn", a.id)
                    .set("grpc-timeout", Math.max(1, (a.untilUs - at) / 1000) + "m");
            if (a.kind == Kind.CONFIRM) {
                h.set("idempotency-key", a.intent);
            }
            if (a.parent != null) {
                h.set("traceparent", a.parent);
            }
            sent(a, at);
            stream.write(new DefaultHttp2HeadersFrame(h, false));
            stream.writeAndFlush(new DefaultHttp2DataFrame(GrpcUpstreamServer.message("{}"), true));
        });
    }

    @Override
    void giveUp(Asked a) {
        if (a.on != null) {
            a.on.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        }
    }

    @Override
    void hangUp() {
        if (connection != null) {
            connection.close();
        }
    }

    private final class Handler extends ChannelInboundHandlerAdapter {
        private final Asked asked;
        private final ByteBuf body = Unpooled.buffer(64);
        private boolean done;

        Handler(Asked asked) {
            this.asked = asked;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            try {
                if (frame instanceof Http2DataFrame d) {
                    body.writeBytes(d.content());
                    if (d.isEndStream()) {
                        done(Referee.Ending.FAILED);
                    }
                } else if (frame instanceof Http2HeadersFrame h && h.isEndStream()) {
                    CharSequence status = h.headers().get("grpc-status");
                    done(
                            status == null
                                    ? Referee.Ending.FAILED
                                    : "0".contentEquals(status)
                                            ? Referee.Ending.SERVED
                                            : "14".contentEquals(status)
                                                    ? Referee.Ending.REFUSED
                                                    : Referee.Ending.FAILED);
                } else if (frame instanceof Http2ResetFrame) {
                    gone();
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private void done(Referee.Ending ending) {
            if (!done) {
                done = true;
                answered(asked, ending, body.toString(StandardCharsets.UTF_8));
            }
        }

        private void gone() {
            if (!done) {
                done = true;
                lost(asked);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2ResetFrame) {
                gone();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            gone();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
