package loadbalancer.grpc.mapping;

/** The {@code grpc-timeout} header: at most eight digits and a unit (grpc/doc/PROTOCOL-HTTP2.md). */
public final class GrpcTimeout {
    private static final int MOST_DIGITS = 8;

    private GrpcTimeout() {}

    /** Microseconds, at least 1; -1 for what is no timeout, 0 for one that is over before it began. */
    public static long parse(CharSequence text) {
        int n = text == null ? 0 : text.length();
        if (n < 2 || n > MOST_DIGITS + 1) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < n - 1; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            value = value * 10 + c - '0';
        }
        return switch (text.charAt(n - 1)) {
            case 'H' -> value * 3_600_000_000L;
            case 'M' -> value * 60_000_000L;
            case 'S' -> value * 1_000_000L;
            case 'm' -> value * 1_000L;
            case 'u' -> value;
            case 'n' -> (value + 999) / 1_000;
            default -> -1;
        };
    }

    /** So many microseconds in the finest unit that holds them in eight digits, never more than they are. */
    public static String format(long us) {
        long most = 99_999_999;
        if (us <= most) {
            return Math.max(1, us) + "u";
        }
        if (us / 1_000 <= most) {
            return us / 1_000 + "m";
        }
        return Math.min(most, us / 1_000_000) + "S";
    }
}
