package loadbalancer.wire;

import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.settings.LoadReportBuilder;

/** Converts keywords and values of the simulator's line protocol to the balancer's types. */
final class WireValues {
    private static final String NOT_REPORTED = "-";

    private WireValues() {}

    static EndpointListKind endpointListKind(long mode) {
        return switch ((int) mode) {
            case 0 -> EndpointListKind.FULL;
            case 2 -> EndpointListKind.DELTA;
            case 3 -> EndpointListKind.FAILED;
            case 4 -> EndpointListKind.CACHED;
            default -> throw new WireException("ANNOUNCE mode " + mode + " is unknown");
        };
    }

    static UpstreamState upstreamState(int state, String line) {
        return switch (state) {
            case 0 -> UpstreamState.GONE;
            case 1 -> UpstreamState.READY;
            case 2 -> UpstreamState.DRAINING;
            default -> throw new WireException("state " + state + " is unknown in '" + line + "'");
        };
    }

    static Outcome outcome(String text) {
        return switch (text) {
            case "GOOD" -> Outcome.OK;
            case "BAD" -> Outcome.ERROR;
            case "FULL" -> Outcome.REJECTED;
            case "LATE" -> Outcome.TIMEOUT;
            case "NOCONN" -> Outcome.CONNECT_FAILED;
            case "RST" -> Outcome.RESET;
            case "CXL" -> Outcome.CANCELLED;
            case "NOP" -> Outcome.NOT_SENT;
            default -> throw new WireException("outcome '" + text + "' is unknown");
        };
    }

    /** Returns a load report of comma-separated values in the order of {@code names}; null if {@code row} is null. */
    static LoadReport loadReport(String row, List<String> names) {
        if (row == null) {
            return null;
        }
        LoadReportBuilder report = new LoadReportBuilder();
        String[] parts = row.split(",");
        for (int i = 0; i < parts.length && i < names.size(); i++) {
            try {
                report.put(names.get(i), parts[i].equals(NOT_REPORTED) ? -1 : Double.parseDouble(parts[i]));
            } catch (NumberFormatException exception) {
                throw new WireException("load report '" + row + "' has a value that is not a number");
            }
        }
        return report.build();
    }

    /** Decodes a message; empty if it is absent. */
    static byte[] bytes(String base64) {
        try {
            return base64 == null ? new byte[0] : Base64.getDecoder().decode(base64);
        } catch (IllegalArgumentException exception) {
            throw new WireException("'" + base64 + "' is not base64");
        }
    }

    /** Reads the path=value pairs in the rest of a line. */
    static Map<String, String> settings(FieldReader fields) {
        Map<String, String> values = new HashMap<>();
        while (fields.hasMore()) {
            String pair = fields.text();
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new WireException("setting '" + pair + "' is not of the form path=value");
            }
            values.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return values;
    }
}
