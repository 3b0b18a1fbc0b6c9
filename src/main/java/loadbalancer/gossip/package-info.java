/**
 * Gossip between the sidecars of a fleet, in datagrams of at most 256 bytes: the requests that each has in flight, and
 * the upstreams that they could not connect to. Messages are paced and have a maximum price, so that their cost to the
 * fleet is bounded. Gossip is advisory: it influences selection, and never overrides or sets a rule. No I/O, no
 * threads; time is a parameter, in microseconds. Not thread-safe.
 */
package loadbalancer.gossip;
