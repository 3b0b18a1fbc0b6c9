package loadbalancer.trace.read;

/**
 * Corrects clock skew between machines, like Jaeger's adjuster: a child span that does not fit into its parent is shifted, with its
 * descendants, so that both network directions take equally long; one longer than its parent starts with it. Pure.
 */
final class ClockSkew {
    private ClockSkew() {}

    /** Nanoseconds to add to the child's times; 0 if it fits. {@code mayOutlive} allows it to end after its parent. */
    static long correctionNanos(long parentStart, long parentEnd, long childStart, long childEnd, boolean mayOutlive) {
        if (childStart >= parentStart && (childEnd <= parentEnd || mayOutlive && childStart <= parentEnd)) {
            return 0;
        }
        long slack = parentEnd - parentStart - (childEnd - childStart);
        return parentStart + Math.max(0, slack / 2) - childStart;
    }
}
