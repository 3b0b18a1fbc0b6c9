package loadbalancer.zones;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FlapDampingTest {
    private static final long SECOND = 1_000_000;

    @Test
    void flappingZoneIsSuppressedForABoundedTime() {
        // given
        FlapDamping damping = new FlapDamping(15 * SECOND);
        damping.zoneLost(0);
        damping.zoneLost(SECOND);
        assertFalse(damping.isSuppressed(2 * SECOND));
        // when
        damping.zoneLost(3 * SECOND);
        // then
        assertTrue(damping.isSuppressed(4 * SECOND));
        assertTrue(damping.isSuppressed(20 * SECOND));
        assertFalse(damping.isSuppressed(60 * SECOND));
        // The penalty is bounded, so suppression ends after four half-lives regardless of the number of losses.
        for (int i = 0; i < 1_000; i++) {
            damping.zoneLost(60 * SECOND + i);
        }
        assertFalse(damping.isSuppressed(60 * SECOND + 61 * SECOND));
    }
}
