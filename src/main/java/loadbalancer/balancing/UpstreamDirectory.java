package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;

/**
 * The upstreams of the endpoint list with their tracked state, their machine types, and the ready upstreams.
 */
final class UpstreamDirectory {
    private final BalancerContext context;
    private final ConnectionReuse connections;
    private final Map<String, TrackedUpstream> upstreams = new LinkedHashMap<>();
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();
    /** In the order of subset selection, which all sidecars share. */
    private final List<TrackedUpstream> ready = new ArrayList<>();
    /**
     * Whether this sidecar sends only to a subset, about which it gossips with the sidecars that share it.
     */
    private boolean peerSubset;

    UpstreamDirectory(BalancerContext context, ConnectionReuse connections) {
        this.context = context;
        this.connections = connections;
        for (String name : context.settings.machineTypes()) {
            machineTypes.put(name, new MachineType(context.defaultCores));
        }
    }

    /** Applies an endpoint list, either the complete list or the changed entries. */
    void apply(long nowMicros, EndpointListKind listKind, List<Upstream> entries) {
        Set<String> listedIds = new HashSet<>();
        for (Upstream listed : entries) {
            listedIds.add(listed.id());
            update(listed);
        }
        for (TrackedUpstream upstream : upstreams.values()) {
            if (listKind != EndpointListKind.DELTA && !listedIds.contains(upstream.id)) {
                remove(upstream);
            }
        }
        upstreams.values().removeIf(upstream -> canForget(nowMicros, upstream));
        collectReady();
    }

    private void update(Upstream listed) {
        TrackedUpstream upstream = upstreams.get(listed.id());
        if (listed.state() == UpstreamState.GONE) {
            if (upstream != null) {
                remove(upstream);
            }
            return;
        }
        if (upstream == null) {
            MachineType machineType =
                    machineTypes.computeIfAbsent(listed.machineType(), name -> new MachineType(context.defaultCores));
            int zoneIndex = context.settings.zones().indexOf(listed.zone());
            upstream = new TrackedUpstream(
                    listed, machineType, zoneIndex, SlowStart.hash(listed.id().hashCode(), 0));
            upstreams.put(listed.id(), upstream);
        } else if (listed.startedMicros() != upstream.endpoint.startedMicros()) {
            upstream.resetIncarnation();
        }
        upstream.endpoint = listed;
        upstream.ready = listed.state() == UpstreamState.READY;
        upstream.removed = false;
        connections.closeIfDraining(upstream);
    }

    private void remove(TrackedUpstream upstream) {
        upstream.ready = false;
        upstream.removed = true;
        connections.closeIfDraining(upstream);
    }

    private void collectReady() {
        ready.clear();
        for (TrackedUpstream upstream : upstreams.values()) {
            if (upstream.ready) {
                ready.add(upstream);
            }
        }
        if (context.connectionSubset) {
            ready.sort(Comparator.comparingInt((TrackedUpstream upstream) -> upstream.subsetOrder)
                    .thenComparing(upstream -> upstream.id));
        } else {
            ready.sort(Comparator.comparingInt(upstream -> context.peerLoad.subsetRank(upstream.id)));
        }
        peerSubset = context.peerLoad.subsetSize() < ready.size();
    }

    /**
     * Returns whether the upstream is removed and has no requests in flight, apart from streams, so that it
     * can be forgotten. Replaced upstreams get new ids, so keeping all of them would leak memory. One that was
     * sent requests in slow start is kept for the window of its budget, as it may be listed again.
     */
    private boolean canForget(long nowMicros, TrackedUpstream upstream) {
        long windowMicros = context.settings.rules().overloadWindowMicros();
        boolean budgetInUse = nowMicros - upstream.warmupSentMicros < windowMicros;
        return upstream.removed && upstream.inFlight == 0 && !budgetInUse;
    }

    /** Forgets the upstream if nothing about it is needed any longer. */
    void forgetIfDone(long nowMicros, TrackedUpstream upstream) {
        if (canForget(nowMicros, upstream)) {
            upstreams.remove(upstream.id, upstream);
        }
    }

    /** Returns the upstream with this id, or null. */
    TrackedUpstream find(String id) {
        return upstreams.get(id);
    }

    int size() {
        return upstreams.size();
    }

    /** Returns the machine types by name, those of the settings first. */
    Map<String, MachineType> machineTypes() {
        return machineTypes;
    }

    /** Returns the ready upstreams in the order of subset selection, which all sidecars share. */
    List<TrackedUpstream> ready() {
        return ready;
    }

    /**
     * Returns whether this sidecar sends only to a subset, about which it gossips with the sidecars that
     * share it.
     */
    boolean hasPeerSubset() {
        return peerSubset;
    }
}
