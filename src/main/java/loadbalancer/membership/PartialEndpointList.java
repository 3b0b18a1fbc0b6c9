package loadbalancer.membership;

import java.util.Set;

/**
 * What a list from discovery says although it can't be used as a whole, because entries are unreadable or because it
 * does not continue the current list. A withdrawal must take effect even then: its upstream counts as notified of.
 *
 * @param readable      the entries that can be used
 * @param unreadableIds ids of entries that can't be read; what is known of these upstreams stays
 */
public record PartialEndpointList(EndpointList readable, Set<String> unreadableIds) {
    /** Copies {@code unreadableIds}. */
    public PartialEndpointList {
        unreadableIds = Set.copyOf(unreadableIds);
    }

    /** Whether the list changes nothing. */
    public boolean isEmpty() {
        return !readable.complete() && readable.endpoints().isEmpty();
    }
}
