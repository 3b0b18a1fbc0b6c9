package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;

/** Interprets responses of upstreams: framing, outcome and load report. */
final class UpstreamResponses {
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private UpstreamResponses() {}

    /** Whether a final response to the same request follows. After a protocol switch there is none. */
    static boolean isInterim(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL && !isProtocolSwitch(response);
    }

    static boolean isProtocolSwitch(HttpResponse response) {
        return response.status().code() == SWITCHING_PROTOCOLS;
    }

    static boolean isOk(HttpResponse response) {
        return response.status().code() == OK;
    }

    /** Whether the head determines the end of the body, by a content length or chunked encoding. */
    static boolean isFramed(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response)
                || response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() == 1;
    }

    /** Whether the end of the connection ends the body of a response that is not framed (RFC 9112, 6.3). */
    static boolean endsWithConnection(HttpResponse unframed) {
        return !HttpUtil.isKeepAlive(unframed) && !unframed.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /** Length of the body; -1 if unknown. */
    static long bodyLength(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response) ? -1 : HttpUtil.getContentLength(response, -1L);
    }

    /** The outcome of an attempt that got this response. */
    static Outcome outcome(HttpResponse response) {
        HttpHeaders headers = response.headers();
        int code = response.status().code();
        return switch (code) {
            case OK -> Outcome.OK;
            case SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT -> "1".equals(headers.get(HeaderNames.REJECTED))
                    ? Outcome.REJECTED
                    : Outcome.ERROR;
                // A client error is not the upstream's fault, and no other upstream would accept the request.
            default -> code >= 400 && code < 500 ? Outcome.INVALID : Outcome.ERROR;
        };
    }

    /** Ends the call with its complete response. The caller releases the body. */
    static void end(UpstreamCall call, HttpResponse response, ByteBuf body) {
        Outcome outcome = outcome(response);
        LoadReport report = LoadReportParser.parse(
                call.isHealthCheck()
                        ? body.toString(StandardCharsets.UTF_8)
                        : response.headers().get(HeaderNames.LOAD_REPORT));
        if (call.isHealthCheck() && outcome == Outcome.OK && report == null) {
            // A 200 without a report does not show the load, nor that the upstream has no load reports.
            outcome = Outcome.MALFORMED;
        }
        call.end(outcome, report, outcome == Outcome.OK ? body : null);
    }
}
