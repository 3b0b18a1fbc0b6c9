package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the split of Eq. (4) up to date. Groups the subset's upstreams by machine type, with upstreams that
 * deviate from it or are in slow start as groups of their own, solves the equation for the fleet's request
 * rate, and fills the samplers with the weights p_i / k_i.
 */
final class RequestSplit {
    /**
     * Interval at which Eq. (4) is solved, microseconds; short compared with the seconds in which speeds and
     * rates change.
     */
    private static final long SOLVE_INTERVAL_MICROS = 100_000;
    /**
     * Least weight as a fraction of the service rate; only matters if all upstreams with a share are full.
     */
    private static final double MIN_WEIGHT = 1e-6;

    private static final double MICROS_PER_SECOND = 1e6;

    private final BalancerContext context;
    private final UpstreamDirectory directory;
    private final WorkEstimator work;
    private final ArrivalRateEstimator arrivals;
    private final FleetGossip gossip;
    private final CongestionEstimator congestion;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final SubsetSelection subsets;
    private final WeightedSampler allZones = new WeightedSampler();
    /** Upstreams in the local zone; empty if crossing zones has no price. */
    private final WeightedSampler localZone = new WeightedSampler();
    /** Upstreams in other zones; empty if crossing zones has no price. */
    private final WeightedSampler otherZones = new WeightedSampler();
    /** Upstreams in slow start that have a share in the solution of Eq. (4). */
    private final List<TrackedUpstream> slowStarting = new ArrayList<>();

    private List<TrackedUpstream> subset = List.of();
    private long solvedMicros;
    private long subsetSelectedMicros;
    private double bestServiceTimeFactor = 1;

    RequestSplit(
            BalancerContext context,
            UpstreamDirectory directory,
            Estimators estimators,
            OutlierDetector outliers,
            SubsetSelection subsets,
            long nowMicros) {
        this.context = context;
        this.directory = directory;
        work = estimators.work();
        arrivals = estimators.arrivals();
        gossip = estimators.gossip();
        congestion = estimators.congestion();
        slowStart = estimators.slowStart();
        this.outliers = outliers;
        this.subsets = subsets;
        solvedMicros = nowMicros - SOLVE_INTERVAL_MICROS;
    }

    /** Makes the next refresh select the subset and solve Eq. (4) again. */
    void invalidate(long nowMicros) {
        solvedMicros = nowMicros - SOLVE_INTERVAL_MICROS;
        subsetSelectedMicros = nowMicros - FleetGossip.SEND_INTERVAL_MICROS - 1;
    }

    /** Solves Eq. (4) again if the last solution is older than the interval. */
    void refresh(long nowMicros) {
        if (nowMicros - solvedMicros < SOLVE_INTERVAL_MICROS) {
            return;
        }
        arrivals.measure(nowMicros);
        congestion.refreshSources();
        solvedMicros = nowMicros;
        outliers.refreshPanicMode(directory.ready(), nowMicros);
        boolean subsetExpired = nowMicros - subsetSelectedMicros > FleetGossip.SEND_INTERVAL_MICROS;
        if (directory.hasPeerSubset() || subsetExpired) {
            subsetSelectedMicros = nowMicros;
            subset = subsets.select(nowMicros);
        }
        for (MachineType machineType : directory.machineTypes().values()) {
            ServiceTimeEstimator.expire(machineType, nowMicros);
        }
        solve(groups(nowMicros), nowMicros);
    }

    private List<List<TrackedUpstream>> groups(long nowMicros) {
        Map<Object, List<TrackedUpstream>> byGroup = new LinkedHashMap<>();
        for (TrackedUpstream upstream : subset) {
            ServiceTimeEstimator.expire(upstream, nowMicros);
            boolean ownGroup =
                    ServiceTimeEstimator.deviates(upstream) || slowStart.warmupFactor(upstream, nowMicros) < 1;
            byGroup.computeIfAbsent(ownGroup ? upstream : upstream.machineType, key -> new ArrayList<>())
                    .add(upstream);
        }
        return new ArrayList<>(byGroup.values());
    }

    private void solve(List<List<TrackedUpstream>> groups, long nowMicros) {
        double[] groupSizes = new double[groups.size()];
        double[] serviceRates = new double[groups.size()];
        for (int i = 0; i < groupSizes.length; i++) {
            groupSizes[i] = groups.get(i).size();
            serviceRates[i] = serviceRate(groups.get(i), nowMicros);
        }
        double subsetRate = gossip.fleetRate()
                * subset.size()
                / Math.max(1, directory.ready().size());
        double[] probabilities = HaloSplit.solve(groupSizes, serviceRates, subsetRate);
        bestServiceTimeFactor = directory.ready().isEmpty() ? 1 : Double.MAX_VALUE;
        allZones.clear();
        localZone.clear();
        otherZones.clear();
        slowStarting.clear();
        for (int i = 0; i < groupSizes.length; i++) {
            double weight = Math.max(probabilities[i] / groupSizes[i], MIN_WEIGHT * serviceRates[i]);
            for (TrackedUpstream upstream : groups.get(i)) {
                add(upstream, weight, probabilities[i] > 0, nowMicros);
            }
        }
    }

    /** Returns the requests per second that one upstream of the group can serve. */
    private double serviceRate(List<TrackedUpstream> group, long nowMicros) {
        TrackedUpstream first = group.get(0);
        double serviceTimeFactor = group.stream()
                .mapToDouble(TrackedUpstream::serviceTimeFactor)
                .average()
                .orElse(1);
        return MICROS_PER_SECOND
                * first.machineType.cores
                * slowStart.warmupFactor(first, nowMicros)
                / (serviceTimeFactor * work.meanWorkMicros());
    }

    private void add(TrackedUpstream upstream, double weight, boolean hasShare, long nowMicros) {
        double warmupFactor = slowStart.warmupFactor(upstream, nowMicros);
        upstream.selectionWeight = weight * context.constraints.weight(upstream.endpoint);
        upstream.selectionWeight *= context.peerLoad.trustFactor(nowMicros, upstream.endpoint);
        bestServiceTimeFactor = Math.min(bestServiceTimeFactor, upstream.serviceTimeFactor() / warmupFactor);
        allZones.add(upstream);
        if (subsets.prefersLocalZone()) {
            boolean local = upstream.zoneIndex == context.localZoneIndex;
            (local ? localZone : otherZones).add(upstream);
        }
        if (hasShare && warmupFactor < 1) {
            slowStarting.add(upstream);
        }
    }

    /** Returns the sampler of the whole subset. */
    WeightedSampler allZones() {
        return allZones;
    }

    /**
     * Returns the sampler of the subset's upstreams in the local zone; empty if crossing zones has no price.
     */
    WeightedSampler localZone() {
        return localZone;
    }

    /** Returns the sampler of the subset's upstreams in other zones; empty if crossing zones has no price. */
    WeightedSampler otherZones() {
        return otherZones;
    }

    /** Returns the upstreams in slow start that have a share; the sidecars send to them in turns. */
    List<TrackedUpstream> slowStarting() {
        return slowStarting;
    }

    /**
     * Returns the lowest service-time factor in the subset: the least time for work, as a multiple of the
     * work.
     */
    double bestServiceTimeFactor() {
        return bestServiceTimeFactor;
    }
}
