package loadbalancer.control;

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
    private static final int HEADER_BYTES = 2;

    private final List<byte[]> sent = new ArrayList<>();
    private final DatagramBatch batch = new DatagramBatch((to, datagram) -> sent.add(datagram));

    private static List<byte[]> read(byte[] datagram) {
        List<byte[]> messages = new ArrayList<>();
        assertTrue(DatagramBatch.read(datagram, messages::add));
        return messages;
    }

    private static List<Integer> readLengths(byte[] datagram) {
        return read(datagram).stream().map(message -> message.length).toList();
    }

    @Test
    void messagesToOneProcessShareADatagramUntilItIsFull() {
        // when
        for (int count = 0; count < 5; count++) {
            batch.add(3, new byte[60]);
        }
        batch.add(4, new byte[227]);
        batch.flush();
        // then
        assertEquals(3, sent.size());
        assertEquals(List.of(60, 60, 60, 60), readLengths(sent.get(0)));
        assertEquals(List.of(60), readLengths(sent.get(1)));
        assertEquals(List.of(227), readLengths(sent.get(2)));
        assertTrue(sent.stream().allMatch(datagram -> datagram.length <= DatagramBatch.MAX_BYTES));
    }

    @Test
    void messageThatFitsNoDatagramIsRejected() {
        byte[] message = new byte[DatagramBatch.MAX_BYTES];
        assertThrows(IllegalArgumentException.class, () -> batch.add(1, message));
    }

    @Test
    void truncatedDatagramYieldsNoMessage() {
        // given
        batch.add(1, new byte[] {5, 6, 7});
        batch.flush();
        byte[] datagram = sent.get(0);
        for (int length = 0; length < datagram.length; length++) {
            // when
            List<byte[]> messages = new ArrayList<>();
            boolean complete = DatagramBatch.read(Arrays.copyOf(datagram, length), messages::add);
            // then
            assertEquals(length == HEADER_BYTES, complete, "only a batch without messages is complete");
            assertEquals(0, messages.size());
        }
        assertArrayEquals(new byte[] {5, 6, 7}, read(datagram).get(0));
    }

    @Test
    void datagramAboveTheMaximumSizeIsRejected() {
        assertFalse(DatagramBatch.read(new byte[DatagramBatch.MAX_BYTES + 1], message -> {}));
    }

    @Test
    void randomDatagramsAreReadWithoutException() {
        SplittableRandom random = new SplittableRandom(1);
        for (int run = 0; run < 10_000; run++) {
            byte[] datagram = new byte[random.nextInt(300)];
            random.nextBytes(datagram);
            DatagramBatch.read(datagram, message -> assertTrue(message.length <= 255));
        }
    }

    private static ControlGroup group(long leaseMicros) {
        return new ControlGroup("test", ControlGroup.numberedScopes(4), 1, 1, leaseMicros, 1_000_000);
    }

    /** The first datagram of a client that subscribes to scope 1. */
    private static byte[] request(ControlGroup group) {
        ControlClient client = new ControlClient(group, List.of(1), new int[] {0}, 2, 0, content -> null);
        List<byte[]> requests = new ArrayList<>();
        client.tick(0, (to, datagram) -> requests.add(datagram));
        return requests.get(0);
    }

    @Test
    void messageWithACorruptedRegisterIdOrOfAnotherGroupIsDropped() {
        // given
        ControlGroup group = group(2_000_000);
        ControlReplica replica = new ControlReplica(group, 0, 1, 0, content -> null);
        byte[] request = request(group);
        byte[] corrupted = request.clone();
        int otherRegisterId = group.register(2).registerId();
        for (int index = 0; index < Integer.BYTES; index++) {
            corrupted[5 + index] = (byte) (otherRegisterId >>> 8 * (Integer.BYTES - 1 - index));
        }
        // when
        replica.receive(0, 1, corrupted, (to, datagram) -> {});
        // then
        assertEquals(1, replica.droppedMessages());
        // when
        replica.receive(0, 1, request, (to, datagram) -> {});
        // then
        assertEquals(1, replica.droppedMessages());
        // when
        replica.receive(0, 1, request(group(3_000_000)), (to, datagram) -> {});
        // then
        assertEquals(2, replica.droppedMessages(), "message of a group with another lease length");
    }

    @Test
    void largestGroupHasUniqueRegisterIds() {
        List<String> scopes = ControlGroup.numberedScopes(ControlGroup.MAX_SCOPES);
        assertEquals(scopes, new ControlGroup("test", scopes, 5, 11, 2_000_000, 1_000_000).scopes());
    }

    @Test
    void duplicateScopeIsRejected() {
        List<String> scopes = List.of("a", "b", "a");
        assertThrows(
                IllegalArgumentException.class, () -> new ControlGroup("test", scopes, 1, 1, 2_000_000, 1_000_000));
    }
}
