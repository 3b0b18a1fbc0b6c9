/**
 * Rotating subsetting: each sidecar of a large fleet uses only a few upstreams, so that the number of its connections
 * and health checks and the state it has to learn depend on the size of the subset and not on that of the fleet. All
 * sidecars compute their subsets from the same endpoint list, without communication. No I/O, no threads; time is a
 * parameter, in microseconds. Not thread-safe.
 */
package loadbalancer.subset;
