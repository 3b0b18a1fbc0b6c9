package loadbalancer.membership.discovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.json.JsonException;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.PartialEndpointList;

/**
 * Reads one response of discovery, entry by entry, so that one unreadable entry hides no other. An entry that says that
 * its upstream drains or is gone is used whatever else it contains.
 */
final class DiscoveryListReader {
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Set<String> unreadableIds = new HashSet<>();
    /** Why the first unreadable entry can't be read; null while there is none. */
    private String firstError;

    private int errorCount;
    private boolean anyWithoutId;

    private DiscoveryListReader() {}

    /**
     * A response that was read.
     *
     * @param partial the readable entries; all entries if there is no error
     * @param error   why some entries can't be read; empty if all can
     */
    record Reading(PartialEndpointList partial, Optional<String> error) {
        EndpointList list() {
            return partial.readable();
        }

        /** Only what withdraws upstreams: the entries of upstreams that drain or are gone. */
        PartialEndpointList withdrawals() {
            List<Endpoint> withdrawn = list().endpoints().stream()
                    .filter(endpoint -> endpoint.upstream().state() != UpstreamState.READY)
                    .toList();
            return new PartialEndpointList(
                    new EndpointList(list().source(), list().generation(), false, list().asOfMicros(), withdrawn),
                    Set.of());
        }
    }

    /**
     * Reads a response.
     *
     * @param asOfMicros Unix time at which the list is correct
     * @throws JsonException if the response is no JSON object, or a field other than those of entries can't be read
     */
    static Reading read(byte[] body, long asOfMicros) {
        JsonObject json = JsonObject.parse(body);
        DiscoveryListReader reader = new DiscoveryListReader();
        List<Optional<JsonObject>> instances = DiscoveryListFormat.instances(json);
        instances.forEach(reader::readEntry);
        // An entry without an id may stand for any upstream, so such a list withdraws only the upstreams it names.
        boolean complete = DiscoveryListFormat.isComplete(json) && !reader.anyWithoutId;
        EndpointList readable = new EndpointList(
                ListSource.DISCOVERY, DiscoveryListFormat.generation(json), complete, asOfMicros, reader.endpoints);
        return new Reading(
                new PartialEndpointList(readable, reader.unreadableIds), reader.describeErrors(instances.size()));
    }

    private Optional<String> describeErrors(int entryCount) {
        return errorCount == 0
                ? Optional.empty()
                : Optional.of(errorCount + " of " + entryCount + " entries can't be read, the first: " + firstError);
    }

    private void readEntry(Optional<JsonObject> instance) {
        if (instance.isEmpty()) {
            anyWithoutId = true;
            recordError("not an object");
            return;
        }
        try {
            endpoints.add(DiscoveryListFormat.readEndpoint(instance.get()));
        } catch (IllegalArgumentException exception) {
            readDamagedEntry(instance.get(), exception.getMessage());
        }
    }

    private void readDamagedEntry(JsonObject instance, String error) {
        String id;
        try {
            id = DiscoveryListFormat.id(instance);
        } catch (JsonException exception) {
            anyWithoutId = true;
            recordError(error);
            return;
        }
        UpstreamState state = stateOrReady(instance);
        if (state == UpstreamState.READY) {
            unreadableIds.add(id);
        } else {
            endpoints.add(DiscoveryListFormat.goneEndpoint(id));
        }
        if (state != UpstreamState.GONE) {
            recordError(id + ": " + error);
        }
    }

    /** State of the entry; READY if it can't be read, since the entry then says nothing that withdraws its upstream. */
    private static UpstreamState stateOrReady(JsonObject instance) {
        try {
            return DiscoveryListFormat.state(instance);
        } catch (IllegalArgumentException exception) {
            return UpstreamState.READY;
        }
    }

    private void recordError(String error) {
        errorCount++;
        firstError = firstError == null ? error : firstError;
    }
}
