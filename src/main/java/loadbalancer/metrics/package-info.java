/** Counters of a sidecar since its start, which the HTTP interface for operators reports. No I/O, no threads. */
package loadbalancer.metrics;
