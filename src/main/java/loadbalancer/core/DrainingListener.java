package loadbalancer.core;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listen socket that can be closed without losing clients in the kernel's accept queue, which a plain close resets.
 *
 * <p>While a channel is registered with a selector, {@code close} leaves the descriptor open until the next selection,
 * and clients that connect meanwhile are lost. Therefore the channel is deregistered first, then the queue is accepted,
 * then the channel is closed.
 */
public final class DrainingListener extends NioServerSocketChannel {
    private static final long RECHECK_MILLIS = 1;

    private boolean draining;

    /** Accepts all queued connections and closes; loses only clients that connect in the microseconds in between. */
    public void drainAndClose() {
        if (!draining && isOpen()) {
            draining = true;
            deregister().addListener(f -> acceptQueuedAndClose());
        }
    }

    private void acceptQueuedAndClose() {
        if (javaChannel().isRegistered()) {
            eventLoop().schedule(this::acceptQueuedAndClose, RECHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                // until the queue is empty
            }
        } catch (Exception exception) {
            // doReadMessages() declares Exception; handled as in Netty's own accept loop.
            pipeline().fireExceptionCaught(exception);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }
}
