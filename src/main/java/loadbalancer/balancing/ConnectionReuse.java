package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.Outcome;

/**
 * Decides which idle connections may be reused. Devices on the network path may drop idle connections
 * silently. A failure on a connection that was idle for long is therefore attributed to the connection, and
 * for a while connections that were idle that long are closed before use.
 */
final class ConnectionReuse {
    private static final long NO_LIMIT_MICROS = Long.MAX_VALUE;
    /** Idle time below which a connection is not suspected of having been dropped, microseconds. */
    private static final long MIN_LIMIT_MICROS = 200_000;
    /**
     * Time without confirmation after which the limit is raised and not sent to peers any more, microseconds.
     */
    private static final long LIMIT_EXPIRY_MICROS = 5_000_000;
    /** Time for which a success on an idle connection is taken into account, microseconds. */
    private static final long SUCCESS_EXPIRY_MICROS = 3_000_000;

    private final BalancerContext context;
    /** Idle time from which on connections are assumed to be dropped, microseconds. */
    private long idleLimitMicros = NO_LIMIT_MICROS;

    private long idleLimitObservedMicros;
    /** Longest idle time after which a connection has recently worked, microseconds. */
    private long longestWorkingIdleMicros;

    private long workingIdleObservedMicros;
    /** Time of the last drop that this sidecar has observed itself; only such drops are sent to peers. */
    private long localDropMicros = Long.MIN_VALUE / 2;

    ConnectionReuse(BalancerContext context) {
        this.context = context;
    }

    /**
     * Closes idle connections to a draining or removed upstream if {@link Balancer.Rules#closeOnDrainMicros}
     * requires it.
     */
    void closeIfDraining(TrackedUpstream upstream) {
        if (context.settings.rules().closeOnDrainMicros() > 0 && !upstream.ready && upstream.lastUsedMicros > 0) {
            context.actions.closeIdleConnections(upstream.id);
        }
    }

    /**
     * Records how long the attempt's connection was idle, and closes idle connections first if that is too
     * long.
     */
    void prepare(long nowMicros, TrackedAttempt attempt) {
        TrackedUpstream upstream = attempt.upstream;
        long unusedMicros = nowMicros - upstream.lastUsedMicros;
        boolean newOrInUse = attempt.request.arrival.streaming()
                || upstream.inFlight > 1
                || unusedMicros > context.settings.limits().connectionIdleMicros();
        attempt.connectionIdleMicros = newOrInUse ? 0 : unusedMicros;
        if (attempt.connectionIdleMicros >= idleLimitMicros) {
            context.actions.closeIdleConnections(upstream.id);
            attempt.connectionIdleMicros = 0;
        }
        upstream.lastUsedMicros = nowMicros;
    }

    /** Records an outcome; returns whether it is attributed to the connection rather than the upstream. */
    boolean recordOutcome(long nowMicros, TrackedAttempt attempt, Outcome outcome) {
        if (idleLimitMicros < NO_LIMIT_MICROS && nowMicros - idleLimitObservedMicros > LIMIT_EXPIRY_MICROS) {
            idleLimitObservedMicros = nowMicros;
            idleLimitMicros = idleLimitMicros > context.settings.limits().connectionIdleMicros()
                    ? NO_LIMIT_MICROS
                    : idleLimitMicros * 2;
        }
        boolean successExpired = nowMicros - workingIdleObservedMicros > SUCCESS_EXPIRY_MICROS;
        if (outcome == Outcome.OK && (attempt.connectionIdleMicros >= longestWorkingIdleMicros || successExpired)) {
            longestWorkingIdleMicros = attempt.connectionIdleMicros;
            workingIdleObservedMicros = nowMicros;
        }
        // A timeout may also be due to overload. It is suspect only if no connection that was idle for about
        // as long has recently worked.
        boolean idleTimeWorked = nowMicros - workingIdleObservedMicros < SUCCESS_EXPIRY_MICROS
                && attempt.connectionIdleMicros * 3 / 4 <= longestWorkingIdleMicros;
        boolean suspect = outcome == Outcome.RESET || outcome == Outcome.TIMEOUT && !idleTimeWorked;
        if (!context.connectionSubset || !suspect || attempt.connectionIdleMicros < MIN_LIMIT_MICROS) {
            return false;
        }
        localDropMicros = nowMicros;
        lowerIdleLimit(nowMicros, attempt.connectionIdleMicros * 3 / 4);
        return true;
    }

    /** Lowers the limit to this idle time, microseconds. */
    void lowerIdleLimit(long nowMicros, long idleMicros) {
        idleLimitMicros = Math.min(idleLimitMicros, Math.max(MIN_LIMIT_MICROS, idleMicros));
        idleLimitObservedMicros = nowMicros;
    }

    /** Returns whether idle connections are currently limited. */
    boolean hasIdleLimit() {
        return idleLimitMicros < NO_LIMIT_MICROS;
    }

    /** Returns the idle time from which on connections are assumed to be dropped, microseconds. */
    long idleLimitMicros() {
        return idleLimitMicros;
    }

    /**
     * Returns the limit to send to peers, microseconds; 0 if this sidecar has not observed a drop recently.
     */
    long gossipedIdleLimitMicros(long nowMicros) {
        return nowMicros - localDropMicros < LIMIT_EXPIRY_MICROS ? idleLimitMicros : 0;
    }
}
