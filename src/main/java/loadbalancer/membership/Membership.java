package loadbalancer.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.membership.StalenessPolicy.Staleness;

/**
 * The endpoint list, merged from its sources. It does no I/O and reads no clock: the caller hands it lists, results of checks and the
 * time (Unix time in microseconds), and passes on each {@link EndpointChange} that it returns.
 *
 * <p>At the start the newest list at hand is the base. By its age it is used as it is, or its endpoints are withheld until a check has
 * verified that an upstream responds at their address. Once discovery has responded its list alone counts, and nothing is in doubt any
 * more.
 *
 * <p>Whatever the age of a list, a process may have started since. So endpoints that discovery has not confirmed are in slow start from
 * the moment they come into use ({@link Upstream#slowStartFromMicros}).
 */
public final class Membership {
    /** Endpoints of a longer list are ignored, so that a broken source can't exhaust the memory. */
    static final int MAX_ENDPOINTS = 10_000;

    /** Failed connections so close together belong to one restart. */
    private static final long RESTART_WINDOW_MICROS = 100_000;
    /** Sidecars see a process end at different times; those within one step of this grid agree on its slow start. */
    private static final long RESTART_GRID_MICROS = 500_000;

    private final StalenessPolicy stalenessPolicy;
    private final EndpointChecks checks;
    private final OutOfServiceUpstreams outOfService = new OutOfServiceUpstreams();
    private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
    private long generation;
    private boolean confirmed;
    /** Whether discovery responds, and so will report restarts. */
    private boolean discoveryResponding;

    /**
     * An empty list.
     *
     * @param seed of the order and the delays of checks
     */
    public Membership(StalenessPolicy stalenessPolicy, long seed, long nowMicros) {
        this.stalenessPolicy = stalenessPolicy;
        checks = new EndpointChecks(stalenessPolicy, seed, nowMicros);
    }

    /** Version of the base, or of discovery's last list: what a watch continues from. */
    public long generation() {
        return generation;
    }

    /** Whether discovery has responded. */
    public boolean isConfirmedByDiscovery() {
        return confirmed;
    }

    /** How many endpoints there are, unverified ones included. */
    public int size() {
        return entries.size();
    }

    /** How many endpoints are unverified. */
    public int unverifiedCount() {
        return (int)
                entries.values().stream().filter(entry -> !entry.isUsable()).count();
    }

    /** All endpoints as they are listed, unverified ones included. */
    public List<Endpoint> endpoints() {
        return entries.values().stream().map(EndpointEntry::endpoint).toList();
    }

    /** Makes the newest usable list the base; to be called once, before anything else. */
    public EndpointChange start(long nowMicros, List<EndpointList> lists) {
        List<String> logMessages = new ArrayList<>();
        Optional<EndpointList> newest = newestUsable(nowMicros, lists, logMessages);
        if (newest.isEmpty()) {
            return new EndpointChange(true, List.of(), logMessages);
        }
        EndpointList base = newest.get();
        generation = base.generation();
        Staleness staleness = stalenessPolicy.classify(nowMicros, asOfMicros(base));
        addBase(nowMicros, base, staleness, logMessages);
        if (staleness == Staleness.FRESH || staleness == Staleness.STALE) {
            logMessages.add(
                    "starts from the list " + ListDescription.of(base) + " of " + entries.size() + " upstreams, "
                            + ListDescription.age(nowMicros, asOfMicros(base)) + " old: "
                            + (staleness == Staleness.FRESH ? "used as it is" : "each of them is checked first"));
        }
        return new EndpointChange(true, usableEndpoints(), logMessages);
    }

    private Optional<EndpointList> newestUsable(long nowMicros, List<EndpointList> lists, List<String> logMessages) {
        EndpointList newest = null;
        for (EndpointList list : lists) {
            if (stalenessPolicy.classify(nowMicros, asOfMicros(list)) == Staleness.EXPIRED) {
                logMessages.add("the list " + ListDescription.of(list) + " is "
                        + ListDescription.age(nowMicros, asOfMicros(list)) + " old, which is too old to be used");
            } else if (newest == null || isNewer(list, newest)) {
                newest = list;
            }
        }
        return Optional.ofNullable(newest);
    }

