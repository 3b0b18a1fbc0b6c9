package rushproxy.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DatagramBatchTest {
    private final List<byte[]> sent = new ArrayList<>();
    private final DatagramBatch batch = new DatagramBatch((to, datagram) -> sent.add(datagram));

    private static List<String> read(byte[] datagram) {
        List<String> messages = new ArrayList<>();
        assertTrue(DatagramBatch.read(datagram, (scope, message) -> messages.add(scope + ":" + message.length)));
        return messages;
    }

    @Test
    void messagesToOneProcessShareADatagramUntilItIsFull() {
        for (int scope = 0; scope < 5; scope++) {
            batch.add(3, 1_000 + scope, new byte[50]);
        }
        batch.add(4, 7, new byte[227]);
        batch.flush();
        assertEquals(3, sent.size());
        assertEquals(List.of("1000:50", "1001:50", "1002:50", "1003:50"), read(sent.get(0)));
        assertEquals(List.of("1004:50"), read(sent.get(1)));
        assertEquals(List.of("7:227"), read(sent.get(2)));
        assertTrue(sent.stream().allMatch(datagram -> datagram.length <= DatagramBatch.MOST_BYTES));
    }

    @Test
    void aMessageThatFitsNoDatagramIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> batch.add(1, 1, new byte[DatagramBatch.MOST_BYTES]));
    }

    @Test
    void whatIsCutOffOrChangedIsNoWholeBatch() {
        batch.add(1, 2, new byte[] {5, 6, 7});
        batch.flush();
        byte[] whole = sent.get(0);
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            List<byte[]> messages = new ArrayList<>();
            boolean taken = DatagramBatch.read(cut, (scope, message) -> messages.add(message));
            // A datagram without a message is one, with nothing in it.
            assertEquals(length == 2, taken);
            assertEquals(0, messages.size());
        }
        assertFalse(DatagramBatch.read(new byte[DatagramBatch.MOST_BYTES + 1], (scope, message) -> {}));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 10_000; i++) {
            byte[] chance = new byte[random.nextInt(300)];
            random.nextBytes(chance);
            DatagramBatch.read(chance, (scope, message) -> assertTrue(message.length <= 255));
        }
        assertArrayEquals(new byte[] {5, 6, 7}, last(whole));
    }

    private static byte[] last(byte[] datagram) {
        List<byte[]> messages = new ArrayList<>();
        DatagramBatch.read(datagram, (scope, message) -> messages.add(message));
        return messages.get(messages.size() - 1);
    }

    /** A datagram with its scope changed on the way is no message of the other scope. */
    @Test
    void aMessageOfOneScopeIsDroppedInAnother() {
        ControlGroup group = new ControlGroup(7, 4, 1, 1, 2_000_000, 1_000_000);
        assertEquals(
                ControlGroup.MOST_SCOPES,
                java.util.stream.IntStream.range(0, ControlGroup.MOST_SCOPES)
                        .map(scope -> group.register(scope).fleet())
                        .distinct()
                        .count());
        ControlReplica replica = new ControlReplica(group, 0, 1, 0, content -> null);
        ControlClient client = new ControlClient(group, List.of(1), new int[] {0}, 2, 0, content -> null);
        List<byte[]> asked = new ArrayList<>();
        client.tick(0, (to, datagram) -> asked.add(datagram));
        byte[] changed = asked.get(0).clone();
        changed[3] = 2;
        replica.hear(0, 1, changed, (to, datagram) -> {});
        assertEquals(1, replica.dropped());
        replica.hear(0, 1, asked.get(0), (to, datagram) -> {});
        assertEquals(1, replica.dropped());
    }
}
