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
 * Merges the endpoint lists of all sources into the one that the sidecar uses. Does no I/O and reads no clock: the
 * caller passes in lists, check results and the time (Unix time in microseconds), and publishes each
 * {@link EndpointChange} that is returned.
 *
 * <p>At the start the newest available list becomes the base. Depending on its age, its endpoints are used at once or
 * are withheld until a check has verified that an upstream responds at their address. After discovery's first response
 * only its list counts, and all of its endpoints are confirmed.
 *
 * <p>A process may have started after any list was made, however recent the list is. Endpoints that discovery has not
 * confirmed are therefore in slow start from the moment they come into use ({@link Upstream#slowStartFromMicros}).
 */
public final class Membership {
    /** Endpoints beyond this number are ignored, so that a broken source can't exhaust the memory. */
    static final int MAX_ENDPOINTS = 10_000;

    /** A connection that fails within this time of the start of a slow start is attributed to the same restart. */
    private static final long RESTART_WINDOW_MICROS = 100_000;
    /**
     * Process exits and returns to service are rounded up to this grid, so that sidecars that notice one at different
     * times agree on when its slow start begins.
     */
    private static final long RESTART_GRID_MICROS = 500_000;
    /** Restarts that a list may not show yet are forgotten after this time, which is longer than any slow start. */
    static final long RESTART_EXPIRY_MICROS = 3_600_000_000L;

    private final StalenessPolicy stalenessPolicy;
    private final EndpointChecks checks;
    private final OutOfServiceUpstreams outOfService = new OutOfServiceUpstreams();
    private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
    /**
     * When the processes of removed endpoints were last found to have exited, by id: discovery may list an endpoint again
     * before it has noticed.
     */
    private final Map<String, Long> exitMicrosOfRemoved = new HashMap<>();

    private long generation;
    private boolean confirmed;
    /** Whether the last call to discovery succeeded, so that discovery is expected to report restarts. */
    private boolean discoveryResponding;

    /**
     * Creates an empty endpoint list.
     *
     * @param seed random seed for the order and the retry delays of checks
     */
    public Membership(StalenessPolicy stalenessPolicy, long seed, long nowMicros) {
        this.stalenessPolicy = stalenessPolicy;
        checks = new EndpointChecks(stalenessPolicy, seed, nowMicros);
    }

    /** Version of the base or of discovery's last list, from which a discovery watch continues. */
    public long generation() {
        return generation;
    }

    /** Whether discovery has responded. */
    public boolean isConfirmedByDiscovery() {
        return confirmed;
    }

    /** Number of endpoints, including unverified ones. */
    public int size() {
        return entries.size();
    }

    /** Number of unverified endpoints. */
    public int unverifiedCount() {
        return (int)
                entries.values().stream().filter(entry -> !entry.isUsable()).count();
    }

    /** All endpoints as their source listed them, including unverified ones. */
    public List<Endpoint> endpoints() {
        return entries.values().stream().map(EndpointEntry::endpoint).toList();
    }

    /** Makes the newest usable list the base. Must be called once, before any other method. */
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
                            + ListDescription.age(nowMicros, asOfMicros(base)) + ": "
                            + (staleness == Staleness.FRESH ? "used as it is" : "each of them is checked first"));
        }
        return new EndpointChange(true, usableEndpoints(), logMessages);
    }

    private Optional<EndpointList> newestUsable(long nowMicros, List<EndpointList> lists, List<String> logMessages) {
        EndpointList newest = null;
        for (EndpointList list : lists) {
            if (stalenessPolicy.classify(nowMicros, asOfMicros(list)) == Staleness.EXPIRED) {
                logMessages.add("the list " + ListDescription.of(list) + " is "
                        + ListDescription.age(nowMicros, asOfMicros(list)) + ", which is too old to be used");
            } else if (newest == null || isNewer(list, newest)) {
                newest = list;
            }
        }
        return Optional.ofNullable(newest);
    }

    private void addBase(long nowMicros, EndpointList base, Staleness staleness, List<String> logMessages) {
        EndpointEntry.State state =
                switch (staleness) {
                    case UNCHECKED -> EndpointEntry.State.CONFIRMED;
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
        ReusedAddresses.supersededIds(endpoints()).forEach(entries::remove);
    }

    /** Time of the list. A list without one is at least as recent as the latest process start that it contains. */
    private static long asOfMicros(EndpointList list) {
        if (list.asOfMicros() > 0) {
            return list.asOfMicros();
        }
        return list.endpoints().stream()
                .mapToLong(endpoint -> endpoint.upstream().startedMicros())
                .max()
                .orElse(0);
    }

    /**
     * Compares generations, and among lists of the same generation the times; a list with a time is newer than one
     * without.
     */
    private static boolean isNewer(EndpointList list, EndpointList other) {
        return list.generation() != other.generation()
                ? list.generation() > other.generation()
                : list.asOfMicros() > other.asOfMicros();
    }

    /**
     * Keeps the endpoint that started last for each address: a stale list may contain an address twice, for an upstream
     * and for the one that took over its address.
     */
    private static List<Endpoint> latestPerAddress(List<Endpoint> endpoints) {
        Map<String, Endpoint> latestByAddress = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            latestByAddress.merge(
                    endpoint.address(),
                    endpoint,
                    (first, second) -> second.upstream().startedMicros()
                                    >= first.upstream().startedMicros()
                            ? second
                            : first);
        }
        return endpoints.stream()
                .filter(endpoint -> latestByAddress.get(endpoint.address()) == endpoint)
                .toList();
    }

    /**
     * Applies a complete list from discovery, or changes, and confirms all endpoints that remain. Endpoints that a
     * complete list does not contain are removed. Changes build on the base, so they also confirm the endpoints that
     * they do not contain. A complete list of an older version is applied as well, because a discovery service that was
     * restored from a backup knows the current endpoints. An empty complete list removes all endpoints, as discovery has
     * withdrawn them.
     */
    public EndpointChange onDiscoveryList(long nowMicros, EndpointList list) {
        List<String> logMessages = new ArrayList<>();
        if (list.generation() < generation && (list.complete() || !confirmed)) {
            logMessages.add("discovery's list is older (" + list.generation() + ") than the current one (" + generation
                    + "), which it replaces all the same");
        }
        StateChangeSummary stateChanges = new StateChangeSummary();
        Set<String> listedIds = apply(list, stateChanges);
        int previousSize = entries.size();
        if (list.complete()) {
            removeUnlisted(listedIds, Set.of(), stateChanges);
        }
        boolean addressesReused = removeSuperseded(stateChanges);
        boolean firstConfirmation = !confirmed && !stalenessPolicy.acceptsAll();
        if (firstConfirmation) {
            logMessages.add("discovery responded: " + entries.size() + " upstreams confirmed, "
                    + (previousSize - entries.size()) + " removed");
        }
        stateChanges.describe(list.generation()).ifPresent(logMessages::add);
        entries.values().forEach(EndpointEntry::confirm);
        checks.abandonAll();
        generation = list.generation();
        confirmed = true;
        discoveryResponding = true;
        outOfService.onEndpointList(nowMicros, entries.keySet());
        exitMicrosOfRemoved.values().removeIf(exitMicros -> nowMicros - exitMicros > RESTART_EXPIRY_MICROS);
        return list.complete() || firstConfirmation || addressesReused
                ? new EndpointChange(true, usableEndpoints(), logMessages)
                : new EndpointChange(
                        false,
                        list.endpoints().stream().map(this::effectiveChange).toList(),
                        logMessages);
    }

    /** Adds, updates and removes entries by the list, and returns the ids that it contains. */
    private Set<String> apply(EndpointList list, StateChangeSummary stateChanges) {
        Set<String> listedIds = new HashSet<>();
        for (Endpoint endpoint : list.endpoints()) {
            listedIds.add(endpoint.id());
            stateChanges.add(
                    endpoint.id(),
                    listedState(endpoint.id()),
                    endpoint.upstream().state());
            if (endpoint.upstream().state() == UpstreamState.GONE) {
                remove(endpoint.id());
            } else if (entries.containsKey(endpoint.id()) || entries.size() < MAX_ENDPOINTS) {
                entries.computeIfAbsent(endpoint.id(), id -> newEntry(endpoint)).update(endpoint);
            }
        }
        return listedIds;
    }

    private UpstreamState listedState(String id) {
        EndpointEntry entry = entries.get(id);
        return entry == null ? UpstreamState.GONE : entry.upstream().state();
    }

    private void removeUnlisted(Set<String> listedIds, Set<String> keptIds, StateChangeSummary stateChanges) {
        List<String> unlistedIds = entries.keySet().stream()
                .filter(id -> !listedIds.contains(id) && !keptIds.contains(id))
                .toList();
        for (String id : unlistedIds) {
            stateChanges.add(id, listedState(id), UpstreamState.GONE);
            remove(id);
        }
    }

    /**
     * Removes endpoints whose address belongs to one that has started later: their process is gone, though discovery
     * still lists it, and a request would reach the other one. Returns whether there were any.
     */
    private boolean removeSuperseded(StateChangeSummary stateChanges) {
        Set<String> supersededIds = ReusedAddresses.supersededIds(endpoints());
        for (String id : supersededIds) {
            stateChanges.add(id, listedState(id), UpstreamState.GONE);
            remove(id);
        }
        return !supersededIds.isEmpty();
    }

    private void remove(String id) {
        EndpointEntry removed = entries.remove(id);
        if (removed == null) {
            return;
        }
        checks.abandon(removed);
        if (removed.processExitMicros() > 0 && exitMicrosOfRemoved.size() < MAX_ENDPOINTS) {
            exitMicrosOfRemoved.put(id, removed.processExitMicros());
        }
    }

    private EndpointEntry newEntry(Endpoint endpoint) {
        EndpointEntry entry = new EndpointEntry(endpoint, EndpointEntry.State.CONFIRMED, 0);
        Long exitMicros = exitMicrosOfRemoved.remove(endpoint.id());
        if (exitMicros != null) {
            entry.processExited(exitMicros);
        }
        return entry;
    }

    /**
     * Applies what a list from discovery says that can't be used as a whole: it adds, updates and removes endpoints, but
     * confirms none and does not change the version.
     */
    public EndpointChange onPartialList(PartialEndpointList list) {
        EndpointList readable = list.readable();
        StateChangeSummary stateChanges = new StateChangeSummary();
        Set<String> listedIds = apply(readable, stateChanges);
        if (readable.complete()) {
            removeUnlisted(listedIds, list.unreadableIds(), stateChanges);
        }
        removeSuperseded(stateChanges);
        List<String> logMessages =
                stateChanges.describe(readable.generation()).stream().toList();
        if (readable.endpoints().isEmpty() && logMessages.isEmpty()) {
            return EndpointChange.NONE;
        }
        return new EndpointChange(true, usableEndpoints(), logMessages);
    }

    /** The endpoint as the balancer gets it; one that has just been removed is passed on as it was listed. */
    private Endpoint effectiveChange(Endpoint endpoint) {
        EndpointEntry entry = entries.get(endpoint.id());
        return entry == null ? endpoint : effectiveEndpoint(entry);
    }

    /**
     * Returns the endpoints to check now; none once discovery has responded. The caller must pass the result of each
     * check to {@link #onCheckResult}.
     */
    public List<Endpoint> beginChecks(long nowMicros) {
        return confirmed ? List.of() : checks.begin(nowMicros, entries.values());
    }

    /** Handles the result of a check. No effect if discovery has responded since the check began. */
    public EndpointChange onCheckResult(long nowMicros, String id, EndpointEvidence evidence) {
        EndpointEntry entry = entries.get(id);
        if (entry == null || !entry.isCheckInFlight()) {
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

    /** Handles a response to a request, which shows that the endpoint is an upstream. */
    public EndpointChange onResponse(String id) {
        EndpointEntry entry = entries.get(id);
        if (entry == null || !entry.hasUncertainty(Uncertainty.SERVICE)) {
            return EndpointChange.NONE;
        }
        entry.reduceUncertainty(Uncertainty.IDENTITY);
        return allUsable();
    }

    /** Handles a failed call to discovery: the last list stays in use, and restarts are no longer reported. */
    public void onDiscoveryFailure() {
        discoveryResponding = false;
    }

    /**
     * Handles a failed connection. While discovery does not respond the process may be restarting, so its slow start
     * begins again. A refused connection means that the process has exited and that the next one starts later.
     * Discovery reports the new process only once it has noticed, so an earlier start time in its lists does not end
     * this slow start.
     *
     * @param refused whether the connection was refused, because nothing listens at the address
     */
    public EndpointChange onConnectFailure(long nowMicros, String id, boolean refused) {
        EndpointEntry entry = entries.get(id);
        if (stalenessPolicy.acceptsAll()
                || discoveryResponding && !refused
                || entry == null
                || !entry.isUsable()
                || nowMicros - entry.slowStartFromMicros() < RESTART_WINDOW_MICROS
                || nextGridMicros(nowMicros) == entry.processExitMicros()) {
            return EndpointChange.NONE;
        }
        if (refused) {
            entry.processExited(nextGridMicros(nowMicros));
        } else {
            entry.restartSlowStart(nowMicros);
        }
        return allUsable();
    }

    /** Rounds up to the next multiple of {@link #RESTART_GRID_MICROS}, which is later than {@code nowMicros}. */
    static long nextGridMicros(long nowMicros) {
        return (nowMicros / RESTART_GRID_MICROS + 1) * RESTART_GRID_MICROS;
    }

    /** All endpoints that may be used, as the balancer and the connection pools get them. */
    public List<Endpoint> usableEndpoints() {
        return entries.values().stream()
                .filter(EndpointEntry::isUsable)
                .map(this::effectiveEndpoint)
                .toList();
    }

    private EndpointChange allUsable() {
        return new EndpointChange(true, usableEndpoints(), List.of());
    }

    private Endpoint effectiveEndpoint(EndpointEntry entry) {
        String id = entry.upstream().id();
        return entry.effectiveEndpoint(outOfService.contains(id), outOfService.returnedMicros(id));
    }

    /**
     * The upstream as its source listed it; null if it is not listed. No Optional, because this is called for each
     * attempt.
     */
    public Upstream upstream(String id) {
        EndpointEntry entry = entries.get(id);
        return entry == null ? null : entry.upstream();
    }

    /** Whether operators can refer to the upstream: it is listed, or out of service and not yet forgotten. */
    public boolean isKnown(String id) {
        return entries.containsKey(id) || outOfService.contains(id);
    }

    /** Whether an operator took the upstream out of service. */
    public boolean isOutOfService(String id) {
        return outOfService.contains(id);
    }

    /**
     * Takes an upstream out of service, or brings it back, in slow start because it may have been restarted. Repeats
     * have no effect.
     */
    public EndpointChange setOutOfService(long nowMicros, String id, boolean takeOut) {
        boolean changed = takeOut ? outOfService.takeOut(nowMicros, id) : outOfService.bringBack(nowMicros, id);
        if (!changed) {
            return EndpointChange.NONE;
        }
        String message = id + (takeOut ? " is out of service" : " is back in service, in slow start");
        return new EndpointChange(true, usableEndpoints(), List.of(message));
    }

    /** The upstreams that are out of service, to be passed to another process of this sidecar. */
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
