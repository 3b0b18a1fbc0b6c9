package loadbalancer.storage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * A file format with a header line in ASCII and a body. The header has the name and version of the format, an optional
 * sequence number, and the length and CRC-32C (RFC 3720) of the body:
 *
 * <pre>bridgecleat-list 1 number=7 length=569 crc32c=a02771be</pre>
 *
 * The checksum covers only the body.
 */
public final class ChecksummedFormat {
    /** Limit on the header line, enough for format names of up to 40 characters. */
    private static final int MAX_HEADER_BYTES = 120;

    private final String name;
    private final String content;
    private final int version;
    private final boolean numbered;
    private final Pattern headerPattern;

    /**
     * The verified contents of a file.
     *
     * @param sequence 0 if the format has no sequence numbers
     */
    public record Contents(long sequence, byte[] body) {}

    private ChecksummedFormat(String name, String content, int version, boolean numbered) {
        this.name = name;
        this.content = content;
        this.version = version;
        this.numbered = numbered;
        headerPattern = Pattern.compile(Pattern.quote(name) + " (?<version>[0-9]{1,4})"
                + (numbered ? " number=(?<sequence>[0-9]{1,18})" : "")
                + " length=(?<length>[0-9]{1,9}) crc32c=(?<checksum>[0-9a-f]{8})");
    }

    /**
     * Creates a format without sequence numbers.
     *
     * @param name    the first word of the file
     * @param content description of the content for error messages, such as "a list"
     */
    public static ChecksummedFormat plain(String name, String content, int version) {
        return new ChecksummedFormat(name, content, version, false);
    }

    /** Creates a format with a sequence number of up to 18 digits, which the checksum does not cover. */
    public static ChecksummedFormat numbered(String name, String content, int version) {
        return new ChecksummedFormat(name, content, version, true);
    }

    /** Encodes a file; {@code sequence} is ignored if the format has none. */
    public byte[] encode(long sequence, byte[] body) {
        String line = name + " " + version + (numbered ? " number=" + sequence : "") + " length=" + body.length
                + " crc32c=" + checksum(body) + "\n";
        byte[] headerBytes = line.getBytes(StandardCharsets.US_ASCII);
        byte[] file = Arrays.copyOf(headerBytes, headerBytes.length + body.length);
        System.arraycopy(body, 0, file, headerBytes.length, body.length);
        return file;
    }

    /**
     * Decodes and verifies a file.
     *
     * @throws StoredFileException if it is torn, damaged, of another format or of another version
     */
    public Contents decode(byte[] file) throws StoredFileException {
        int headerLength = headerLength(file);
        Matcher matcher = headerPattern.matcher(new String(file, 0, headerLength, StandardCharsets.US_ASCII));
        if (!matcher.matches() || headerLength == file.length) {
            throw new StoredFileException("its first line is not that of " + content);
        }
        if (Integer.parseInt(matcher.group("version")) != version) {
            throw new StoredFileException("its version is " + matcher.group("version") + ", not " + version);
        }
        byte[] body = Arrays.copyOfRange(file, headerLength + 1, file.length);
        if (body.length != Integer.parseInt(matcher.group("length"))) {
            throw new StoredFileException("it is cut: " + body.length + " of " + matcher.group("length") + " bytes");
        }
        if (!checksum(body).equals(matcher.group("checksum"))) {
            throw new StoredFileException("its checksum is wrong");
        }
        return new Contents(numbered ? Long.parseLong(matcher.group("sequence")) : 0, body);
    }

    /** Number of bytes before the first line break, at most {@value #MAX_HEADER_BYTES}. */
    private static int headerLength(byte[] file) {
        int length = 0;
        while (length < Math.min(file.length, MAX_HEADER_BYTES) && file[length] != '\n') {
            length++;
        }
        return length;
    }

    private static String checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body, 0, body.length);
        return String.format("%08x", crc.getValue());
    }
}
