package loadbalancer.simulation.accounting;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Counts why requests were not served in time, one cause each: the first without which the request would have been. */
public final class LatenessCauses {
    private final Map<Cause, Long> counts = new EnumMap<>(Cause.class);
    private long requests;

    /** In order of preference: the first ones are those that a sidecar could do most about. */
    public enum Cause {
        REJECTED_DESPITE_CAPACITY("refused_with_room", "refused while a usable upstream had a core free"),
        REJECTED_WITHOUT_CAPACITY("refused", "refused, and none had"),
        FAILED("failed", "failed"),
        UPSTREAM_FAULT("ill", "its upstream was cold, slow, stood still or erred"),
        AVOIDABLE_QUEUE("crowd", "a queue, while another usable upstream had a core free"),
        UNAVOIDABLE_QUEUE("full", "a queue, and none had"),
        EARLIER_ATTEMPT("repeat", "an attempt before it served nothing"),
        CLIENT_RETRY("again", "its client's first try was turned away"),
        SIDECAR_QUEUE("held", "it waited in its sidecar"),
        NETWORK("connection", "a connection had to be made, or the way was long"),
        SERVICE_TIME("work", "its own work takes longer than its aim"),
        COMBINED("together", "several of these, none of them alone");

        private final String jsonName;
        private final String description;

        Cause(String jsonName, String description) {
            this.jsonName = jsonName;
            this.description = description;
        }

        /** As the table has it. */
        public String description() {
            return description;
        }
    }

    /** A request has ended for its client, in time or not. */
    public void requestEnded() {
        requests++;
    }

    /** A request was not served in time, for this cause. */
    public void add(Cause cause) {
        counts.merge(cause, 1L, Long::sum);
    }

    /** Requests of this cause. */
    public long count(Cause cause) {
        return counts.getOrDefault(cause, 0L);
    }

    /** A line for each cause with requests, the most frequent first; none if no request has ended. */
    public List<String> lines() {
        if (requests == 0) {
            return List.of();
        }
        long lateCount = counts.values().stream().mapToLong(count -> count).sum();
        List<String> lines = new ArrayList<>();
        lines.add(String.format(
                Locale.ROOT,
                "not in time %d of %d requests (%.1f %%)",
                lateCount,
                requests,
                100.0 * lateCount / requests));
        counts.entrySet().stream()
                .sorted((first, second) -> Long.compare(second.getValue(), first.getValue()))
                .forEach(entry -> lines.add(String.format(
                        Locale.ROOT,
                        "  %5.1f %%  %6d  %s",
                        100.0 * entry.getValue() / lateCount,
                        entry.getValue(),
                        entry.getKey().description)));
        return lines;
    }

    /** For JSON. */
    Map<String, Object> asMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("requests", requests);
        counts.forEach((cause, count) -> map.put(cause.jsonName, count));
        return map;
    }
}
