package loadbalancer.trace;

import java.util.List;

/**
 * Where a span stands: its trace, itself, and what goes on to the next hop, after W3C Trace Context, level 2.
 *
 * @param traceIdHigh  the trace's id, its first eight bytes
 * @param traceIdLow   the rest of it, of which the last seven bytes are its randomness
 * @param spanIdBits  the id of the span
 * @param flags the bits {@link #SAMPLED} and {@link #RANDOM}
 * @param traceState the list of vendors' entries, as it came or with this program's own; empty for none
 */
public record SpanContext(long traceIdHigh, long traceIdLow, long spanIdBits, int flags, String traceState) {
    /** Whoever comes before has kept, or will keep, its part of the trace. */
    public static final int SAMPLED = 1;
    /** The trace's id was drawn at random, at least its last seven bytes. */
    public static final int RANDOM = 2;

    private static final int LENGTH = 55,
            TRACE_ID_HIGH_OFFSET = 3,
            TRACE_ID_LOW_OFFSET = 19,
            SPAN_ID_OFFSET = 36,
            FLAGS_OFFSET = 53;

    /**
     * From the headers of a request; null where there is no trace to go on with. Nothing of it is believed beyond its form:
     * two parents are none, and a list of vendors' entries that breaks its rules is dropped alone.
     */
    public static SpanContext parse(List<? extends CharSequence> parents, List<? extends CharSequence> states) {
        if (parents.size() != 1) {
            return null;
        }
        CharSequence header = parents.get(0);
        int version = header.length() < LENGTH ? -1 : (int) parseHex(header, 0, 2);
        boolean form = version >= 0
                && version != 0xff
                && header.charAt(2) == '-'
                && header.charAt(35) == '-'
                && header.charAt(52) == '-'
                && (header.length() == LENGTH || version > 0 && header.charAt(LENGTH) == '-');
        if (!form
                || !isLowerHex(header, TRACE_ID_HIGH_OFFSET, 35)
                || !isLowerHex(header, SPAN_ID_OFFSET, 52)
                || !isLowerHex(header, FLAGS_OFFSET, LENGTH)) {
            return null;
        }
        long high = parseHex(header, TRACE_ID_HIGH_OFFSET, TRACE_ID_LOW_OFFSET);
        long low = parseHex(header, TRACE_ID_LOW_OFFSET, 35);
        long span = parseHex(header, SPAN_ID_OFFSET, 52);
        if ((high | low) == 0 || span == 0) {
            return null;
        }
        return new SpanContext(
                high,
                low,
                span,
                (int) parseHex(header, FLAGS_OFFSET, LENGTH) & (SAMPLED | RANDOM),
                TraceState.parse(states));
    }

    /** The header's value, as the next hop gets it. */
    public String traceparent() {
        StringBuilder to = new StringBuilder(LENGTH).append("00-");
        appendHex(to, traceIdHigh, 16);
        appendHex(to, traceIdLow, 16);
        to.append('-');
        appendHex(to, spanIdBits, 16);
        to.append('-');
        appendHex(to, flags, 2);
        return to.toString();
    }

    public String traceId() {
        StringBuilder to = new StringBuilder(32);
        appendHex(to, traceIdHigh, 16);
        appendHex(to, traceIdLow, 16);
        return to.toString();
    }

    public String spanId() {
        return spanId(spanIdBits);
    }

    public static String spanId(long span) {
        StringBuilder to = new StringBuilder(16);
        appendHex(to, span, 16);
        return to.toString();
    }

    public boolean sampled() {
        return (flags & SAMPLED) != 0;
    }

    static void appendHex(StringBuilder to, long value, int digits) {
        for (int shift = (digits - 1) * 4; shift >= 0; shift -= 4) {
            to.append(Character.forDigit((int) (value >>> shift) & 15, 16));
        }
    }

    /** Lower case alone, as the recommendation has it. */
    static boolean isLowerHex(CharSequence text, int from, int to) {
        for (int i = from; i < to; i++) {
            char c = text.charAt(i);
            if (!(c >= '0' && c <= '9' || c >= 'a' && c <= 'f')) {
                return false;
            }
        }
        return true;
    }

    static long parseHex(CharSequence text, int from, int to) {
        if (!isLowerHex(text, from, to)) {
            return -1;
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            value = value << 4 | Character.digit(text.charAt(i), 16);
        }
        return value;
    }
}
