package loadbalancer.admin;

import java.net.HttpURLConnection;
import java.util.Map;

/** Sends the response to one operator's request. Called exactly once, on the event loop. */
public interface AdminResponder {

    /** Responds with an HTTP status and a JSON body. */
    void respond(int status, Map<String, Object> body);

    /** Responds with a result text, or an error text for an error status. */
    default void respond(int status, String text) {
        respond(status, textBody(status, text));
    }

    /** The JSON body of a response that has only a text. */
    static Map<String, Object> textBody(int status, String text) {
        return Map.of(status < HttpURLConnection.HTTP_MULT_CHOICE ? "result" : "error", text);
    }
}
