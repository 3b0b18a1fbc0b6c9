package loadbalancer.admin;

import static java.net.HttpURLConnection.HTTP_BAD_METHOD;
import static java.net.HttpURLConnection.HTTP_BAD_REQUEST;
import static java.net.HttpURLConnection.HTTP_NOT_FOUND;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Parses an {@link AdminRequest} from the method and target of an HTTP request. A query is ignored. */
final class AdminRequestParser {
    /** Longest upstream id or scope name, in bytes of UTF-8. */
    private static final int MAX_NAME_BYTES = 256;

    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String CONTROL_PATH = "/control/";
    private static final String UPSTREAMS_PATH = CONTROL_PATH + "upstreams/";
    private static final String SCOPES_PATH = CONTROL_PATH + "scopes";
    private static final String OFFLINE = "offline";
    private static final String ONLINE = "online";
    private static final AdminRequest NOT_FOUND = new AdminRequest.Unrecognized(HTTP_NOT_FOUND, "no such call");

    private AdminRequestParser() {}

    /** @param target path and query of the request line */
    static AdminRequest parse(String method, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (path.startsWith(UPSTREAMS_PATH)) {
            return parseUpstream(method, path.substring(UPSTREAMS_PATH.length()));
        }
        if (path.startsWith(SCOPES_PATH + "/")) {
            return parseScope(method, path.substring(SCOPES_PATH.length() + 1));
        }
        return switch (path) {
            case CONTROL_PATH + "ready" -> require(GET, method, new AdminRequest.Ready());
            case CONTROL_PATH + "counters" -> require(GET, method, new AdminRequest.Counters());
            case CONTROL_PATH + "out-of-service" -> require(POST, method, new AdminRequest.OutOfService());
            case CONTROL_PATH + "in-service" -> require(POST, method, new AdminRequest.InService());
            case CONTROL_PATH + "policy" -> require(GET, method, new AdminRequest.Policy());
            case CONTROL_PATH + "policy/propose" -> require(POST, method, new AdminRequest.Propose());
            case CONTROL_PATH + "policy/abort" -> require(POST, method, new AdminRequest.Abort());
            case SCOPES_PATH -> require(GET, method, new AdminRequest.Scopes());
            default -> NOT_FOUND;
        };
    }

    private static AdminRequest parseScope(String method, String rest) {
        int slash = rest.indexOf('/');
        Optional<String> name = percentDecode(slash < 0 ? rest : rest.substring(0, slash));
        if (name.isEmpty()) {
            return new AdminRequest.Unrecognized(HTTP_BAD_REQUEST, "the scope's name can't be read");
        }
        return switch (slash < 0 ? "" : rest.substring(slash + 1)) {
            case "" -> require(GET, method, new AdminRequest.Scope(name.get()));
            case "propose" -> require(POST, method, new AdminRequest.ProposeScope(name.get()));
            case "abort" -> require(POST, method, new AdminRequest.AbortScope(name.get()));
            default -> NOT_FOUND;
        };
    }

    private static AdminRequest parseUpstream(String method, String rest) {
        int slash = rest.lastIndexOf('/');
        String action = rest.substring(slash + 1);
        boolean knownAction = action.equals(OFFLINE) || action.equals(ONLINE);
        if (slash < 0 || rest.indexOf('/') != slash || !knownAction) {
            return NOT_FOUND;
        }
        Optional<String> id = percentDecode(rest.substring(0, slash));
        if (id.isEmpty()) {
            return new AdminRequest.Unrecognized(HTTP_BAD_REQUEST, "the upstream's id can't be read");
        }
        return action.equals(OFFLINE)
                ? require(POST, method, new AdminRequest.Offline(id.get()))
                : require(POST, method, new AdminRequest.Online(id.get()));
    }

    private static AdminRequest require(String expectedMethod, String method, AdminRequest request) {
        return method.equals(expectedMethod)
                ? request
                : new AdminRequest.Unrecognized(HTTP_BAD_METHOD, "this call takes " + expectedMethod);
    }

    /**
     * Decodes percent-encoding (RFC 3986, 2.1), in which a plus sign stands for itself. Empty if the result is empty,
     * too long or not valid UTF-8, or if the text has an invalid escape or characters other than visible ASCII.
     */
    private static Optional<String> percentDecode(String text) {
        ByteBuffer decoded = ByteBuffer.allocate(text.length());
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '%') {
                int high = hexDigit(text, index + 1);
                int low = hexDigit(text, index + 2);
                if (high < 0 || low < 0) {
                    return Optional.empty();
                }
                decoded.put((byte) (high << 4 | low));
                index += 2;
            } else if (character < 0x21 || character > 0x7e) {
                return Optional.empty();
            } else {
                decoded.put((byte) character);
            }
        }
        decoded.flip();
        if (!decoded.hasRemaining() || decoded.remaining() > MAX_NAME_BYTES) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    StandardCharsets.UTF_8.newDecoder().decode(decoded).toString());
        } catch (CharacterCodingException exception) {
            return Optional.empty();
        }
    }

    private static int hexDigit(String text, int index) {
        return index < text.length() ? Character.digit(text.charAt(index), 16) : -1;
    }
}
