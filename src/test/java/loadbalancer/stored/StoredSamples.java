package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;

/** Loads the samples in {@code src/test/resources/stored}, which an earlier version of the program wrote. */
public final class StoredSamples {
    private static final String FOLDER = "/stored/";

    private StoredSamples() {}

    /** The bytes of a sample, by its path in the folder. */
    public static byte[] bytes(String name) {
        try (InputStream in = StoredSamples.class.getResourceAsStream(FOLDER + name)) {
            if (in == null) {
                throw new IllegalArgumentException("no stored sample " + FOLDER + name);
            }
            return in.readAllBytes();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** The lines of a text sample. */
    public static List<String> lines(String name) {
        return new String(bytes(name), StandardCharsets.UTF_8).lines().toList();
    }

    /** The bytes of a message, which is stored as one line of hexadecimal digits. */
    public static byte[] message(String name) {
        return HexFormat.of().parseHex(lines("messages/" + name + ".hex").get(0));
    }

    /** Fails if {@code written}, a text or a file that the program writes now, differs from the sample in any byte. */
    public static void assertWritten(String name, byte[] written) {
        byte[] stored = bytes(name);
        assertEquals(
                new String(stored, StandardCharsets.ISO_8859_1),
                new String(written, StandardCharsets.ISO_8859_1),
                name);
    }

    /** Fails if {@code sent}, a message that the program sends now, differs from the sample in any byte. */
    public static void assertSent(String name, byte[] sent) {
        assertEquals(HexFormat.of().formatHex(message(name)), HexFormat.of().formatHex(sent), name);
    }
}
