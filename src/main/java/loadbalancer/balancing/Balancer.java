package loadbalancer.balancing;

import java.util.List;

/**
 * The interface of the decision module: events come in as method calls, decisions go out through {@link Actions}.
 * Times are microseconds of one clock that only moves forward; the module has no other clock.
 */
public interface Balancer {
    /**
     * Whether a request may run more than once: always, on upstreams that drop repeats of its idempotency key, or
     * never.
     */
    enum Idempotency {
        IDEMPOTENT,
        WITH_KEY,
        NOT_IDEMPOTENT
    }

    /** Which upstreams drop repeats of an idempotency key: all, those of one zone, or those of one cell. */
    enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream in the endpoint list. */
    enum UpstreamState {
        GONE,
        READY,
        DRAINING
    }

    /**
     * What an endpoint list is: the changes, all there is, a failed call to discovery, or one cached or known from
     * elsewhere.
     */
    enum EndpointListKind {
        DELTA,
        FULL,
        FAILED,
        CACHED
    }

    /** Where upstreams report their load: nowhere, in each response, or in responses to health checks. */
    enum LoadReporting {
        NONE,
        IN_RESPONSES,
        IN_HEALTH_CHECKS
    }

    /**
     * {@code MALFORMED}: the upstream sent something that is no valid response. {@code INVALID}: the request itself
     * was found to be invalid, which says nothing of the upstream.
     */
    enum Outcome {
        OK(true),
        ERROR(true),
        REJECTED(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        NOT_SENT(false),
        MALFORMED(true),
        INVALID(true);

        /** False where the outcome proves that the attempt never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /**
     * A class of requests in the settings.
     *
     * @param idempotencyWindowMicros time for which upstreams of the scope drop repeats of a key, microseconds
     * @param latencyObjectiveMicros a response has its full weight within this and the stretch times the request's
     *     work, microseconds
     * @param latencyObjectiveWorkMultiple multiple of the work that is added to the objective
     * @param deadlineMicros longest time for which clients wait, microseconds
     * @param priorityWeight weight of a response in time
     * @param lateWeightFraction part of the weight of a response after the objective
     * @param streaming whether responses may go on as streams
     */
    record RequestClass(
            String name,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            long idempotencyWindowMicros,
            long latencyObjectiveMicros,
            double latencyObjectiveWorkMultiple,
            long deadlineMicros,
            double priorityWeight,
            double lateWeightFraction,
            boolean streaming) {}

    /** A tenant, its share of the fleet's capacity, and its quota of requests a second. */
    record Tenant(String name, double capacityShare, double quotaPerSecond) {}

    /**
     * What the platform allows a sidecar.
     *
     * @param maxAttempts attempts at one request
     * @param maxRetryAfterMicros longest Retry-After of a rejection, microseconds
     * @param connectionIdleMicros time after which upstreams close an idle connection, microseconds
     * @param cpuMicrosPerRequest mean processor time for one request, microseconds; 0 for no limit
     */
    record Limits(
            int maxAttempts,
            boolean hedgingAllowed,
            boolean cancellationAllowed,
            boolean healthChecksAllowed,
            boolean gossipAllowed,
            boolean retryAfterAllowed,
            long maxRetryAfterMicros,
            long connectionIdleMicros,
            double cpuMicrosPerRequest) {}

    /**
     * Values of the rules, times in microseconds.
     *
     * @param slowStartInitialFraction least capacity of an upstream that has just started, as a part of its full
     *     one
     * @param overloadMultiple work in an overload window at which a warming upstream falls over, as a multiple of
     *     its present capacity
     * @param closeOnDrainMicros time within which idle connections to a draining upstream have to be closed; 0 for
     *     no such rule
     */
    record Rules(
            long drainGraceMicros,
            double slowStartInitialFraction,
            long slowStartMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long discoveryPollMicros,
            long responseSlackMicros,
            long closeOnDrainMicros) {}

    /** Price of each unit of use, in points of the result; 0 where it is free. */
    record Prices(double crossZone, double gossip, double healthCheck, double connection, double handshake) {}

    /**
     * All that a sidecar is given at its start.
     *
     * @param sidecarIndex its number among {@code sidecarCount}, from 0
     * @param weightsByWork responses are weighted by their work
     * @param overQuotaWeight weight of a request above its tenant's share, as a fraction of its class's weight
     * @param tickMicros resolution of the host's timers, microseconds
     */
    record Settings(
            int sidecarIndex,
            int sidecarCount,
            String zone,
            List<String> zones,
            List<String> machineTypes,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            LoadReporting loadReporting,
            boolean pollsDiscovery,
            boolean weightsByWork,
            double overQuotaWeight,
            Prices prices,
            long tickMicros) {
        /** Highest price of the health checks of one pair for each request, in points of the result. */
        private static final double MAX_SAMPLING_PRICE = 0.005;

        /** The same where only so many sidecars share the upstreams; the index is one of theirs. */
        public Settings withSidecarCount(int sidecarCount) {
            return new Settings(
                    sidecarIndex % sidecarCount,
                    sidecarCount,
                    zone,
                    zones,
                    machineTypes,
                    classes,
                    tenants,
                    limits,
                    rules,
                    loadReporting,
                    pollsDiscovery,
                    weightsByWork,
                    overQuotaWeight,
                    prices,
                    tickMicros);
        }

        /**
         * The same sidecar with the classes, tenants, limits and rules of {@code next}; the rest holds for the life
         * of the process.
         */
        public Settings reloadedFrom(Settings next, int maxAttempts) {
            Limits nextLimits = next.limits;
            Limits within = new Limits(
                    maxAttempts,
                    nextLimits.hedgingAllowed,
                    nextLimits.cancellationAllowed,
                    limits.healthChecksAllowed,
                    limits.gossipAllowed,
                    nextLimits.retryAfterAllowed,
                    nextLimits.maxRetryAfterMicros,
                    limits.connectionIdleMicros,
                    nextLimits.cpuMicrosPerRequest);
            return new Settings(
                    sidecarIndex,
                    sidecarCount,
                    zone,
                    zones,
                    machineTypes,
                    next.classes,
                    next.tenants,
                    within,
                    next.rules,
                    loadReporting,
                    pollsDiscovery,
                    next.weightsByWork,
                    next.overQuotaWeight,
                    prices,
                    tickMicros);
        }

        /**
         * Whether both upstreams of a pair are asked for their load before each request: allowed, reported, and
         * cheap.
         */
        public boolean samplesLoad() {
            return limits.healthChecksAllowed()
                    && loadReporting != LoadReporting.NONE
                    && 2 * prices.healthCheck() <= MAX_SAMPLING_PRICE;
        }
    }

    /**
     * What is uncertain of an upstream that discovery has not confirmed. {@code IDENTITY}: an upstream answers
     * there, but only an old list says which, so its zone and cell prove nothing of the repeats it drops. {@code
     * SERVICE}: something accepts connections there, and nobody knows what.
     */
    enum Uncertainty {
        NONE,
        IDENTITY,
        SERVICE
    }

    /** Bit of HTTP/1.1 in the protocols that an upstream speaks and a request may use. */
    int HTTP1 = 1;
    /** Bit of gRPC in the same. */
    int GRPC = 2;

    /**
     * One entry of the endpoint list.
     *
     * @param startedMicros start of its process, microseconds; 0 for long ago
     * @param slowStartFromMicros above 0, the latest time at which it may have restarted: it warms up from then on,
     *     whatever {@code startedMicros} says
     * @param protocols bits of the protocols that it speaks, {@link #HTTP1} and {@link #GRPC}
     */
    record Upstream(
            String id,
            String zone,
            String machineType,
            int cell,
            long startedMicros,
            double weight,
            UpstreamState state,
            Uncertainty uncertainty,
            long slowStartFromMicros,
            int protocols) {
        /** An HTTP/1.1 upstream that discovery has confirmed. */
        public Upstream(
                String id, String zone, String kind, int cell, long startedMicros, double weight, UpstreamState state) {
            this(id, zone, kind, cell, startedMicros, weight, state, Uncertainty.NONE, 0, HTTP1);
        }

        /** Latest time at which it may have started, microseconds; 0 for long ago. */
        public long latestStartMicros() {
            return Math.max(startedMicros, slowStartFromMicros);
        }
    }

    /**
     * A request as it arrives.
     *
     * @param costHintMicros expected work, microseconds; 0 for no hint
     * @param remainingMicros time until the client gives up, for a stream until it must have begun; microseconds
     * @param protocol bit of its protocol
     * @param streaming its response goes on for as long as both sides want: it takes one of its upstream's streams
     *     and no place among the requests in flight, and its latency tells nothing of the upstream's speed
     * @param idempotencyKey what stays the same over a client's own retries; null where there is none
     * @param classAtAdmission the class as it was when the request was admitted; null for the class of that name in
     *     the settings
     */
    record Request(
            String id,
            long affinityKey,
            boolean retriedByClient,
            boolean write,
            double costHintMicros,
            long remainingMicros,
            String tenant,
            String requestClass,
            int protocol,
            boolean streaming,
            String idempotencyKey,
            RequestClass classAtAdmission) {
        /** An HTTP/1.1 request that is no stream. */
        public Request(
                String id,
                long affinityKey,
                boolean retriedByClient,
                boolean write,
                double costHintMicros,
                long remainingMicros,
                String tenant,
                String requestClass) {
            this(
                    id,
                    affinityKey,
                    retriedByClient,
                    write,
                    costHintMicros,
                    remainingMicros,
                    tenant,
                    requestClass,
                    HTTP1,
                    false);
        }

        /** A request without an idempotency key. */
        public Request(
                String id,
                long affinityKey,
                boolean retriedByClient,
                boolean write,
                double costHintMicros,
                long remainingMicros,
                String tenant,
                String requestClass,
                int protocol,
                boolean streaming) {
            this(
                    id,
                    affinityKey,
                    retriedByClient,
                    write,
                    costHintMicros,
                    remainingMicros,
                    tenant,
                    requestClass,
                    protocol,
                    streaming,
                    null,
                    null);
        }

        /** A request of the class that the settings have when it is admitted. */
        public Request(
                String id,
                long affinityKey,
                boolean retriedByClient,
                boolean write,
                double costHintMicros,
                long remainingMicros,
                String tenant,
                String requestClass,
                int protocol,
                boolean streaming,
                String idempotencyKey) {
            this(
                    id,
                    affinityKey,
                    retriedByClient,
                    write,
                    costHintMicros,
                    remainingMicros,
                    tenant,
                    requestClass,
                    protocol,
                    streaming,
                    idempotencyKey,
                    null);
        }
    }

    /** A load report; values that the site does not report are negative. */
    record LoadReport(double inFlight, double queued, double utilization) {}

    /** The decisions of the module. Each action is carried out after the call in which it is decided. */
    interface Actions {
        /** Sends an attempt at the request to the upstream, which has to respond by {@code untilMicros}. */
        void send(String request, String upstreamId, long untilMicros);

        /** Rejects the request, of which nothing has run; a Retry-After of 0 is none. */
        void reject(String request, long retryAfterMicros);

        /** Fails the request. */
        void fail(String request);

        /** Cancels one attempt. */
        void cancel(String request, int attempt);

        /** Sends a health check to the upstream. */
        void checkHealth(String upstreamId);

        /** Asks discovery for a watch. */
        void pollDiscovery();

        /** Sends a message to the peer of this index. */
        void gossip(int peer, byte[] message);

        /** Closes this sidecar's idle connections to the upstream. */
        void closeIdleConnections(String upstreamId);

        /** Starts a timer that comes back as {@link Balancer#onTimer} with the same mark. */
        void startTimer(String mark, long delayMicros);

        /** Writes a line to the log. */
        void log(String text);
    }

    /**
     * Replaces classes, tenants, limits and rules for requests that arrive from now on; all else stays as at the
     * start.
     */
    default void onSettings(long nowMicros, Settings settings) {}

    /** An endpoint list, or a failed call to discovery. */
    void onEndpointList(long nowMicros, EndpointListKind kind, List<Upstream> entries);

    /** A request has arrived. */
    void onRequest(long nowMicros, Request request);

    /** An attempt has ended. {@code done}: the request has its final answer, by this outcome or before it. */
    void onOutcome(
            long nowMicros,
            String request,
            int attempt,
            String upstreamId,
            Outcome outcome,
            long latencyMicros,
            boolean done,
            LoadReport report);

    /** The response to an attempt has started as a stream. */
    void onStreamStart(long nowMicros, String request, int attempt, String upstreamId, long latencyMicros);

    /** A health check has ended; {@code report} is null where it brought none. */
    void onHealthCheck(long nowMicros, String upstreamId, Outcome outcome, long latencyMicros, LoadReport report);

    /** The client has left, or the response is overdue: the request has ended. */
    void onExpired(long nowMicros, String request);

    /** A message from the peer of this index; it may be false or malformed. */
    void onGossip(long nowMicros, int peer, byte[] message);

    /** A timer has fired. */
    void onTimer(long nowMicros, String mark);

    /** Whether the balancer keeps requests from the upstream now, by its own judgement. */
    default boolean isEjected(long nowMicros, String upstreamId) {
        return false;
    }
}
