package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.EndpointListKind;

/** Polls discovery until a watch is established, with a jittered exponential backoff after failures. */
final class DiscoveryPolling {
    /** Name of the timer for the next poll, part of the simulator's wire protocol. */
    static final String TIMER = "ask";
    /** Initial mean backoff, microseconds. */
    private static final long MIN_BACKOFF_MICROS = 500_000;
    /** Largest mean backoff, microseconds; a change is then known 6 s after discovery is reachable again. */
    private static final long MAX_BACKOFF_MICROS = 2_000_000;

    private final BalancerContext context;
    private boolean watching;
    private boolean polling;
    private long pollStartedMicros;
    private long backoffMicros = MIN_BACKOFF_MICROS;

    DiscoveryPolling(BalancerContext context) {
        this.context = context;
    }

    /** Polls unless a watch is established or a poll is in progress. */
    void poll(long nowMicros) {
        if (!polling && !watching) {
            polling = true;
            pollStartedMicros = nowMicros;
            context.actions.pollDiscovery();
        }
    }

    /** Records the response to a poll, and starts the backoff timer after a failure. */
    void recordResponse(long nowMicros, EndpointListKind listKind) {
        if (!context.settings.pollsDiscovery() || listKind == EndpointListKind.CACHED) {
            return;
        }
        // The duration of the poll counts towards the backoff.
        long pollDurationMicros = polling ? nowMicros - pollStartedMicros : 0;
        polling = false;
        watching = listKind != EndpointListKind.FAILED;
        if (watching) {
            backoffMicros = MIN_BACKOFF_MICROS;
            return;
        }
        // The jitter spreads the polls of sidecars whose polls failed at the same time.
        long jitteredMicros = backoffMicros / 2 + context.random.nextLong(backoffMicros);
        long minDelayMicros = Math.min(jitteredMicros, MIN_BACKOFF_MICROS) / 2;
        context.actions.startTimer(TIMER, Math.max(jitteredMicros - pollDurationMicros, minDelayMicros));
        long halfPollMicros = context.settings.rules().discoveryPollMicros() / 2;
        long maxBackoffMicros = Math.max(MIN_BACKOFF_MICROS, Math.min(MAX_BACKOFF_MICROS, halfPollMicros));
        backoffMicros = Math.min(backoffMicros * 2, maxBackoffMicros);
    }
}
