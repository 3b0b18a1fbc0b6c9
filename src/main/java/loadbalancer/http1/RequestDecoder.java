package loadbalancer.http1;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Decodes requests with strict framing, so that no part of a body can be read as a request. */
final class RequestDecoder extends HttpRequestDecoder {
    private static final HttpHeadersFactory HEADERS = RetainedHeaders.factory(
            HttpHeaderNames.COOKIE,
            HttpHeaderNames.EXPECT,
            HeaderNames.REQUEST_ID,
            HeaderNames.REQUEST_CLASS,
            HeaderNames.TENANT,
            HeaderNames.REMAINING_MILLIS,
            HeaderNames.RETRIED,
            HeaderNames.COST_ESTIMATE,
            HeaderNames.IDEMPOTENCY_KEY,
            HeaderNames.TRACE_PARENT,
            HeaderNames.TRACE_STATE);

    RequestDecoder() {
        super(new HttpDecoderConfig()
                .setStrictLineParsing(true)
                .setHeadersFactory(HEADERS)
                .setTrailersFactory(RetainedHeaders.noTrailers()));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw Framing.ambiguousLength();
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        Framing.requireHeaderName(line, start, length);
        return super.splitHeaderName(line, start, length);
    }
}
