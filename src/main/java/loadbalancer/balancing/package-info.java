/**
 * The decision module behind {@link loadbalancer.balancing.Balancer}: Power-of-D load balancing after the
 * HALO paper (Gandhi, Zhang and Mittal, "HALO: Heterogeneity-Aware Load Balancing").
 *
 * <p>{@link loadbalancer.balancing.HaloBalancer} dispatches the events to components that
 * each decide one thing. The package is deterministic: it has no I/O and no threads, the time is a parameter,
 * and all randomness comes from one seed.
 */
package loadbalancer.balancing;
