/**
 * Upgrades, during which two processes of one sidecar serve in parallel for some seconds. They detect each other by
 * file locks and share a state file. Only one of them sends to upstreams in slow start at a time.
 */
package loadbalancer.handover;
