package rushproxy.membership;

import rushproxy.Balancer.Upstream;

/**
 * One upstream as a source named it.
 *
 * @param address where it listens, as {@code ip:port} with the address in numbers; the source has checked that it is one
 */
public record Member(Upstream upstream, String address) {
    String id() {
        return upstream.id();
    }

    Member with(Upstream other) {
        return new Member(other, address);
    }
}
