/**
 * The life cycle of a request, independent of its protocol. {@link loadbalancer.core.Requests} admits it from a front
 * end, lets the balancer decide on each attempt through {@link loadbalancer.core.BalancerDispatcher}, and gives exactly
 * one response. The package also has what all network packages share: event loop, timers, clock, listen sockets and
 * log. Everything runs on one event loop unless a method says otherwise.
 */
package loadbalancer.core;
