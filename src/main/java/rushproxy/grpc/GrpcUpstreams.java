package rushproxy.grpc;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.DefaultHttp2PingFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2PingFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2SettingsFrame;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.UpstreamState;
import rushproxy.core.Addresses;
import rushproxy.core.Attempt;
import rushproxy.core.Clock;
import rushproxy.grpc.mapping.Ending;
import rushproxy.http1.Dialling;
import rushproxy.membership.Member;

/**
 * Connections to the nodes that speak gRPC, and the streams on them. Few connections a node, many streams each. A node is the
 * same one whatever it speaks: it comes and goes with the one list.
 */
final class GrpcUpstreams {
    /** Connections to one node: one would do, were it not for its limit of streams. */
    private static final int MOST_CONNECTIONS = 2;
    private static final int MOST_STREAMS = 100;
    private static final int HEADER_LIST = 16 * 1024;
    private static final long PING_MS = 10_000, PING_TIMEOUT_MS = 5_000;
    private static final long SWEEP_MS = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final long idleUs;
    private final long streamDrainMs;
    private final Bootstrap bootstrap;
    private final Map<String, Target> targets = new HashMap<>();

    private static final class Target {
        final InetSocketAddress address;
        final long startedUs;
        UpstreamState state;
        final List<Connection> connections = new ArrayList<>();

        Target(InetSocketAddress address, long startedUs) {
            this.address = address;
            this.startedUs = startedUs;
        }
    }

    /** One connection to a node, from the dial to its end. */
    private final class Connection {
        final Target target;
        final ChannelFuture connecting;
        final Channel channel;
        final Set<GrpcAttempt> streams = new HashSet<>();
        /** Calls that came while it was being opened. */
        final ArrayDeque<GrpcAttempt> waiting = new ArrayDeque<>();
        int most = MOST_STREAMS;
        boolean going;
        long usedUs;
        long pingUs;

        Connection(Target target) {
            this.target = target;
            usedUs = clock.now();
            connecting = bootstrap.connect(target.address);
            channel = connecting.channel();
            target.connections.add(this);
            connecting.addListener(f -> up(f.isSuccess()));
            channel.closeFuture().addListener(f -> down());
        }

        boolean room() {
            return !going && streams.size() + waiting.size() < most;
        }

        private void up(boolean success) {
            if (success) {
                channel.pipeline().addLast(new Control(this));
            } else {
                down();
            }
            for (GrpcAttempt a; (a = waiting.poll()) != null; ) {
                if (success) {
                    open(a);
                } else {
                    a.end(Ending.connectionLost(false));
                }
            }
        }

        private void down() {
            going = true;
            target.connections.remove(this);
        }

        void open(GrpcAttempt attempt) {
            if (attempt.ended()) {
                return;
            }
            if (target.state != UpstreamState.READY || clock.now() >= attempt.untilUs) {
                // The list changed or time ran out while the connection came up: nothing may be sent any more.
                attempt.drop();
                return;
            }
            streams.add(attempt);
            usedUs = clock.now();
            new Http2StreamChannelBootstrap(channel).handler(attempt.handler()).open().addListener(f -> {
                if (f.isSuccess()) {
                    Channel stream = (Channel) f.getNow();
                    stream.closeFuture().addListener(c -> done(attempt));
                    attempt.opened(stream);
                } else {
                    done(attempt);
                    if (channel.isActive()) {
                        // The node's limit of streams, or its goodbye: no word against it.
                        attempt.drop();
                    } else {
                        attempt.end(Ending.connectionLost(false));
                    }
                }
            });
        }

        private void done(GrpcAttempt attempt) {
            streams.remove(attempt);
            usedUs = clock.now();
            if (going && streams.isEmpty()) {
                channel.close();
            }
        }

        /** No new streams; it closes with its last. */
        void retire() {
            going = true;
            if (streams.isEmpty() && waiting.isEmpty()) {
                channel.close();
            }
        }

        /** A connection that does not answer a ping while it owes answers is dead, whatever the kernel thinks. */
        void sweep(long now) {
            if (!channel.isActive()) {
                return;
            }
            if (streams.isEmpty()) {
                pingUs = 0;
                if (now - usedUs > idleUs) {
                    retire();
                }
            } else if (pingUs > 0 && now - pingUs > PING_TIMEOUT_MS * 1000) {
                channel.close();
            } else if (pingUs == 0 && now - usedUs > PING_MS * 1000) {
                pingUs = now;
                channel.writeAndFlush(new DefaultHttp2PingFrame(now));
            }
        }
    }

