package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.Random;
import loadbalancer.testbed.RawHttp2Client;
import loadbalancer.testbed.RawHttp2Node;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Messages that are written in the smallest pieces end like any others, in the memory that others need. */
@Timeout(60)
class SmallPiecesTest {
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
}
