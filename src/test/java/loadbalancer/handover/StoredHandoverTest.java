package loadbalancer.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.membership.OutOfServiceUpstreams;
import loadbalancer.stored.StoredSamples;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compatibility of the state file that an older process of a sidecar leaves for a newer one in an upgrade. */
class StoredHandoverTest {
    private static final String SAMPLE = "handover-state.bin";
    private static final String SIDECAR = "orders/0";
    /** One entry in each map, since the order of several is not preserved. */
    private static final OutOfServiceUpstreams.Snapshot SNAPSHOT = new OutOfServiceUpstreams.Snapshot(
            Map.of("orders-1", 1_764_700_000_000_001L), Map.of("orders-2", 1_764_700_001_000_000L));

    @Test
    void storedStateIsDecodedAndEncodedByteForByte() throws Exception {
        StoredSamples.assertWritten(SAMPLE, new HandoverState(SIDECAR, SNAPSHOT).encode());
        assertEquals(new HandoverState(SIDECAR, SNAPSHOT), HandoverState.decode(StoredSamples.bytes(SAMPLE), SIDECAR));
    }

    @Test
    void storedStateIsFoundByItsFileName(@TempDir Path folder) throws Exception {
        Files.write(folder.resolve("bridgecleat-orders_0.handover"), StoredSamples.bytes(SAMPLE));
        try (HandoverFolder handover = new HandoverFolder(folder, SIDECAR)) {
            assertEquals(SNAPSHOT, handover.read());
        }
    }
}
