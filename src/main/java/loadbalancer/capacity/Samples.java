package loadbalancer.capacity;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Measured values by metric and size, and the line fitted to those of each metric. Not thread-safe. */
public final class Samples {
    private final Map<ScaleMetric, TreeMap<Integer, Double>> values = new EnumMap<>(ScaleMetric.class);

    /** Adds a value measured at a size; replaces an earlier one of the same metric and size. */
    public void put(ScaleMetric metric, int size, double value) {
        values.computeIfAbsent(metric, key -> new TreeMap<>()).put(size, value);
    }

    /** Fits a line to each metric that was measured at two sizes or more; {@code date} is the day of the run. */
    public Map<ScaleMetric, RecordedSlope> slopes(String date) {
        Map<ScaleMetric, RecordedSlope> slopes = new EnumMap<>(ScaleMetric.class);
        values.forEach((metric, bySize) -> {
            if (bySize.size() > 1) {
                slopes.put(
                        metric,
                        new RecordedSlope(
                                metric, fit(bySize), bySize.keySet().stream().toList(), date));
            }
        });
        return slopes;
    }

    private static LinearFit fit(TreeMap<Integer, Double> bySize) {
        double[] sizes =
                bySize.keySet().stream().mapToDouble(Integer::doubleValue).toArray();
        double[] measuredValues =
                bySize.values().stream().mapToDouble(Double::doubleValue).toArray();
        return LinearFit.of(sizes, measuredValues);
    }
}
