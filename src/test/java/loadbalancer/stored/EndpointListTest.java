package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.disk.EndpointListFile;
import loadbalancer.membership.disk.EndpointListStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Compatibility of the endpoint list that a sidecar stores on disk for its next start. */
class EndpointListTest {
    private static final String SAMPLE = "endpoint-list.bin", FLEET = "orders";
    private static final long SEQUENCE = 7;
    private static final EndpointList LIST = new EndpointList(
            ListSource.DISK,
            4_711,
            true,
            1_764_700_000_123_000L,
            List.of(
                    new Endpoint(
                            new Upstream(
                                    "orders-1",
                                    "north",
                                    "m5",
                                    3,
                                    1_764_600_000_500_000L,
                                    1,
                                    UpstreamState.READY,
                                    Uncertainty.NONE,
                                    0,
                                    Balancer.HTTP1 | Balancer.GRPC),
                            "10.0.0.1:8080",
                            "10.0.0.1:9090"),
                    new Endpoint(
                            new Upstream(
                                    "orders-2",
                                    "süd",
                                    "",
                                    -1,
                                    0,
                                    0.25,
                                    UpstreamState.DRAINING,
                                    Uncertainty.NONE,
                                    0,
                                    Balancer.HTTP1),
                            "[2001:db8::2]:8080",
                            null),
                    new Endpoint(
                            new Upstream(
                                    "orders-3",
                                    "west",
                                    "c6",
                                    0,
                                    1_764_500_000_000_000L,
                                    2,
                                    UpstreamState.GONE,
                                    Uncertainty.NONE,
                                    0,
                                    Balancer.HTTP1),
                            "10.0.0.3:8080",
                            null)));

    @Test
    void storedListIsDecodedAndEncodedByteForByte() throws Exception {
        StoredSamples.assertWritten(SAMPLE, new EndpointListFile(SEQUENCE, LIST).encode(FLEET));
        assertEquals(new EndpointListFile(SEQUENCE, LIST), EndpointListFile.decode(StoredSamples.bytes(SAMPLE), FLEET));
    }

    @Test
    void storedListIsFoundByItsFileNameAndTheNextOneHasTheNextSequenceNumber(@TempDir Path folder) throws Exception {
        Files.write(folder.resolve("list.1"), StoredSamples.bytes(SAMPLE));
        try (EndpointListStore store = new EndpointListStore(folder, FLEET, 100_000)) {
            assertEquals(Optional.of(LIST), store.read(logLine -> {
                throw new AssertionError(logLine);
            }));
            store.write(LIST);
        }
        assertEquals(
                SEQUENCE + 1,
                EndpointListFile.decode(Files.readAllBytes(folder.resolve("list.0")), FLEET)
                        .sequence());
    }
}
