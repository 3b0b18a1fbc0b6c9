package loadbalancer.grpc;

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
import io.netty.handler.codec.http2.Http2StreamChannelOption;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Addresses;
import loadbalancer.core.Clock;
import loadbalancer.grpc.mapping.AttemptEnd;
import loadbalancer.grpc.mapping.GrpcStatus;
import loadbalancer.http1.Connector;
import loadbalancer.membership.Endpoint;
import loadbalancer.operator.OperatorConfiguration.GrpcOptions;

/**
 * Connections to the nodes that speak gRPC, and the streams on them. Few connections a node, many streams each. A node is the
 * same one whatever it speaks: it comes and goes with the one list.
 *
 * <p>Calls wait here for a connection that is coming up, and unary ones for a stream that ends, in the order in which they
 * came; each has its own time-out. Streaming calls hold at most three quarters of a node's streams, so that they never shut
 * unary ones out; one more ends at once as never sent, and the module learns from that how many the node takes.
 */
final class GrpcUpstreams {
    private static final int HEADER_LIST = 16 * 1024;
    /** Most calls that wait at one node for a stream: the module sends a node far fewer. */
    private static final int MOST_WAITING = 64;
    /** A connection that owes an answer to a ping for so long is dead. */
    private static final long PING_TIMEOUT_US = 5_000_000;

    private static final long SWEEP_MS = 1_000;
    /** After a dial that failed while other connections work: a node that takes no more is not asked all the time. */
    private static final long DIAL_PAUSE_US = 250_000;

    private final EventLoop loop;
    private final Clock clock;
    private final long idleUs;
    private final long dialTimeoutUs;
    private final GrpcOptions options;
    private final GrpcMemory memory;
    private final Bootstrap bootstrap;
    private final Map<String, Target> targets = new HashMap<>();

    /** One node, in one life of it. */
    final class Target {
        private final InetSocketAddress address;
        private final long startedUs;
        private UpstreamState state;
        private final List<Connection> connections = new ArrayList<>();
        private final ArrayDeque<GrpcAttempt> waiting = new ArrayDeque<>();
        /** Streams that one connection takes, by the node's last word. */
        private int most = options.maxUpstreamStreams();
        /** Streaming calls sent here that have not ended. */
        private int streaming;

        private long dialFromUs;

        private Target(InetSocketAddress address, long startedUs) {
            this.address = address;
            this.startedUs = startedUs;
        }

        private int streamingMost() {
            return Math.max(1, options.maxUpstreamConnections() * most * 3 / 4);
        }

        private void start(GrpcAttempt attempt) {
            if (attempt.streams()) {
                if (streaming >= streamingMost()) {
                    attempt.drop();
                    return;
                }
            } else if (waiting.size() >= MOST_WAITING + comingUp() * most) {
                attempt.drop();
                return;
            }
            streaming += attempt.streams() ? 1 : 0;
            attempt.sentTo(
                    this, loop.schedule(attempt::timedOut, attempt.untilUs - clock.nowMicros(), TimeUnit.MICROSECONDS));
            waiting.add(attempt);
            feed();
        }

        /** An attempt that was started here has ended. */
        void over(GrpcAttempt attempt) {
            streaming -= attempt.streams() ? 1 : 0;
            if (!attempt.begun()) {
                waiting.remove(attempt);
            }
        }

        /** Whether an attempt that still waits does so for a stream, not for the node's first word. */
        boolean crowded() {
            return connections.stream().anyMatch(c -> c.up);
        }

        private int comingUp() {
            int n = 0;
            for (Connection c : connections) {
                n += c.up || c.going ? 0 : 1;
            }
            return n;
        }

        private void feed() {
            while (!waiting.isEmpty()) {
                Connection with = null;
                for (Connection c : connections) {
                    if (c.room()) {
                        with = c;
                        break;
                    }
                }
                if (with == null) {
                    break;
                }
                with.open(waiting.poll());
            }
            if (state == UpstreamState.READY
                    && waiting.size() > comingUp() * most
                    && connections.size() < options.maxUpstreamConnections()
                    && clock.nowMicros() >= dialFromUs) {
                new Connection(this).dial();
            }
        }

