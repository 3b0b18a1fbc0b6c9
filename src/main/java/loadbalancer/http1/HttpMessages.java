package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;

/** Builds the HTTP messages that the sidecar sends. */
final class HttpMessages {
    /** Creates headers without validation, as each value was validated when received or is a number. */
    static final HttpHeadersFactory UNVALIDATED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private HttpMessages() {}

    /** A request without headers. Takes ownership of the body. */
    static FullHttpRequest request(HttpMethod method, String uri, ByteBuf body) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, body, UNVALIDATED, UNVALIDATED);
    }

    /** The interim response that asks a client to send the body. */
    static FullHttpResponse continueResponse() {
        return fullResponse(HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** A complete response. Takes ownership of the body; {@code retryAfterMicros} is 0 for no Retry-After. */
    static FullHttpResponse response(
            HttpResponseStatus status, ByteBuf body, long retryAfterMicros, boolean keepsOpen) {
        FullHttpResponse response = fullResponse(status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (!keepsOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (retryAfterMicros > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMicros / 1e6));
        }
        return response;
    }

    /** The head of a streamed response. With no length (-1) and no chunks, the end of the connection ends the body. */
    static HttpResponse streamHead(long lengthBytes, boolean chunked, boolean keepsOpen) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, UNVALIDATED);
        if (lengthBytes >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
        } else if (chunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (!keepsOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    private static FullHttpResponse fullResponse(HttpResponseStatus status, ByteBuf body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, UNVALIDATED, UNVALIDATED);
    }
}
