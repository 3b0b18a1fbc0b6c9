package loadbalancer.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.Collection;
import loadbalancer.core.Clock;

/** Connections to all upstreams: opens them up to a limit, keeps idle ones for reuse and closes expired ones. */
final class ConnectionPool {
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final long maxIdleMicros;
    private final int maxConnections;
    private final Collection<UpstreamTarget> targets;
    private int openConnections;

    /** {@code targets} is a live view of the upstreams whose idle connections the pool manages. */
    ConnectionPool(
            Clock clock,
            Bootstrap bootstrap,
            long maxIdleMicros,
            int maxConnections,
            Collection<UpstreamTarget> targets) {
        this.clock = clock;
        this.bootstrap = bootstrap;
        this.maxIdleMicros = maxIdleMicros;
        this.maxConnections = maxConnections;
        this.targets = targets;
    }

    /** Number of connections that are open or being opened. */
    int openConnections() {
        return openConnections;
    }

    /** Removes and returns a usable idle connection; null if there is none. */
    Channel takeIdle(UpstreamTarget target, long nowMicros) {
        for (Channel channel; (channel = target.idleChannels().pollFirst()) != null; ) {
            if (isUsable(channel, nowMicros)) {
                return channel;
            }
            channel.close();
        }
        return null;
    }

    /** Returns whether another connection may be opened. At the limit, closes the longest idle one to make room. */
    boolean makeCapacity() {
        return openConnections < maxConnections || closeLongestIdle();
    }

    /** Opens a connection. Requires {@link #makeCapacity}. */
    ChannelFuture open(UpstreamTarget target) {
        openConnections++;
        ChannelFuture connecting = bootstrap.connect(target.address());
        Channel channel = connecting.channel();
        connecting.addListener(f -> {
            // Without free file descriptors the channel is never opened and never closes, but must not count for ever.
            if (f.isSuccess()) {
                channel.closeFuture().addListener(closed -> openConnections--);
            } else {
                openConnections--;
            }
        });
        return connecting;
    }

    /** Keeps a connection for reuse if it is reusable and its upstream still accepts requests; closes it otherwise. */
    void release(UpstreamTarget target, Channel channel, boolean reusable) {
        if (target.isReady() && reusable) {
            UpstreamConnection.of(channel).idleSince(clock.nowMicros());
            target.idleChannels().addFirst(channel);
        } else {
            channel.close();
        }
    }

    /** Closes idle connections that are no longer usable. */
    void closeExpired() {
        long nowMicros = clock.nowMicros();
        for (UpstreamTarget target : targets) {
            target.idleChannels().removeIf(channel -> {
                boolean expired = !isUsable(channel, nowMicros);
                if (expired) {
                    channel.close();
                }
                return expired;
            });
        }
    }

    private boolean isUsable(Channel channel, long nowMicros) {
        return channel.isActive()
                && UpstreamConnection.of(channel).isClean()
                && nowMicros - idleSinceMicros(channel) < maxIdleMicros;
    }

    private boolean closeLongestIdle() {
        UpstreamTarget longest = null;
        for (UpstreamTarget target : targets) {
            if (!target.idleChannels().isEmpty()
                    && (longest == null
                            || idleSinceMicros(target.idleChannels().peekLast())
                                    < idleSinceMicros(longest.idleChannels().peekLast()))) {
                longest = target;
            }
        }
        if (longest != null) {
            longest.idleChannels().pollLast().close();
        }
        return longest != null;
    }

    private static long idleSinceMicros(Channel channel) {
        return UpstreamConnection.of(channel).idleSinceMicros();
    }
}
