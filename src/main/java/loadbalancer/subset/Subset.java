package loadbalancer.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;

/**
 * The few upstreams that one sidecar uses: an arc of a {@link SubsetRing} that begins at the sidecar's position. Its
 * length follows the sidecar's request rate, and grows by one for each upstream of the subset that seems to be down.
 */
public final class Subset {
    /** Consecutive failures after which an upstream is suspected to be down, and another one is added to the subset. */
    private static final int FAILURES_UNTIL_SUSPECT = 2;

    /** Time after its last failure at which an upstream is no longer suspected to be down. */
    private static final long SUSPECT_MICROS = 10_000_000;

    private static final double RATE_AVERAGING_MICROS = 10_000_000;
    private static final double RATE_INTERVAL_MICROS = 1_000_000;

    /**
     * The subset shrinks only if the size that the rate needs is below this fraction of its size, because rates vary.
     */
    private static final double SHRINK_RATIO = 0.6;

    private final SubsetOptions options;
    private final int ringCount;
    private final int sidecarIndex;
    /** For each upstream that has left the subset, the time until which it is kept as draining. */
    private final Map<String, Long> drainingUntilMicros = new LinkedHashMap<>();

    private final Map<String, FailureRecord> failuresByUpstream = new HashMap<>();
    private List<Upstream> endpoints = List.of();
    private Set<String> endpointIds = Set.of();
    private List<Upstream> readyInRingOrder = List.of();
    private List<String> members = List.of();

    private double requestsPerSecond;
    private long rateMeasuredMicros;
    private int attemptCount;
    private int targetSize;

    /** @param sidecarCount number of sidecars in the fleet, according to the platform */
    public Subset(SubsetOptions options, int sidecarIndex, int sidecarCount, long nowMicros) {
        this.options = options;
        this.sidecarIndex = sidecarIndex;
        ringCount = SubsetRing.ringCount(options.fleetSize(sidecarCount));
        rateMeasuredMicros = nowMicros;
        targetSize = options.minUpstreams();
    }

    private static final class FailureRecord {
        private int consecutiveFailures;
        private long lastFailureMicros;
    }

    /** Mean number of sidecars that share an upstream, which a sidecar's balancer uses as the size of the fleet. */
    public static int sidecarsPerUpstream(SubsetOptions options, int sidecarCount, int upstreamCount) {
        int fleetSize = options.fleetSize(sidecarCount);
        return upstreamCount <= options.minUpstreams()
                ? fleetSize
                : Math.max(1, (int) Math.round((double) fleetSize * options.minUpstreams() / upstreamCount));
    }

    /** Handles a change of the endpoint list, with all of its current upstreams. */
    public void onEndpoints(List<Upstream> upstreams) {
        endpoints = List.copyOf(upstreams);
        readyInRingOrder = SubsetRing.order(
                endpoints.stream()
                        .filter(upstream -> upstream.state() == UpstreamState.READY)
                        .toList(),
                sidecarIndex % ringCount);
        endpointIds = endpoints.stream().map(Upstream::id).collect(Collectors.toSet());
        failuresByUpstream.keySet().retainAll(endpointIds);
        drainingUntilMicros.keySet().retainAll(endpointIds);
    }

    /**
     * Handles the end of an attempt.
     *
     * @param unreachable whether the upstream did not respond or could not be connected to
     */
    public void attemptEnded(long nowMicros, String upstreamId, boolean unreachable) {
        attemptCount++;
        if (unreachable) {
            upstreamUnreachable(nowMicros, upstreamId);
        } else {
            failuresByUpstream.remove(upstreamId);
        }
    }

    /** Handles a health check that got no response or no connection. */
    public void upstreamUnreachable(long nowMicros, String upstreamId) {
        if (members.contains(upstreamId)) {
            FailureRecord failures = failuresByUpstream.computeIfAbsent(upstreamId, id -> new FailureRecord());
            failures.consecutiveFailures++;
            failures.lastFailureMicros = nowMicros;
        }
    }

