package rushproxy.sidecar;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/** Takes answers apart, none of them by guess, and knows whether bytes are left that belong to none. */
final class AnswerDecoder extends HttpResponseDecoder {
    AnswerDecoder() {
        super(new HttpDecoderConfig().setStrictLineParsing(true));
    }

    /** Netty would drop the length and go on: then sender and reader may disagree on where an answer ends. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a length beside a transfer encoding");
    }

    /** Netty would take a line without a colon for a header without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("a header line without a name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** True while bytes wait that no message has taken: half an answer, or what came behind one. */
    boolean leftOver() {
        return actualReadableBytes() > 0;
    }
}
