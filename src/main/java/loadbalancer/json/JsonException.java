package loadbalancer.json;

/**
 * Thrown for input that is not a JSON object, and for fields that are missing or of the wrong type. The message is one
 * line; for a field it names the field.
 */
public final class JsonException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    JsonException(String message) {
        super(message);
    }
}
