package loadbalancer.membership;

import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;

/**
 * One endpoint of the list and its state: whether it is verified, its slow start and its checks. Times in microseconds.
 */
final class EndpointEntry {
    /** Mean delay between the first check, if it fails, and the second one. */
    private static final long INITIAL_RETRY_DELAY_MICROS = 1_000_000;

    private static final long MAX_RETRY_DELAY_MICROS = 30_000_000;

    enum State {
        /** Confirmed by discovery, or listed by any list if the policy accepts lists of any age. */
        CONFIRMED,
        /** Listed by a fresh list, or verified by a check; not confirmed by discovery. */
        IN_USE,
        /** Listed by a stale list: withheld until a check verifies it. */
        UNVERIFIED
    }

    private Endpoint endpoint;
    private State state;
    private Uncertainty uncertainty = Uncertainty.NONE;
    private long slowStartFromMicros;
    /** When the process was last found to have exited, rounded up to the grid of restarts; 0 for never. */
    private long processExitMicros;

    private boolean checkInFlight;
    private long nextCheckMicros;
    private long retryDelayMicros = INITIAL_RETRY_DELAY_MICROS;

    EndpointEntry(Endpoint endpoint, State state, long slowStartFromMicros) {
        this.endpoint = endpoint;
        this.state = state;
        this.slowStartFromMicros = slowStartFromMicros;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Upstream upstream() {
        return endpoint.upstream();
    }

    boolean isUsable() {
        return state != State.UNVERIFIED;
    }

    boolean hasUncertainty(Uncertainty expected) {
        return uncertainty == expected;
    }

    long slowStartFromMicros() {
        return slowStartFromMicros;
    }

    long processExitMicros() {
        return processExitMicros;
    }

    boolean isCheckInFlight() {
        return checkInFlight;
    }

    long retryDelayMicros() {
        return retryDelayMicros;
    }

    /** Replaces the description of the endpoint by discovery's latest one. */
    void update(Endpoint listed) {
        endpoint = listed;
    }

    /**
     * Marks the endpoint as confirmed by discovery. Keeps {@link #processExitMicros}, which discovery may not have
     * noticed yet.
     */
    void confirm() {
        state = State.CONFIRMED;
        uncertainty = Uncertainty.NONE;
        slowStartFromMicros = 0;
        checkInFlight = false;
    }

    /**
     * Records that a check found an upstream. Slow start begins now, because it may have started after the list was
     * made.
     */
    void verify(long nowMicros, Uncertainty remaining) {
        state = State.IN_USE;
        uncertainty = remaining;
        slowStartFromMicros = nowMicros;
    }

    void reduceUncertainty(Uncertainty remaining) {
        uncertainty = remaining;
    }

    void restartSlowStart(long nowMicros) {
        slowStartFromMicros = nowMicros;
    }

    void processExited(long atMicros) {
        processExitMicros = atMicros;
    }

    boolean isCheckDue(long nowMicros) {
        return !isUsable()
                && !checkInFlight
                && nextCheckMicros <= nowMicros
                && upstream().state() == UpstreamState.READY;
    }

    void beginCheck() {
        checkInFlight = true;
    }

    void endCheck() {
        checkInFlight = false;
    }

    /**
     * Schedules the next check and doubles the retry delay.
     *
     * @param delayMicros time until the next check: the current retry delay with jitter
     */
    void retryCheck(long nowMicros, long delayMicros) {
        nextCheckMicros = nowMicros + delayMicros;
        retryDelayMicros = Math.min(MAX_RETRY_DELAY_MICROS, 2 * retryDelayMicros);
    }

    /**
     * The endpoint as the balancer gets it: draining while out of service, in slow start from {@code returnedMicros} or
     * later.
     */
    Endpoint effectiveEndpoint(boolean outOfService, long returnedMicros) {
        Upstream listed = endpoint.upstream();
        boolean draining = outOfService && listed.state() == UpstreamState.READY;
        return endpoint.withUpstream(new Upstream(
                listed.id(),
                listed.zone(),
                listed.machineType(),
                listed.cell(),
                listed.startedMicros(),
                listed.weight(),
                draining ? UpstreamState.DRAINING : listed.state(),
                uncertainty,
                Math.max(Math.max(slowStartFromMicros, processExitMicros), returnedMicros),
                listed.protocols()));
    }
}
