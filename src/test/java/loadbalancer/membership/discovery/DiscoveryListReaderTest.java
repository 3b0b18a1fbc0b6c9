package loadbalancer.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.json.JsonException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Responses of discovery of which some entries can't be read. */
class DiscoveryListReaderTest {
    private static String entry(String id, String address, String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"lifecycle\":\"" + lifecycle + "\"}";
    }

    private static DiscoveryListReader.Reading read(boolean complete, String... entries) {
        String body =
                "{\"generation\":41,\"reset\":" + complete + ",\"instances\":[" + String.join(",", entries) + "]}";
        return DiscoveryListReader.read(body.getBytes(StandardCharsets.UTF_8), 99);
    }

    private static List<String> states(DiscoveryListReader.Reading reading) {
        return reading.list().endpoints().stream()
                .map(endpoint ->
                        endpoint.upstream().id() + "=" + endpoint.upstream().state())
                .toList();
    }

    @Test
    void readsACompleteListWithoutEntries() {
        DiscoveryListReader.Reading reading = read(true);
        assertEquals(Optional.empty(), reading.error());
        assertTrue(reading.list().complete());
        assertFalse(reading.partial().isEmpty(), "it withdraws all upstreams");
    }

    @Test
    void keepsTheEntriesBesideAnUnreadableOne() {
        DiscoveryListReader.Reading reading = read(
                true,
                entry("u1", "10.0.0.1:80", "Terminating"),
                entry("u2", "nowhere", "Ready"),
                entry("u3", "10.0.0.3:80", "?"),
                entry("u4", "10.0.0.4:80", "Ready"));
        assertEquals(List.of("u1=DRAINING", "u4=READY"), states(reading));
        assertEquals(Set.of("u2", "u3"), reading.partial().unreadableIds());
        assertEquals(
                Optional.of("2 of 4 entries can't be read, the first: u2: no address: 'nowhere'"), reading.error());
        assertTrue(reading.list().complete());
    }

    @Test
    void withdrawsAnUpstreamWhoseEntryIsOtherwiseUnreadable() {
        DiscoveryListReader.Reading draining = read(false, entry("u1", "nowhere", "Terminating"));
        assertEquals(List.of("u1=GONE"), states(draining));
        assertTrue(draining.error().isPresent());
        DiscoveryListReader.Reading gone = read(false, "{\"instanceId\":\"u1\",\"lifecycle\":\"Gone\"}");
        assertEquals(List.of("u1=GONE"), states(gone));
        assertEquals(Optional.empty(), gone.error(), "an upstream that is gone needs no address");
    }

    /** The entry may stand for any upstream, which must not be removed for that. */
    @Test
    void takesAListWithAnEntryWithoutIdForChanges() {
        for (String withoutId : List.of("7", "null", "{\"hostPort\":\"10.0.0.1:80\",\"lifecycle\":\"Ready\"}")) {
            DiscoveryListReader.Reading reading = read(true, withoutId, entry("u1", "10.0.0.1:80", "Terminating"));
            assertFalse(reading.list().complete(), withoutId);
            assertEquals(List.of("u1=DRAINING"), states(reading), withoutId);
            assertTrue(reading.error().isPresent(), withoutId);
        }
    }

    @Test
    void rejectsAListWithoutItsOwnFields() {
        for (String body : List.of(
                "",
                "[]",
                "{\"generation\":41,\"reset\":true}",
                "{\"reset\":true,\"instances\":[]}",
                "{\"instances\":[]}")) {
            assertThrows(
                    JsonException.class,
                    () -> DiscoveryListReader.read(body.getBytes(StandardCharsets.UTF_8), 99),
                    body);
        }
    }

    @Test
    void withdrawalsLeaveOutReadyUpstreams() {
        DiscoveryListReader.Reading reading =
                read(true, entry("u1", "10.0.0.1:80", "Ready"), entry("u2", "10.0.0.2:80", "Gone"));
        assertFalse(reading.withdrawals().readable().complete());
        assertEquals(
                List.of("u2"),
                reading.withdrawals().readable().endpoints().stream()
                        .map(endpoint -> endpoint.upstream().id())
                        .toList());
    }

    /** Whatever entries stand beside it, and in whatever order, a withdrawal is read. */
    @Property(seed = "3307", tries = 200)
    void everyWithdrawalIsReadBesideAnyDamage(
            @ForAll @IntRange(max = 20) int withdrawals, @ForAll @IntRange(max = 20) int damaged, @ForAll long seed) {
        Random random = new Random(seed);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < withdrawals; i++) {
            entries.add(entry("w" + i, "10.0.0.1:80", random.nextBoolean() ? "Terminating" : "Gone"));
        }
        for (int i = 0; i < damaged; i++) {
            String[] damage = {
                "7",
                "null",
                "[]",
                "{}",
                "\"x\"",
                entry("d" + i, "", "Ready"),
                entry("d" + i, "10.0.0.1:80", ""),
                entry("d" + i, "10.0.0.1:80", "Ready").replace("{", "{\"weight\":\"heavy\",")
            };
            entries.add(damage[random.nextInt(damage.length)]);
        }
        Collections.shuffle(entries, random);
        DiscoveryListReader.Reading reading = read(random.nextBoolean(), entries.toArray(String[]::new));
        assertEquals(
                withdrawals,
                reading.list().endpoints().stream()
                        .filter(endpoint -> endpoint.upstream().state() != UpstreamState.READY)
                        .count());
        assertEquals(damaged > 0, reading.error().isPresent());
    }
}
