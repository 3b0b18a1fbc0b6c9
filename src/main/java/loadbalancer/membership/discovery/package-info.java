/**
 * The client of service discovery, which sends one long poll after another on the event loop, and discovery's JSON
 * format of endpoint lists.
 */
package loadbalancer.membership.discovery;
