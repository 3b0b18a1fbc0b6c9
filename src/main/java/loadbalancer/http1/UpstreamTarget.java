package loadbalancer.http1;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import loadbalancer.balancing.Balancer.UpstreamState;

/** One process of an upstream, identified by address and start time, with its idle connections. */
final class UpstreamTarget {
    private final InetSocketAddress address;
    private final long startedMicros;
    /** Most recently used first, so that surplus connections stay idle and expire. */
    private final ArrayDeque<Channel> idleChannels = new ArrayDeque<>();

    private UpstreamState state;

    UpstreamTarget(InetSocketAddress address, long startedMicros) {
        this.address = address;
        this.startedMicros = startedMicros;
    }

    InetSocketAddress address() {
        return address;
    }

    ArrayDeque<Channel> idleChannels() {
        return idleChannels;
    }

    boolean isSameProcess(InetSocketAddress otherAddress, long otherStartedMicros) {
        return address.equals(otherAddress) && startedMicros == otherStartedMicros;
    }

    boolean isReady() {
        return state == UpstreamState.READY;
    }

    void setState(UpstreamState state) {
        this.state = state;
    }

    /** Stops use of this process, which was removed from the endpoint list or replaced by another one. */
    void remove() {
        state = UpstreamState.GONE;
        closeIdle();
    }

    void closeIdle() {
        for (Channel channel; (channel = idleChannels.poll()) != null; ) {
            channel.close();
        }
    }
}
