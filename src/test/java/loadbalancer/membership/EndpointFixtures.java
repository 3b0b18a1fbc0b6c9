package loadbalancer.membership;

import java.util.List;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;

/** Endpoints and lists for the tests of this package. Times in microseconds. */
final class EndpointFixtures {
    static final long SECOND = 1_000_000;
    static final long DAY = 86_400 * SECOND;
    static final long NOW = 20_000 * DAY;
    static final StalenessPolicy STALENESS =
            new StalenessPolicy(30 * SECOND, 30 * DAY, StalenessPolicy.AGE_UNKNOWN, 4, 8);

    private EndpointFixtures() {}

    static Membership membership() {
        return membership(STALENESS);
    }

    static Membership membership(StalenessPolicy stalenessPolicy) {
        return new Membership(stalenessPolicy, 7, NOW);
    }

    static Endpoint endpoint(String id, String address, long startedMicros, UpstreamState state) {
        return new Endpoint(new Upstream(id, "z", "k", 0, startedMicros, 1, state), address);
    }

    /** A ready endpoint whose id and address contain {@code number}. */
    static Endpoint ready(int number) {
        return endpoint("u" + number, "10.0.0." + number + ":80", 0, UpstreamState.READY);
    }

    /** A complete list from disk that has this age at {@link #NOW}. */
    static EndpointList stored(long generation, long ageMicros, Endpoint... endpoints) {
        return new EndpointList(ListSource.DISK, generation, true, NOW - ageMicros, List.of(endpoints));
    }

    /** A list from discovery at {@link #NOW}. */
    static EndpointList discovered(long generation, boolean complete, Endpoint... endpoints) {
        return new EndpointList(ListSource.DISCOVERY, generation, complete, NOW, List.of(endpoints));
    }

    static List<String> ids(EndpointChange change) {
        return change.endpoints().stream().map(Endpoint::id).toList();
    }

    static List<String> sortedIds(List<Endpoint> endpoints) {
        return endpoints.stream().map(Endpoint::id).sorted().toList();
    }
}
