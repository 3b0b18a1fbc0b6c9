/**
 * The control tier: a few replicas agree on the configuration of each service (a scope) with one consensus register of
 * {@code loadbalancer.consensus} per scope, and sidecars subscribe to the scopes that they need. Also a simulation of
 * the tier, and soak tests on it. Pure: no I/O and no threads; time is a parameter in microseconds.
 */
package loadbalancer.control;
