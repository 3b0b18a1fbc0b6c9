package loadbalancer.trace;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The list of vendors' entries that travels with a trace (W3C Trace Context, section 3.3), and OpenTelemetry's entry in it,
 * {@code ot}, which tells with what probability the trace was marked ({@code th}) and its randomness ({@code rv}).
 */
final class TraceState {
    private static final int MAX_ENTRIES = 32, MAX_LENGTH = 512, MAX_KEY_LENGTH = 256;
    private static final String OPENTELEMETRY_PREFIX = "ot=";

    private TraceState() {}

    /** Several headers are one list. Empty where there is none, or where it breaks its rules. */
    static String parse(List<? extends CharSequence> headers) {
        int length = headers.size();
        for (CharSequence header : headers) {
            length += header.length();
        }
        if (headers.isEmpty() || length > MAX_LENGTH) {
            return "";
        }
        List<String> entries = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (CharSequence header : headers) {
            for (String entry : header.toString().split(",", -1)) {
                String e = entry.strip();
                int equals = e.indexOf('=');
                if (e.isEmpty()) {
                    continue;
                }
                if (equals < 1
                        || !isValidKey(e, equals)
                        || !isValidValue(e, equals + 1)
                        || !keys.add(e.substring(0, equals))) {
                    return "";
                }
                entries.add(e);
            }
        }
        return entries.size() > MAX_ENTRIES ? "" : String.join(",", entries);
    }

    private static boolean isValidKey(String e, int length) {
        for (int i = 0; i < length; i++) {
            char c = e.charAt(i);
            boolean plain = c >= 'a' && c <= 'z' || c >= '0' && c <= '9';
            if (!plain && (i == 0 || "_-*/@".indexOf(c) < 0)) {
                return false;
            }
        }
        return length <= MAX_KEY_LENGTH;
    }

    private static boolean isValidValue(String e, int from) {
        for (int i = from; i < e.length(); i++) {
            char c = e.charAt(i);
            if (c < 0x20 || c > 0x7e || c == '=' && i == from - 1) {
                return false;
            }
        }
        return from < e.length() && e.indexOf('=', from) < 0 && e.length() - from <= MAX_KEY_LENGTH;
    }

    /** The value of one field of {@code ot}; null where it has none. */
    static String field(String state, String name) {
        for (String entry : state.split(",")) {
            if (entry.startsWith(OPENTELEMETRY_PREFIX)) {
                for (String field :
                        entry.substring(OPENTELEMETRY_PREFIX.length()).split(";")) {
                    if (field.startsWith(name + ":")) {
                        return field.substring(name.length() + 1);
                    }
                }
            }
        }
        return null;
    }

    /** The list with this threshold in {@code ot}, or with none where it is null; what is changed comes first. */
    static String withThreshold(String state, String threshold) {
        List<String> others = new ArrayList<>();
        List<String> fields = new ArrayList<>();
        if (threshold != null) {
            fields.add("th:" + threshold);
        }
        for (String entry : state.isEmpty() ? new String[0] : state.split(",")) {
            if (entry.startsWith(OPENTELEMETRY_PREFIX)) {
                for (String field :
                        entry.substring(OPENTELEMETRY_PREFIX.length()).split(";")) {
                    if (!field.startsWith("th:")) {
                        fields.add(field);
                    }
                }
            } else {
                others.add(entry);
            }
        }
        if (!fields.isEmpty()) {
            others.add(0, OPENTELEMETRY_PREFIX + String.join(";", fields));
        }
        while (others.size() > MAX_ENTRIES || String.join(",", others).length() > MAX_LENGTH) {
            others.remove(others.size() - 1);
        }
        return String.join(",", others);
    }
}
