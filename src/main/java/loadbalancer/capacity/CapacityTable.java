package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What each role bears at the target, from recorded slopes and plain arithmetic, beside its budget. Pure. */
public final class CapacityTable {
    /** A row is over its budget from this ratio on. */
    private static final double OVER = 1;
    /** From here on a ratio is told without its hundredths, and a number as a power of ten. */
    private static final double LARGE = 1_000, HUGE = 1e9;

    /** First line and rule of the table. */
    static final String HEAD = "| role | what | at 2,100 | budget | ratio | from | carried by |\n"
            + "| --- | --- | --- | --- | --- | --- | --- |\n";

    /**
     * @param value     at the target
     * @param budget    in the same unit
     * @param from      the figures it is made of, with how
     * @param mechanism the package that carries it, or what is missing
     */
    record Row(String role, String what, double value, double budget, String unit, String from, String mechanism) {
        double ratio() {
            return value / budget;
        }

        String markdown() {
            return String.format(
                    Locale.ROOT,
                    "| %s | %s | %s | %s | %s | %s | %s |\n",
                    role,
                    what,
                    (number(value) + " " + unit).trim(),
                    number(budget),
                    ratio() < LARGE ? String.format(Locale.ROOT, "%.2f", ratio()) : number(ratio()),
                    from,
                    mechanism);
        }

        private static String number(double n) {
            if (n >= HUGE) {
                return String.format(Locale.ROOT, "%.1e", n);
            }
            return n >= 100 ? String.format(Locale.ROOT, "%,.0f", n) : String.format(Locale.ROOT, "%.3g", n);
        }
    }

    private final Map<ScaleMetric, RecordedSlope> slopes;

    private CapacityTable(Map<ScaleMetric, RecordedSlope> slopes) {
        this.slopes = slopes;
    }

    /** The whole table in Markdown; rows whose figures were not measured are left out. */
    public static String markdown(Map<ScaleMetric, RecordedSlope> slopes) {
        StringBuilder table = new StringBuilder(HEAD);
        new CapacityTable(slopes).rows().forEach(row -> table.append(row.markdown()));
        return table.toString();
    }

    /** A sentence for each row that is over its budget. */
    public static List<String> overBudget(Map<ScaleMetric, RecordedSlope> slopes) {
        return new CapacityTable(slopes)
                .rows().stream()
                        .filter(row -> row.ratio() > OVER)
                        .map(row -> String.format(
                                Locale.ROOT, "%s, %s: %.3g times its budget", row.role, row.what, row.ratio()))
                        .toList();
    }

    private double at(ScaleMetric figure) {
        return slopes.get(figure).fit().valueAt(CapacityTarget.SIDECARS);
    }

    private boolean has(ScaleMetric... figures) {
        for (ScaleMetric figure : figures) {
            if (!slopes.containsKey(figure)) {
                return false;
            }
        }
        return true;
    }

