package loadbalancer.balancing;

/** The optimal load split of the HALO paper: Eq. (4), Lemma 2. */
final class HaloSplit {
    /**
     * Smallest rate to solve for, as a fraction of the capacity: for a rate of 0 Eq. (4) only has a limit.
     */
    private static final double MIN_UTILIZATION = 1e-6;

    private HaloSplit() {}

    /**
     * Returns the probabilities p_i of Eq. (4) for n groups of equal upstreams. Groups with a negative
     * probability are dropped and the others are solved again. At rates above the capacity the split remains
     * proportional to it (Corollary 3).
     *
     * @param groupSizes   k_i, upstreams in each group
     * @param serviceRates mu_i, requests per second that one upstream of the group can serve
     * @param arrivalRate  lambda, requests per second to all groups
     * @return probabilities in [0, 1] that sum to 1, or all 0 if no group has capacity
     */
    static double[] solve(double[] groupSizes, double[] serviceRates, double arrivalRate) {
        int groupCount = groupSizes.length;
        double[] probabilities = new double[groupCount];
        boolean[] active = new boolean[groupCount];
        double capacity = 0;
        for (int i = 0; i < groupCount; i++) {
            active[i] = groupSizes[i] > 0 && serviceRates[i] > 0;
            capacity += active[i] ? groupSizes[i] * serviceRates[i] : 0;
        }
        double rate = Math.max(capacity * MIN_UTILIZATION, Math.min(arrivalRate, capacity));
        for (int round = 0; round < groupCount; round++) {
            if (!solveActive(groupSizes, serviceRates, rate, active, probabilities)) {
                break;
            }
        }
        for (int i = 0; i < groupCount; i++) {
            probabilities[i] = Math.max(0, Math.min(1, probabilities[i]));
        }
        return probabilities;
    }

    /**
     * Solves Eq. (4) for the active groups; returns whether a group was dropped for its negative probability.
     */
    private static boolean solveActive(
            double[] groupSizes, double[] serviceRates, double rate, boolean[] active, double[] probabilities) {
        double rootSum = 0;
        double capacitySum = 0;
        for (int i = 0; i < groupSizes.length; i++) {
            rootSum += active[i] ? groupSizes[i] * Math.sqrt(serviceRates[i]) : 0;
            capacitySum += active[i] ? groupSizes[i] * serviceRates[i] : 0;
        }
        boolean dropped = false;
        for (int i = 0; i < groupSizes.length; i++) {
            double root = Math.sqrt(serviceRates[i]);
            probabilities[i] = active[i]
                    ? groupSizes[i] * (serviceRates[i] * rootSum - root * capacitySum + rate * root) / (rate * rootSum)
                    : 0;
            active[i] &= probabilities[i] >= 0;
            dropped |= probabilities[i] < 0;
        }
        return dropped;
    }
}
