package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Uncertainty;

/** Checks whether an upstream has capacity for a request, and tracks how often none was found recently. */
final class CapacityCheck {
    /**
     * Time within which several sidecars may send to the same free capacity before gossip shows it as taken,
     * seconds: the delay of gossip, and a margin for the cost of such collisions.
     */
    private static final double COLLISION_WINDOW_SECONDS = 0.06;
    /** Time after which an upstream that had no streams left is tried again, microseconds. */
    private static final long STREAM_CAPACITY_EXPIRY_MICROS = 500_000;

    private static final double SHORTAGE_GAIN = 0.1;
    /** Load below which an upstream counts as idle. */
    private static final double IDLE_LOAD = 0.5;
    /** Tolerance for sampled loads, which are whole numbers and may be outdated by one request. */
    private static final double SAMPLED_TOLERANCE = 0.5;

    /** Tolerance for estimated loads. */
    private static final double ESTIMATED_TOLERANCE = 0.01;

    private final BalancerContext context;
    private final UpstreamDirectory directory;
    private final Estimators estimators;
    private final AttemptRules rules;
    private final OutlierDetector outliers;
    /** Moving average of the fraction of this sidecar's requests that found no capacity on arrival. */
    private double shortageFraction;

    CapacityCheck(
            BalancerContext context,
            UpstreamDirectory directory,
            Estimators estimators,
            AttemptRules rules,
            OutlierDetector outliers) {
        this.context = context;
        this.directory = directory;
        this.estimators = estimators;
        this.rules = rules;
        this.outliers = outliers;
    }

    /** Counts a request that has arrived, and whether it found capacity at once. */
    void recordArrival(boolean foundCapacity) {
        shortageFraction += SHORTAGE_GAIN * ((foundCapacity ? 0 : 1) - shortageFraction);
    }

    /**
     * Returns whether the request should not scan all upstreams for capacity, because all requests that scan
     * would find the same free upstream.
     */
    boolean skipsScan(TrackedRequest request) {
        return directory.hasPeerSubset() && request.contentionDraw < shortageFraction;
    }

    /**
     * Returns whether the upstream has capacity for the request; with {@code freeCore} it must also have a
     * free core, so that the request starts at once.
     */
    boolean hasCapacity(long nowMicros, TrackedRequest request, TrackedUpstream upstream, boolean freeCore) {
        if (outliers.isExcluded(upstream, nowMicros)) {
            return false;
        }
        if (ClassBackoff.isBackedOff(nowMicros, request, upstream, directory.ready())
                || !rules.maySend(nowMicros, request, upstream)) {
            return false;
        }
        if (upstream.endpoint.uncertainty() == Uncertainty.SERVICE && !mayTryUnknownService(request, upstream)) {
            return false;
        }
        if (request.arrival.streaming()) {
            return upstream.openStreams < upstream.streamCapacity
                    || nowMicros - upstream.streamsExhaustedMicros > STREAM_CAPACITY_EXPIRY_MICROS;
        }
        double warmupFactor = estimators.slowStart().warmupFactor(upstream, nowMicros);
        double cores = Math.max(1, upstream.machineType.cores) * warmupFactor;
        double load = estimators.loads().load(upstream, nowMicros);
        if (freeCore) {
            return load < Math.max(1, Math.round(cores)) - 0.5;
        }
        if (yieldsToOthers(request)) {
            load++;
        }
        double tolerance = context.samplesLoad ? SAMPLED_TOLERANCE : ESTIMATED_TOLERANCE;
        if (load + 1 > Math.max(1, LoadEstimator.staffedCapacity(cores)) + tolerance) {
            return false;
        }
        boolean idle = !context.loadUnknown && load < IDLE_LOAD && warmupFactor >= 1;
        return idle || endsInTime(nowMicros, request, upstream, load);
    }

    /**
     * Returns whether a request may be sent to an address at which an unknown service accepts connections:
     * one at a time, and only idempotent requests, which can be retried if they are lost there.
     */
    private static boolean mayTryUnknownService(TrackedRequest request, TrackedUpstream upstream) {
        return upstream.inFlight + upstream.openStreams == 0
                && request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * Returns whether the request should leave one unit of capacity to other sidecars. Free capacity that is
     * in demand is seen by all sidecars at once, so each of them yields it for some of its requests.
     */
    private boolean yieldsToOthers(TrackedRequest request) {
        return directory.hasPeerSubset()
                && request.contentionDraw
                        < COLLISION_WINDOW_SECONDS
                                * shortageFraction
                                * estimators.gossip().fleetRate()
                                / directory.ready().size();
    }

    private boolean endsInTime(long nowMicros, TrackedRequest request, TrackedUpstream upstream, double load) {
        double expectedLatencyMicros =
                estimators.serviceTimes().expectedLatencyMicros(upstream, request.workMicros, load, nowMicros);
        return nowMicros + expectedLatencyMicros <= request.usefulUntilMicros;
    }
}