    private List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        voter(rows);
        member(rows);
        changes(rows);
        control(rows);
        load(rows);
        sidecar(rows);
        chain(rows);
        arithmetic(rows);
        return rows;
    }

    private void voter(List<Row> rows) {
        String flat = "`consensus`, flat: a control tier in its place";
        if (has(ScaleMetric.VOTER_BYTES, ScaleMetric.VOTER_DATAGRAMS)) {
            double bytes = at(ScaleMetric.VOTER_BYTES)
                    + CapacityTarget.DATAGRAM_HEADER_BYTES * at(ScaleMetric.VOTER_DATAGRAMS);
            rows.add(new Row(
                    "voter, itself a sidecar",
                    "bytes a second at rest, with headers",
                    bytes,
                    CapacityTarget.MAX_CONTROL_BYTES_PER_SECOND,
                    "B/s",
                    "voter-bytes + 28 voter-datagrams",
                    flat));
        }
        if (has(ScaleMetric.VOTER_CORES)) {
            rows.add(new Row(
                    "voter, itself a sidecar",
                    "processor at rest",
                    at(ScaleMetric.VOTER_CORES),
                    CapacityTarget.MAX_CONTROL_CORES,
                    "cores",
                    "voter-cores",
                    flat));
        }
    }

    private void member(List<Row> rows) {
        if (has(ScaleMetric.MEMBER_BYTES, ScaleMetric.MEMBER_DATAGRAMS)) {
            double bytes = at(ScaleMetric.MEMBER_BYTES)
                    + CapacityTarget.DATAGRAM_HEADER_BYTES * at(ScaleMetric.MEMBER_DATAGRAMS);
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
                    at(ScaleMetric.MEMBER_CORES),
                    CapacityTarget.MAX_CONTROL_CORES,
                    "cores",
                    "member-cores",
                    "`consensus`"));
        }
        if (has(ScaleMetric.MEMBER_HEAP)) {
            rows.add(new Row(
                    "sidecar, leases",
                    "heap, its part of a host of 525",
                    at(ScaleMetric.MEMBER_HEAP),
                    CapacityTarget.MAX_CONTROL_KILOBYTES,
                    "KB",
                    "member-heap",
                    "`consensus`"));
        }
    }

    private void changes(List<Row> rows) {
        if (has(ScaleMetric.START)) {
            rows.add(new Row(
                    "all sidecars",
                    "all start at once: the last is sure",
                    at(ScaleMetric.START),
                    CapacityTarget.MAX_START_MILLIS,
                    "ms",
                    "start",
                    "`consensus`"));
        }
        if (has(ScaleMetric.CHANGE)) {
            rows.add(new Row(
                    "all sidecars",
                    "a change, nobody away",
                    at(ScaleMetric.CHANGE),
                    CapacityTarget.MAX_CHANGE_MILLIS,
                    "ms",
                    "change",
                    "`consensus`"));
        }
        if (has(ScaleMetric.CHANGE_ONE_AWAY)) {
            double oneAway = at(ScaleMetric.CHANGE_ONE_AWAY);
            rows.add(new Row(
                    "all sidecars",
                    "a change, one sidecar away",
                    oneAway,
                    CapacityTarget.MAX_CHANGE_MILLIS,
                    "ms",
                    "change-one-away",
                    "`consensus`"));
            rows.add(new Row(
                    "all sidecars",
                    "a second change right behind it",
                    2 * oneAway,
                    CapacityTarget.MAX_CHANGE_MILLIS,
                    "ms",
                    "2 change-one-away",
                    "`consensus`, flat: a control tier in its place"));
        }
    }

    private void control(List<Row> rows) {
        withHeaders(
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
        withHeaders(
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

    private void withHeaders(List<Row> rows, String role, ScaleMetric bytes, ScaleMetric datagrams, double budget) {
        if (has(bytes, datagrams)) {
            rows.add(new Row(
                    role,
                    "bytes a second at rest, with headers",
                    at(bytes) + CapacityTarget.DATAGRAM_HEADER_BYTES * at(datagrams),
                    budget,
                    "B/s",
                    bytes.key() + " + " + CapacityTarget.DATAGRAM_HEADER_BYTES + " " + datagrams.key(),
                    "`control`"));
        }
    }

    private void addRow(List<Row> rows, String role, String what, ScaleMetric figure, double budget, String unit) {
        if (has(figure)) {
            rows.add(new Row(role, what, at(figure), budget, unit, figure.key(), "`control`"));
        }
    }

    private void load(List<Row> rows) {
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

    private void sidecar(List<Row> rows) {
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
                    at(ScaleMetric.SIDECAR_CORES),
                    CapacityTarget.MAX_CONTROL_CORES,
                    "cores",
                    "sidecar-cores",
                    "`membership`, `sidecar`"));
        }
    }

    private void chain(List<Row> rows) {
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

    private static void arithmetic(List<Row> rows) {
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
