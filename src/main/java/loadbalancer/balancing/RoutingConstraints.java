package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Upstream;

/**
 * Constraints that other modules put on routing: limits, weights, and knowledge about a request's earlier
 * attempts. The balancer calls them often, so they must be cheap and free of side effects. Constraints can
 * only forbid; they do not lift any of the balancer's own rules.
 */
public interface RoutingConstraints {
    /** Constraints that forbid nothing. */
    RoutingConstraints NONE = new RoutingConstraints() {
        @Override
        public boolean allows(long nowMicros, Request request, Upstream upstream) {
            return true;
        }

        @Override
        public double weight(Upstream upstream) {
            return 1;
        }

        @Override
        public boolean mayReject(Request request) {
            return true;
        }

        @Override
        public boolean isUnservable(long nowMicros, Request request) {
            return false;
        }
    };

    /** Returns whether an attempt at the request may be sent to the upstream now. */
    boolean allows(long nowMicros, Request request, Upstream upstream);

    /** Returns a factor, at least 0, for the upstream's selection weight; 1 leaves the split unchanged. */
    double weight(Upstream upstream);

    /** Returns false if an earlier attempt may have run, so that the request can only be failed. */
    boolean mayReject(Request request);

    /** Returns whether no attempt at the request can be allowed any more, so that waiting is useless. */
    boolean isUnservable(long nowMicros, Request request);
}
