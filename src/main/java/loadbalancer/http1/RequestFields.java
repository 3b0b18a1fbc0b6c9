package loadbalancer.http1;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.List;
import java.util.regex.Pattern;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.RequestClass;

/** Parses and validates the header fields of a client's request. */
final class RequestFields {
    private static final int MAX_TOKEN_CHARS = 128;
    private static final int MAX_TARGET_CHARS = 4096;
    private static final int MAX_DIGITS = 9;
    private static final int KEY_BITS = 53;
    private static final Pattern HEX_KEY = Pattern.compile("[0-9a-fA-F]{1,16}");
    private static final String SCHEME = "http://";

    private RequestFields() {}

    /** The single value of a header; empty if missing, or ambiguous: repeated, too long or not visible ASCII. */
    static String singleToken(HttpHeaders headers, CharSequence name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 && isVisibleAscii(values.get(0), MAX_TOKEN_CHARS) ? values.get(0) : "";
    }

    /** The single value of a header, a number of at most nine digits; -1 if the value is missing or anything else. */
    static long parseNumber(HttpHeaders headers, CharSequence name) {
        String text = singleToken(headers, name);
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return text.isEmpty() || text.length() > MAX_DIGITS ? -1 : Long.parseLong(text);
    }

    /** The affinity key of a request, from its cookie; -1 if there is none. */
    static long affinityKey(String cookies) {
        if (cookies != null) {
            for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
                if (cookie.name().equals(HeaderNames.KEY_COOKIE)) {
                    return keyOf(cookie.value()) & (1L << KEY_BITS) - 1;
                }
            }
        }
        return -1;
    }

    /** The path and query of a request target, which may be in absolute form (RFC 9112, 3.2.2). */
    static String originForm(String target) {
        if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return target;
        }
        int path = target.indexOf('/', SCHEME.length());
        return path < 0 ? "/" : target.substring(path);
    }

    /** Whether method, body, idempotency key, target and HTTP version are valid for a request of this class. */
    static boolean matchesClass(FullHttpRequest message, RequestClass requestClass) {
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        boolean withKey = requestClass.idempotency() == Idempotency.WITH_KEY;
        List<String> keys = message.headers().getAll(HeaderNames.IDEMPOTENCY_KEY);
        boolean keyMatches = keys.isEmpty()
                ? !withKey
                : !singleToken(message.headers(), HeaderNames.IDEMPOTENCY_KEY).isEmpty();
        return message.method().equals(idempotent ? HttpMethod.GET : HttpMethod.POST)
                && !(idempotent && message.content().isReadable())
                && keyMatches
                && message.uri().startsWith("/")
                && isVisibleAscii(message.uri(), MAX_TARGET_CHARS)
                && message.protocolVersion().majorVersion() == 1;
    }

    /** Whether the text is printable ASCII without spaces, of one to {@code maxLength} characters. */
    private static boolean isVisibleAscii(String text, int maxLength) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < 0x21 || text.charAt(i) > 0x7e) {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= maxLength;
    }

    private static long keyOf(String text) {
        return HEX_KEY.matcher(text).matches() ? Long.parseUnsignedLong(text, 16) : text.hashCode();
    }
}
