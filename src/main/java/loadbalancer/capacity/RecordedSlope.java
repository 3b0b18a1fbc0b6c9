package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A figure's measured line, as {@code docs/capacity-slopes.csv} keeps it.
 *
 * @param sizes at which it was measured
 * @param date  of the run
 */
public record RecordedSlope(ScaleMetric metric, LinearFit fit, List<Integer> sizes, String date) {
    /** First line of the file. */
    public static final String HEADER = "figure,intercept,slope,residual,sizes,date";

    private static final int FIELDS = 6;

    /** As a line of the file. */
    public String csvLine() {
        StringBuilder joined = new StringBuilder();
        for (int size : sizes) {
            joined.append(joined.isEmpty() ? "" : " ").append(size);
        }
        return String.format(
                Locale.ROOT,
                "%s,%.6g,%.6g,%.3f,%s,%s",
                metric.key(),
                fit.intercept(),
                fit.slope(),
                fit.residual(),
                joined,
                date);
    }

    /**
     * Reads a whole file.
     *
     * @throws IllegalArgumentException that names the line and the field at fault
     */
    public static Map<ScaleMetric, RecordedSlope> read(List<String> lines) {
        if (lines.isEmpty() || !lines.get(0).equals(HEADER)) {
            throw new IllegalArgumentException("line 1: '" + HEADER + "' wanted");
        }
        Map<ScaleMetric, RecordedSlope> all = new EnumMap<>(ScaleMetric.class);
        for (int i = 1; i < lines.size(); i++) {
            try {
                RecordedSlope slope = parse(lines.get(i));
                all.put(slope.metric, slope);
            } catch (IllegalArgumentException exception) {
                throw new IllegalArgumentException("line " + (i + 1) + ": " + exception.getMessage(), exception);
            }
        }
        return all;
    }

    private static RecordedSlope parse(String line) {
        String[] fields = line.split(",", -1);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException(fields.length + " fields, " + FIELDS + " wanted");
        }
        List<Integer> sizes = new ArrayList<>();
        for (String size : fields[4].split(" ")) {
            sizes.add(Integer.valueOf(size));
        }
        LinearFit fit = new LinearFit(
                Double.parseDouble(fields[1]), Double.parseDouble(fields[2]), Double.parseDouble(fields[3]));
        return new RecordedSlope(ScaleMetric.of(fields[0]), fit, sizes, fields[5]);
    }
}
