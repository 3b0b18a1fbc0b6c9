package loadbalancer.membership;

import java.util.List;

/**
 * A change of the usable endpoints, for the balancer and the connection pools.
 *
 * @param complete    whether {@code endpoints} are all usable endpoints, as opposed to only those that changed
 * @param logMessages messages to log
 */
public record EndpointChange(boolean complete, List<Endpoint> endpoints, List<String> logMessages) {
    static final EndpointChange NONE = new EndpointChange(false, List.of(), List.of());

    /** Whether no endpoint changes. There may still be messages to log. */
    public boolean isEmpty() {
        return !complete && endpoints.isEmpty();
    }
}
