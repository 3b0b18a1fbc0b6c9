package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LinearFitTest {
    @Test
    void pointsOnALineLeaveNothingUnexplained() {
        LinearFit fit = LinearFit.of(new double[] {100, 200, 400}, new double[] {207, 407, 807});
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(7, fit.intercept(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
        assertEquals(4_207, fit.valueAt(2_100), 1e-6);
    }

    @Test
    void aPointOffTheLineShowsInTheResidual() {
        LinearFit fit = LinearFit.of(new double[] {1, 2, 3, 4}, new double[] {10, 20, 30, 60});
        assertTrue(fit.residual() > 0.05 && fit.residual() < 0.2, fit.toString());
    }

    @Test
    void oneSizeMakesNoLine() {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(new double[] {5}, new double[] {1}));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(new double[] {5, 5}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(new double[] {5, 6}, new double[] {1}));
    }
}
