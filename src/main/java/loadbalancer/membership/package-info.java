/**
 * The endpoint list of a sidecar, merged from configuration, disk and discovery. No I/O, no threads; time is a
 * parameter, in microseconds of Unix time, and never decreases.
 */
package loadbalancer.membership;
