package loadbalancer.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import loadbalancer.balancing.Balancer.UpstreamState;

/** Finds endpoints whose process must be gone, because another one has started at their address since. Pure. */
final class ReusedAddresses {
    private ReusedAddresses() {}

    /**
     * Ids of endpoints that share an address, of either protocol, with one that has started later. Endpoints with equal
     * start times can't be told apart, and none of them is returned.
     */
    static Set<String> supersededIds(List<Endpoint> endpoints) {
        Set<String> superseded = new HashSet<>();
        addSuperseded(endpoints, Endpoint::address, superseded);
        addSuperseded(endpoints, Endpoint::grpcAddress, superseded);
        return superseded;
    }

    private static void addSuperseded(
            List<Endpoint> endpoints, Function<Endpoint, String> addressOf, Set<String> superseded) {
        Map<String, Long> latestStartByAddress = new HashMap<>();
        for (Endpoint endpoint : endpoints) {
            if (isListedAt(addressOf.apply(endpoint), endpoint)) {
                latestStartByAddress.merge(
                        addressOf.apply(endpoint), endpoint.upstream().startedMicros(), Math::max);
            }
        }
        for (Endpoint endpoint : endpoints) {
            String address = addressOf.apply(endpoint);
            if (isListedAt(address, endpoint)
                    && endpoint.upstream().startedMicros() < latestStartByAddress.get(address)) {
                superseded.add(endpoint.id());
            }
        }
    }

    private static boolean isListedAt(String address, Endpoint endpoint) {
        return address != null && endpoint.upstream().state() != UpstreamState.GONE;
    }
}
