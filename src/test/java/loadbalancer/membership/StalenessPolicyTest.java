package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import loadbalancer.membership.StalenessPolicy.Staleness;
import org.junit.jupiter.api.Test;

class StalenessPolicyTest {
    private static final long NOW = 1_700_000_000_000_000L;

    @Test
    void classifiesAgesAtEachBound() {
        StalenessPolicy policy = new StalenessPolicy(30, 1_000, StalenessPolicy.AGE_UNKNOWN, 4, 8);
        Map<Long, Staleness> stalenessByAge = Map.of(
                0L, Staleness.FRESH,
                30L, Staleness.FRESH,
                31L, Staleness.STALE,
                1_000L, Staleness.STALE,
                1_001L, Staleness.EXPIRED,
                -1L, Staleness.STALE,
                -1_000_000_000L, Staleness.STALE);
        stalenessByAge.forEach((ageMicros, staleness) ->
                assertEquals(staleness, policy.classify(NOW, NOW - ageMicros), "age " + ageMicros));
    }

    @Test
    void classifiesAListWithoutATimeByTheAssumedAge() {
        assertEquals(
                Staleness.STALE, new StalenessPolicy(30, 1_000, StalenessPolicy.AGE_UNKNOWN, 4, 8).classify(NOW, 0));
        assertEquals(Staleness.FRESH, new StalenessPolicy(30, 1_000, 0, 4, 8).classify(NOW, 0));
        assertEquals(Staleness.STALE, new StalenessPolicy(30, 1_000, 31, 4, 8).classify(NOW, 0));
        assertEquals(Staleness.EXPIRED, new StalenessPolicy(30, 1_000, 2_000, 4, 8).classify(NOW, 0));
    }

    @Test
    void doesNotClassifyListsIfThePolicyAcceptsAll() {
        for (long asOfMicros : new long[] {0, 1, NOW, NOW + 1_000}) {
            assertEquals(Staleness.UNCHECKED, StalenessPolicy.ACCEPT_ALL.classify(NOW, asOfMicros));
        }
    }

    @Test
    void rejectsValuesOutOfBounds() {
        assertThrows(IllegalArgumentException.class, () -> new StalenessPolicy(-1, 0, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new StalenessPolicy(2, 1, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new StalenessPolicy(0, 1, 0, 0, 1));
        assertThrows(IllegalArgumentException.class, () -> new StalenessPolicy(0, 1, 0, Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new StalenessPolicy(0, 1, 0, 1, 0));
    }
}
