package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A table of the load on each role at the target size beside its budget, extrapolated from recorded slopes or
 * calculated. Does no I/O. The table is part of docs/CAPACITY.md, so its texts can only change together with that page.
 */
public final class CapacityTable {
    /** A row is over its budget above this ratio. */
    private static final double MAX_RATIO = 1;
    /** Ratios from this one on are written without decimals. */
    private static final double MIN_WHOLE_RATIO = 1_000;
    /** Values and ratios from this one on are written in scientific notation. */
    private static final double MIN_SCIENTIFIC = 1e9;

    /** Header row and delimiter row of the table. */
    static final String HEADER = "| role | what | at 2,100 | budget | ratio | from | carried by |\n"
            + "| --- | --- | --- | --- | --- | --- | --- |\n";

    /**
     * A row of the table.
     *
     * @param quantity what is compared with the budget
     * @param value value of the quantity at the target size
     * @param budget largest permitted value, in the same unit
     * @param formula metrics and constants from which the value is calculated
     * @param implementation package that carries the load, or what is missing
     */
    record Row(
            String role,
            String quantity,
            double value,
            double budget,
            String unit,
            String formula,
            String implementation) {
        double ratio() {
            return value / budget;
        }

        String markdown() {
            return String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %s | %s | %s |\n",
                    role,
                    quantity,
                    (format(value) + " " + unit).trim(),
                    format(budget),
                    ratio() < MIN_WHOLE_RATIO ? String.format(Locale.ROOT, "%.2f", ratio()) : format(ratio()),
                    formula,
                    implementation);
        }

