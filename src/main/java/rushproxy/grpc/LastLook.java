package rushproxy.grpc;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Stands before the codec of a client's connection and ends a reading only once nothing more is there: what lay in the kernel for a while may
 * have a reset, or the end of the connection, behind it, and calls are taken at the end of a reading. All on the event loop.
 */
final class LastLook extends ChannelInboundHandlerAdapter {
    /** Reads in a row; each is of up to sixteen buffers. */
    private static final int MOST = 16;

    private boolean reading;
    private boolean looking;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        reading = true;
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!looking) {
            look(ctx);
            ctx.fireChannelReadComplete();
        }
    }

    private void look(ChannelHandlerContext ctx) {
        looking = true;
        try {
            for (int i = 0; i < MOST && ctx.channel().isActive() && ctx.channel().config().isAutoRead(); i++) {
                reading = false;
                ((AbstractNioChannel.NioUnsafe) ctx.channel().unsafe()).read();
                if (!reading) {
                    return;
                }
            }
        } finally {
            looking = false;
            reading = false;
        }
    }

    /** Whether its client has left, be it unseen so far. While something is read it is not looked for: it is at the end of that. */
    boolean gone(ChannelHandlerContext ctx) {
        if (!looking && !reading && ctx.channel().isActive()) {
            ((AbstractNioChannel.NioUnsafe) ctx.channel().unsafe()).read();
        }
        return !ctx.channel().isActive();
    }
}
