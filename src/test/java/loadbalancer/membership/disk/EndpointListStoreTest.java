package loadbalancer.membership.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import loadbalancer.membership.EndpointList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The endpoint list survives restarts, also if its newest file is truncated or damaged. */
@Timeout(60)
class EndpointListStoreTest {
    @TempDir
    Path folder;

    private final List<String> logLines = new ArrayList<>();

    private EndpointListStore newStore() {
        return new EndpointListStore(folder, "fleet", EndpointListFixture.MAX_FILE_BYTES);
    }

    @Test
    void readsTheListThatAnEarlierStoreWrote() throws Exception {
        try (EndpointListStore first = newStore()) {
            assertEquals(Optional.empty(), first.read(logLines::add));
            for (int i = 1; i <= 5; i++) {
                first.write(EndpointListFixture.list(i));
                assertEquals(
                        Optional.of(EndpointListFixture.list(i)), newStore().read(logLines::add));
            }
        }
        assertEquals(List.of(), logLines);
        try (EndpointListStore second = newStore()) {
            second.write(EndpointListFixture.list(9));
            assertEquals(Optional.of(EndpointListFixture.list(9)), newStore().read(logLines::add));
        }
    }

    /**
     * A process that is killed during a write leaves a truncated temporary file, which is never read. If the disk loses
     * its cache, the renamed file may be truncated too; the file of the previous list is intact then.
     */
    @Test
    void readsThePreviousListIfTheNewestFileIsTruncatedAtAnyByte() throws Exception {
        try (EndpointListStore store = newStore()) {
            store.write(EndpointListFixture.list(1));
            store.write(EndpointListFixture.list(2));
        }
        Path newest = folder.resolve("list.0");
        byte[] intact = Files.readAllBytes(newest);
        for (int length = 0; length < intact.length; length++) {
            Files.write(folder.resolve("list.new"), Arrays.copyOf(intact, length));
            assertEquals(
                    Optional.of(EndpointListFixture.list(2)),
                    newStore().read(logLines::add),
                    "a temporary file of " + length + " bytes");
        }
        assertEquals(List.of(), logLines);
        for (int length = 0; length < intact.length; length++) {
            logLines.clear();
            Files.write(newest, Arrays.copyOf(intact, length));
            assertEquals(
                    Optional.of(EndpointListFixture.list(1)),
                    newStore().read(logLines::add),
                    "truncated to " + length + " bytes");
            assertEquals(1, logLines.size(), logLines.toString());
            try (EndpointListStore next = newStore()) {
                // The next write replaces the truncated file, not the intact one.
                next.lockFolder();
            }
        }
        try (EndpointListStore next = newStore()) {
            next.write(EndpointListFixture.list(3));
        }
        assertEquals(Optional.of(EndpointListFixture.list(3)), newStore().read(logLines::add));
        assertTrue(
                Files.readString(folder.resolve("list.1"), StandardCharsets.ISO_8859_1)
                        .contains("\"generation\":1"),
                "the only intact list was overwritten");
    }

    @Test
    void detectsAFlippedBitInAnyByteOutsideTheSequenceNumber() throws Exception {
        try (EndpointListStore store = newStore()) {
            store.write(EndpointListFixture.list(1));
            store.write(EndpointListFixture.list(2));
        }
        Path newest = folder.resolve("list.0");
        byte[] intact = Files.readAllBytes(newest);
        for (int offset = 0; offset < intact.length; offset++) {
            byte[] damaged = intact.clone();
            damaged[offset] ^= 4;
            Files.write(newest, damaged);
            EndpointList read = newStore().read(line -> {}).orElseThrow();
            assertTrue(
                    EndpointListFixture.list(1).equals(read)
                            || EndpointListFixture.list(2).equals(read) && isInSequenceNumber(intact, offset),
                    "byte " + offset + ": " + read);
        }
    }

    /** The checksum does not cover the sequence number, which tells the newer of two intact files. */
    private static boolean isInSequenceNumber(byte[] file, int offset) {
        String header = new String(file, 0, 60, StandardCharsets.US_ASCII);
        return offset >= header.indexOf("number=") && offset < header.indexOf(" length=");
    }

    @Test
    void readsNoListAndLogsTwiceIfBothFilesAreDamaged() throws Exception {
        try (EndpointListStore store = newStore()) {
            store.write(EndpointListFixture.list(1));
            store.write(EndpointListFixture.list(2));
        }
        Files.writeString(folder.resolve("list.0"), "noise");
        Files.write(folder.resolve("list.1"), new byte[EndpointListFixture.MAX_FILE_BYTES + 1]);
        assertEquals(Optional.empty(), newStore().read(logLines::add));
        assertEquals(2, logLines.size(), logLines.toString());
    }

    @Test
    void rejectsTheListOfAnotherFleet() throws Exception {
        try (EndpointListStore other = new EndpointListStore(folder, "other", EndpointListFixture.MAX_FILE_BYTES)) {
            other.write(EndpointListFixture.list(1));
        }
        assertEquals(Optional.empty(), newStore().read(logLines::add));
        assertTrue(logLines.get(0).contains("belongs to the fleet 'other', not to 'fleet'"), logLines.toString());
    }

    @Test
    void rejectsALaterVersionOfTheFormat() throws Exception {
        try (EndpointListStore store = newStore()) {
            store.write(EndpointListFixture.list(1));
        }
        Path file = folder.resolve("list.1");
        Files.writeString(file, Files.readString(file).replace("bridgecleat-list 1 ", "bridgecleat-list 2 "));
        assertEquals(Optional.empty(), newStore().read(logLines::add));
        assertTrue(logLines.get(0).contains("its version is 2"), logLines.toString());
    }

    /** If two sidecars are configured with the same folder by mistake, the second one reads and does not write. */
    @Test
    void onlyTheFirstOfTwoStoresWritesAFolder() throws Exception {
        try (EndpointListStore first = newStore();
                EndpointListStore second = newStore()) {
            first.write(EndpointListFixture.list(1));
            IOException exception = assertThrows(IOException.class, () -> second.write(EndpointListFixture.list(7)));
            assertTrue(exception.getMessage().contains("another sidecar keeps its list in"), exception.getMessage());
            assertEquals(Optional.of(EndpointListFixture.list(1)), second.read(logLines::add));
            first.write(EndpointListFixture.list(2));
            assertEquals(Optional.of(EndpointListFixture.list(2)), second.read(logLines::add));
        }
        try (EndpointListStore third = newStore()) {
            third.write(EndpointListFixture.list(3));
        }
    }

    @Test
    void createsTheFolderAgainIfItWasDeleted() throws Exception {
        Path inner = folder.resolve("deep/er");
        try (EndpointListStore store = new EndpointListStore(inner, "fleet", EndpointListFixture.MAX_FILE_BYTES)) {
            store.write(EndpointListFixture.list(1));
            try (var files = Files.list(inner)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(inner);
            store.write(EndpointListFixture.list(2));
            assertEquals(Optional.of(EndpointListFixture.list(2)), store.read(logLines::add));
        }
    }

    @Test
    void rejectsAListThatIsTooLongForAFile() {
        EndpointListStore store = new EndpointListStore(folder, "fleet", 300);
        assertTrue(assertThrows(IOException.class, () -> store.write(EndpointListFixture.list(1)))
                .getMessage()
                .contains("too long"));
    }
}