        private static String format(double value) {
            if (value >= MIN_SCIENTIFIC) {
                return String.format(Locale.ROOT, "%.1e", value);
            }
            return value >= 100
                    ? String.format(Locale.ROOT, "%,.0f", value)
                    : String.format(Locale.ROOT, "%.3g", value);
        }
    }

    private final Map<ScaleMetric, RecordedSlope> slopes;

    private CapacityTable(Map<ScaleMetric, RecordedSlope> slopes) {
        this.slopes = slopes;
    }

    /** The whole table in Markdown; rows whose metrics were not measured are left out. */
    public static String markdown(Map<ScaleMetric, RecordedSlope> slopes) {
        StringBuilder table = new StringBuilder(HEADER);
        new CapacityTable(slopes).rows().forEach(row -> table.append(row.markdown()));
        return table.toString();
    }

    /** A message for each row that is over its budget. */
    public static List<String> overBudget(Map<ScaleMetric, RecordedSlope> slopes) {
        return new CapacityTable(slopes)
                .rows().stream()
                        .filter(row -> row.ratio() > MAX_RATIO)
                        .map(row -> String.format(
                                Locale.ROOT, "%s, %s: %.3g times its budget", row.role, row.quantity, row.ratio()))
                        .toList();
    }

    /** The value of a metric at the target number of sidecars. */
    private double atTarget(ScaleMetric metric) {
        return slopes.get(metric).fit().valueAt(CapacityTarget.SIDECARS);
    }

    private boolean has(ScaleMetric... metrics) {
        for (ScaleMetric metric : metrics) {
            if (!slopes.containsKey(metric)) {
                return false;
            }
        }
        return true;
    }

    private List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        addVoterRows(rows);
        addNonVoterRows(rows);
        addChangeRows(rows);
        addControlTierRows(rows);
        addGossipRows(rows);
        addEndpointListRows(rows);
        addChainRows(rows);
        addCalculatedRows(rows);
        return rows;
    }

    private void addVoterRows(List<Row> rows) {
        String implementation = "`consensus`, flat: a control tier in its place";
        if (has(ScaleMetric.VOTER_BYTES, ScaleMetric.VOTER_DATAGRAMS)) {
            double bytes = atTarget(ScaleMetric.VOTER_BYTES)
                    + CapacityTarget.DATAGRAM_HEADER_BYTES * atTarget(ScaleMetric.VOTER_DATAGRAMS);
            rows.add(new Row(
                    "voter, itself a sidecar",
                    "bytes a second at rest, with headers",
                    bytes,
                    CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND,
                    "B/s",
                    "voter-bytes + 28 voter-datagrams",
                    implementation));
        }
        if (has(ScaleMetric.VOTER_CORES)) {
            rows.add(new Row(
                    "voter, itself a sidecar",
                    "processor at rest",
                    atTarget(ScaleMetric.VOTER_CORES),
                    CapacityTarget.MAX_CONTROL_CORES,
                    "cores",
                    "voter-cores",
                    implementation));
        }
    }

    private void addNonVoterRows(List<Row> rows) {
        if (has(ScaleMetric.MEMBER_BYTES, ScaleMetric.MEMBER_DATAGRAMS)) {
            double bytes = atTarget(ScaleMetric.MEMBER_BYTES)
                    + CapacityTarget.DATAGRAM_HEADER_BYTES * atTarget(ScaleMetric.MEMBER_DATAGRAMS);
            rows.add(new Row(
                    "sidecar, leases",
                    "bytes a second at rest, with headers",
                    bytes,
                    CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND,
                    "B/s",
                    "member-bytes + 28 member-datagrams",
                    "`consensus`"));
        }
        if (has(ScaleMetric.MEMBER_CORES)) {
            rows.add(new Row(
                    "sidecar, leases",
                    "processor at rest",
                    atTarget(ScaleMetric.MEMBER_CORES),
                    CapacityTarget.MAX_CONTROL_CORES,
                    "cores",
                    "member-cores",
                    "`consensus`"));
        }
        if (has(ScaleMetric.MEMBER_HEAP)) {
            rows.add(new Row(
                    "sidecar, leases",
                    "heap, its part of a host of 525",
                    atTarget(ScaleMetric.MEMBER_HEAP),
                    CapacityTarget.MAX_CONTROL_KILOBYTES,
                    "KB",
                    "member-heap",
                    "`consensus`"));
        }
    }

    private void addChangeRows(List<Row> rows) {
        if (has(ScaleMetric.START)) {
            rows.add(new Row(
                    "all sidecars",
                    "all start at once: the last is sure",
                    atTarget(ScaleMetric.START),
                    CapacityTarget.MAX_START_MILLIS,
                    "ms",
                    "start",
                    "`consensus`"));
        }
        if (has(ScaleMetric.CHANGE)) {
            rows.add(new Row(
                    "all sidecars",
                    "a change, nobody away",
                    atTarget(ScaleMetric.CHANGE),
                    CapacityTarget.MAX_CHANGE_MILLIS,
                    "ms",
                    "change",
                    "`consensus`"));
        }
        if (has(ScaleMetric.CHANGE_ONE_AWAY)) {
            double oneUnreachableMillis = atTarget(ScaleMetric.CHANGE_ONE_AWAY);
            rows.add(new Row(
                    "all sidecars",
                    "a change, one sidecar away",
                    oneUnreachableMillis,
                    CapacityTarget.MAX_CHANGE_MILLIS,
                    "ms",
                    "change-one-away",
                    "`consensus`"));
            rows.add(new Row(
                    "all sidecars",
                    "a second change right behind it",
                    2 * oneUnreachableMillis,
                    CapacityTarget.MAX_CHANGE_MILLIS,
                    "ms",
                    "2 change-one-away",
                    "`consensus`, flat: a control tier in its place"));
        }
    }

    private void addControlTierRows(List<Row> rows) {
        addTrafficRow(
                rows,
                "control replica that votes",
                ScaleMetric.REPLICA_BYTES,
                ScaleMetric.REPLICA_DATAGRAMS,
                CapacityTarget.MAX_REPLICA_BYTES_PER_SECOND);
        addRow(
                rows,
                "control replica that votes",
                "processor at rest",
                ScaleMetric.REPLICA_CORES,
                CapacityTarget.MAX_REPLICA_CORES,
                "cores");
        addTrafficRow(
                rows,
                "sidecar, four scopes",
                ScaleMetric.SUBSCRIBER_BYTES,
                ScaleMetric.SUBSCRIBER_DATAGRAMS,
                CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND);
        addRow(
                rows,
                "sidecar, four scopes",
                "processor at rest",
                ScaleMetric.SUBSCRIBER_CORES,
                CapacityTarget.MAX_CONTROL_CORES,
                "cores");
        addRow(
                rows,
                "sidecar, four scopes",
                "heap, its part of a host",
                ScaleMetric.SUBSCRIBER_HEAP,
                CapacityTarget.MAX_CONTROL_KILOBYTES,
                "KB");
        String role = "all sidecars, control tier";
        addRow(
                rows,
                role,
                "all start at once: the last is sure",
                ScaleMetric.CONTROL_START,
                CapacityTarget.MAX_START_MILLIS,
                "ms");
        addRow(rows, role, "a change, nobody away", ScaleMetric.CONTROL_CHANGE, CapacityTarget.MAX_CHANGE_MILLIS, "ms");
        addRow(
                rows,
                role,
                "a change, one sidecar away",
                ScaleMetric.CONTROL_CHANGE_ONE_AWAY,
                CapacityTarget.MAX_CHANGE_MILLIS,
                "ms");
        addRow(
                rows,
                role,
                "a second change right behind it",
                ScaleMetric.CONTROL_SECOND_CHANGE,
                CapacityTarget.MAX_CHANGE_MILLIS,
                "ms");
    }

    private void addTrafficRow(List<Row> rows, String role, ScaleMetric bytes, ScaleMetric datagrams, double budget) {
        if (has(bytes, datagrams)) {
            rows.add(new Row(
                    role,
                    "bytes a second at rest, with headers",
                    atTarget(bytes) + CapacityTarget.DATAGRAM_HEADER_BYTES * atTarget(datagrams),
                    budget,
                    "B/s",
                    bytes.key() + " + " + CapacityTarget.DATAGRAM_HEADER_BYTES + " " + datagrams.key(),
                    "`control`"));
        }
    }

    private void addRow(List<Row> rows, String role, String quantity, ScaleMetric metric, double budget, String unit) {
        if (has(metric)) {
            rows.add(new Row(role, quantity, atTarget(metric), budget, unit, metric.key(), "`control`"));
        }
    }

    private void addGossipRows(List<Row> rows) {
        if (!has(ScaleMetric.LOAD_MESSAGES, ScaleMetric.LOAD_BYTES)) {
            return;
        }
        double messages = slopes.get(ScaleMetric.LOAD_MESSAGES).fit().valueAt(CapacityTarget.MAX_LOAD_MESSAGE_SIDECARS);
        double bytes = slopes.get(ScaleMetric.LOAD_BYTES).fit().valueAt(CapacityTarget.MAX_LOAD_MESSAGE_SIDECARS)
                + CapacityTarget.DATAGRAM_HEADER_BYTES;
        rows.add(new Row(
                "sidecar, load messages",
                "bytes a second in and out, if sent as at 300 sidecars",
                2 * CapacityTarget.requestsPerSecondPerSidecar() * messages * bytes,
                CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND,
                "B/s",
                "2 x 47.6 load-messages x (load-bytes + 28)",
                "`gossip.InFlightGossip`: missing a budget in bytes"));
    }

    private void addEndpointListRows(List<Row> rows) {
        if (has(ScaleMetric.SIDECAR_RESIDENT)) {
            rows.add(new Row(
                    "sidecar, list",
                    "memory for 2,100 upstreams",
                    slopes.get(ScaleMetric.SIDECAR_RESIDENT).fit().slope() * CapacityTarget.SIDECARS,
                    CapacityTarget.MAX_CONTROL_KILOBYTES,
                    "KB",
                    "2,100 x slope of sidecar-resident",
                    "`membership`"));
        }
        if (has(ScaleMetric.SIDECAR_CORES)) {
            rows.add(new Row(
                    "sidecar, list",
                    "processor without requests",
                    atTarget(ScaleMetric.SIDECAR_CORES),
                    CapacityTarget.MAX_CONTROL_CORES,
                    "cores",
                    "sidecar-cores",
                    "`membership`, `sidecar`"));
        }
    }

    private void addChainRows(List<Row> rows) {
        if (has(ScaleMetric.CHAIN_ADDED_P99)) {
            rows.add(new Row(
                    "sidecar, data path",
                    "added to a call, 99 in 100, chains of 8 and less",
                    slopes.get(ScaleMetric.CHAIN_ADDED_P99).fit().slope(),
                    CapacityTarget.MAX_ADDED_P99_MICROS,
                    "us",
                    "slope of chain-added-p99",
                    "`http1`, `core`"));
        }
        if (has(ScaleMetric.CHAIN_ATTEMPTS_LOG)) {
            double attempts =
                    Math.exp(slopes.get(ScaleMetric.CHAIN_ATTEMPTS_LOG).fit().valueAt(CapacityTarget.CHAIN_DEPTH));
            rows.add(new Row(
                    "chain, 20 deep",
                    "attempts at a failing last hop for each request",
                    attempts,
                    CapacityTarget.MAX_ATTEMPTS_PER_REQUEST,
                    "",
                    "exp(chain-attempts-log at 20)",
                    "missing: a budget of attempts that goes with the call"));
        }
    }

    private static void addCalculatedRows(List<Row> rows) {
        double pairs = (double) CapacityTarget.SIDECARS * CapacityTarget.SIDECARS;
        rows.add(new Row(
                "sidecar, subsets",
                "pairs of sidecars and upstreams",
                pairs,
                CapacityTarget.MAX_SUBSET_PAIRS,
                "",
                "2,100 x 2,100",
                "`gossip.SubsetAssignment`: missing subsets by service"));
        double listBytes = (double) CapacityTarget.SIDECARS * CapacityTarget.LIST_ENTRY_BYTES;
        rows.add(new Row(
                "sidecar, list",
                "whole list at a start, spread over 10 s",
                listBytes / (CapacityTarget.MAX_START_MILLIS / 1e3),
                CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND,
                "B/s",
                "2,100 x 150 B / 10 s",
                "`membership.registry`: missing lists by service"));
        rows.add(new Row(
                "discovery",
                "whole lists when all start in 10 s, of a link of 1 Gbit/s",
                listBytes * CapacityTarget.SIDECARS / (CapacityTarget.MAX_START_MILLIS / 1e3),
                125_000_000,
                "B/s",
                "2,100 x 2,100 x 150 B / 10 s",
                "outside; missing lists by service"));
    }
}
