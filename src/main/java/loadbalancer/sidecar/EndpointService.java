package loadbalancer.sidecar;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Addresses;
import loadbalancer.core.Attempt;
import loadbalancer.core.BalancerDispatcher;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.core.Timers;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointChange;
import loadbalancer.membership.EndpointEvidence;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.Membership;
import loadbalancer.membership.OutOfServiceUpstreams;
import loadbalancer.membership.PartialEndpointList;
import loadbalancer.membership.discovery.DiscoveryWatch;
import loadbalancer.subset.Subset;

/**
 * Feeds {@link Membership} with endpoint lists, check results and the time, and publishes its changes, first to the
 * connection pools and then to the balancer. Event loop only.
 */
public final class EndpointService implements DiscoveryWatch.Listener {
    /** Interval at which unverified endpoints are considered; {@link Membership} limits the rate of checks. */
    private static final long CHECK_INTERVAL_MICROS = 50_000;
    /** Interval at which the subset is updated for the sidecar's rate and for unreachable upstreams. */
    private static final long SUBSET_INTERVAL_MICROS = 1_000_000;

    private final Timers timers;
    private final Clock clock;
    private final BalancerDispatcher decisions;
    private final BiConsumer<Boolean, List<Endpoint>> connectionPool;
    private final Membership membership;
    private final BiConsumer<InetSocketAddress, Consumer<EndpointEvidence>> endpointCheck;
    private Consumer<EndpointList> listWriter;
    private long rewriteIntervalMicros;
    private long lastWriteMicros;
    private boolean stopped;
    private BiConsumer<Boolean, List<Endpoint>> secondPool;
    /** Null where this sidecar uses all upstreams. */
    private Subset subset;

    /**
     * @param connectionPool gets each change before the balancer, which may send at once: the complete list, or
     *     what changed
     * @param endpointCheck checks what listens at an address and calls its consumer once
     */
    public EndpointService(
            Timers timers,
            Clock clock,
            BalancerDispatcher decisions,
            BiConsumer<Boolean, List<Endpoint>> connectionPool,
            Membership membership,
            BiConsumer<InetSocketAddress, Consumer<EndpointEvidence>> endpointCheck) {
        this.timers = timers;
        this.clock = clock;
        this.decisions = decisions;
        this.connectionPool = connectionPool;
        this.membership = membership;
        this.endpointCheck = endpointCheck;
    }

    /** Adds the connection pool of another protocol; called before the start. */
    void addConnectionPool(BiConsumer<Boolean, List<Endpoint>> pool) {
        secondPool = pool;
    }

    /** Restricts the balancer and the pools to a subset; called before the start. */
    void useSubset(Subset subset) {
        this.subset = subset;
    }

    /** Stores the list with this writer from now on; null stores none. The caller has closed the former writer. */
    public void writeListTo(Consumer<EndpointList> writer, long rewriteIntervalMicros) {
        this.listWriter = writer;
        this.rewriteIntervalMicros = rewriteIntervalMicros;
        lastWriteMicros = 0;
    }

    /** Starts with the known lists; returns the upstreams for the first list that the balancer gets. */
    public List<Upstream> start(List<EndpointList> lists) {
        EndpointChange change = withinSubset(membership.start(clock.nowMicros(), lists));
        change.logMessages().forEach(message -> Log.event("membership", message));
        updatePools(change);
        return upstreams(change);
    }

    /** Starts the checks of unverified endpoints, after the balancer has got its first list. */
    public void startChecks() {
        runChecks();
        if (subset != null) {
            timers.schedule(SUBSET_INTERVAL_MICROS, this::refreshSubset);
        }
    }

    private void refreshSubset() {
        if (!stopped) {
            if (subset.isUpdateDue(clock.nowMicros())) {
                forward(withinSubset(new EndpointChange(true, List.of(), List.of())), EndpointListKind.CACHED);
            }
            timers.schedule(SUBSET_INTERVAL_MICROS, this::refreshSubset);
        }
    }

    /** With a subset each change is published as the complete subset. */
    private EndpointChange withinSubset(EndpointChange change) {
        if (subset == null || change.isEmpty()) {
            return change;
        }
        Map<String, Endpoint> byId = new LinkedHashMap<>();
        membership
                .usableEndpoints()
                .forEach(endpoint -> byId.put(endpoint.upstream().id(), endpoint));
        subset.onEndpoints(byId.values().stream().map(Endpoint::upstream).toList());
        List<Endpoint> subsetEndpoints = subset.effectiveEndpoints(clock.nowMicros()).stream()
                .map(u -> byId.get(u.id()).withUpstream(u))
                .toList();
        return new EndpointChange(true, subsetEndpoints, change.logMessages());
    }

    /** Generation that the discovery watch continues from. */
    public long generation() {
        return membership.generation();
    }

    /** Whether discovery has responded, so that requests are rejected rightly while no upstream is listed. */
    public boolean isConfirmedByDiscovery() {
        return membership.isConfirmedByDiscovery();
    }

    public void stop() {
        stopped = true;
    }

    private void runChecks() {
        if (!stopped && !membership.isConfirmedByDiscovery() && membership.unverifiedCount() > 0) {
            beginDueChecks();
            timers.schedule(CHECK_INTERVAL_MICROS, this::runChecks);
        }
    }

    private void beginDueChecks() {
        for (Endpoint endpoint : membership.beginChecks(clock.nowMicros())) {
            String id = endpoint.upstream().id();
            endpointCheck.accept(Addresses.parse(endpoint.address()), evidence -> {
                publish(membership.onCheckResult(clock.nowMicros(), id, evidence), EndpointListKind.CACHED);
                if (!stopped && evidence == EndpointEvidence.RESPONDS_AS_UPSTREAM) {
                    // A responding upstream doesn't count against the rate limit of checks, so the next check
                    // needs no wait.
                    timers.schedule(0, this::beginDueChecks);
                }
            });
        }
    }

