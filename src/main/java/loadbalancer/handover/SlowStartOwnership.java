package loadbalancer.handover;

import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.RoutingConstraints;

/**
 * Decides which of the two processes of an upgrade may send to upstreams in slow start. Otherwise each process would
 * use up the limit on requests to these upstreams for itself. The old process sends until SIGTERM. The new one sends
 * once the old one has ended, or half the limit's window plus {@link #NOTIFICATION_MICROS} after it reported ready. The
 * balancer applies the limit in slots of half a window, so the processes never send in the same slot. No I/O; time is a
 * parameter, in microseconds.
 */
public final class SlowStartOwnership {
    /** Time from the new process's report that it is ready until the old one receives SIGTERM. */
    static final long NOTIFICATION_MICROS = 100_000;

    private final long takeoverDelayMicros;
    /** Time until which the other process sends to upstreams in slow start; 0 if this one does. */
    private long otherOwnsUntilMicros;

    /**
     * Starts with ownership by this process.
     *
     * @param windowMicros the window of the limit on requests to upstreams in slow start
     */
    public SlowStartOwnership(long windowMicros) {
        takeoverDelayMicros = windowMicros / 2 + NOTIFICATION_MICROS;
    }

    /** Assigns upstreams in slow start to the other process until further notice. */
    public void assignToOtherProcess() {
        otherOwnsUntilMicros = Long.MAX_VALUE;
    }

    /** Records that this process has reported that it is ready. */
    public void onReady(long nowMicros) {
        if (otherOwnsUntilMicros == Long.MAX_VALUE) {
            otherOwnsUntilMicros = nowMicros + takeoverDelayMicros;
        }
    }

    /** Assigns upstreams in slow start to this process, as the other one has ended. */
    public void onOtherProcessEnded() {
        otherOwnsUntilMicros = 0;
    }

    /**
     * Adds the restriction of slow start to {@code constraints}.
     *
     * @param slowStartMicros duration of slow start, from the start of an upstream
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
