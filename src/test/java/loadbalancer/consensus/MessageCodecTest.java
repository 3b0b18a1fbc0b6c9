package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    private static final int VOTERS = 7;
    private static final int REGISTER_ID = 42;

    private final MessageCodec codec = new MessageCodec(REGISTER_ID, VOTERS);

    /** Returns one message of each kind. */
    private static List<Message> messages() {
        List<Incarnation> incarnations = IntStream.range(0, VOTERS)
                .mapToObj(voter -> new Incarnation(voter, -voter * 7))
                .toList();
        List<Integer> nonces = List.of(1, 2, 3, -4, 5, Integer.MAX_VALUE, Integer.MIN_VALUE);
        Stage stage = new Stage(Long.MAX_VALUE, -1, 77);
        return List.of(
                new Message.Prepare(1, 2),
                new Message.Promise(-1, 9, incarnations, 8, stage, true),
                new Message.Accept(3, 4, stage),
                new Message.Accepted(3, 4, 5, incarnations),
                new Message.Rejected(1, 2, 3),
                new Message.Chosen(1, 2, stage),
                new Message.Adopted(1, 9),
                new Message.LeaseRequest(-3),
                new Message.LeaseReply(1, 2, 3, stage, false),
                new Message.RecoveryRequest(5),
                new Message.KnownIncarnation(5, 6),
                new Message.NoState(5, 6),
                new Message.Rejoin(new Incarnation(3, 4)),
                new Message.VoterState(1, new Incarnation(3, 4), incarnations, 5, 6, stage, true),
                new Message.Bootstrap(nonces),
                new Message.BootstrapAck(nonces),
                new Message.Propose(5, true),
                new Message.Bootstrapped(nonces),
                new Message.ChunkRequest(5, 2),
                new Message.Chunk(5, 2, 700, new byte[ContentStore.CHUNK_BYTES]),
                new Message.Invalid(5, "no: ä"),
                new Message.Validate(1, 5),
                new Message.Valid(1, 5),
                new Message.SubscriberLeaseRequest(-1, 2, 3, Stage.UNKNOWN_INDEX),
                new Message.SubscriberLease(1, 2, stage, 3),
                new Message.StageChanged(1, 2));
    }

    private void assertNotDecoded(byte[] datagram, String description) {
        assertEquals(Optional.empty(), codec.decode(datagram), description);
    }

    @Test
    void messageOfEveryKindFitsADatagramAndIsDecodedUnchanged() {
        for (Message message : messages()) {
            // when
            byte[] datagram = codec.encode(message);
            // then
            assertTrue(
                    datagram.length <= MessageCodec.MAX_BYTES && MessageCodec.isMessage(datagram),
                    message + ": " + datagram.length);
            assertEquals(Optional.of(message), codec.decode(datagram));
        }
        assertEquals(Message.class.getPermittedSubclasses().length, messages().size());
    }

    @Test
    void messageOfAnotherRegisterIsNotDecoded() {
        for (Message message : messages()) {
            byte[] datagram = new MessageCodec(REGISTER_ID + 1, VOTERS).encode(message);
            assertNotDecoded(datagram, message.toString());
        }
    }

    @Test
    void truncatedLengthenedOrCorruptedMessageIsNotDecoded() {
        SplittableRandom random = new SplittableRandom(3);
        for (Message message : messages()) {
            // given
            byte[] datagram = codec.encode(message);
            for (int index = 0; index < datagram.length; index++) {
                // when
                byte[] corrupted = datagram.clone();
                corrupted[index] ^= (byte) (1 + random.nextInt(255));
                // then
                assertNotDecoded(Arrays.copyOf(datagram, index), message + " truncated at " + index);
                assertNotDecoded(corrupted, message + " corrupted at " + index);
            }
            assertNotDecoded(Arrays.copyOf(datagram, datagram.length + 1), message + " lengthened");
        }
    }

    @Test
    void randomBytesAreNotDecoded() {
        SplittableRandom random = new SplittableRandom(4);
        for (int run = 0; run < 20_000; run++) {
            byte[] datagram = new byte[random.nextInt(300)];
            random.nextBytes(datagram);
            assertNotDecoded(datagram, "run " + run);
        }
    }
}
