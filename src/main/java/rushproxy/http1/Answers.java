package rushproxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Puts answers together whose end their own head tells. One that ends with its connection can't be told from one cut
 * short, one of unheard-of length is none, and after a switch of protocols no answer follows: all are spoilt.
 */
final class Answers extends HttpObjectAggregator {
    private boolean open;

    Answers(int maxBody) {
        super(maxBody);
    }

    /** True from an answer's head to its end. */
    boolean open() {
        return open;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        int status = start instanceof HttpResponse r ? r.status().code() : 0;
        boolean interim = HttpStatusClass.INFORMATIONAL.contains(status) && status != 101;
        boolean framed = HttpUtil.isTransferEncodingChunked(start)
                || start.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() == 1;
        if (!start.decoderResult().isSuccess() || status == 101 || !framed && !interim) {
            content.release();
            throw new CorruptedFrameException("no answer whose end is known");
        }
        open = true;
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        open = false;
        super.finishAggregation(aggregated);
    }
}
