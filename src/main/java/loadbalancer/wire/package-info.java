/** Hosts balancers for a simulator, which drives them by a line protocol over standard input and output. */
package loadbalancer.wire;
