package loadbalancer.trace.read;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import loadbalancer.trace.SpanAttributes;

/** Renders the requests of one trace as text, a line a span on one time scale. Pure. */
public final class Waterfall {
    private static final int BAR_COLUMNS = 48;
    private static final int NAME_COLUMNS = 42;
    /** Deepest level of child spans that is shown. */
    private static final int MAX_DEPTH = 12;

    private final long startNanos;
    private final long endNanos;
    private final List<String> lines = new ArrayList<>();

    private Waterfall(long startNanos, long endNanos) {
        this.startNanos = startNanos;
        this.endNanos = Math.max(endNanos, startNanos + 1);
    }

    /** Lines for the requests in the given order, each followed by its attempts, their child spans and its phases. */
    public static List<String> of(List<AssembledTrace> traces) {
        long startNanos = traces.stream()
                .mapToLong(trace -> trace.request().startNanos())
                .min()
                .orElse(0);
        long endNanos = traces.stream()
                .mapToLong(trace -> Math.max(
                        trace.request().endNanos(),
                        trace.attempts().stream()
                                .mapToLong(RecordedSpan::endNanos)
                                .max()
                                .orElse(0)))
                .max()
                .orElse(1);
        Waterfall waterfall = new Waterfall(startNanos, endNanos);
        for (AssembledTrace trace : traces) {
            waterfall.addRequest(trace.request());
            for (RecordedSpan attempt : trace.attempts()) {
                waterfall.addAttempt(trace.request(), attempt);
                waterfall.addChildren(2, attempt, trace.children(), 0);
            }
            waterfall.addPhases(trace);
        }
        return waterfall.lines;
    }

    private void addRequest(RecordedSpan request) {
        addLine(
                0,
                request,
                request.attribute(SpanAttributes.REQUEST_ID) + " " + request.attribute(SpanAttributes.REQUEST_CLASS),
                request.attribute(SpanAttributes.RESULT) + " (" + request.attribute(SpanAttributes.REASONS)
                        + "), aim " + request.attribute(SpanAttributes.LATENCY_OBJECTIVE_MILLIS) + " ms"
                        + (request.attributes().containsKey(SpanAttributes.UNREAD_MILLIS)
                                ? ", lay unread for up to " + request.attribute(SpanAttributes.UNREAD_MILLIS) + " ms"
                                : "")
                        + (request.links().isEmpty() ? "" : ", the client's own retry"));
    }

    private void addAttempt(RecordedSpan request, RecordedSpan attempt) {
        addLine(
                1,
                attempt,
                "attempt " + attempt.attribute(SpanAttributes.ATTEMPT) + " at "
                        + attempt.attribute(SpanAttributes.UPSTREAM),
                attempt.attribute(SpanAttributes.OUTCOME)
                        + (attempt.attribute(SpanAttributes.MAY_HAVE_RUN).equals("true")
                                ? ", may have run"
                                : ", never ran")
                        + (attempt.attribute(SpanAttributes.HEDGED).equals("true") ? ", a second copy" : "")
                        + (attempt.attribute(SpanAttributes.NEW_CONNECTION).equals("true")
                                ? ", on a new connection"
                                : "")
                        + (attempt.endNanos() > request.endNanos() ? ", outlived its answer" : "")
                        + nodeLoad(attempt));
    }

    private void addPhases(AssembledTrace trace) {
        String phases = trace.phaseNanos().entrySet().stream()
                .filter(e -> e.getValue() >= 500_000)
                .map(e -> String.format(Locale.ROOT, "%.0f ms %s", e.getValue() / 1e6, e.getKey().description))
                .collect(Collectors.joining(", "));
        lines.add("      " + (phases.isEmpty() ? "no time to speak of" : phases));
    }

    private static String nodeLoad(RecordedSpan attempt) {
        return attempt.attributes().containsKey(SpanAttributes.NODE_IN_FLIGHT)
                ? String.format(
                        Locale.ROOT,
                        ", node held %.0f, %.0f waiting",
                        attempt.numericAttribute(SpanAttributes.NODE_IN_FLIGHT, 0),
                        attempt.numericAttribute(SpanAttributes.NODE_QUEUED, 0))
                : "";
    }

    private void addChildren(
            int depth, RecordedSpan parent, Map<String, List<RecordedSpan>> children, long parentShiftNanos) {
        if (depth > MAX_DEPTH) {
            return;
        }
        children.getOrDefault(parent.spanId(), List.of()).stream()
                .sorted(Comparator.comparingLong(RecordedSpan::startNanos))
                .forEach(c -> {
                    long shiftNanos = parentShiftNanos
                            + ClockSkew.correctionNanos(
                                    parent.startNanos(),
                                    parent.endNanos(),
                                    c.startNanos() + parentShiftNanos,
                                    c.endNanos() + parentShiftNanos,
                                    true);
                    RecordedSpan shifted = c.shiftedBy(shiftNanos);
                    addLine(
                            depth,
                            shifted,
                            c.service() + " " + c.name(),
                            (shifted.endNanos() > parent.endNanos() ? "outlived its attempt" : "")
                                    + (Math.abs(shiftNanos) < 1_000_000
                                            ? ""
                                            : String.format(
                                                    Locale.ROOT, " (its clock is %.0f ms off)", -shiftNanos / 1e6)));
                    addChildren(depth + 1, shifted, children, shiftNanos);
                });
    }

    private void addLine(int depth, RecordedSpan span, String name, String details) {
        String head = "  ".repeat(depth) + name;
        StringBuilder bar = new StringBuilder(" ".repeat(BAR_COLUMNS));
        int first = column(span.startNanos());
        int last = Math.max(first, column(span.endNanos()));
        for (int i = first; i <= last; i++) {
            bar.setCharAt(i, '=');
        }
        for (long timeNanos : span.events().values()) {
            bar.setCharAt(column(timeNanos), '|');
        }
        lines.add(String.format(
                        Locale.ROOT,
                        "%-" + NAME_COLUMNS + "s [%s] %7.1f +%.1f ms  %s",
                        head.length() > NAME_COLUMNS ? head.substring(0, NAME_COLUMNS) : head,
                        bar,
                        (span.startNanos() - startNanos) / 1e6,
                        (span.endNanos() - span.startNanos()) / 1e6,
                        details)
                .stripTrailing());
    }

    private int column(long nanos) {
        long timeNanos = Math.max(0, Math.min(endNanos - startNanos, nanos - startNanos));
        return (int) Math.min(BAR_COLUMNS - 1, timeNanos * BAR_COLUMNS / (endNanos - startNanos));
    }
}
