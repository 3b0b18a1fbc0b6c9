package loadbalancer.zones;

import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.zones.ZoneHealth.State;

/** The state of one zone as this sidecar sees it, and which requests may be sent there. */
final class TrackedZone {
    private final String name;
    private final ZoneHealth health = new ZoneHealth();
    private final ZoneRateLimiter rateLimiter;
    private final FlapDamping damping;
    private RoutingMode mode = RoutingMode.IN_SERVICE;
    private State state = State.HEALTHY;
    private boolean suppressed;
    private long nextTrialMicros;
    private double weight = 1;

    TrackedZone(String name, ZoneOptions options, Rules rules, long nowMicros) {
        this.name = name;
        rateLimiter = new ZoneRateLimiter(
                options.minRequestsPerSecond(),
                options.rateDoublingMicros(),
                rules.slowStartInitialFraction(),
                rules.slowStartMicros(),
                nowMicros);
        damping = new FlapDamping(options.penaltyHalfLifeMicros());
    }

    /** Which requests a zone gets. */
    enum RoutingMode {
        /** All requests within the zone's rate limit. */
        IN_SERVICE,
        /** Only idempotent requests, to find out whether the zone has recovered. */
        PROBATION,
        /** A single idempotent request from time to time, as a trial. */
        EXCLUDED,
        /** No requests, because the operator has drained the zone. */
        DRAINED
    }

    /**
     * Updates state and mode.
     *
     * @return whether the state, the mode or the reason for the mode has changed
     */
    boolean updateMode(long nowMicros, boolean drained) {
        State previousState = state;
        RoutingMode previousMode = mode;
        state = health.state(nowMicros);
        if (state.isUnreachable() && !previousState.isUnreachable()) {
            damping.zoneLost(nowMicros);
        }
        boolean wasSuppressed = suppressed;
        suppressed = damping.isSuppressed(nowMicros);
        mode = drained ? RoutingMode.DRAINED : modeByHealth();
        if (previousMode == RoutingMode.IN_SERVICE && mode != RoutingMode.IN_SERVICE) {
            rateLimiter.zoneLost(nowMicros);
        }
        if (!isServing(previousMode) && isServing(mode)) {
            rateLimiter.zoneRecovered(nowMicros);
        }
        return previousState != state || previousMode != mode || wasSuppressed != suppressed;
    }

    /** Describes state and mode for the log. */
    String description() {
        String reason =
                switch (mode) {
                    case IN_SERVICE -> "in service";
                    case PROBATION -> "gets idempotent requests only";
                    case EXCLUDED -> suppressed && !state.isUnreachable()
                            ? "excluded because it flaps"
                            : "excluded except for trials";
                    case DRAINED -> "drained by the operator";
                };
        return "zone " + name + " is " + state.logText() + ", " + reason;
    }

    /** Records a trial that is being sent to the excluded zone. The next one is due at {@code nextMicros}. */
    void trialSent(long nextMicros) {
        nextTrialMicros = nextMicros;
        weight = 0;
    }

    boolean isTrialDue(long nowMicros) {
        return nowMicros >= nextTrialMicros;
    }

    String name() {
        return name;
    }

    ZoneHealth health() {
        return health;
    }

    ZoneRateLimiter rateLimiter() {
        return rateLimiter;
    }

    RoutingMode mode() {
        return mode;
    }

    /** Factor on the selection weights of the zone's upstreams; 0 or more, and 1 for no preference. */
    double weight() {
        return weight;
    }

    void setWeight(double weight) {
        this.weight = weight;
    }

    private RoutingMode modeByHealth() {
        if (state.isUnreachable() || state == State.EMPTY || suppressed) {
            return RoutingMode.EXCLUDED;
        }
        return state == State.PROBATION ? RoutingMode.PROBATION : RoutingMode.IN_SERVICE;
    }

    /** Whether a zone in this mode gets requests other than trials. */
    private static boolean isServing(RoutingMode mode) {
        return mode == RoutingMode.IN_SERVICE || mode == RoutingMode.PROBATION;
    }
}
