package loadbalancer.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Watches whether the peer of a socket's channel takes what is written to it. A channel by itself waits for the
 * selector, which reports a socket as writable only when a third of its send buffer is free. A slow peer may need long
 * for that, and meanwhile the kernel would take more. {@link #isStalled} is to be called again and again, on the event
 * loop only.
 */
public final class WriteProgress {
    private static final long CHECK_INTERVAL_MICROS = 500_000;
    /** Time without progress after which the kernel is asked to take more, instead of waiting for the selector. */
    private static final long MAX_QUIET_MICROS = 2_000_000;

    private final Channel channel;
    private final WriteStall stall;
    private long checkedMicros;

    /** {@code graceMicros}: time for which a peer may take nothing, whatever its receive buffer holds. */
    public WriteProgress(Channel channel, long graceMicros, long nowMicros) {
        this.channel = channel;
        stall = new WriteStall(graceMicros, nowMicros);
    }

    /** Records bytes that are written to the channel. */
    public void add(long bytes) {
        stall.add(bytes);
    }

    /** Whether bytes wait to be sent of which the peer has taken none for longer than any sound peer needs. */
    public boolean isStalled(long nowMicros) {
        if (nowMicros - checkedMicros >= CHECK_INTERVAL_MICROS) {
            checkedMicros = nowMicros;
            stall.observe(nowMicros, unsentBytes());
            if (stall.quietMicros(nowMicros) >= MAX_QUIET_MICROS) {
                outbound().forceFlush();
                stall.observe(nowMicros, unsentBytes());
            }
        }
        return stall.isStalled(nowMicros);
    }

    private long unsentBytes() {
        ChannelOutboundBuffer buffer = outbound().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private AbstractNioChannel.NioUnsafe outbound() {
        return (AbstractNioChannel.NioUnsafe) channel.unsafe();
    }
}
