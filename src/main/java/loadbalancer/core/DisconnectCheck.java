package loadbalancer.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/**
 * First handler in the pipeline of a client connection. It delays {@code channelReadComplete} until the socket is
 * empty, because a reset or the end of the connection may follow the data that was read. So a request that a front end
 * handles at the end of a read is from a client that is still connected, unless the client sends faster than it is
 * read. Must be used on the event loop only.
 */
public final class DisconnectCheck extends ChannelInboundHandlerAdapter {
    /** Time after which a connection is not read further, so that others get their turn. */
    private static final long MAX_READ_NANOS = 5_000_000;
    /** Reads that are made however long they take. */
    private static final int MIN_READS = 2;
    /** Time after a check that did not reach the end of the input, in which another one is not tried. */
    private static final long RECHECK_MICROS = 50_000;

    private final Clock clock;
    /** Whether anything will be handled at the end of this read; if not, the socket is not read until empty. */
    private final BooleanSupplier hasPendingWork;

    private ChannelHandlerContext handlerContext;
    private boolean receiving;
    private boolean readingAhead;
    private boolean reachedEnd;
    /** Time at which the socket was last seen empty and open. */
    private long seenMicros;
    /** Time of the last check that did not reach the end of the input; 0 if the last one did. */
    private long unfinishedCheckMicros;

    /** {@code hasPendingWork}: whether something that was read will be handled at the end of the read. */
    public DisconnectCheck(Clock clock, BooleanSupplier hasPendingWork) {
        this.clock = clock;
        this.hasPendingWork = hasPendingWork;
        seenMicros = clock.nowMicros();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        handlerContext = context;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        receiving = true;
        handlerContext.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!readingAhead) {
            if (hasPendingWork.getAsBoolean()) {
                readUntilEmpty();
            }
            receiving = false;
            handlerContext.fireChannelReadComplete();
        }
    }

    /** Whether a read is in progress, before its {@code channelReadComplete}. */
    public boolean isReading() {
        return receiving || readingAhead;
    }

    /** Whether the last read that looked for the end of the input found the socket empty. */
    public boolean hasReachedEnd() {
        return reachedEnd;
    }

    /** Time at which the client was last known to be connected. */
    public long seenMicros() {
        return seenMicros;
    }

    /** Whether the client is still connected. Reads the socket until it is empty, unless a read is in progress. */
    public ClientPresence check() {
        Channel channel = handlerContext.channel();
        boolean isDue = unfinishedCheckMicros == 0 || clock.nowMicros() - unfinishedCheckMicros >= RECHECK_MICROS;
        if (channel.isActive() && !isReading()) {
            if (!isDue) {
                return ClientPresence.UNKNOWN;
            }
            boolean isEmpty = readUntilEmpty();
            unfinishedCheckMicros = isEmpty ? 0 : clock.nowMicros();
            handlerContext.fireChannelReadComplete();
            if (!isEmpty && channel.isActive()) {
                return ClientPresence.UNKNOWN;
            }
        }
        return channel.isActive() ? ClientPresence.CONNECTED : ClientPresence.GONE;
    }

    /** Reads until the socket is empty, automatic reading is off, or time is up. Returns whether it is empty. */
    private boolean readUntilEmpty() {
        Channel channel = handlerContext.channel();
        long startNanos = System.nanoTime();
        readingAhead = true;
        reachedEnd = false;
        try {
            for (int i = 0; i < MIN_READS || System.nanoTime() - startNanos < MAX_READ_NANOS; i++) {
                if (!channel.isActive() || !channel.config().isAutoRead()) {
                    return false;
                }
                receiving = false;
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
                if (!receiving && channel.isActive()) {
                    seenMicros = clock.nowMicros();
                    reachedEnd = true;
                    return true;
                }
            }
            return false;
        } finally {
            readingAhead = false;
            receiving = false;
        }
    }
}
