/** Stores the endpoint list on disk, so that a sidecar can start from it while discovery is down. */
package loadbalancer.membership.disk;
