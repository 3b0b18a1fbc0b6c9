package loadbalancer.balancing;

/** Counts the open requests of a balancer, for simulations that check for leaks; not used in serving. */
public final class OpenRequests {
    private OpenRequests() {}

    /** Returns the number of open requests, or 0 if the balancer is not a {@link HaloBalancer}. */
    public static int count(Balancer balancer) {
        return balancer instanceof HaloBalancer halo ? halo.dispatcher().openRequestCount() : 0;
    }
}
