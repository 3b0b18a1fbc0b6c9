package loadbalancer.simulation.accounting;

/** Load of upstreams in slow start, as multiples of what they could do: maximum and mean. */
final class SlowStartLoad {
    private long count;
    private double sum;
    private double max;

    void add(double multiple) {
        count++;
        sum += multiple;
        max = Math.max(max, multiple);
    }

    double max() {
        return max;
    }

    /** 0 if there was none. */
    double mean() {
        return count == 0 ? 0 : sum / count;
    }
}
