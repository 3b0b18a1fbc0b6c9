package loadbalancer.toml;

/**
 * Thrown for an unreadable or invalid file. The message is one line with file, line, key, what was expected and what
 * was found.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Each run of whitespace in {@code message} is replaced by one space, so that the message is one line. */
    public ConfigurationException(String message) {
        super(message.replaceAll("\\s+", " "));
    }
}
