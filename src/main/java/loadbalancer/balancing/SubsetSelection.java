package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the upstreams that this sidecar sends to. These are all ready upstreams, or the subset about which
 * sidecars gossip. Where connections have a price, they are an arc of each machine type in each zone:
 * consecutive upstreams in an order that all sidecars share, from a start that depends on the sidecar's
 * index.
 */
final class SubsetSelection {
    /** Smallest size of a subset: two upstreams to draw and one in reserve. */
    private static final int MIN_SUBSET_SIZE = 3;
    /** Smallest size of the next subset as a fraction of the current one, so that subsets shrink slowly. */
    private static final double SHRINK_FACTOR = 0.9;
    /** Multiples of the golden ratio modulo 1 are evenly distributed: they spread the starts of the arcs. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;
    /** Reciprocal of the plastic number: spreads the rounding of arc sizes independently of their starts. */
    private static final double PLASTIC_RATIO = 0.7548776662466927;

    private static final double MICROS_PER_SECOND = 1e6;
    /** Lowest price of crossing zones at which the local zone is preferred. */
    private static final double MIN_CROSS_ZONE_PRICE = 0.02;

    private static final double MIN_RATE = 1e-9;

    private final BalancerContext context;
    private final UpstreamDirectory directory;
    private final ArrivalRateEstimator arrivals;
    private final FleetGossip gossip;
    private final ConnectionReuse connections;
    private final SlowStart slowStart;
    private double targetSize;
    private double[] zoneShares;

    SubsetSelection(
            BalancerContext context, UpstreamDirectory directory, Estimators estimators, ConnectionReuse connections) {
        this.context = context;
        this.directory = directory;
        this.connections = connections;
        arrivals = estimators.arrivals();
        gossip = estimators.gossip();
        slowStart = estimators.slowStart();
    }

    /** Returns whether crossing zones is so expensive that requests should stay in the local zone. */
    boolean prefersLocalZone() {
        return context.settings.prices().crossZone() >= MIN_CROSS_ZONE_PRICE;
    }

    /**
     * Returns the share of this sidecar's requests that stays in the local zone, as of the last selection.
     */
    double localZoneShare() {
        return zoneShares[context.localZoneIndex];
    }

    /** Selects the subset from the ready upstreams and updates the zone shares. */
    List<TrackedUpstream> select(long nowMicros) {
        zoneShares = zoneShares(nowMicros);
        if (context.connectionSubset) {
            return connectionSubset();
        }
        return directory.hasPeerSubset() ? peerSubset(nowMicros) : directory.ready();
    }

    /**
     * Selects a number of upstreams in proportion to this sidecar's share of the fleet's request rate,
     * divided among zones by the zone shares and among machine types by their number of upstreams.
     */
    private List<TrackedUpstream> connectionSubset() {
        List<TrackedUpstream> ready = directory.ready();
        double rate = arrivals.requestsPerSecond();
        double proportionalSize =
                BalancerContext.SIDECARS_PER_UPSTREAM * ready.size() * rate / Math.max(MIN_RATE, gossip.fleetRate());
        targetSize = Math.max(Math.max(MIN_SUBSET_SIZE, proportionalSize), SHRINK_FACTOR * targetSize);
        // Where idle connections are dropped, use only as many upstreams as get two requests each within the
        // limit.
        double maxSize = connections.hasIdleLimit()
                ? Math.max(1, rate * connections.idleLimitMicros() / (2 * MICROS_PER_SECOND))
                : targetSize;
        Map<List<Object>, List<TrackedUpstream>> byZoneAndType = new LinkedHashMap<>();
        int[] zoneSizes = new int[gossip.zoneCount()];
        for (TrackedUpstream upstream : ready) {
            List<Object> zoneAndType = List.of(upstream.zoneIndex, upstream.endpoint.machineType());
            byZoneAndType.computeIfAbsent(zoneAndType, key -> new ArrayList<>()).add(upstream);
            zoneSizes[upstream.zoneIndex]++;
        }
        List<TrackedUpstream> subset = new ArrayList<>();
        for (List<TrackedUpstream> members : byZoneAndType.values()) {
            int zone = members.get(0).zoneIndex;
            double targetArcSize = zoneShares[zone] * Math.min(maxSize, targetSize) * members.size() / zoneSizes[zone];
            addArc(subset, members, zone, targetArcSize);
        }
        return subset;
    }

    private void addArc(List<TrackedUpstream> subset, List<TrackedUpstream> members, int zone, double targetArcSize) {
        int sidecarIndex = context.settings.sidecarIndex();
        // Rounds up for some sidecar indexes and down for others, so that the mean over many sidecars is the
        // target size.
        double rounded = Math.floor(targetArcSize + sidecarIndex * PLASTIC_RATIO % 1);
        double arcSize = Math.max(zone == context.localZoneIndex ? 1 : 0, rounded);
        int start = (int) (sidecarIndex * GOLDEN_RATIO % 1 * members.size());
        for (int i = 0; i < Math.min(arcSize, members.size()); i++) {
            subset.add(members.get((i + start) % members.size()));
        }
    }

    /**
     * Selects the first upstreams in order that are not ejected, and all upstreams in slow start, to which
     * the sidecars send in turns. Selects all ready upstreams if every upstream that has finished its slow
     * start is ejected.
     */
    private List<TrackedUpstream> peerSubset(long nowMicros) {
        int remaining = context.peerLoad.subsetSize();
        List<TrackedUpstream> subset = new ArrayList<>();
        for (TrackedUpstream upstream : directory.ready()) {
            boolean slowStarting = slowStart.warmupFactor(upstream, nowMicros) < 1;
            if (slowStarting || !OutlierDetector.isEjected(upstream, nowMicros) && remaining-- > 0) {
                subset.add(upstream);
            }
        }
        return remaining < context.peerLoad.subsetSize() ? subset : directory.ready();
    }

    /**
     * Returns the share of this sidecar's requests for each zone: in proportion to the zone's upstreams, or
     * as much as possible for the local zone if that zone is preferred and the loads of upstreams are
     * unknown.
     */
    private double[] zoneShares(long nowMicros) {
        double[] shares = new double[gossip.zoneCount()];
        List<TrackedUpstream> ready = directory.ready();
        for (TrackedUpstream upstream : ready) {
            shares[upstream.zoneIndex] += 1.0 / ready.size();
        }
        if (!prefersLocalZone() || !context.loadUnknown) {
            return shares;
        }
        int localZone = context.localZoneIndex;
        double meanRate = gossip.freshMeanRate(nowMicros);
        double localShare = meanRate <= 0
                ? 1
                : Math.min(1, shares[localZone] * meanRate / Math.max(MIN_RATE, gossip.zoneRate(localZone)));
        double spareShares = 0;
        for (int zone = 0; zone < shares.length; zone++) {
            shares[zone] = zone == localZone || meanRate <= 0
                    ? 0
                    : Math.max(0, shares[zone] - gossip.zoneRate(zone) / meanRate);
            spareShares += shares[zone];
        }
        for (int zone = 0; zone < shares.length; zone++) {
            shares[zone] *= (1 - localShare) / Math.max(MIN_RATE, spareShares);
        }
        shares[localZone] = localShare;
        return shares;
    }
}
