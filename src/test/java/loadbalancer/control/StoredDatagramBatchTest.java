package loadbalancer.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.stored.StoredSamples;
import org.junit.jupiter.api.Test;

/**
 * The bytes of datagrams between a sidecar and a control replica: the batch format, and the messages of a subscription.
 */
class StoredDatagramBatchTest {
    private static final ControlGroup GROUP =
            new ControlGroup("tier", List.of("orders", "payments"), 1, 1, 4_000_000, 2_000_000);
    private static final byte[] FIRST = "[share]\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] SECOND = "# Second.\n[share]\n".getBytes(StandardCharsets.UTF_8);
    private static final int REPLICA = 0;
    private static final int SIDECAR = 1;
    /** Position of the kind in a message: after tag, version and register id. */
    private static final int KIND_INDEX = 6;
    /** Chunk request, chunk, validate, valid, subscriber request, subscriber lease, stage changed. */
    private static final Set<Integer> EXPECTED_KINDS = Set.of(19, 20, 22, 23, 24, 25, 26);

    private final List<byte[]> toReplica = new ArrayList<>();
    private final List<byte[]> toSidecar = new ArrayList<>();
    private final StringBuilder exchange = new StringBuilder();
    private final Set<Integer> kinds = new TreeSet<>();
    private long nowMicros;

    @Test
    void batchIsWrittenAndReadAsStored() {
        List<byte[]> sent = new ArrayList<>();
        DatagramBatch batch = new DatagramBatch((to, datagram) -> sent.add(datagram));
        batch.add(REPLICA, new byte[] {'A', 1, 2});
        batch.add(REPLICA, new byte[0]);
        batch.add(REPLICA, new byte[200]);
        batch.flush();
        assertEquals(1, sent.size());
        StoredSamples.assertSent("control-datagram-batch", sent.get(0));

        List<String> messages = new ArrayList<>();
        assertTrue(DatagramBatch.read(
                StoredSamples.message("control-datagram-batch"),
                message -> messages.add(HexFormat.of().formatHex(message))));
        assertEquals(List.of("410102", "", "00".repeat(200)), messages);
    }

    /**
     * With fixed seeds, on virtual time: a sidecar subscribes to two scopes, one with an active policy, which is then
     * changed. Every datagram to and from the sidecar has to equal the stored one.
     */
    @Test
    void subscriptionExchangesTheStoredDatagrams() {
        ControlReplica replica = new ControlReplica(GROUP, REPLICA, 5, 0, content -> null);
        while (!replica.canVote() || !replica.isReady(nowMicros)) {
            step(replica, null);
        }
        assertEquals(Optional.empty(), replica.propose(0, FIRST, nowMicros, (to, datagram) -> {}));
        while (replica.isProposalPending(0)) {
            step(replica, null);
        }
        ControlClient sidecar =
                new ControlClient(GROUP, List.of(0, 1), new int[] {REPLICA}, 9, nowMicros, content -> null);
        while (!sidecar.isReady()) {
            step(replica, sidecar);
        }
        assertArrayEquals(
                FIRST,
                sidecar.content(0, sidecar.activeStage(0, nowMicros).newVersion())
                        .orElseThrow());
        assertEquals(
                Optional.empty(), replica.propose(0, SECOND, nowMicros, (to, datagram) -> toSidecar.add(datagram)));
        while (replica.isProposalPending(0) || sidecar.activeStage(0, nowMicros).isJoint()) {
            step(replica, sidecar);
        }
        ActiveStage active = sidecar.activeStage(0, nowMicros);
        assertTrue(active.leaseValid());
        assertArrayEquals(SECOND, sidecar.content(0, active.newVersion()).orElseThrow());
        assertEquals(0, sidecar.droppedMessages() + replica.droppedMessages());
        assertEquals(EXPECTED_KINDS, kinds);
        StoredSamples.assertWritten(
                "messages/control-subscription.txt", exchange.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void step(ControlReplica replica, ControlClient sidecar) {
        assertTrue(nowMicros < 60_000_000, "not done within a minute of virtual time");
        nowMicros += ControlReplica.TICK_INTERVAL_MICROS;
        replica.tick(nowMicros, (to, datagram) -> toSidecar.add(datagram));
        if (sidecar != null && nowMicros >= sidecar.nextTickMicros()) {
            sidecar.tick(nowMicros, (to, datagram) -> toReplica.add(datagram));
        }
        while (sidecar != null && !(toReplica.isEmpty() && toSidecar.isEmpty())) {
            if (!toReplica.isEmpty()) {
                byte[] datagram = record("sidecar", toReplica.remove(0));
                replica.receive(nowMicros, SIDECAR, datagram, (to, answer) -> toSidecar.add(answer));
            } else {
                byte[] datagram = record("replica", toSidecar.remove(0));
                sidecar.receive(nowMicros, REPLICA, datagram, (to, answer) -> toReplica.add(answer));
            }
        }
    }

    /** Adds a datagram to the recorded exchange. */
    private byte[] record(String sender, byte[] datagram) {
        exchange.append(sender)
                .append(' ')
                .append(HexFormat.of().formatHex(datagram))
                .append('\n');
        assertTrue(DatagramBatch.read(datagram, message -> kinds.add((int) message[KIND_INDEX])));
        return datagram;
    }
}
