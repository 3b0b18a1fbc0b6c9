package loadbalancer.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Addresses;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import org.junit.jupiter.api.Test;

/** Reading and writing discovery's JSON format of endpoint lists. */
class DiscoveryListFormatTest {
    private static final String ENTRY =
            "{\"instanceId\":\"s-1\",\"hostPort\":\"10.1.0.18:8081\",\"zone\":\"a\",\"machineType\":\"m2\","
                    + "\"cell\":3,\"lifecycle\":\"Ready\",\"weight\":1.5,\"startedAtMs\":1700000000123,\"new\":{\"x\":[1]}}";

    private static EndpointList read(String... entries) {
        return DiscoveryListFormat.read(
                JsonObject.parse(
                        ("{\"generation\":41,\"reset\":true,\"instances\":[" + String.join(",", entries) + "]}")
                                .getBytes(StandardCharsets.UTF_8)),
                ListSource.DISCOVERY,
                99);
    }

    @Test
    void readsEveryField() {
        EndpointList list = read(ENTRY);
        assertEquals(41, list.generation());
        assertEquals(99, list.asOfMicros());
        assertTrue(list.complete());
        Endpoint endpoint = list.endpoints().get(0);
        assertEquals("10.1.0.18:8081", endpoint.address());
        assertNull(endpoint.grpcAddress());
        Balancer.Upstream upstream = endpoint.upstream();
        assertEquals("s-1", upstream.id());
        assertEquals("a", upstream.zone());
        assertEquals("m2", upstream.machineType());
        assertEquals(3, upstream.cell());
        assertEquals(1.5, upstream.weight());
        assertEquals(1_700_000_000_123_000L, upstream.startedMicros());
        assertEquals(UpstreamState.READY, upstream.state());
        assertEquals(Balancer.HTTP1, upstream.protocols());
        assertEquals(Balancer.Uncertainty.NONE, upstream.uncertainty());
    }

    @Test
    void mapsLifecyclesToStates() {
        assertEquals(
                List.of(UpstreamState.DRAINING, UpstreamState.GONE),
                read(ENTRY.replace("Ready", "Terminating"), ENTRY.replace("Ready", "Gone")).endpoints().stream()
                        .map(endpoint -> endpoint.upstream().state())
                        .toList());
    }

    /** The gRPC port is at the same host. */
    @Test
    void readsTheGrpcPort() {
        Endpoint endpoint = read(ENTRY.replace("\"cell\"", "\"grpcPort\":9090,\"cell\""))
                .endpoints()
                .get(0);
        assertEquals("10.1.0.18:9090", endpoint.grpcAddress());
        assertEquals(Balancer.HTTP1 | Balancer.GRPC, endpoint.upstream().protocols());
    }

    @Test
    void readsMissingFieldsAsTheirDefaults() {
        Balancer.Upstream upstream = read("{\"instanceId\":\"s\",\"hostPort\":\"[::1]:80\",\"lifecycle\":\"Ready\"}")
                .endpoints()
                .get(0)
                .upstream();
        assertEquals("", upstream.zone());
        assertEquals(-1, upstream.cell());
        assertEquals(0, upstream.startedMicros());
        assertEquals(1, upstream.weight());
    }

    /** Skipping only the invalid endpoint would remove it, because endpoints that a complete list lacks are removed. */
    @Test
    void rejectsTheWholeListForOneInvalidEndpoint() {
        Map<String, String> messages = new LinkedHashMap<>();
        messages.put(
                ENTRY.replace("Ready", "ready"), "lifecycle must be 'Ready', 'Terminating' or 'Gone', not 'ready'");
        messages.put(ENTRY.replace("10.1.0.18:8081", "host:8081"), "no address: 'host:8081'");
        messages.put(ENTRY.replace("10.1.0.18:8081", "10.1.0.18"), "no address: '10.1.0.18'");
        messages.put(ENTRY.replace("10.1.0.18:8081", "10.1.0.18:99999"), "no address: '10.1.0.18:99999'");
        messages.put(ENTRY.replace("\"cell\"", "\"grpcPort\":70000,\"cell\""), "no address: '10.1.0.18:70000'");
        messages.put(ENTRY.replace("\"instanceId\":\"s-1\",", ""), "'instanceId' is missing");
        messages.put(ENTRY.replace("1700000000123", "\"soon\""), "'startedAtMs' is not a number");
        messages.forEach((entry, message) -> assertEquals(
                message,
                assertThrows(IllegalArgumentException.class, () -> read(ENTRY, entry), entry)
                        .getMessage()));
    }

    @Test
    void readsListsThatItHasWritten() {
        for (String entry : List.of(
                ENTRY,
                ENTRY.replace("Ready", "Terminating"),
                ENTRY.replace("\"cell\"", "\"grpcPort\":9090,\"cell\""))) {
            EndpointList list = read(entry);
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("generation", 41);
            json.put("reset", true);
            json.put(
                    "instances",
                    list.endpoints().stream().map(DiscoveryListFormat::write).toList());
            assertEquals(
                    list, DiscoveryListFormat.read(JsonObject.parse(JsonObject.write(json)), ListSource.DISCOVERY, 99));
        }
    }

    /** Looking up a host name would block the event loop. */
    @Test
    void rejectsAddressesThatAreNotNumeric() {
        assertEquals(8081, Addresses.parse("10.1.0.18:8081").getPort());
        assertEquals(80, Addresses.parse("[::1]:80").getPort());
        for (String invalid : new String[] {
            "", ":", ":80", "localhost:80", "10.1.0.18:", "10.1.0.18:x", "10.1.0.18:-1", "10.1.0:80", "256.1.1.1:80"
        }) {
            assertEquals(
                    "no address: '" + invalid + "'",
                    assertThrows(IllegalArgumentException.class, () -> Addresses.parse(invalid), invalid)
                            .getMessage());
        }
    }
}
