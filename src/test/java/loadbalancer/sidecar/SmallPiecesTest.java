package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import loadbalancer.testbed.RawHttp2Client;
import loadbalancer.testbed.RawHttp2Node;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Messages that are written in the smallest pieces end like any others, in the memory that others need. */
@Timeout(60)
class SmallPiecesTest {
    private static final String PATH = "/stage.Booking/Lookup";
    /** As many calls, and bytes of each, as fill a sidecar's heap if each byte is held in a buffer of its own. */
    private static final int CALLS = 40;

    private static final int REQUEST_BYTES = 60_000;
    private static final int MESSAGE_BYTES = 600_000;
    private static final long SEED = 9;

    private static byte[] message(int length) {
        byte[] message = new byte[length];
        new Random(SEED).nextBytes(message);
        return message;
    }

    /** Guards against review case 9: an answer in pieces of 75 bytes ended its client's connection, without a status. */
    @ParameterizedTest
    @CsvSource({"Lookup,1", "Lookup,75", "Lookup,16384", "Echo,1", "Echo,75"})
    void grpcAnswerInPiecesOfAnySizeIsServed(String method, int pieceBytes) throws Exception {
        byte[] message = message(MESSAGE_BYTES);
        try (RawHttp2Node node = new RawHttp2Node(message, pieceBytes);
                SidecarHarness harness = new SidecarHarness().withGrpc()) {
            harness.addGrpcUpstream(node.port());
            harness.start();
            try (RawHttp2Client client = new RawHttp2Client(harness.sidecar.grpcAddress())) {
                client.openWindows(4 * MESSAGE_BYTES);
                for (int stream = 1; stream <= 3; stream += 2) {
                    client.call(stream, "/stage.Booking/" + method);
                    assertArrayEquals(RawHttp2Node.framed(message), client.response(stream));
                }
            }
        }
    }

    /** Guards against requests whose frames hold one byte each filling the heap, with a buffer for each. */
    @Test
    void grpcRequestsInPiecesOfOneByteAreServedInTheUsualMemory() throws Exception {
        List<RawHttp2Client> clients = new ArrayList<>();
        try (RawHttp2Node node = new RawHttp2Node(message(10), 10);
                SidecarProcessHarness harness = new SidecarProcessHarness()) {
            harness.operator = SidecarHarness.GRPC_TABLE;
            harness.grpcPort = node.port();
            harness.addUpstreams(1, (m, connection) -> connection.respond("200 OK", "", "done"));
            harness.start();
            for (int i = 0; i < CALLS; i++) {
                RawHttp2Client client = new RawHttp2Client(harness.process().grpcAddress());
                clients.add(client);
                client.frame(RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS, 1, RawHttp2Client.head(PATH));
                for (int sent = 0; sent < REQUEST_BYTES; sent++) {
                    client.frame(RawHttp2Client.DATA, 0, 1, 0);
                }
                client.flush();
            }
            for (RawHttp2Client client : clients) {
                client.frame(RawHttp2Client.DATA, RawHttp2Client.END_STREAM, 1, 0);
                client.flush();
                assertArrayEquals(RawHttp2Node.framed(message(10)), client.response(1));
            }
            assertEquals(List.of(), harness.faults());
            assertTrue(harness.peakMemoryMib() <= SidecarProcessHarness.MEMORY_LIMIT_MIB);
        } finally {
            for (RawHttp2Client client : clients) {
                client.close();
            }
        }
    }
}
