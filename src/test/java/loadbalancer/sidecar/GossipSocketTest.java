package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class GossipSocketTest {
    private static DatagramSocket socket() throws Exception {
        DatagramSocket s = new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        s.setSoTimeout(20_000);
        return s;
    }

    @Test
    void receivesOnlyFromPeersAndUpTo256Bytes() throws Exception {
        try (DatagramSocket peer = socket();
                DatagramSocket unknownSender = socket();
                DatagramSocket broadcast = socket();
                SidecarHarness harness = new SidecarHarness()) {
            harness.extraConfigFields = "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"127.0.0.1:9\",\"127.0.0.1:"
                    + peer.getLocalPort() + "\"],\"peers_all\":\"127.0.0.1:" + broadcast.getLocalPort() + "\",";
            harness.onRequest = (nowMicros, r, out) -> {
                out.gossip(1, new byte[5]);
                out.gossip(7, new byte[5]);
                out.gossip(1, new byte[257]);
                out.gossip(1, new byte[256]);
                out.gossip(-1, new byte[7]);
                out.fail(r.id());
            };
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(502, client.status());
            }
            DatagramPacket got = new DatagramPacket(new byte[1000], 1000);
            peer.receive(got);
            assertEquals(5, got.getLength());
            InetSocketAddress sidecar = (InetSocketAddress) got.getSocketAddress();
            got.setLength(1000);
            peer.receive(got);
            assertEquals(256, got.getLength());
            got.setLength(1000);
            broadcast.receive(got);
            assertEquals(7, got.getLength());

            unknownSender.send(new DatagramPacket(new byte[3], 3, sidecar));
            peer.send(new DatagramPacket(new byte[257], 257, sidecar));
            peer.send(new DatagramPacket(new byte[0], 0, sidecar));
            peer.send(new DatagramPacket(new byte[256], 256, sidecar));
            assertEquals("peer 1 0", harness.await("peer"));
            assertEquals("peer 1 256", harness.await("peer"));
        }
    }
}
