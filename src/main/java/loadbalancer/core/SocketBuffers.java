package loadbalancer.core;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Sizes of the buffers between a socket and its handlers. They are small, because hundreds of connections share the
 * direct memory of a process, and each may hold a buffer that was read and some that are to be written.
 */
public final class SocketBuffers {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** Reads of one connection before others get their turn. */
    private static final int MAX_READS_AT_ONCE = 2;
    /** Unsent bytes at which a connection stops taking more, and those at which it takes more again. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private SocketBuffers() {}

    /** The sizes of read buffers, which adapt to what each connection receives. */
    public static RecvByteBufAllocator readBuffers() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_READS_AT_ONCE);
    }

    /** The bounds on bytes that wait to be written. */
    public static WriteBufferWaterMark writeWaterMark() {
        return WATER_MARK;
    }
}
