package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Request;

/** Test requests of a given protocol, and streams. */
final class RequestFixtures {
    private RequestFixtures() {}

    static Request protocolRequest(String id, int protocol) {
        return new Request(id, -1, false, false, 0, 800_000, null, "c", protocol, false);
    }

    static Request streamRequest(String id) {
        return new Request(id, -1, false, false, 0, 800_000, null, "c", Balancer.GRPC, true);
    }
}