    /** Whether {@link #effectiveEndpoints} would differ from its last result. The caller has to poll this. */
    public boolean isUpdateDue(long nowMicros) {
        updateRate(nowMicros);
        return !selectMembers(nowMicros).equals(members)
                || drainingUntilMicros.values().stream().anyMatch(untilMicros -> untilMicros <= nowMicros);
    }

    /**
     * Selects the subset for the current rate and failures.
     *
     * @return the endpoints for the balancer and the connection pools: the members of the subset, and those that have
     *     left it recently, for example because discovery drains them, as draining
     */
    public List<Upstream> effectiveEndpoints(long nowMicros) {
        updateRate(nowMicros);
        List<String> nextMembers = selectMembers(nowMicros);
        for (String upstreamId : members) {
            if (!nextMembers.contains(upstreamId) && endpointIds.contains(upstreamId)) {
                drainingUntilMicros.putIfAbsent(upstreamId, nowMicros + options.drainMicros());
            }
        }
        members = nextMembers;
        drainingUntilMicros.keySet().removeAll(nextMembers);
        drainingUntilMicros.values().removeIf(untilMicros -> untilMicros <= nowMicros);
        List<Upstream> effective = new ArrayList<>();
        for (Upstream upstream : endpoints) {
            if (members.contains(upstream.id())) {
                effective.add(upstream);
            } else if (drainingUntilMicros.containsKey(upstream.id())) {
                effective.add(asDraining(upstream));
            }
        }
        return effective;
    }

    /** Number of upstreams in the subset. */
    public int size() {
        return members.size();
    }

    /** Number of upstreams for which failures or a draining time are stored. */
    int trackedUpstreams() {
        return failuresByUpstream.size() + drainingUntilMicros.size();
    }

    private void updateRate(long nowMicros) {
        double elapsedMicros = nowMicros - rateMeasuredMicros;
        if (elapsedMicros >= RATE_INTERVAL_MICROS) {
            double retained = Math.exp(-elapsedMicros / RATE_AVERAGING_MICROS);
            requestsPerSecond = retained * requestsPerSecond + (1 - retained) * attemptCount * 1e6 / elapsedMicros;
            attemptCount = 0;
            rateMeasuredMicros = nowMicros;
        }
        int neededSize = Math.max(
                options.minUpstreams(), (int) Math.ceil(requestsPerSecond / options.requestsPerSecondPerUpstream()));
        if (neededSize > targetSize || neededSize < SHRINK_RATIO * targetSize) {
            targetSize = neededSize;
        }
    }

    private List<String> selectMembers(long nowMicros) {
        List<String> selected = new ArrayList<>();
        int readyCount = readyInRingOrder.size();
        int start = (int) (SubsetRing.position(sidecarIndex, ringCount) * readyCount);
        int healthyCount = 0;
        for (int i = 0; i < readyCount && healthyCount < targetSize; i++) {
            String upstreamId = readyInRingOrder.get((start + i) % readyCount).id();
            selected.add(upstreamId);
            healthyCount += isSuspect(nowMicros, upstreamId) ? 0 : 1;
        }
        return selected;
    }

    private boolean isSuspect(long nowMicros, String upstreamId) {
        FailureRecord failures = failuresByUpstream.get(upstreamId);
        return failures != null
                && failures.consecutiveFailures >= FAILURES_UNTIL_SUSPECT
                && nowMicros - failures.lastFailureMicros < SUSPECT_MICROS;
    }

    private static Upstream asDraining(Upstream upstream) {
        return new Upstream(
                upstream.id(),
                upstream.zone(),
                upstream.machineType(),
                upstream.cell(),
                upstream.startedMicros(),
                upstream.weight(),
                UpstreamState.DRAINING,
                upstream.uncertainty(),
                upstream.slowStartFromMicros(),
                upstream.protocols());
    }
}
