package loadbalancer.grpc;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.core.Clock;
import loadbalancer.core.DrainingListener;
import loadbalancer.core.EventLoops;
import loadbalancer.core.GracefulStop;
import loadbalancer.core.ListenSocket;
import loadbalancer.core.RequestClasses;
import loadbalancer.core.Requests;
import loadbalancer.core.ShutdownDeadline;
import loadbalancer.grpc.mapping.Route;
import loadbalancer.membership.Endpoint;
import loadbalancer.operator.OperatorConfiguration.GrpcOptions;

/**
 * The gRPC front: a listener for HTTP/2 with prior knowledge, whose calls go through the same requests, module and rules as
 * the other protocol's. All on the event loop.
 */
public final class GrpcServer {
    /** The most that a unary call's message may hold, and what is kept of a stream for another attempt. */
    static final int MAX_REQUEST = 64 * 1024;

    private static final int HEADER_LIST = 8 * 1024;
    /** Streams that a client may reset in so many seconds, and control frames that may wait for it to read them. */
    private static final int RESETS = 200, RESETS_S = 30, CONTROL_FRAMES = 1_000;

    private static final long STALL_CHECK_MILLIS = 500;
    /** Kept, or the level is forgotten with it. What a client does to a connection is no line of the log, however often. */
    private static final Logger CODEC = Logger.getLogger("io.netty.handler.codec.http2");

    private final EventLoop loop;
    private final Clock clock;
    private final Requests requests;
    private final GrpcMemory memory;
    private final UploadQueue uploads;
    private final GrpcUpstreams upstreams;
    private final GrpcOptions options;
    private final RequestClasses classes;
    private final Set<GrpcClientConnection> connections = new HashSet<>();
    private final GracefulStop gracefulStop;
    private long numbers;
    private final String name;
    private long stopAtUs;

