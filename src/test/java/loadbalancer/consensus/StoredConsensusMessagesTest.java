package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import loadbalancer.stored.StoredSamples;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks the encoding of each message of the consensus protocol, between members and to subscribers, against stored
 * bytes.
 */
class StoredConsensusMessagesTest {
    private static final int REGISTER_ID = 0x5eed_0042;
    private static final int VOTERS = 3;

    private final MessageCodec codec = new MessageCodec(REGISTER_ID, VOTERS);

    /** Returns one message of each kind, by the name of its stored sample. */
    private static Map<String, Message> messages() {
        List<Incarnation> incarnations =
                List.of(new Incarnation(1, 0x1111_1111), new Incarnation(2, -2), Incarnation.UNKNOWN);
        List<Integer> nonces = List.of(1, -2, Integer.MAX_VALUE);
        Stage settled = new Stage(12, 0xabcdefL, 0xabcdefL);
        Stage joint = new Stage(13, 0xabcdefL, -0x123456L);
        Map<String, Message> all = new LinkedHashMap<>();
        all.put("prepare", new Message.Prepare(0x1234_5678_9abcL, 257));
        all.put("promise", new Message.Promise(0x1234_5678_9abcL, 257, incarnations, 256, joint, true));
        all.put("accept", new Message.Accept(0x1234_5678_9abcL, 257, joint));
        all.put("accepted", new Message.Accepted(0x1234_5678_9abcL, 257, 13, incarnations));
        all.put("refused", new Message.Rejected(0x1234_5678_9abcL, 257, 513));
        all.put("chosen", new Message.Chosen(0x1234_5678_9abcL, 257, settled));
        all.put("adopted", new Message.Adopted(0x1234_5678_9abcL, 13));
        all.put("lease-request", new Message.LeaseRequest(-3));
        all.put("lease-reply", new Message.LeaseReply(0x1234_5678_9abcL, -3, 256, settled, false));
        all.put("recovery-request", new Message.RecoveryRequest(99));
        all.put("known-incarnation", new Message.KnownIncarnation(99, 2));
        all.put("no-memory", new Message.NoState(99, -100));
        all.put("rejoin", new Message.Rejoin(new Incarnation(3, 77)));
        all.put(
                "voter-state",
                new Message.VoterState(
                        0x1234_5678_9abcL, new Incarnation(3, 77), incarnations, 513, 256, settled, true));
        all.put("bootstrap", new Message.Bootstrap(nonces));
        all.put("bootstrap-ack", new Message.BootstrapAck(nonces));
        all.put("propose", new Message.Propose(0xabcdefL, true));
        all.put("bootstrapped", new Message.Bootstrapped(nonces));
        all.put("chunk-request", new Message.ChunkRequest(0xabcdefL, 2));
        all.put("chunk", new Message.Chunk(0xabcdefL, 2, 420, "zones = []\n".getBytes(StandardCharsets.UTF_8)));
        all.put("invalid", new Message.Invalid(0xabcdefL, "policy:3: zöne"));
        all.put("validate", new Message.Validate(0x1234_5678_9abcL, 0xabcdefL));
        all.put("valid", new Message.Valid(0x1234_5678_9abcL, 0xabcdefL));
        all.put(
                "subscriber-request",
                new Message.SubscriberLeaseRequest(31_337, 42, 0x1234_5678_9abcL, Stage.UNKNOWN_INDEX));
        all.put("subscriber-lease", new Message.SubscriberLease(0x1234_5678_9abcL, 42, settled, 1_500_000));
        all.put("stage-changed", new Message.StageChanged(0x1234_5678_9abcL, 13));
        return all;
    }

    @TestFactory
    List<DynamicTest> storedMessageIsDecodedAndEncodedAgainByteForByte() {
        List<DynamicTest> tests = new ArrayList<>();
        messages()
                .forEach((name, message) -> tests.add(DynamicTest.dynamicTest(name, () -> {
                    StoredSamples.assertSent("consensus-" + name, codec.encode(message));
                    byte[] stored = StoredSamples.message("consensus-" + name);
                    assertEquals(Optional.of(message), codec.decode(stored));
                    assertEquals(REGISTER_ID, MessageCodec.registerIdOf(stored));
                })));
        return tests;
    }

    /** Fails if a kind of message has no stored sample. */
    @Test
    void everyKindOfMessageHasASample() {
        Set<Class<?>> kinds = messages().values().stream().map(Object::getClass).collect(Collectors.toSet());
        assertEquals(Set.of(Message.class.getPermittedSubclasses()), kinds);
        assertEquals(26, new TreeSet<>(messages().keySet()).size());
    }
}
