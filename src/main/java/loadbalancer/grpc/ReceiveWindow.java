package loadbalancer.grpc;

import io.netty.channel.Channel;
import io.netty.handler.codec.http2.DefaultHttp2LocalFlowController;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2LocalFlowController;
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelOption;
import loadbalancer.core.MemoryBudget;

/**
 * The flow-control window of one HTTP/2 stream (RFC 9113, section 5.2), in which its peer may send. It bounds what has
 * to be held for the stream. It begins small, as there may be thousands, and grows as far as a budget allows.
 *
 * <p>The window of a connection opens again at once, so that a stream whose receiver is slow does not stop the others.
 */
final class ReceiveWindow {
    /** Window of each new stream. */
    static final int INITIAL_BYTES = 4 * 1024;

    private final Http2StreamChannel channel;
    /** The codec's view of the stream; null before it was needed. */
    private Http2Stream stream;

    private Http2LocalFlowController controller;
    /** What {@link #grow} has reserved, and the budget that it belongs to; null before that. */
    private MemoryBudget reservedFrom;

    private int reservedBytes;

    /** The window of a stream, whose channel was configured by {@link #configure}. */
    ReceiveWindow(Channel stream) {
        channel = (Http2StreamChannel) stream;
    }

    /** Makes a new connection's own window open again at once; only windows of streams limit its peer. */
    static Http2FrameCodec withoutConnectionWindow(Http2FrameCodec codec) {
        Http2Connection connection = codec.connection();
        DefaultHttp2LocalFlowController controller = new DefaultHttp2LocalFlowController(
                connection, DefaultHttp2LocalFlowController.DEFAULT_WINDOW_UPDATE_RATIO, true);
        connection.local().flowController(controller.frameWriter(codec.encoder().frameWriter()));
        return codec;
    }

    /** Leaves the window of a new stream to a {@link ReceiveWindow}. */
    static void configure(Channel stream) {
        stream.config().setOption(Http2StreamChannelOption.AUTO_STREAM_FLOW_CONTROL, false);
    }

    /** Lets the peer send as much again, since so many received bytes have gone on, or count in another budget. */
    void consume(int bytes) {
        if (bytes == 0 || !findStream()) {
            return;
        }
        try {
            if (controller.consumeBytes(stream, bytes)) {
                channel.parent().flush();
            }
        } catch (Http2Exception exception) {
            channel.close();
        }
    }

    /** Bytes that a peer which knows the window has in transit at the most. */
    int sizeBytes() {
        return INITIAL_BYTES + reservedBytes;
    }

    /** Lets the peer send so much more, for the rest of the stream, if the budget allows it. At most once a stream. */
    void grow(int bytes, MemoryBudget budget) {
        if (reservedFrom == null && budget.tryReserve(bytes)) {
            reservedFrom = budget;
            reservedBytes = bytes;
            grow(bytes);
        }
    }

    /** Lets the peer send so much more, for the rest of the stream. */
    void grow(int bytes) {
        if (!findStream()) {
            return;
        }
        try {
            controller.incrementWindowSize(stream, bytes);
            channel.parent().flush();
        } catch (Http2Exception exception) {
            channel.close();
        }
    }

    /** Gives back what {@link #grow} has reserved; the peer sends no more, or what it sends is dropped. */
    void release() {
        if (reservedFrom != null) {
            reservedFrom.add(-reservedBytes);
            reservedBytes = 0;
        }
    }

    /** Returns whether the codec still has the stream, or had it at an earlier call. */
    private boolean findStream() {
        if (stream == null) {
            Http2FrameCodec codec = channel.parent().pipeline().get(Http2FrameCodec.class);
            if (codec != null) {
                controller = codec.connection().local().flowController();
                stream = codec.connection().stream(channel.stream().id());
            }
        }
        return stream != null;
    }
}
