package rushproxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Puts requests together. It answers nothing by itself but an expected 100, and that only where no answer is owed on
 * the connection: its word would overtake that answer. What it can't take it throws to the connection.
 */
final class RequestBodies extends HttpObjectAggregator {
    private final BooleanSupplier nothingOwed;

    RequestBodies(BooleanSupplier nothingOwed) {
        super(Headers.MAX_BODY);
        this.nothingOwed = nothingOwed;
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        boolean may = nothingOwed.getAsBoolean() && !isContentLengthInvalid(start, maxContentLength);
        return may ? super.newContinueResponse(start, maxContentLength, pipeline) : null;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        List<String> encodings = start.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plain = encodings.isEmpty()
                || encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        if (!start.decoderResult().isSuccess() || !plain) {
            // Another encoding has an end that is not known here: what follows may be body or the next request.
            content.release();
            throw new CorruptedFrameException("no request whose end is known");
        }
        return super.beginAggregation(start, content);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        throw new TooLongFrameException("a body of more than " + Headers.MAX_BODY + " bytes");
    }
}
