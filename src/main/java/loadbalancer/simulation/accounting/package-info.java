/**
 * Sums up what a simulated fleet spends and why its requests are late. The simulator reports events with their time; the
 * account counts them by second and writes a table and a map for JSON. It has no influence on the simulation.
 */
package loadbalancer.simulation.accounting;
