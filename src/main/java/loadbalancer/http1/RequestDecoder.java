package loadbalancer.http1;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Decodes requests with strict framing, so that no part of a body can be read as a request. */
final class RequestDecoder extends HttpRequestDecoder {
    RequestDecoder() {
        super(new HttpDecoderConfig().setStrictLineParsing(true));
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
