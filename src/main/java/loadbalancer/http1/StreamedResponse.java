package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/** Streams a large response body to a client. The upstream is read no faster than the client reads. */
final class StreamedResponse implements ResponseBodySink {
    private final ClientConnection connection;
    private final Channel channel;
    private final boolean keepAlive;
    private final boolean clientSupportsChunked;

    StreamedResponse(ClientConnection connection, boolean keepAlive, boolean clientSupportsChunked) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.clientSupportsChunked = clientSupportsChunked;
        channel = connection.channel();
    }

    @Override
    public void begin(UpstreamConnection upstream, long lengthBytes) {
        connection.response().streamFrom(upstream);
        boolean keepsOpen =
                keepAlive && !connection.shouldCloseAfterResponse() && (lengthBytes >= 0 || clientSupportsChunked);
        if (!keepsOpen) {
            connection.closeAfterResponse();
        }
        channel.write(HttpMessages.streamHead(lengthBytes, clientSupportsChunked, keepsOpen));
    }

    @Override
    public void write(ByteBuf piece) {
        connection.timeouts().responseWritten(piece.readableBytes());
        channel.write(new DefaultHttpContent(piece));
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void complete() {
        connection.response().streamFrom(null);
        boolean keepsOpen = !connection.isClosingAfterResponse();
        connection.responseWritten(keepsOpen, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Resets the connection, so that the client notices the truncation even without a length or chunked encoding. */
    @Override
    public void abort() {
        connection.streamAborted();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
