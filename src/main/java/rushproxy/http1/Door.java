package rushproxy.http1;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listener that can be closed without losing whom the kernel has already connected: closed with some in its queue it would reset
 * them, and what they have sent would be lost unheard.
 */
final class Door extends NioServerSocketChannel {
    /** Takes all that wait and closes, in one turn of the loop: only who connects in the microseconds between is lost. */
    void closeEmpty() {
        List<Object> waiting = new ArrayList<>();
        try {
            while (isActive() && doReadMessages(waiting) > 0) {
                // until nobody waits
            }
        } catch (Exception e) {
            pipeline().fireExceptionCaught(e);
        }
        close();
        waiting.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }
}
