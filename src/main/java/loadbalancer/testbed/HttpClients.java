package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.core.Clock;
import loadbalancer.http1.Connector;

/** Clients that speak HTTP/1.1: one request at a time on a connection, more connections when all are busy. */
final class HttpClients extends LoadClients {
    private static final int MOST_CONNECTIONS = 128;
    private static final int MAX_BODY = 1 << 20;

    private final Bootstrap bootstrap;
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private final Set<Channel> connections = new HashSet<>();

    HttpClients(EventLoop loop, Clock clock, Referee referee, String sidecar, long seed, int patience) {
        super(loop, clock, referee, sidecar, seed, patience);
        bootstrap = Connector.httpBootstrap(loop, 500, MAX_BODY, Handler::new);
    }

    @Override
    String idMark() {
        return "";
    }

    @Override
    void send(Asked a, InetSocketAddress to) {
        Channel channel = null;
        while (channel == null && !idle.isEmpty()) {
            channel = idle.poll();
            channel = channel.isActive() ? channel : null;
        }
        if (channel != null) {
            write(channel, a);
        } else if (connections.size() >= MOST_CONNECTIONS) {
            end(a, 5);
        } else {
            var connecting = bootstrap.connect(to);
            connections.add(connecting.channel());
            connecting.channel().closeFuture().addListener(f -> {
                connections.remove(connecting.channel());
                idle.remove(connecting.channel());
            });
            connecting.addListener(f -> {
                if (f.isSuccess()) {
                    write(connecting.channel(), a);
                } else {
                    connections.remove(connecting.channel());
                    again(a, 5);
                }
            });
        }
    }

    @Override
    public boolean grpc() {
        return false;
    }

    private void write(Channel channel, Asked a) {
        long now = clock.nowMicros();
        if (now >= a.untilUs) {
            idle.push(channel);
            end(a, 5);
            return;
        }
        FullHttpRequest m = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, a.kind == Kind.LOOKUP ? HttpMethod.GET : HttpMethod.POST, "/api/" + a.kind.lane);
        m.headers()
                .set(HttpHeaderNames.HOST, "api.internal")
                .set("X-Txn", a.id)
                .set("X-Lane", a.kind.lane)
                .set("X-Remaining-Ms", Math.max(1, (a.untilUs - now) / 1000))
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (a.kind == Kind.CONFIRM) {
            m.headers().set("Idempotency-Key", a.intent);
        }
        if (a.again) {
            m.headers().set("X-Resent", "1");
        }
        if (a.parent != null) {
            m.headers().set("traceparent", a.parent);
        }
        a.on = channel;
        channel.pipeline().get(Handler.class).asked = a;
        sent(a, now);
        channel.writeAndFlush(m);
    }

    @Override
    void giveUp(Asked a) {
        a.on.close();
    }

    @Override
    void hangUp() {
        Set.copyOf(connections).forEach(Channel::close);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Asked asked;
        /** It has carried an answer: a sidecar may close it between requests. */
        private boolean kept;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            Asked a = asked;
            asked = null;
            kept = true;
            if (a == null) {
                unasked(String.valueOf(ctx.channel().localAddress()));
                ctx.close();
                return;
            }
            if (HttpUtil.isKeepAlive(answer)) {
                idle.push(ctx.channel());
            } else {
                ctx.close();
            }
            int code = answer.status().code();
            answered(
                    a,
                    code == 200
                            ? Referee.Ending.SERVED
                            : code == 429 || code == 503 ? Referee.Ending.REFUSED : Referee.Ending.FAILED,
                    answer.content().toString(StandardCharsets.UTF_8));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Asked a = asked;
            asked = null;
            if (a != null && kept && !a.over && !a.crossed) {
                // The protocol: where a close crosses a request that was not read, it is sent once more, on a new
                // connection.
                a.crossed = true;
                List.copyOf(idle).forEach(Channel::close);
                unsent(a);
                HttpClients.this.send(a, address());
            } else if (a != null) {
                lost(a);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
