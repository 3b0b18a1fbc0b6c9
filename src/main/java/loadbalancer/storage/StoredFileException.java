package loadbalancer.storage;

import java.io.IOException;

/** Thrown if bytes are no intact file of the expected format, so that none of them may be used. */
public final class StoredFileException extends IOException {
    private static final long serialVersionUID = 1L;

    /** {@code message} refers to the file as "it", since callers put the file's name and a colon before it. */
    public StoredFileException(String message) {
        super(message);
    }
}
