package loadbalancer.http1;

import io.netty.channel.ChannelHandler;

/** Creates the decoders of client and upstream connections, for fuzzing. */
public final class StrictDecoders {
    private StrictDecoders() {}

    /** The request decoder of client connections. */
    public static ChannelHandler requestDecoder() {
        return new RequestDecoder();
    }

    /** The response decoder of upstream connections. */
    public static ChannelHandler responseDecoder() {
        return new ResponseDecoder();
    }
}
