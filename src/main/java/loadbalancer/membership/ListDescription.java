package loadbalancer.membership;

/** Describes endpoint lists and their ages for the log. */
final class ListDescription {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MINUTE_SECONDS = 60;
    private static final long HOUR_SECONDS = 3_600;
    private static final long DAY_SECONDS = 86_400;

    private ListDescription() {}

    static String of(EndpointList list) {
        String origin = list.source() == ListSource.DISK ? "on disk" : "from the configuration";
        return origin + " (version " + list.generation() + ")";
    }

    /** The age in the largest unit that gives a number of at least 2, such as {@code "31 h old"}. */
    static String age(long nowMicros, long asOfMicros) {
        long seconds = (nowMicros - asOfMicros) / MICROS_PER_SECOND;
        if (asOfMicros <= 0 || seconds < 0) {
            return "of unknown age";
        }
        if (seconds < 2 * MINUTE_SECONDS) {
            return seconds + " s old";
        }
        if (seconds < 2 * HOUR_SECONDS) {
            return seconds / MINUTE_SECONDS + " min old";
        }
        return seconds < 2 * DAY_SECONDS ? seconds / HOUR_SECONDS + " h old" : seconds / DAY_SECONDS + " days old";
    }
}