        /** The node takes fewer streams than was thought: those that can't be among them are told so now. */
        private void shrink() {
            if (streaming <= streamingMost()) {
                return;
            }
            for (GrpcAttempt a : List.copyOf(waiting)) {
                if (a.streams() && streaming > streamingMost()) {
                    a.drop();
                }
            }
        }

        private void endWaiting(AttemptEnd how) {
            List<GrpcAttempt> ending = List.copyOf(waiting);
            waiting.clear();
            ending.forEach(a -> a.end(how));
        }
    }

    /** One connection to a node, from the dial to its end. */
    private final class Connection {
        private final Target target;
        private Channel channel;
        private final Set<GrpcAttempt> streams = new HashSet<>();
        /** Its settings have come: a node that takes connections and says nothing is none. */
        private boolean up;

        private boolean going;
        private long usedUs;
        /** When anything last came on it. */
        private long heardUs;

        private long pingUs;

        Connection(Target target) {
            this.target = target;
            usedUs = clock.nowMicros();
            target.connections.add(this);
        }

        void dial() {
            ChannelFuture connecting = bootstrap.connect(target.address);
            channel = connecting.channel();
            channel.closeFuture().addListener(f -> down());
            connecting.addListener(f -> {
                if (f.isSuccess()) {
                    channel.pipeline().addFirst(new Ears(this)).addLast(new Control(this));
                    loop.schedule(
                            () -> {
                                if (!up) {
                                    channel.close();
                                }
                            },
                            dialTimeoutUs,
                            TimeUnit.MICROSECONDS);
                } else {
                    down();
                }
            });
        }

        boolean room() {
            return up && !going && streams.size() < target.most && channel.isActive();
        }

        void settings(long streamsAtOnce) {
            if (streamsAtOnce >= 0) {
                target.most = (int) Math.min(options.maxUpstreamStreams(), streamsAtOnce);
                target.shrink();
            }
            up = true;
            target.feed();
        }

        private void down() {
            boolean told = going && !target.connections.contains(this);
            going = true;
            target.connections.remove(this);
            if (told) {
                return;
            }
            if (!up) {
                target.dialFromUs = clock.nowMicros() + DIAL_PAUSE_US;
            }
            if (target.connections.isEmpty() && !up) {
                target.dialFromUs = 0;
                target.endWaiting(AttemptEnd.connectionLost(false));
            } else {
                target.feed();
            }
        }

