package loadbalancer.membership;

import loadbalancer.balancing.Balancer.Upstream;

/**
 * An upstream and the addresses where it listens, as a source listed them.
 *
 * @param address     numeric {@code ip:port}, validated by the source; may be empty if the upstream is gone
 * @param grpcAddress the same for gRPC; null if the upstream does not serve gRPC
 */
public record Endpoint(Upstream upstream, String address, String grpcAddress) {
    /** Creates an endpoint that serves only HTTP/1.1. */
    public Endpoint(Upstream upstream, String address) {
        this(upstream, address, null);
    }

    String id() {
        return upstream.id();
    }

    /** Returns an endpoint with the same addresses and another description of the upstream. */
    public Endpoint withUpstream(Upstream other) {
        return new Endpoint(other, address, grpcAddress);
    }
}
