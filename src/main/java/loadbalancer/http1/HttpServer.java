package loadbalancer.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.core.Clock;
import loadbalancer.core.DrainingListener;
import loadbalancer.core.EndReasons;
import loadbalancer.core.GracefulStop;
import loadbalancer.core.ListenSocket;
import loadbalancer.core.RequestClasses;
import loadbalancer.core.Requests;

/**
 * Accepts the application's HTTP/1.1 connections, limits their number, and shuts down gracefully, without losing
 * requests that clients have sent.
 */
public final class HttpServer {
    private static final long SWEEP_MILLIS = 100;
    private static final int BACKLOG = 256;
    /**
     * Smoothing factor of {@link #reuseFraction}, which averages over about 50 requests: enough to show how an
     * application uses its connections.
     */
    private static final double REUSE_GAIN = 0.02;
    /** Lower bound of the idle limit, because the next request may be in transit. */
    private static final long MIN_IDLE_MICROS = 250_000;
    /** Idle time before a connection may be closed to make room, because its first request may be in transit. */
    private static final long MIN_EVICTION_IDLE_MICROS = 50_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Requests requests;
    private final RequestClasses classes;
    private final BooleanSupplier canServe;
    private final int maxConnections;
    private final RequestAdmission admission;
    /** Incomplete and held bodies of requests, and pipelined requests. */
    private final BufferBudget budget;
    /** Bodies of responses that are received from upstreams or wait to be written. */
    private final BufferBudget responseBudget;

    private final Set<ClientConnection> connections = new HashSet<>();
    private final GracefulStop gracefulStop;
    /** Null until {@link #listen}, which the new process of an upgrade calls only after its warm-up. */
    private DrainingListener listener;
    /** Null except during the warm-up. */
    private Runnable earlyRequestHook;

    /** Time at which the server was taken out of service; 0 while it is in service. */
    private long outOfServiceSinceMicros;
    /** Moving average of the fraction of requests that were not the first on their connection. */
    private double reuseFraction = 1;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param canServe       whether requests can be forwarded, or rejected because discovery lists no upstream
     * @param maxConnections limit on open connections; further clients wait in the kernel's backlog
     */
    public HttpServer(
            EventLoop loop,
            Clock clock,
            Requests requests,
            Upstreams upstreams,
            RequestClasses classes,
            BooleanSupplier canServe,
            int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        this.requests = requests;
        budget = new BufferBudget(() -> endReasons().record(EndReasons.Subject.MEMORY_EXCEEDED, "requests"));
        responseBudget = upstreams.responseBudget();
        this.classes = classes;
        this.canServe = canServe;
        this.maxConnections = maxConnections;
        gracefulStop = new GracefulStop(loop, clock, new ClientConnections());
        admission = new RequestAdmission(clock, requests, upstreams, classes, gracefulStop.deadline());
    }

    /**
     * Starts listening and returns the bound address. Blocks until the socket is bound.
     *
     * @param shared whether another process of this sidecar may listen on the address too
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared) throws InterruptedException {
        listener = (DrainingListener)
                ListenSocket.bindTcp(loop, DrainingListener::new, BACKLOG, shared, address, this::onAccept);
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        gracefulStop.listenerOpened(listener);
        return listener.localAddress();
    }

    /** Reports not ready from now on; {@code onEarlyRequest} runs for each request that is admitted nevertheless. */
    public void startWarmUp(Runnable onEarlyRequest) {
        earlyRequestHook = onEarlyRequest;
    }

    /** Ends the warm-up. */
    public void endWarmUp() {
        earlyRequestHook = null;
    }

    /** Whether the server is ready for the application's requests. */
    public boolean isReady() {
        return !isStopping() && outOfServiceSinceMicros == 0 && earlyRequestHook == null && canServe.getAsBoolean();
    }

    /** Whether {@link #stop} or {@link #handOver} was called. */
    public boolean isStopping() {
        return gracefulStop.isStarted();
    }

    /**
     * Takes the server out of service, or back. Out of service it answers requests in flight, closes idle connections,
     * and closes each new connection after its first response. It keeps listening so that readiness checks get a
     * response.
     */
    public void setOutOfService(boolean outOfService) {
        if (!outOfService) {
            outOfServiceSinceMicros = 0;
        } else if (outOfServiceSinceMicros == 0) {
            outOfServiceSinceMicros = clock.nowMicros();
        }
    }

    /**
     * Keeps serving while the application may still open connections, answers requests in flight and closes all
     * connections, then runs {@code onStopped}.
     */
    public void stop(Runnable onStopped) {
        gracefulStop.start(classes.assuredDeadlineMicros(clock.nowMicros()), onStopped);
    }