    private void addBase(long nowMicros, EndpointList base, Staleness staleness, List<String> logMessages) {
        EndpointEntry.State state =
                switch (staleness) {
                    case UNCHECKED -> EndpointEntry.State.LISTED;
                    case FRESH -> EndpointEntry.State.IN_USE;
                    default -> EndpointEntry.State.UNVERIFIED;
                };
        long slowStartFromMicros = staleness == Staleness.FRESH ? nowMicros : 0;
        for (Endpoint endpoint : staleness == Staleness.STALE ? latestPerAddress(base.endpoints()) : base.endpoints()) {
            if (entries.size() == MAX_ENDPOINTS) {
                logMessages.add("the list " + ListDescription.of(base) + " has more than " + MAX_ENDPOINTS
                        + " endpoints; the rest is ignored");
                break;
            }
            if (endpoint.upstream().state() != UpstreamState.GONE) {
                entries.put(endpoint.id(), new EndpointEntry(endpoint, state, slowStartFromMicros));
            }
        }
    }

    /** A list without a time is no older than the newest start that it names. */
    private static long asOfMicros(EndpointList list) {
        if (list.asOfMicros() > 0) {
            return list.asOfMicros();
        }
        return list.endpoints().stream()
                .mapToLong(endpoint -> endpoint.upstream().startedMicros())
                .max()
                .orElse(0);
    }

    /** Versions order lists of one discovery service; among equals the time decides, and a list with a time is newer than one without. */
    private static boolean isNewer(EndpointList list, EndpointList other) {
        return list.generation() != other.generation()
                ? list.generation() > other.generation()
                : list.asOfMicros() > other.asOfMicros();
    }

