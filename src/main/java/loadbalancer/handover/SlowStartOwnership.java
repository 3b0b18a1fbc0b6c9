package loadbalancer.handover;

import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.RoutingConstraints;

/**
 * Decides which of the two processes of an upgrade sends to upstreams in slow start, whose budget each would spend as its own. The old
 * process does until SIGTERM; the new one does once the old one has ended, or half the rule's window and
 * {@link #NOTIFICATION_MICROS} after it reported ready. The balancer spends the budget in slots of half a window, so both never send in
 * one slot. Pure: time is a parameter, in microseconds.
 */
public final class SlowStartOwnership {
    /** From the new process's report that it is ready until the old one receives SIGTERM. */
    static final long NOTIFICATION_MICROS = 100_000;

    private final long takeoverDelayMicros;
    /** Until then the other process sends to upstreams in slow start; 0 where this one does. */
    private long otherOwnsUntilMicros;

    /**
     * Ownership by this process.
     *
     * @param windowMicros the window over which the rule on upstreams in slow start counts
     */
    public SlowStartOwnership(long windowMicros) {
        takeoverDelayMicros = windowMicros / 2 + NOTIFICATION_MICROS;
    }

    /** The other process owns the upstreams in slow start until further notice. */
    public void assignToOtherProcess() {
        otherOwnsUntilMicros = Long.MAX_VALUE;
    }

    /** This process has reported that it is ready. */
    public void onReady(long nowMicros) {
        if (otherOwnsUntilMicros == Long.MAX_VALUE) {
            otherOwnsUntilMicros = nowMicros + takeoverDelayMicros;
        }
    }

    /** The other process has ended. */
    public void onOtherProcessEnded() {
        otherOwnsUntilMicros = 0;
    }

    /**
     * Adds this rule to {@code constraints}.
     *
     * @param slowStartMicros how long an upstream is in slow start after its start
     */
    public RoutingConstraints restrict(RoutingConstraints constraints, long slowStartMicros) {
        return new RoutingConstraints() {
            @Override
            public boolean allows(long nowMicros, Request request, Upstream upstream) {
                long startMicros = upstream.latestStartMicros();
                boolean slowStart = startMicros > 0 && nowMicros - startMicros < slowStartMicros;
                return !(slowStart && nowMicros < otherOwnsUntilMicros)
                        && constraints.allows(nowMicros, request, upstream);
            }

            @Override
            public double weight(Upstream upstream) {
                return constraints.weight(upstream);
            }

            @Override
            public boolean mayReject(Request request) {
                return constraints.mayReject(request);
            }

            @Override
            public boolean isUnservable(long nowMicros, Request request) {
                return constraints.isUnservable(nowMicros, request);
            }
        };
    }
}