    /**
     * Takes an upstream out of service or back; returns false, without a change, where the list has no such upstream.
     */
    boolean setOutOfService(String id, boolean out) {
        if (!membership.isKnown(id)) {
            return false;
        }
        publish(membership.setOutOfService(clock.nowMicros(), id, out), EndpointListKind.CACHED);
        return true;
    }

    /** Applies the out-of-service upstreams that another process of this sidecar has recorded. */
    void applyOutOfService(OutOfServiceUpstreams.Snapshot snapshot) {
        publish(membership.restoreOutOfService(snapshot), EndpointListKind.CACHED);
    }

    /** Like {@link #applyOutOfService}, but before the start, when there are no pools or balancer to notify. */
    void restoreOutOfService(OutOfServiceUpstreams.Snapshot snapshot) {
        membership.restoreOutOfService(snapshot).logMessages().forEach(message -> Log.event("membership", message));
    }

    OutOfServiceUpstreams.Snapshot outOfServiceSnapshot() {
        return membership.outOfServiceUpstreams();
    }

    /** The upstream of this id; null where the list has none. */
    Upstream upstream(String id) {
        return membership.upstream(id);
    }

    /** Ids of the upstreams that can take requests now. */
    List<String> readyIds() {
        return membership.usableEndpoints().stream()
                .map(Endpoint::upstream)
                .filter(u -> u.state() == UpstreamState.READY)
                .map(Upstream::id)
                .toList();
    }

    /** Number of upstreams in the list. */
    int size() {
        return membership.size();
    }

    /** Number of listed upstreams that are out of service or ejected by the balancer now. */
    int unhealthyCount(Balancer balancer) {
        long nowMicros = clock.nowMicros();
        return (int) membership.endpoints().stream()
                .map(endpoint -> endpoint.upstream().id())
                .filter(id -> membership.isOutOfService(id) || balancer.isEjected(nowMicros, id))
                .count();
    }

    /** Records the outcome of an attempt. */
    public void attemptEnded(Attempt attempt, Outcome outcome) {
        if (subset != null) {
            subset.attemptEnded(
                    clock.nowMicros(),
                    attempt.upstream(),
                    outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMEOUT);
        }
        if (outcome == Outcome.OK) {
            publish(membership.onResponse(attempt.upstream()), EndpointListKind.CACHED);
        } else if (outcome == Outcome.CONNECT_FAILED) {
            publish(
                    membership.onConnectFailure(clock.nowMicros(), attempt.upstream(), attempt.isConnectionRefused()),
                    EndpointListKind.CACHED);
        }
    }

    /** Records that a health check was refused: no process listens at the upstream's address. */
    void connectionRefused(String upstream) {
        if (subset != null) {
            subset.upstreamUnreachable(clock.nowMicros(), upstream);
        }
        publish(membership.onConnectFailure(clock.nowMicros(), upstream, true), EndpointListKind.CACHED);
    }

    /**
     * {@code CACHED} marks a complete list that is not from discovery; only a response of discovery ends the balancer's
     * polling.
     */
    private void publish(EndpointChange change, EndpointListKind kind) {
        change.logMessages().forEach(message -> Log.event("membership", message));
        forward(withinSubset(change), subset != null && kind == EndpointListKind.DELTA ? EndpointListKind.FULL : kind);
    }

    private void forward(EndpointChange change, EndpointListKind kind) {
        if (!change.isEmpty()) {
            updatePools(change);
            List<Upstream> upstreams = upstreams(change);
            decisions.call(b -> b.onEndpointList(clock.nowMicros(), kind, upstreams), () -> {});
        }
    }

    /** Called before the balancer gets the change, because the balancer may send at once. */
    private void updatePools(EndpointChange change) {
        connectionPool.accept(change.complete(), change.endpoints());
        if (secondPool != null) {
            secondPool.accept(change.complete(), change.endpoints());
        }
    }

    private static List<Upstream> upstreams(EndpointChange change) {
        List<Upstream> list = new ArrayList<>(change.endpoints().size());
        for (Endpoint endpoint : change.endpoints()) {
            list.add(endpoint.upstream());
        }
        return list;
    }

    @Override
    public void onList(EndpointList list, boolean answersPoll) {
        EndpointChange change = membership.onDiscoveryList(clock.nowMicros(), list);
        if (change.isEmpty() && answersPoll) {
            decisions.call(b -> b.onEndpointList(clock.nowMicros(), EndpointListKind.DELTA, List.of()), () -> {});
        }
        publish(change, change.complete() ? EndpointListKind.FULL : EndpointListKind.DELTA);
        writeList(!change.isEmpty());
    }

    /** Published as a list that is not from discovery, because the balancer's poll is still to be answered. */
    @Override
    public void onPartialList(PartialEndpointList list) {
        publish(membership.onPartialList(list), EndpointListKind.CACHED);
    }

    /** Stores a changed list at once, and an unchanged one at intervals, so that its recorded age is right. */
    private void writeList(boolean changed) {
        long nowMicros = clock.nowMicros();
        if (listWriter != null
                && (changed || lastWriteMicros == 0 || nowMicros - lastWriteMicros >= rewriteIntervalMicros)) {
            lastWriteMicros = nowMicros;
            listWriter.accept(new EndpointList(
                    ListSource.DISK, membership.generation(), true, nowMicros, membership.endpoints()));
        }
    }

    @Override
    public void onFailure(Runnable retry) {
        membership.onDiscoveryFailure();
        decisions.call(b -> b.onEndpointList(clock.nowMicros(), EndpointListKind.FAILED, List.of()), retry);
    }
}
