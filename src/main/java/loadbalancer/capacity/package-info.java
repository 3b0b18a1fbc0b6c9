/**
 * Scale runs: hundreds of minimal sidecars (the control code of a sidecar on real loopback sockets, without the data
 * path) in a few processes, and each voter or control replica in a process of its own. Measures what each role uses at
 * several fleet sizes and fits a line to each metric.
 */
package loadbalancer.capacity;
