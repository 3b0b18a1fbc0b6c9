package loadbalancer.balancing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the solution of Eq. (4) against the corollaries of the HALO paper and hand-computed cases. */
class HaloSplitTest {
    private static double[] values(double... values) {
        return values;
    }

    @Test
    void splitsInProportionToCapacityAtAndAboveSaturation() {
        assertArrayEquals(values(2.0 / 3, 1.0 / 3), HaloSplit.solve(values(1, 1), values(2, 1), 3), 1e-9);
        assertArrayEquals(values(2.0 / 3, 1.0 / 3), HaloSplit.solve(values(1, 1), values(2, 1), 30), 1e-9);
    }

    @Test
    void sendsEverythingToTheFastestGroupAtLowRatesAndAtZero() {
        assertArrayEquals(values(1, 0), HaloSplit.solve(values(1, 1), values(2, 1), 0.1), 1e-9);
        assertArrayEquals(values(0, 1), HaloSplit.solve(values(3, 2), values(1, 4), 0), 1e-9);
    }

    @Test
    void matchesAHandComputedCase() {
        // n = 2, mu = 4 and 1, rate 3: p1 = (4*1 - 1*2 + 3*2) / (3*(2+1)) = 8/9.
        assertArrayEquals(values(8.0 / 9, 1.0 / 9), HaloSplit.solve(values(1, 1), values(4, 1), 3), 1e-9);
    }

    @Test
    void dropsGroupsWithNegativeProbabilityAndSolvesAgain() {
        // With mu = 9, 4, 1/4 and rate 6 the probability of the slow group is negative. Without that group
        // p1 = (9*2 - 4*3 + 6*3) / 30.
        double[] probabilities = HaloSplit.solve(values(1, 1, 1), values(9, 4, 0.25), 6);
        assertArrayEquals(values(24.0 / 30, 6.0 / 30, 0), probabilities, 1e-9);
    }

    @Test
    void isInvariantUnderScalingOfGroupSizesAndRate() {
        double[] small = HaloSplit.solve(values(2, 3), values(2, 1), 5);
        double[] large = HaloSplit.solve(values(200, 300), values(2, 1), 500);
        assertArrayEquals(small, large, 1e-9);
        assertEquals(1, small[0] + small[1], 1e-9);
    }

    @Test
    void handlesEmptyGroupsAndManyGroups() {
        assertArrayEquals(values(1), HaloSplit.solve(values(5), values(2), 0.5), 1e-9);
        assertArrayEquals(values(0, 1), HaloSplit.solve(values(0, 2), values(5, 1), 1), 1e-9);
        assertArrayEquals(values(0, 0), HaloSplit.solve(values(0, 0), values(5, 1), 1), 1e-9);
        assertEquals(0, HaloSplit.solve(values(), values(), 1).length);
        double[] probabilities = HaloSplit.solve(values(1, 2, 3, 1), values(0.3, 7, 2, 90), 40);
        double sum = 0;
        for (double probability : probabilities) {
            assertTrue(probability >= 0 && probability <= 1);
            sum += probability;
        }
        assertEquals(1, sum, 1e-9);
    }
}