    /** What comes on the connection itself. */
    private final class Control extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        Control(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            if (frame instanceof Http2SettingsFrame settings && settings.settings().maxConcurrentStreams() != null) {
                connection.most = (int) Math.min(MOST_STREAMS, settings.settings().maxConcurrentStreams());
            } else if (frame instanceof Http2GoAwayFrame) {
                connection.retire();
            } else if (frame instanceof Http2PingFrame ping && ping.ack()) {
                connection.pingUs = 0;
                connection.usedUs = clock.now();
            }
            ReferenceCountUtil.release(frame);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** {@code streamDrainMs}: streams that a node has begun may go on for so long after it was told to drain. */
    GrpcUpstreams(EventLoop loop, Clock clock, long connIdleUs, long dialTimeoutUs, long streamDrainMs) {
        this.loop = loop;
        this.clock = clock;
        this.streamDrainMs = streamDrainMs;
        idleUs = Math.max(connIdleUs / 2, connIdleUs - 2_000_000);
        bootstrap = Dialling.tcp(loop, (int) Math.max(1, dialTimeoutUs / 1000), channel -> channel.pipeline().addLast(
                Http2FrameCodecBuilder.forClient().initialSettings(new Http2Settings().maxHeaderListSize(HEADER_LIST)
                        .pushEnabled(false).initialWindowSize(64 * 1024)).autoAckPingFrame(true).build(),
                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel pushed) {
                        // Nothing was asked to be pushed.
                        pushed.close();
                    }
                })));
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** As for the other protocol: who drains, goes, moves or starts anew gets no new streams from this moment on. */
    void update(boolean whole, List<Member> members) {
        Set<String> named = new HashSet<>();
        for (Member m : members) {
            String id = m.upstream().id();
            named.add(id);
            Target t = targets.get(id);
            UpstreamState state = m.grpcAddress() == null ? UpstreamState.GONE : m.upstream().state();
            if (state == UpstreamState.GONE) {
                forget(targets.remove(id));
                continue;
            }
            InetSocketAddress address = Addresses.parse(m.grpcAddress());
            if (t == null || !t.address.equals(address) || t.startedUs != m.upstream().startedUs()) {
                forget(t);
                t = new Target(address, m.upstream().startedUs());
                targets.put(id, t);
            }
            t.state = state;
            if (state != UpstreamState.READY) {
                leave(t);
            }
        }
        if (whole) {
            targets.entrySet().removeIf(e -> {
                if (named.contains(e.getKey())) {
                    return false;
                }
                forget(e.getValue());
                return true;
            });
        }
    }

    private void forget(Target t) {
        if (t != null) {
            t.state = UpstreamState.GONE;
            leave(t);
        }
    }

    private void leave(Target t) {
        for (Connection c : List.copyOf(t.connections)) {
            c.retire();
            loop.schedule(() -> List.copyOf(c.streams).forEach(GrpcAttempt::cancel), streamDrainMs, TimeUnit.MILLISECONDS);
        }
    }

    int connections() {
        return targets.values().stream().mapToInt(t -> t.connections.size()).sum();
    }

    int known() {
        return targets.size();
    }

    void start(GrpcAttempt attempt) {
        Target t = targets.get(attempt.upstream());
        if (t == null || t.state != UpstreamState.READY) {
            attempt.drop();
            return;
        }
        Future<?> timeout = loop.schedule(attempt::timedOut, attempt.untilUs - clock.now(), TimeUnit.MICROSECONDS);
        attempt.timeout = timeout;
        Connection c = t.connections.stream().filter(Connection::room).findFirst().orElse(null);
        if (c == null && t.connections.size() < MOST_CONNECTIONS) {
            c = new Connection(t);
        }
        if (c == null) {
            attempt.drop();
        } else if (c.channel.isActive() && c.connecting.isDone()) {
            c.open(attempt);
        } else {
            c.waiting.add(attempt);
        }
    }

    private void sweep() {
        long now = clock.now();
        for (Target t : targets.values()) {
            List.copyOf(t.connections).forEach(c -> c.sweep(now));
        }
    }
}
