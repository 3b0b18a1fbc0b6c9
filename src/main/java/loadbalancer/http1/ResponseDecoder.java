package loadbalancer.http1;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/** Decodes responses with strict framing. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final HttpHeadersFactory HEADERS =
            RetainedHeaders.factory(HeaderNames.REJECTED, HeaderNames.LOAD_REPORT);

    ResponseDecoder() {
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

    /** Whether there are bytes that are not decoded yet, of an incomplete response or after a response. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }
}
