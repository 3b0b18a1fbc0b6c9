package loadbalancer.membership.disk;

import java.util.List;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;

/** A list of two endpoints for the tests of this package. */
final class EndpointListFixture {
    /** Larger than the file of any list of this fixture. */
    static final int MAX_FILE_BYTES = 1 << 20;

    private EndpointListFixture() {}

    static EndpointList list(long generation) {
        return new EndpointList(
                ListSource.DISK,
                generation,
                true,
                1_700_000_000_000_000L + generation * 1000,
                List.of(
                        new Endpoint(
                                new Upstream("ü-1", "za", "k", 3, 12_345_000, 1.5, UpstreamState.READY),
                                "127.0.0.1:8081"),
                        new Endpoint(new Upstream("u2", "zb", "k", -1, 0, 1, UpstreamState.DRAINING), "10.0.0.2:1")));
    }
}
