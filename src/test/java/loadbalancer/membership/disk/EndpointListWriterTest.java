package loadbalancer.membership.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class EndpointListWriterTest {
    @TempDir
    Path folder;

    private final List<String> logLines = new ArrayList<>();

    private EndpointListStore newStore() {
        return new EndpointListStore(folder, "fleet", EndpointListFixture.MAX_FILE_BYTES);
    }

    /** Writes fail if the disk is full, read-only or missing; the submitter gets no exception. */
    @Test
    void logsOnlyTheFirstFailedWriteAndTheNextSuccess() throws Exception {
        Path blocked = folder.resolve("blocked");
        Files.writeString(blocked, "a file where the folder should be");
        BlockingQueue<String> log = new LinkedBlockingQueue<>();
        AtomicLong clock = new AtomicLong(1_000_000);
        try (EndpointListWriter writer = new EndpointListWriter(
                new EndpointListStore(blocked, "fleet", EndpointListFixture.MAX_FILE_BYTES),
                60,
                clock::get,
                log::add)) {
            for (int i = 0; i < 3; i++) {
                writer.submit(EndpointListFixture.list(i));
            }
            assertTrue(log.poll(20, TimeUnit.SECONDS)
                    .startsWith("the endpoint list can't be written to disk, requests are still served: "));
            Files.delete(blocked);
            clock.addAndGet(60_000_000);
            writer.submit(EndpointListFixture.list(5));
            assertEquals("the endpoint list can be written to disk again", log.poll(20, TimeUnit.SECONDS));
        }
        assertEquals(
                Optional.of(EndpointListFixture.list(5)),
                new EndpointListStore(blocked, "fleet", EndpointListFixture.MAX_FILE_BYTES).read(logLines::add));
        assertEquals(0, log.size(), log.toString());
    }

    /** Closing the writer writes the newest list; before that, no more lists are written than the rate allows. */
    @Test
    void limitsTheRateOfWritesAndWritesTheNewestListOnClose() throws Exception {
        EndpointListStore store = newStore();
        try (EndpointListWriter writer = new EndpointListWriter(store, 1, () -> 1_000_000, logLines::add)) {
            for (int i = 1; i <= 1000; i++) {
                writer.submit(EndpointListFixture.list(i));
            }
        }
        assertEquals(Optional.of(EndpointListFixture.list(1000)), newStore().read(logLines::add));
        StringBuilder headers = new StringBuilder();
        for (String name : new String[] {"list.0", "list.1"}) {
            // If the writer's thread is slow, all lists are coalesced into one write, and only one of the two files
            // exists.
            if (Files.exists(folder.resolve(name))) {
                headers.append(Files.readString(folder.resolve(name))
                        .lines()
                        .findFirst()
                        .orElse(""));
            }
        }
        assertTrue(headers.toString().matches(".*number=[1-4] .*"), "more writes than the rate allows: " + headers);
    }
}