        void open(GrpcAttempt attempt) {
            if (attempt.hasEnded()) {
                return;
            }
            if (target.state != UpstreamState.READY || attempt.tooLate(clock.nowMicros())) {
                // The list changed or time ran out while the connection came up: nothing may be sent any more.
                attempt.drop();
                return;
            }
            streams.add(attempt);
            usedUs = clock.nowMicros();
            new Http2StreamChannelBootstrap(channel)
                    .option(Http2StreamChannelOption.AUTO_STREAM_FLOW_CONTROL, false)
                    .handler(attempt.handler())
                    .open()
                    .addListener(f -> {
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
                                attempt.end(AttemptEnd.connectionLost(false));
                            }
                        }
                    });
        }

        private void done(GrpcAttempt attempt) {
            streams.remove(attempt);
            usedUs = clock.nowMicros();
            if (attempt.silentSince() > heardUs && !going) {
                // It has not said a word since: what it still holds may end, and nothing new is trusted to it.
                retire();
                ping(usedUs);
            }
            if (going && streams.isEmpty()) {
                channel.close();
            }
            target.feed();
        }

        /** No new streams; it closes with its last. */
        void retire() {
            going = true;
            target.connections.remove(this);
            if (streams.isEmpty()) {
                channel.close();
            } else {
                leaving.add(this);
                channel.closeFuture().addListener(f -> leaving.remove(this));
            }
        }

        private void ping(long now) {
            if (pingUs == 0) {
                pingUs = now;
                channel.writeAndFlush(new DefaultHttp2PingFrame(now));
            }
        }

        /** A connection that does not answer a ping is dead, whatever the kernel thinks. */
        void sweep(long now) {
            if (!up || !channel.isActive()) {
                return;
            }
            if (pingUs > 0 && heardUs < pingUs && now - pingUs > PING_TIMEOUT_US) {
                channel.close();
            } else if (streams.isEmpty() && !going && now - usedUs > idleUs) {
                retire();
            } else if (!streams.isEmpty() && now - Math.max(heardUs, pingUs) > options.upstreamPingMicros()) {
                pingUs = 0;
                ping(now);
            }
        }
    }

    /** Connections that take nothing new and still hold streams. */
    private final Set<Connection> leaving = new HashSet<>();

    /** Hears that something came, whatever it is. */
    private final class Ears extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        Ears(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            connection.heardUs = clock.nowMicros();
            ctx.fireChannelRead(bytes);
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
            try {
                if (frame instanceof Http2SettingsFrame settings) {
                    Long most = settings.settings().maxConcurrentStreams();
                    connection.settings(most == null ? -1 : most);
                } else if (frame instanceof Http2GoAwayFrame) {
                    connection.retire();
                    connection.target.feed();
                } else if (frame instanceof Http2PingFrame ping && ping.ack()) {
                    connection.pingUs = 0;
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    GrpcUpstreams(
            EventLoop loop, Clock clock, long connIdleUs, long dialTimeoutUs, GrpcOptions options, GrpcMemory memory) {
        this.loop = loop;
        this.clock = clock;
        this.memory = memory;
        this.options = options;
        this.dialTimeoutUs = dialTimeoutUs;
        idleUs = Math.max(connIdleUs / 2, connIdleUs - 2_000_000);
        bootstrap = Connector.tcpBootstrap(loop, (int) Math.max(1, dialTimeoutUs / 1000), channel -> channel.pipeline()
                .addLast(
                        ReceiveWindow.withoutConnectionWindow(Http2FrameCodecBuilder.forClient()
                                .initialSettings(new Http2Settings()
                                        .maxHeaderListSize(HEADER_LIST)
                                        .pushEnabled(false)
                                        .initialWindowSize(ReceiveWindow.INITIAL_BYTES))
                                .autoAckPingFrame(true)
                                .build()),
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
    void update(boolean whole, List<Endpoint> members) {
        Set<String> named = new HashSet<>();
        for (Endpoint m : members) {
            String id = m.upstream().id();
            named.add(id);
            Target t = targets.get(id);
            UpstreamState state =
                    m.grpcAddress() == null ? UpstreamState.GONE : m.upstream().state();
            if (state == UpstreamState.GONE) {
                forget(targets.remove(id));
                continue;
            }
            InetSocketAddress address = Addresses.parse(m.grpcAddress());
            if (t == null
                    || !t.address.equals(address)
                    || t.startedUs != m.upstream().startedMicros()) {
                forget(t);
                t = new Target(address, m.upstream().startedMicros());
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
        t.endWaiting(new AttemptEnd(Outcome.NOT_SENT, GrpcStatus.UNAVAILABLE, "the node leaves"));
        List<Connection> held = new ArrayList<>(t.connections);
        held.forEach(Connection::retire);
        leaving.stream().filter(c -> c.target == t && !held.contains(c)).forEach(held::add);
        for (Connection c : held) {
            loop.schedule(
                    () -> List.copyOf(c.streams).forEach(GrpcAttempt::cancel),
                    options.streamDrainMicros(),
                    TimeUnit.MICROSECONDS);
        }
    }

    /** A relay for the messages of a response that arrives on this stream. */
    StreamRelay relay(Channel stream) {
        return new StreamRelay(clock, memory, memory.responses(), new ReceiveWindow(stream), stream);
    }

    /** Whether more than the initial window of a response may be held until its status has come. */
    boolean mayHoldResponses() {
        return memory.responses().hasCapacity();
    }

    /** Whether calls wait at an upstream whose streams are all in use. */
    boolean hasCallsWaitingForStreams() {
        return targets.values().stream().anyMatch(target -> !target.waiting.isEmpty() && target.crowded());
    }

    int connections() {
        return leaving.size()
                + targets.values().stream().mapToInt(t -> t.connections.size()).sum();
    }

    int known() {
        return targets.size();
    }

    void start(GrpcAttempt attempt) {
        Target t = targets.get(attempt.upstream());
        if (t == null || t.state != UpstreamState.READY) {
            attempt.drop();
        } else {
            t.start(attempt);
        }
    }

    private void sweep() {
        long now = clock.nowMicros();
        for (Target t : targets.values()) {
            List.copyOf(t.connections).forEach(c -> c.sweep(now));
        }
        List.copyOf(leaving).forEach(c -> c.sweep(now));
    }
}
