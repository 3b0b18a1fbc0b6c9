package loadbalancer.zones;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class ZonePreferenceTest {
    private static final double OVERPROVISIONING = 1.4;

    private static double[] loadFractions(double... availableFractions) {
        return ZonePreference.loadFractions(availableFractions, new int[] {4, 4, 4}, OVERPROVISIONING, 0.3);
    }

    @Test
    void loadSpillsOverToLaterTiersAndIsSplitBySizeInPanic() {
        assertArrayEquals(new double[] {1, 0, 0}, loadFractions(1, 1, 1), 1e-9);
        assertArrayEquals(new double[] {1, 0, 0}, loadFractions(0.75, 1, 1), 1e-9);
        assertArrayEquals(new double[] {0.7, 0.3, 0}, loadFractions(0.5, 1, 1), 1e-9);
        assertArrayEquals(new double[] {0, 1, 0}, loadFractions(0, 1, 1), 1e-9);
        assertArrayEquals(new double[] {1 / 3.0, 1 / 3.0, 1 / 3.0}, loadFractions(0.25, 0, 0), 1e-9);
    }

    @Property(seed = "29", tries = 1_000)
    void loadFractionsSumToOneAndChangeSmoothly(
            @ForAll @DoubleRange(min = 0.2, max = 1) double firstAvailable,
            @ForAll @DoubleRange(min = 0.2, max = 1) double secondAvailable) {
        // given
        int[] tierSizes = {3, 5};
        // when
        double[] fractions = ZonePreference.loadFractions(
                new double[] {firstAvailable, secondAvailable}, tierSizes, OVERPROVISIONING, 0.1);
        double[] withLess = ZonePreference.loadFractions(
                new double[] {firstAvailable - 0.01, secondAvailable}, tierSizes, OVERPROVISIONING, 0.1);
        // then
        assertEquals(1, fractions[0] + fractions[1], 1e-9);
        assertTrue(Math.abs(fractions[0] - withLess[0]) < 0.05, fractions[0] + " " + withLess[0]);
    }
}
