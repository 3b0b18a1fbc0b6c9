package loadbalancer.wire;

/** Reads the space-separated fields of one protocol line; {@code -} stands for an absent value. */
final class FieldReader {
    private static final String ABSENT = "-";
    /** Any number with this many digits fits a {@code long}. */
    private static final int MAX_DIGITS = 18;
    /** Whole numbers below this limit are exact as {@code double}. */
    private static final double EXACT_LIMIT = 1e15;
    /** Maximum number of characters of a line that an error shows. */
    private static final int MAX_EXCERPT_LENGTH = 120;

    private final String line;
    private int position;

    FieldReader(String line) {
        this.line = line;
    }

    boolean hasMore() {
        return position <= line.length() && !line.isEmpty();
    }

    String text() {
        if (!hasMore()) {
            throw new WireException("too few fields in '" + excerpt() + "'");
        }
        int space = line.indexOf(' ', position);
        int end = space < 0 ? line.length() : space;
        String value = line.substring(position, end);
        position = end + 1;
        if (value.isEmpty()) {
            throw new WireException("empty field in '" + excerpt() + "'");
        }
        return value;
    }

    /** Returns the next field; null if it is absent or the line has ended. */
    String textOrNull() {
        if (!hasMore()) {
            return null;
        }
        String value = text();
        return value.equals(ABSENT) ? null : value;
    }

    long integer() {
        return parseInteger(text());
    }

    long integerOr(long defaultValue) {
        String value = textOrNull();
        return value == null ? defaultValue : parseInteger(value);
    }

    double decimalOr(double defaultValue) {
        String value = textOrNull();
        return value == null ? defaultValue : parseDecimal(value);
    }

    boolean flag() {
        String value = textOrNull();
        return value != null && (value.equals("1") || value.equals("true"));
    }

    private long parseInteger(String value) {
        int length = value.length();
        int firstDigit = length > 1 && value.charAt(0) == '-' ? 1 : 0;
        if (length - firstDigit > MAX_DIGITS) {
            throw new WireException("'" + value + "' is not an integer in '" + excerpt() + "'");
        }
        long magnitude = 0;
        for (int i = firstDigit; i < length; i++) {
            char digit = value.charAt(i);
            if (digit < '0' || digit > '9') {
                return parseWholeDecimal(value);
            }
            magnitude = magnitude * 10 + (digit - '0');
        }
        return firstDigit == 1 ? -magnitude : magnitude;
    }

    private long parseWholeDecimal(String value) {
        double parsed = parseDecimal(value);
        if (parsed != Math.rint(parsed) || Math.abs(parsed) >= EXACT_LIMIT) {
            throw new WireException("'" + value + "' is not an integer in '" + excerpt() + "'");
        }
        return (long) parsed;
    }

    private double parseDecimal(String value) {
        double parsed;
        try {
            parsed = Double.parseDouble(value);
        } catch (NumberFormatException exception) {
            parsed = Double.NaN;
        }
        if (!Double.isFinite(parsed)) {
            throw new WireException("'" + value + "' is not a number in '" + excerpt() + "'");
        }
        return parsed;
    }

    private String excerpt() {
        return line.length() > MAX_EXCERPT_LENGTH ? line.substring(0, MAX_EXCERPT_LENGTH) + "..." : line;
    }
}
