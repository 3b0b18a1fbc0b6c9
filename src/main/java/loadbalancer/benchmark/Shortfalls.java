package loadbalancer.benchmark;

import java.util.List;

/** What a measurement finds wanting, in the order in which it finds it. */
final class Shortfalls {
    private Shortfalls() {}

    /** Adds {@code otherwise} where it does not hold. */
    static void check(List<String> shortfalls, boolean holds, String otherwise) {
        if (!holds) {
            shortfalls.add(otherwise);
        }
    }
}
