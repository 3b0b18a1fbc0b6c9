package loadbalancer.zones;

/**
 * Splits the load over priority tiers like Envoy's priority levels: a tier keeps all of the load while its available
 * fraction times the overprovisioning factor is at least 1; below that the remainder spills over to the next tier.
 */
final class ZonePreference {
    private ZonePreference() {}

    /**
     * Returns the load fraction of each tier; the fractions add up to 1. If less than {@code panicThreshold} of all
     * upstreams is available, the load is split by tier size instead, because such a wide failure is no evidence
     * against any single tier.
     *
     * @param availableFractions available fraction of each tier, from 0 to 1
     * @param tierSizes          number of upstreams in each tier
     */
    static double[] loadFractions(
            double[] availableFractions, int[] tierSizes, double overprovisioningFactor, double panicThreshold) {
        int tierCount = availableFractions.length;
        double availableTotal = 0;
        double totalSize = 0;
        double capacity = 0;
        for (int tier = 0; tier < tierCount; tier++) {
            availableTotal += availableFractions[tier] * tierSizes[tier];
            totalSize += tierSizes[tier];
            capacity += Math.min(1, overprovisioningFactor * availableFractions[tier]);
        }
        if (availableTotal <= 0 || availableTotal < panicThreshold * totalSize) {
            return sizeFractions(tierSizes, totalSize);
        }
        // If all tiers together have too little capacity for the load, each gets a share in proportion to its capacity.
        double scale = Math.max(1, 1 / capacity);
        double remaining = 1;
        double[] fractions = new double[tierCount];
        for (int tier = 0; tier < tierCount; tier++) {
            fractions[tier] =
                    Math.min(remaining, scale * Math.min(1, overprovisioningFactor * availableFractions[tier]));
            remaining -= fractions[tier];
        }
        return fractions;
    }

    private static double[] sizeFractions(int[] tierSizes, double totalSize) {
        double[] fractions = new double[tierSizes.length];
        for (int tier = 0; tier < tierSizes.length; tier++) {
            fractions[tier] = totalSize == 0 ? 0 : tierSizes[tier] / totalSize;
        }
        return fractions;
    }
}
