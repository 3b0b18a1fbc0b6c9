package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Options of a sidecar's subscription to its configuration at the control tier.
 *
 * @param tier         the control tier; its only scope is the service of this sidecar
 * @param listen       local address of the subscription
 * @param nearReplicas numbers of the replicas to prefer; empty if there is no preference
 */
public record ControlOptions(ControlTier tier, InetSocketAddress listen, List<Integer> nearReplicas) {}