    /** A stale list may name an address twice, for a node and for its successor: the one that started last holds it. */
    private static List<Endpoint> latestPerAddress(List<Endpoint> endpoints) {
        Map<String, Endpoint> holders = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            holders.merge(
                    endpoint.address(),
                    endpoint,
                    (first, second) -> second.upstream().startedMicros()
                                    >= first.upstream().startedMicros()
                            ? second
                            : first);
        }
        return endpoints.stream()
                .filter(endpoint -> holders.get(endpoint.address()) == endpoint)
                .toList();
    }

    /**
     * Discovery's list, or its changes, replaces all doubt: what it does not name is gone, what it names is confirmed. Changes follow on
     * the base, so they confirm what they do not mention. A complete list of an older version counts too, since a service that was
     * restored knows what is there now. An empty list is ignored: it would end all service.
     */
    public EndpointChange onDiscoveryList(long nowMicros, EndpointList list) {
        if (list.complete() && list.endpoints().isEmpty()) {
            return new EndpointChange(false, List.of(), List.of("discovery returned an empty list: ignored"));
        }
        List<String> logMessages = new ArrayList<>();
        if (list.generation() < generation && (list.complete() || !confirmed)) {
            logMessages.add("discovery's list is older (" + list.generation() + ") than the current one (" + generation
                    + "): discovery's is used");
        }
        Set<String> named = apply(list);
        int before = entries.size();
        if (list.complete()) {
            entries.keySet().retainAll(named);
        }
        boolean endsDoubt = !confirmed && !stalenessPolicy.acceptsAll();
        if (endsDoubt) {
            logMessages.add("discovery responded: " + entries.size() + " upstreams confirmed, "
                    + (before - entries.size()) + " removed");
        }
        entries.values().forEach(EndpointEntry::confirm);
        checks.abandonAll();
        generation = list.generation();
        confirmed = true;
        discoveryResponding = true;
        outOfService.onEndpointList(nowMicros, entries.keySet());
        return list.complete() || endsDoubt
                ? new EndpointChange(true, usableEndpoints(), logMessages)
                : new EndpointChange(
                        false,
                        list.endpoints().stream().map(this::presentChanged).toList(),
                        logMessages);
    }

    /** Returns the ids that the list names. */
    private Set<String> apply(EndpointList list) {
        Set<String> named = new HashSet<>();
        for (Endpoint endpoint : list.endpoints()) {
            named.add(endpoint.id());
            if (endpoint.upstream().state() == UpstreamState.GONE) {
                entries.remove(endpoint.id());
            } else if (entries.containsKey(endpoint.id()) || entries.size() < MAX_ENDPOINTS) {
                entries.computeIfAbsent(endpoint.id(), id -> new EndpointEntry(endpoint, EndpointEntry.State.LISTED, 0))
                        .update(endpoint);
            }
        }
        return named;
    }

    private Endpoint presentChanged(Endpoint endpoint) {
        EndpointEntry entry = entries.get(endpoint.id());
        return entry == null ? endpoint : present(entry);
    }

    /** The endpoints to be checked now, each of whose results is due at {@link #onCheckResult}; none once discovery has responded. */
    public List<Endpoint> beginChecks(long nowMicros) {
        return confirmed ? List.of() : checks.begin(nowMicros, entries.values());
    }

    /** The result of a check; no effect where discovery has responded meanwhile. */
    public EndpointChange onCheckResult(long nowMicros, String id, EndpointEvidence evidence) {
        EndpointEntry entry = entries.get(id);
        if (entry == null || !entry.checkInFlight()) {
            return EndpointChange.NONE;
        }
        switch (evidence) {
            case RESPONDS_AS_UPSTREAM -> entry.verify(nowMicros, Uncertainty.IDENTITY);
            case ACCEPTS_CONNECTIONS -> entry.verify(nowMicros, Uncertainty.SERVICE);
            default -> {
                checks.failed(nowMicros, entry);
                return EndpointChange.NONE;
            }
        }
        checks.succeeded(entry);
        return allUsable();
    }

    /** An upstream has responded to a request, so that it is known to be one. */
    public EndpointChange onResponse(String id) {
        EndpointEntry entry = entries.get(id);
        if (entry == null || !entry.hasUncertainty(Uncertainty.SERVICE)) {
            return EndpointChange.NONE;
        }
        entry.reduceUncertainty(Uncertainty.IDENTITY);
        return allUsable();
    }

    /** Discovery has stopped responding: its last list holds, and nobody reports restarts. */
    public void onDiscoveryFailure() {
        discoveryResponding = false;
    }

    /**
     * A connection failed. While discovery does not respond the process may be restarting, so its slow start begins anew. Where nothing
     * listens the process is gone, and the next one starts later: discovery reports that only once it has noticed, so an earlier start
     * that it reports does not end this slow start.
     */
    public EndpointChange onConnectFailure(long nowMicros, String id, boolean nobodyListens) {
        EndpointEntry entry = entries.get(id);
        if (stalenessPolicy.acceptsAll()
                || discoveryResponding && !nobodyListens
                || entry == null
                || !entry.isUsable()
                || nowMicros - entry.slowStartFromMicros() < RESTART_WINDOW_MICROS
                || nextGridMicros(nowMicros) == entry.processGoneMicros()) {
            return EndpointChange.NONE;
        }
        if (nobodyListens) {
            entry.processGone(nextGridMicros(nowMicros));
        } else {
            entry.restartSlowStart(nowMicros);
        }
        return allUsable();
    }

    /** The next time on the grid by which sidecars agree on a restart. */
    static long nextGridMicros(long nowMicros) {
        return (nowMicros / RESTART_GRID_MICROS + 1) * RESTART_GRID_MICROS;
    }

    /** All endpoints that may be used, for the balancer and the connections. */
    public List<Endpoint> usableEndpoints() {
        return entries.values().stream()
                .filter(EndpointEntry::isUsable)
                .map(this::present)
                .toList();
    }

    private EndpointChange allUsable() {
        return new EndpointChange(true, usableEndpoints(), List.of());
    }

    /** Out of service it is draining, whatever lists say. */
    private Endpoint present(EndpointEntry entry) {
        String id = entry.upstream().id();
        return entry.present(outOfService.contains(id), outOfService.returnedMicros(id));
    }

    /** The upstream as it is listed; null where it is not, as this is called for each attempt. */
    public Upstream upstream(String id) {
        EndpointEntry entry = entries.get(id);
        return entry == null ? null : entry.upstream();
    }

    /** Whether operators can refer to it: it is listed, or out of service and expected back. */
    public boolean isKnown(String id) {
        return entries.containsKey(id) || outOfService.contains(id);
    }

    /** Whether an operator took it out of service. */
    public boolean isOutOfService(String id) {
        return outOfService.contains(id);
    }

    /** Takes an upstream out of service, or brings it back in slow start, since it may have been restarted. Repeats have no effect. */
    public EndpointChange setOutOfService(long nowMicros, String id, boolean takeOut) {
        boolean changed = takeOut ? outOfService.takeOut(nowMicros, id) : outOfService.bringBack(nowMicros, id);
        if (!changed) {
            return EndpointChange.NONE;
        }
        String message = id + (takeOut ? " is out of service" : " is back in service, in slow start");
        return new EndpointChange(true, usableEndpoints(), List.of(message));
    }

    /** The upstreams that are out of service, for another process of this sidecar. */
    public OutOfServiceUpstreams.Snapshot outOfServiceUpstreams() {
        return outOfService.snapshot();
    }

    /** Takes over the upstreams that are out of service from another process of this sidecar. */
    public EndpointChange restoreOutOfService(OutOfServiceUpstreams.Snapshot snapshot) {
        if (!outOfService.restore(snapshot)) {
            return EndpointChange.NONE;
        }
        String message = "upstreams out of service: "
                + outOfService.snapshot().outOfService().keySet();
        return new EndpointChange(true, usableEndpoints(), List.of(message));
    }
}
