package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Samples upstreams by their selection weights, with a binary search over the cumulative weights. */
final class WeightedSampler {
    private static final int INITIAL_CAPACITY = 16;

    private final List<TrackedUpstream> upstreams = new ArrayList<>();
    private double[] cumulativeWeights = new double[INITIAL_CAPACITY];

    void clear() {
        upstreams.clear();
    }

    /** Adds the upstream with its current selection weight. */
    void add(TrackedUpstream upstream) {
        int size = upstreams.size();
        if (size == cumulativeWeights.length) {
            cumulativeWeights = Arrays.copyOf(cumulativeWeights, 2 * size);
        }
        cumulativeWeights[size] = upstream.selectionWeight + (size > 0 ? cumulativeWeights[size - 1] : 0);
        upstreams.add(upstream);
    }

    int size() {
        return upstreams.size();
    }

    TrackedUpstream get(int index) {
        return upstreams.get(index);
    }

    /**
     * Returns the upstream at a position in [0, 1) of the cumulative weights; the sampler must not be empty.
     */
    TrackedUpstream sample(double position) {
        int size = upstreams.size();
        int found = Arrays.binarySearch(cumulativeWeights, 0, size, position * cumulativeWeights[size - 1]);
        return upstreams.get(Math.min(size - 1, found < 0 ? -found - 1 : found + 1));
    }
}
