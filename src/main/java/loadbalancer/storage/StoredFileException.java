package loadbalancer.storage;

import java.io.IOException;

/** Thrown if a file is torn, damaged or not of the expected format. Nothing of its content may be used. */
public final class StoredFileException extends IOException {
    private static final long serialVersionUID = 1L;

    /** {@code message} refers to the file as "it", since callers put the file's name and a colon before it. */
    public StoredFileException(String message) {
        super(message);
    }
}
