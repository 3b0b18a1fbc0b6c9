package loadbalancer.trace.read;

import java.util.List;
import java.util.Map;

/**
 * One span read from a file of any service. Ids are hexadecimal, times nanoseconds of Unix time; attributes are text, lists joined
 * by commas; events map a name to its time.
 */
public record RecordedSpan(
        String service,
        String traceId,
        String spanId,
        String parentSpanId,
        String name,
        String kind,
        long startNanos,
        long endNanos,
        Map<String, String> attributes,
        Map<String, Long> events,
        List<String> links) {
    /** The attribute's text; empty if absent. */
    public String attribute(String key) {
        return attributes.getOrDefault(key, "");
    }

    double numericAttribute(String key, double absent) {
        try {
            return attributes.containsKey(key) ? Double.parseDouble(attributes.get(key)) : absent;
        } catch (NumberFormatException exception) {
            return absent;
        }
    }

    RecordedSpan shiftedBy(long nanos) {
        return nanos == 0
                ? this
                : new RecordedSpan(
                        service,
                        traceId,
                        spanId,
                        parentSpanId,
                        name,
                        kind,
                        startNanos + nanos,
                        endNanos + nanos,
                        attributes,
                        events,
                        links);
    }
}
