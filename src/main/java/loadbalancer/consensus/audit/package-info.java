/** Checks the invariants of policy changes afterwards, on the logs of all sidecars of a fleet. */
package loadbalancer.consensus.audit;
