package loadbalancer.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.membership.OutOfServiceUpstreams;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two processes share a folder on the real file system. */
@Timeout(30)
class HandoverFolderTest {
    private static final OutOfServiceUpstreams.Snapshot SNAPSHOT =
            new OutOfServiceUpstreams.Snapshot(Map.of("a", 5L, "\u00fc \"b\"", 6L), Map.of("c", 7L));

    @TempDir
    Path folder;

    @Test
    void readsTheStateThatAnEarlierProcessOfTheSidecarWrote() throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        try (HandoverFolder older = new HandoverFolder(folder, "n 0/x")) {
            assertEquals(OutOfServiceUpstreams.Snapshot.EMPTY, older.read());
            older.write(snapshot -> SNAPSHOT, snapshot -> written.countDown());
            assertTrue(written.await(10, TimeUnit.SECONDS));
        }
        try (HandoverFolder newer = new HandoverFolder(folder, "n 0/x");
                HandoverFolder other = new HandoverFolder(folder, "n 0?x")) {
            assertEquals(SNAPSHOT, newer.read());
            assertEquals(
                    OutOfServiceUpstreams.Snapshot.EMPTY, other.read(), "state of another sidecar must be ignored");
        }
    }

    /** A process ignores a state file whose format version it does not know. */
    @Test
    void stateFileOfALaterVersionIsIgnored() throws Exception {
        byte[] later = new String(new HandoverState("n0", SNAPSHOT).encode(), StandardCharsets.UTF_8)
                .replace("handover 1 ", "handover 2 ")
                .getBytes(StandardCharsets.UTF_8);
        Files.write(folder.resolve("bridgecleat-n0.handover"), later);
        try (HandoverFolder handover = new HandoverFolder(folder, "n0")) {
            assertEquals(OutOfServiceUpstreams.Snapshot.EMPTY, handover.read());
        }
    }

    @Test
    void processesDetectEachOtherAndShareState() throws Exception {
        HandoverFolder older = new HandoverFolder(folder, "n0");
        assertTrue(older.open());
        assertFalse(older.hasSuccessor());
        try (HandoverFolder newer = new HandoverFolder(folder, "n0")) {
            assertFalse(newer.open());
            assertTrue(older.hasSuccessor());
            assertFalse(newer.hasSuccessor());
            LinkedBlockingQueue<OutOfServiceUpstreams.Snapshot> received = new LinkedBlockingQueue<>();
            CountDownLatch otherEnded = new CountDownLatch(1);
            newer.watch(received::add, otherEnded::countDown);
            older.write(snapshot -> SNAPSHOT, snapshot -> {});
            assertEquals(SNAPSHOT, received.poll(10, TimeUnit.SECONDS));
            assertEquals(1, otherEnded.getCount());
            older.close();
            assertTrue(otherEnded.await(10, TimeUnit.SECONDS));
        }
    }

    /** A newer process that ends before it is ready does not affect the older one. */
    @Test
    void successorThatEndedIsNoLongerDetected() {
        try (HandoverFolder older = new HandoverFolder(folder, "n0")) {
            older.open();
            HandoverFolder newer = new HandoverFolder(folder, "n0");
            newer.open();
            assertTrue(older.hasSuccessor());
            newer.close();
            assertFalse(older.hasSuccessor());
        }
    }

    @Test
    void concurrentWritesOfTwoProcessesAreAllKept() throws Exception {
        try (HandoverFolder first = new HandoverFolder(folder, "n0");
                HandoverFolder second = new HandoverFolder(folder, "n0")) {
            CountDownLatch done = new CountDownLatch(40);
            for (int i = 0; i < 40; i++) {
                String id = "u" + i;
                (i % 2 == 0 ? first : second)
                        .write(
                                snapshot -> OutOfServiceUpstreams.withChange(snapshot, 1, id, true),
                                snapshot -> done.countDown());
            }
            assertTrue(done.await(10, TimeUnit.SECONDS));
            assertEquals(40, first.read().outOfService().size());
        }
    }

    @Test
    void upstreamsStayOutOfServiceIfTheStateFileIsTorn() throws Exception {
        try (HandoverFolder handover = new HandoverFolder(folder, "n0")) {
            CountDownLatch written = new CountDownLatch(1);
            handover.write(snapshot -> SNAPSHOT, snapshot -> written.countDown());
            assertTrue(written.await(10, TimeUnit.SECONDS));
            assertEquals(SNAPSHOT, handover.read());
            Files.writeString(folder.resolve("bridgecleat-n0.handover"), "bridgecleat-hand");
            assertEquals(SNAPSHOT, handover.read());
        }
    }
}