    /**
     * As {@link #stop}, but accepts no new connections from now on, since another process does. Connections in use are
     * closed after a response; others only after a quiet period, because a request may be in transit during a close.
     */
    public void handOver(Runnable onStopped) {
        if (listener != null) {
            listener.drainAndClose();
        }
        stop(onStopped);
    }

    /** Why connections are closed, for the log. */
    EndReasons endReasons() {
        return requests.endReasons();
    }

    /** The memory budget for requests that all client connections share. */
    BufferBudget budget() {
        return budget;
    }

    /** The memory budget for responses that all connections share. */
    BufferBudget responseBudget() {
        return responseBudget;
    }

    /**
     * Scales an idle limit down with the number of open connections and with the fraction of requests that don't reuse
     * a connection. An application that leaves connections unused has its own limit on them and stalls when it reaches
     * that.
     */
    long idleLimitMicros(long limitMicros) {
        int freeConnections = maxConnections - connections.size();
        return Math.max(MIN_IDLE_MICROS, (long) (limitMicros * reuseFraction * freeConnections / maxConnections));
    }

    /** Records a request; {@code reused} is whether it is not the first on its connection. */
    void requestArrived(boolean reused) {
        reuseFraction += REUSE_GAIN * ((reused ? 1 : 0) - reuseFraction);
    }

    /** Records that a request is being admitted, which ends a warm-up. */
    void requestAdmitted() {
        if (earlyRequestHook != null) {
            earlyRequestHook.run();
        }
    }

    /** Whether requests that arrive now are rejected, since a stop leaves no time to serve them. */
    boolean isTooLateToServe() {
        return gracefulStop.deadline().isTooLateToServe(clock.nowMicros());
    }

    /** Whether connections are closed after their next response. */
    boolean isClosingConnections() {
        return isStopping() || outOfServiceSinceMicros > 0;
    }

    private void onAccept(Channel channel) {
        // The first clients may connect before listen() has set the listener field, so it can't be used here.
        ChannelConfig accepting = channel.parent().config();
        gracefulStop.connectionAccepted();
        ClientConnection connection = new ClientConnection(channel, clock, requests, admission, this);
        connections.add(connection);
        if (connections.size() >= maxConnections) {
            closeLongestIdle(clock.nowMicros());
        }
        // Further clients wait in the backlog, as connections to upstreams need file descriptors too.
        accepting.setAutoRead(connections.size() < maxConnections);
        channel.closeFuture().addListener(f -> {
            connections.remove(connection);
            accepting.setAutoRead(connections.size() < maxConnections);
        });
        channel.pipeline()
                .addLast(
                        connection.input().disconnectCheck(),
                        connection.input().byteHandler(),
                        new RequestDecoder(),
                        new HttpResponseEncoder(),
                        connection);
    }

    /** Closes one idle connection, if there is one: first those that never carried a request, then the longest idle. */
    private void closeLongestIdle(long nowMicros) {
        Optional<ClientConnection> idle = connections.stream()
                .filter(connection -> connection.timeouts().idleMicros(nowMicros) > MIN_EVICTION_IDLE_MICROS)
                .min(Comparator.comparing(ClientConnection::hasRequests)
                        .thenComparing(connection -> connection.timeouts().lastActiveMicros()));
        idle.ifPresent(connection -> connection.timeouts().closeIfStillIdle("room for another"));
    }

    /** Closes connections that exceed their timeouts, as each holds a file descriptor that others need. */
    private void sweep() {
        long nowMicros = clock.nowMicros();
        List.copyOf(connections).forEach(connection -> connection.timeouts().check(nowMicros));
        if (connections.size() >= maxConnections) {
            closeLongestIdle(nowMicros);
        }
        if (outOfServiceSinceMicros > 0 && nowMicros - outOfServiceSinceMicros >= GracefulStop.GRACE_MICROS) {
            closeIdleConnections(nowMicros);
        }
    }

    private void closeIdleConnections(long nowMicros) {
        for (ClientConnection connection : List.copyOf(connections)) {
            connection
                    .timeouts()
                    .closeIfIdle(
                            nowMicros - GracefulStop.QUIET_PERIOD_MICROS,
                            nowMicros - classes.longestDeadlineMicros(nowMicros));
        }
    }

    /** The connections that a graceful stop closes. */
    private final class ClientConnections implements GracefulStop.Connections {
        @Override
        public boolean isEmpty() {
            return connections.isEmpty();
        }

        @Override
        public void closeIdle(long nowMicros) {
            closeIdleConnections(nowMicros);
        }
    }
}
