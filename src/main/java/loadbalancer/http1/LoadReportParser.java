package loadbalancer.http1;

import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.settings.LoadReportBuilder;

/** Parses load reports of the form {@code TEXT inflight=7, queue=2, util=0.61}. */
public final class LoadReportParser {
    private static final String PREFIX = "TEXT ";
    /** Largest accepted value. No upstream reports more; a larger value would exclude its upstream for good. */
    private static final double MAX_VALUE = 10_000;

    private LoadReportParser() {}

    /** Parses a report; returns null if the text is null or malformed. */
    public static LoadReport parse(String text) {
        if (text == null || !text.startsWith(PREFIX)) {
            return null;
        }
        LoadReportBuilder values = new LoadReportBuilder();
        for (String pair : text.substring(PREFIX.length()).split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                return null;
            }
            double value;
            try {
                value = Double.parseDouble(pair.substring(equals + 1).trim());
            } catch (NumberFormatException malformed) {
                return null;
            }
            if (!(value >= 0 && value <= MAX_VALUE)) {
                return null;
            }
            values.put(pair.substring(0, equals).trim(), value);
        }
        return values.build();
    }
}
