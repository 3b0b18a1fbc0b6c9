package loadbalancer.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Addresses;
import loadbalancer.core.Attempt;
import loadbalancer.core.Clock;
import loadbalancer.core.EndReasons;
import loadbalancer.membership.Endpoint;

/** The HTTP upstreams of the endpoint list; makes attempts and health checks on their pooled connections. */
public final class Upstreams {
    /** Margin by which idle connections are closed before the upstream does, so that no request crosses its close. */
    private static final long IDLE_MARGIN_MICROS = 2_000_000;

    private static final long SWEEP_MILLIS = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, UpstreamTarget> targets = new HashMap<>();
    private final ConnectionPool pool;
    private final EndReasons endReasons = new EndReasons();
    private final BufferBudget responseBudget =
            new BufferBudget(() -> endReasons.record(EndReasons.Subject.MEMORY_EXCEEDED, "responses"));

    /**
     * Creates an instance without upstreams.
     *
     * @param connectionIdleMicros time after which upstreams close an idle connection
     * @param connectTimeoutMicros time within which a connection must open
     * @param stallMicros          time without progress after which a partly received head of a response is malformed
     * @param maxConnections       limit on the connections to all upstreams together
     */
    public Upstreams(
            EventLoop loop,
            Clock clock,
            long connectionIdleMicros,
            long connectTimeoutMicros,
            long stallMicros,
            int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        long maxIdleMicros = Math.max(connectionIdleMicros / 2, connectionIdleMicros - IDLE_MARGIN_MICROS);
        Bootstrap bootstrap = Connector.tcpBootstrap(
                loop,
                (int) Math.max(1, connectTimeoutMicros / 1000),
                channel -> UpstreamConnection.install(channel, stallMicros, endReasons, responseBudget));
        pool = new ConnectionPool(clock, bootstrap, maxIdleMicros, maxConnections, targets.values());
        loop.scheduleWithFixedDelay(pool::closeExpired, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Applies endpoints. Idle connections to upstreams that drain, are gone or were restarted are closed.
     *
     * @param complete whether upstreams that are not among the endpoints are removed
     */
    public void update(boolean complete, List<Endpoint> endpoints) {
        Set<String> named = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            named.add(endpoint.upstream().id());
            update(endpoint);
        }
        if (complete) {
            targets.entrySet().removeIf(entry -> {
                if (named.contains(entry.getKey())) {
                    return false;
                }
                entry.getValue().remove();
                return true;
            });
        }
    }

    private void update(Endpoint endpoint) {
        String id = endpoint.upstream().id();
        UpstreamState state = endpoint.upstream().state();
        if (state == UpstreamState.GONE) {
            // Replacements get new ids, so the map would grow without bound if gone upstreams stayed in it.
            remove(id);
            return;
        }
        InetSocketAddress address = Addresses.parse(endpoint.address());
        long startedMicros = endpoint.upstream().startedMicros();
        UpstreamTarget target = targets.get(id);
        if (target == null || !target.isSameProcess(address, startedMicros)) {
            if (target != null) {
                target.remove();
            }
            target = new UpstreamTarget(address, startedMicros);
            targets.put(id, target);
        }
        target.setState(state);
        if (state != UpstreamState.READY) {
            target.closeIdle();
        }
    }

    private void remove(String id) {
        UpstreamTarget target = targets.remove(id);
        if (target != null) {
            target.remove();
        }
    }

    /**
     * Creates an attempt at a request.
     *
     * @param messageFactory creates the message when it is written, given the time until the deadline in microseconds
     */
    public UpstreamCall newCall(
            String upstream,
            long deadlineMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Attempt.Listener listener) {
        return newCall(upstream, deadlineMicros, messageFactory, listener, null, null);
    }

    /**
     * Creates an attempt at a request.
     *
     * @param bodySink  receives a large response; if null, a large response is malformed
     * @param largeBody the large body, which is not in the message; null if there is none
     */
    UpstreamCall newCall(
            String upstream,
            long deadlineMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Attempt.Listener listener,
            ResponseBodySink bodySink,
            RequestBodyForwarder largeBody) {
        return UpstreamCall.attempt(this, upstream, deadlineMicros, messageFactory, listener, bodySink, largeBody);
    }

    /** Creates a health check, whose response is the upstream's load report. */
    public UpstreamCall newHealthCheck(String upstream, long deadlineMicros, Attempt.Listener listener) {
        return UpstreamCall.healthCheck(
                this,
                upstream,
                deadlineMicros,
                remainingMicros ->
                        HttpMessages.request(HttpMethod.GET, HealthCheck.LOAD_REPORT_PATH, Unpooled.EMPTY_BUFFER),
                listener);
    }

    /** Closes the idle connections to an upstream. */
    public void closeIdleConnections(String upstream) {
        UpstreamTarget target = targets.get(upstream);
        if (target != null) {
            target.closeIdle();
        }
    }

    /** Number of upstreams. */
    public int upstreamCount() {
        return targets.size();
    }

    /** Number of connections that are open or being opened. */
    public int openConnectionCount() {
        return pool.openConnections();
    }

    /** Whether any upstream accepts requests. */
    public boolean anyReady() {
        return targets.values().stream().anyMatch(UpstreamTarget::isReady);
    }

    /** Why connections to upstreams were closed, for the log. */
    public EndReasons endReasons() {
        return endReasons;
    }

    /** The memory budget for responses that all connections share. */
    BufferBudget responseBudget() {
        return responseBudget;
    }

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }

    ConnectionPool pool() {
        return pool;
    }

    /** The upstream as the endpoint list has it now; null if it is not listed. */
    UpstreamTarget target(String upstream) {
        return targets.get(upstream);
    }
}
