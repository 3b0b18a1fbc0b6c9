package loadbalancer.trace.read;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.trace.SpanAttributes;

/** Assembles spans from any number of files into requests. Pure. */
public final class TraceAssembler {
    private final Map<String, List<RecordedSpan>> children = new HashMap<>();
    private final List<RecordedSpan> requests = new ArrayList<>();
    private final Set<String> seenSpanIds = new HashSet<>();

    /** Adds a span, in any order; duplicates, as after a lost collector response, count once. */
    public void add(RecordedSpan span) {
        if (!seenSpanIds.add(span.traceId() + span.spanId())) {
            return;
        }
        if (span.attributes().containsKey(SpanAttributes.REQUEST_ID)) {
            requests.add(span);
        }
        if (!span.parentSpanId().isEmpty()) {
            children.computeIfAbsent(span.parentSpanId(), p -> new ArrayList<>(2))
                    .add(span);
        }
    }

    /** All requests by start time. */
    public List<AssembledTrace> all() {
        List<AssembledTrace> all = new ArrayList<>(requests.stream()
                .map(request -> AssembledTrace.of(request, children))
                .toList());
        all.sort(Comparator.comparingLong(trace -> trace.request().startNanos()));
        return all;
    }

    /** All requests of the traces with this trace id prefix or request id. */
    public List<AssembledTrace> named(String id) {
        Set<String> traces = new HashSet<>();
        for (RecordedSpan request : requests) {
            if (request.traceId().startsWith(id)
                    || request.attribute(SpanAttributes.REQUEST_ID).equals(id)) {
                traces.add(request.traceId());
            }
        }
        return all().stream()
                .filter(trace -> traces.contains(trace.request().traceId()))
                .toList();
    }
}
