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
import loadbalancer.membership.Endpoint;

/** The HTTP upstreams of the endpoint list, and the attempts and health checks on their pooled connections. */
public final class Upstreams {
    /** Idle connections are closed this much before the upstream may close them, so that no request crosses the close. */
    private static final long IDLE_MARGIN_MICROS = 2_000_000;

    private static final long SWEEP_MILLIS = 1_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, UpstreamTarget> targets = new HashMap<>();
    private final ConnectionPool pool;

    /**
     * No upstreams yet. Times are in microseconds.
     *
     * @param connectionIdleMicros time after which upstreams close an idle connection
     * @param connectTimeoutMicros time within which a connection must open
     * @param stallMicros          time after which a response that has begun and stands still is malformed
     * @param maxConnections       to all upstreams together
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
                channel -> UpstreamConnection.install(channel, stallMicros));
        pool = new ConnectionPool(clock, bootstrap, maxIdleMicros, maxConnections, targets.values());
        loop.scheduleWithFixedDelay(pool::closeExpired, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes endpoints over. Idle connections to upstreams that drain, are gone or are now another process are closed.
     *
     * @param complete whether upstreams that are not named are gone
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
        InetSocketAddress address = Addresses.parse(endpoint.address());
        long startedMicros = endpoint.upstream().startedMicros();
        UpstreamTarget target = targets.get(id);
        if (target == null || !target.isProcess(address, startedMicros)) {
            if (target != null) {
                target.remove();
            }
            target = new UpstreamTarget(address, startedMicros);
            targets.put(id, target);
        }
        UpstreamState state = endpoint.upstream().state();
        target.setState(state);
        if (state != UpstreamState.READY) {
            target.closeIdle();
        }
        if (state == UpstreamState.GONE) {
            // Successors come under new ids: kept, the map would grow with each of them.
            targets.remove(id);
        }
    }

    /**
     * An attempt at a request.
     *
     * @param messageFactory makes the message when it is written, given how long a response is waited for, microseconds
     */
    public UpstreamCall newCall(
            String upstream,
            long untilMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Attempt.Listener listener) {
        return newCall(upstream, untilMicros, messageFactory, listener, null, null);
    }

    /**
     * An attempt at a request.
     *
     * @param bodySink  where a large response is streamed to; null: a large response is malformed
     * @param largeBody a body that is not in the message; null for none
     */
    UpstreamCall newCall(
            String upstream,
            long untilMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Attempt.Listener listener,
            ResponseBodySink bodySink,
            RequestBodyForwarder largeBody) {
        return UpstreamCall.attempt(this, upstream, untilMicros, messageFactory, listener, bodySink, largeBody);
    }

    /** A health check, whose response is the upstream's load report. */
    public UpstreamCall newHealthCheck(String upstream, long untilMicros, Attempt.Listener listener) {
        return UpstreamCall.healthCheck(
                this,
                upstream,
                untilMicros,
                waitMicros -> HttpMessages.request(HttpMethod.GET, HealthCheck.LOAD_REPORT_PATH, Unpooled.EMPTY_BUFFER),
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

    EventLoop loop() {
        return loop;
    }

    Clock clock() {
        return clock;
    }

    ConnectionPool pool() {
        return pool;
    }

    /** The upstream as it is listed now; null where it is not. */
    UpstreamTarget target(String upstream) {
        return targets.get(upstream);
    }
}
