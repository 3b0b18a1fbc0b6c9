package loadbalancer.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class SubscriberIdsTest {
    private static final int FIRST_ID = 11;

    private final SubscriberIds ids = new SubscriberIds(FIRST_ID);

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    @Test
    void addressKeepsItsId() {
        assertEquals(OptionalInt.of(11), ids.idOf(address(1), 0));
        assertEquals(OptionalInt.of(12), ids.idOf(address(2), 0));
        assertEquals(OptionalInt.of(11), ids.idOf(address(1), SubscriberIds.IDLE_TIMEOUT_MICROS * 2));
        assertEquals(Optional.of(address(2)), ids.address(12));
        assertEquals(Optional.empty(), ids.address(13));
    }

    @Test
    void newAddressGetsTheIdOfAnIdleAddress() {
        // given
        for (int port = 1; port <= SubscriberIds.MAX_SUBSCRIBERS; port++) {
            ids.idOf(address(port), port == 7 ? 0 : 1);
        }
        assertEquals(
                OptionalInt.empty(),
                ids.idOf(address(9_000), SubscriberIds.IDLE_TIMEOUT_MICROS - 1),
                "no address has been idle for long enough");
        for (int port = 1; port <= SubscriberIds.MAX_SUBSCRIBERS; port++) {
            if (port != 7) {
                ids.idOf(address(port), SubscriberIds.IDLE_TIMEOUT_MICROS);
            }
        }
        // when
        OptionalInt id = ids.idOf(address(9_000), SubscriberIds.IDLE_TIMEOUT_MICROS);
        // then
        assertEquals(OptionalInt.of(17), id);
        assertEquals(Optional.of(address(9_000)), ids.address(17));
        assertEquals(OptionalInt.empty(), ids.idOf(address(9_001), SubscriberIds.IDLE_TIMEOUT_MICROS));
        assertEquals(SubscriberIds.MAX_SUBSCRIBERS, ids.size());
    }
}
