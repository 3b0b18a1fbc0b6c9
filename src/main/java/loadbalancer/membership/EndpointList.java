package loadbalancer.membership;

import java.util.List;

/**
 * The endpoints that one source listed at one time, or the changes since its previous list.
 *
 * @param generation version of the list; comparable among lists of the same discovery service
 * @param complete   whether {@code endpoints} are all endpoints, as opposed to the changes since the previous list
 * @param asOfMicros Unix time at which the list was last known to be correct; 0 if unknown
 */
public record EndpointList(
        ListSource source, long generation, boolean complete, long asOfMicros, List<Endpoint> endpoints) {
    /** Copies {@code endpoints}. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
    }
}