    /** {@code name} is this sidecar's: the ids that calls without one get begin with it. */
    public GrpcServer(
            EventLoop loop,
            Clock clock,
            Requests requests,
            RequestClasses classes,
            GrpcOptions options,
            long connIdleUs,
            long dialTimeoutUs,
            String name) {
        CODEC.setLevel(Level.WARNING);
        this.loop = loop;
        this.clock = clock;
        this.requests = requests;
        this.options = options;
        this.classes = classes;
        this.name = name;
        gracefulStop = new GracefulStop(loop, clock, new ClientConnections());
        memory = new GrpcMemory(requests.endReasons());
        uploads = new UploadQueue(memory.uploads());
        upstreams = new GrpcUpstreams(loop, clock, connIdleUs, dialTimeoutUs, options, memory);
        loop.scheduleWithFixedDelay(
                this::endStalledCalls, STALL_CHECK_MILLIS, STALL_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        options.routes().forEach(route -> {
            if (classes.bindRoute(clock.nowMicros(), route.requestClass(), candidate -> true) == null) {
                throw new IllegalArgumentException(
                        "grpc: the platform's settings have no class '" + route.requestClass() + "'");
            }
        });
    }

    /** {@code shared}: another process of this sidecar may listen there too. */
    public InetSocketAddress listen(boolean shared) throws InterruptedException {
        DrainingListener listener = (DrainingListener)
                ListenSocket.bindTcp(loop, DrainingListener::new, 256, shared, options.listen(), this::accepted);
        gracefulStop.listenerOpened(listener);
        return listener.localAddress();
    }

    public void update(boolean whole, List<Endpoint> members) {
        upstreams.update(whole, members);
    }

    private void accepted(Channel channel) {
        ChannelConfig accepting = channel.parent().config();
        gracefulStop.connectionAccepted();
        GrpcClientConnection connection = new GrpcClientConnection(channel, clock, requests.endReasons());
        connections.add(connection);
        // Beyond the cap they wait in the backlog: descriptors are needed for upstreams too.
        accepting.setAutoRead(connections.size() < options.maxConnections());
        channel.closeFuture().addListener(f -> {
            connections.remove(connection);
            accepting.setAutoRead(connections.size() < options.maxConnections());
        });
        Http2Settings settings = new Http2Settings()
                .maxHeaderListSize(HEADER_LIST)
                .initialWindowSize(ReceiveWindow.INITIAL_BYTES)
                .maxConcurrentStreams(options.maxStreams());
        if (requests.latency() != null) {
            channel.pipeline().addLast(EventLoops.latencyHandler(requests.latency()));
        }
        channel.pipeline()
                .addLast(
                        connection.disconnectCheck(),
                        connection.byteHandler(),
                        ReceiveWindow.withoutConnectionWindow(Http2FrameCodecBuilder.forServer()
                                .initialSettings(settings)
                                .decoderEnforceMaxRstFramesPerWindow(RESETS, RESETS_S)
                                .decoderEnforceMaxConsecutiveEmptyDataFrames(2)
                                .encoderEnforceMaxQueuedControlFrames(CONTROL_FRAMES)
                                .autoAckPingFrame(true)
                                .build()),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                ReceiveWindow.configure(stream);
                                stream.pipeline().addLast(new GrpcStream(GrpcServer.this, connection, stream));
                            }
                        }),
                        connection);
    }

    Clock clock() {
        return clock;
    }

    Requests requests() {
        return requests;
    }

    GrpcMemory memory() {
        return memory;
    }

    UploadQueue uploads() {
        return uploads;
    }

    GrpcUpstreams upstreams() {
        return upstreams;
    }

    GrpcOptions options() {
        return options;
    }

    /** The class of a call to a route; null if each valid version of the class asks for a key, and the call has none. */
    RequestClass requestClass(Route route, boolean hasKey) {
        return classes.bindRoute(
                clock.nowMicros(),
                route.requestClass(),
                candidate -> hasKey || candidate.idempotency() != Idempotency.WITH_KEY);
    }

    private void endStalledCalls() {
        long nowMicros = clock.nowMicros();
        boolean othersWait = upstreams.hasCallsWaitingForStreams();
        List.copyOf(connections).forEach(connection -> connection.endUnreadCalls(nowMicros, othersWait));
        uploads.rejectStalled(nowMicros);
    }

    /** The latest time for responses, unlimited unless the server stops. */
    ShutdownDeadline shutdownDeadline() {
        return gracefulStop.deadline();
    }

    String nextId() {
        return name + "-g" + ++numbers;
    }

    /** Runs it on the loop when a client's own time for a stream is over. */
    Future<?> at(long us, Runnable end) {
        return loop.schedule(end, us - clock.nowMicros(), TimeUnit.MICROSECONDS);
    }

    /** Connections to nodes that are open or coming up. */
    public int upstreamConnections() {
        return upstreams.connections();
    }

    /**
     * In two steps (RFC 9113, section 6.8): first a warning that names no stream, while calls on their way are still taken;
     * then the last word. What is held is answered; streams may go on for as long as a draining node's.
     */
    public void stop(Runnable stopped) {
        stopAtUs = clock.nowMicros();
        connections.forEach(GrpcClientConnection::announceStop);
        gracefulStop.start(classes.assuredDeadlineMicros(stopAtUs), stopped);
    }

    /** The connections that a graceful stop closes. */
    private final class ClientConnections implements GracefulStop.Connections {
        @Override
        public boolean isEmpty() {
            return connections.isEmpty();
        }

        @Override
        public void closeIdle(long nowMicros) {
            for (GrpcClientConnection connection : List.copyOf(connections)) {
                if (nowMicros - stopAtUs >= options.streamDrainMicros()
                        || shutdownDeadline().hasPassed(nowMicros)) {
                    connection.cutCallsShort();
                }
                connection.closeIfIdle(nowMicros);
            }
        }
    }
}
