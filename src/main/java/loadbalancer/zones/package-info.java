/**
 * Routing between failure domains (zones): detection of zones that no longer respond, spill-over to other zones at a
 * limited rate, a recovery ramp for zones that return, flap damping, priority tiers, and a ledger that keeps retries of
 * requests with an idempotency key inside the scope that deduplicates them.
 * {@link loadbalancer.zones.ZoneAwareBalancer} adds all of this to a balancer. No I/O, no threads; time is a parameter,
 * in microseconds, and never decreases. Not thread-safe.
 */
package loadbalancer.zones;
