package loadbalancer.grpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.core.MemoryBudget;
import org.junit.jupiter.api.Test;

/** Large uploads share a memory that is too small for all of them, and none that arrives steadily is rejected. */
class UploadQueueTest {
    private static final int CAPACITY = 2;
    private static final long SECOND_MICROS = 1_000_000;

    private final MemoryBudget budget = new MemoryBudget(CAPACITY * UploadQueue.GRANT_BYTES, () -> {});
    private final UploadQueue queue = new UploadQueue(budget);
    private final List<String> events = new ArrayList<>();

    private final class ScriptedUpload implements UploadQueue.Upload {
        private final String name;
        private boolean complete;
        private long receivedMicros;

        ScriptedUpload(String name) {
            this.name = name;
        }

        @Override
        public void grant() {
            events.add("grant " + name);
        }

        @Override
        public boolean isComplete() {
            return complete;
        }

        @Override
        public long receivedMicros() {
            return receivedMicros;
        }

        @Override
        public long begunMicros() {
            return 0;
        }

        @Override
        public void reject() {
            events.add("reject " + name);
            queue.withdraw(this);
        }
    }

    private ScriptedUpload requested(String name) {
        ScriptedUpload upload = new ScriptedUpload(name);
        queue.request(upload);
        return upload;
    }

    @Test
    void grantsInOrderAsMemoryIsGivenBack() {
        ScriptedUpload first = requested("a");
        requested("b");
        ScriptedUpload third = requested("c");
        requested("d");
        queue.request(first);
        assertEquals(List.of("grant a", "grant b"), events);
        queue.withdraw(third);
        queue.withdraw(first);
        queue.withdraw(first);
        assertEquals(List.of("grant a", "grant b", "grant d"), events);
        assertEquals(CAPACITY * UploadQueue.GRANT_BYTES, budget.heldBytes());
    }

    @Test
    void grantOutOfTurnNeedsMemory() {
        requested("a");
        assertTrue(queue.requestAtOnce(new ScriptedUpload("early")));
        assertFalse(queue.requestAtOnce(new ScriptedUpload("late")));
    }

    @Test
    void onlyStalledUploadsMakeRoomAndOnlyWhileOthersWait() {
        ScriptedUpload silent = requested("silent");
        ScriptedUpload steady = requested("steady");
        steady.receivedMicros = 3 * SECOND_MICROS;
        queue.rejectStalled(3 * SECOND_MICROS);
        assertEquals(List.of("grant silent", "grant steady"), events);
        requested("next");
        silent.complete = true;
        queue.rejectStalled(3 * SECOND_MICROS);
        assertEquals(2, events.size());
        silent.complete = false;
        queue.rejectStalled(3 * SECOND_MICROS);
        assertEquals(List.of("grant silent", "grant steady", "reject silent", "grant next"), events);
    }
}
