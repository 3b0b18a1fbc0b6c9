package loadbalancer.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Encoding and error messages; the tests of stored samples check the exact bytes of each format. */
class ChecksummedFormatTest {
    private static final ChecksummedFormat NUMBERED = ChecksummedFormat.numbered("things", "a thing", 3);
    private static final ChecksummedFormat PLAIN = ChecksummedFormat.plain("things", "a thing", 3);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void assertRejected(String message, String file) {
        assertEquals(
                message,
                assertThrows(StoredFileException.class, () -> NUMBERED.decode(bytes(file)))
                        .getMessage());
    }

    @Test
    void encodedFileIsDecoded() throws Exception {
        byte[] file = NUMBERED.encode(12, bytes("body\n"));

        ChecksummedFormat.Contents contents = NUMBERED.decode(file);

        assertEquals(12, contents.sequence());
        assertArrayEquals(bytes("body\n"), contents.body());
    }

    @Test
    void plainFormatHasNoSequenceNumber() throws Exception {
        byte[] file = PLAIN.encode(12, bytes("body"));

        assertEquals(0, PLAIN.decode(file).sequence());
        assertThrows(StoredFileException.class, () -> NUMBERED.decode(file));
    }

    @Test
    void errorMessageNamesTheDefect() {
        String file = new String(NUMBERED.encode(1, bytes("body")), StandardCharsets.US_ASCII);

        assertRejected("its first line is not that of a thing", "");
        assertRejected("its first line is not that of a thing", file.substring(0, file.indexOf('\n')));
        assertRejected("its first line is not that of a thing", file.replace("things", "others"));
        assertRejected("its version is 4, not 3", file.replace("things 3", "things 4"));
        assertRejected("it is cut: 3 of 4 bytes", file.substring(0, file.length() - 1));
        assertRejected("its checksum is wrong", file.replace("body", "bodY"));
    }
}
