package loadbalancer.core;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Counts why requests, attempts and connections ended, by reason, with the ids of the first requests of each. The
 * counts of a period are logged in one line, so that the log does not grow with the traffic. Must be used on the event
 * loop only.
 */
public final class EndReasons {
    /** Number of request ids that are kept for each reason. */
    private static final int MAX_IDS = 3;
    /** Limit on reasons of one subject; further ones are counted together. */
    private static final int MAX_REASONS = 32;

    private static final int MAX_ID_CHARS = 40;
    private static final String OTHER = "other";

    private final Map<Subject, Map<String, Tally>> tallies = new EnumMap<>(Subject.class);

    /** What ended, or was repeated. */
    public enum Subject {
        REQUEST_REJECTED("requests rejected"),
        REQUEST_FAILED("requests failed"),
        REQUEST_ABANDONED("requests of clients that left"),
        ATTEMPT_RETRIED("attempts followed by another"),
        CLIENT_CONNECTION_CLOSED("client connections closed"),
        UPSTREAM_CONNECTION_CLOSED("upstream connections closed"),
        MEMORY_EXCEEDED("memory limits reached");

        private final String text;

        Subject(String text) {
            this.text = text;
        }
    }

    /** Counts one end; {@code id} is that of the request, null if there is none. */
    public void record(Subject subject, String reason, String id) {
        Map<String, Tally> byReason = tallies.computeIfAbsent(subject, absent -> new LinkedHashMap<>());
        String counted = byReason.size() < MAX_REASONS || byReason.containsKey(reason) ? reason : OTHER;
        byReason.computeIfAbsent(counted, absent -> new Tally()).add(id);
    }

    /** Counts one end that concerns no single request. */
    public void record(Subject subject, String reason) {
        record(subject, reason, null);
    }

    /** Logs the counts since the last report, if there are any, and starts again from zero. */
    public void report(long periodSeconds) {
        if (tallies.isEmpty()) {
            return;
        }
        StringJoiner subjects = new StringJoiner("; ");
        LogEvent event = LogEvent.info("ended").field("seconds", periodSeconds);
        tallies.forEach((subject, byReason) -> {
            StringJoiner reasons = new StringJoiner(", ");
            byReason.forEach((reason, tally) -> reasons.add(reason + ' ' + tally));
            subjects.add(subject.text + ": " + reasons);
            event.field(subject.name(), reasons.toString());
        });
        tallies.clear();
        event.message("in " + periodSeconds + " s " + subjects).emit();
    }

    /** The number of ends of one reason, with the first ids. */
    private static final class Tally {
        private long count;
        private final List<String> ids = new ArrayList<>(MAX_IDS);

        private void add(String id) {
            count++;
            if (id != null && ids.size() < MAX_IDS) {
                ids.add(id.length() <= MAX_ID_CHARS ? id : id.substring(0, MAX_ID_CHARS));
            }
        }

        @Override
        public String toString() {
            return ids.isEmpty() ? String.valueOf(count) : count + " (" + String.join(" ", ids) + ")";
        }
    }
}
