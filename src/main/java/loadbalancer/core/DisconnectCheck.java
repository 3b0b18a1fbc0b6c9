package loadbalancer.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/**
 * First handler in the pipeline of a client connection. It delays {@code channelReadComplete} until the socket is
 * empty, because a reset or the end of the connection may follow the data that was read. So a request that a front end
 * handles at the end of a read is from a client that is still connected. Must be used on the event loop only.
 */
public final class DisconnectCheck extends ChannelInboundHandlerAdapter {
    /** Limit on consecutive reads, each of which fills up to 16 buffers. */
    private static final int MAX_READS = 16;

    /** Whether anything will be handled at the end of this read; if not, the socket is not read until empty. */
    private final BooleanSupplier hasPendingWork;

    private ChannelHandlerContext handlerContext;
    private boolean receiving;
    private boolean readingAhead;

    /** {@code hasPendingWork}: whether something that was read will be handled at the end of the read. */
    public DisconnectCheck(BooleanSupplier hasPendingWork) {
        this.hasPendingWork = hasPendingWork;
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

    /** Whether the client has disconnected. Reads the socket once more, unless a read is in progress. */
    public boolean isClientGone() {
        if (!isReading() && handlerContext.channel().isActive() && readUntilEmpty()) {
            handlerContext.fireChannelReadComplete();
        }
        return !handlerContext.channel().isActive();
    }

    /** Reads until the socket is empty or automatic reading is off. Returns whether anything was read. */
    private boolean readUntilEmpty() {
        Channel channel = handlerContext.channel();
        boolean receivedAny = false;
        readingAhead = true;
        try {
            for (int i = 0;
                    i < MAX_READS && channel.isActive() && channel.config().isAutoRead();
                    i++) {
                receiving = false;
                ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
                if (!receiving) {
                    break;
                }
                receivedAny = true;
            }
        } finally {
            readingAhead = false;
            receiving = false;
        }
        return receivedAny;
    }
}
