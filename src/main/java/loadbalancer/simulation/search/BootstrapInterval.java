package loadbalancer.simulation.search;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The mean of some figures, with an interval in which it lies nineteen times out of twenty, by the percentiles of resampled means. */
public record BootstrapInterval(double mean, double low, double high) {
    private static final int RESAMPLES = 2_000;

    /** @param figures at least one; the same figures give the same interval */
    public static BootstrapInterval of(double[] figures) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(20_261_201L);
        double[] means = new double[RESAMPLES];
        for (int r = 0; r < RESAMPLES; r++) {
            double sum = 0;
            for (int i = 0; i < figures.length; i++) {
                sum += figures[random.nextInt(figures.length)];
            }
            means[r] = sum / figures.length;
        }
        Arrays.sort(means);
        return new BootstrapInterval(
                Arrays.stream(figures).average().orElse(0),
                means[RESAMPLES / 40],
                means[RESAMPLES - 1 - RESAMPLES / 40]);
    }
}
