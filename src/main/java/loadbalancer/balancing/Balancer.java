package loadbalancer.balancing;

import java.util.List;

/**
 * Interface of the decision module. Events arrive as method calls, decisions are issued through
 * {@link Actions}. All times are microseconds of one monotonic clock that the caller passes in; the module
 * reads no clock itself.
 */
public interface Balancer {
    /**
     * Whether a request may run more than once: always, only on upstreams that deduplicate by its idempotency
     * key, or never.
     */
    enum Idempotency {
        IDEMPOTENT,
        WITH_KEY,
        NOT_IDEMPOTENT
    }

    /** The set of upstreams that deduplicate an idempotency key together: all, one zone's or one cell's. */
    enum IdempotencyScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of an upstream as given by the endpoint list. */
    enum UpstreamState {
        GONE,
        READY,
        DRAINING
    }

    /**
     * Kind of an endpoint list: changed entries only, the complete list, no list because a call to discovery
     * failed, or a complete list from a cache or another source than discovery.
     */
    enum EndpointListKind {
        DELTA,
        FULL,
        FAILED,
        CACHED
    }

    /** How upstreams report their load: not at all, in each response, or in responses to health checks. */
    enum LoadReporting {
        NONE,
        IN_RESPONSES,
        IN_HEALTH_CHECKS
    }

    /**
     * Outcome of an attempt or a health check. {@code MALFORMED}: the upstream sent something that is not a
     * valid response. {@code INVALID}: the request itself is invalid, which implies nothing about the
     * upstream.
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

        /** False if the outcome proves that the upstream never processed the attempt. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /**
     * A request class from the settings.
     *
     * @param idempotencyWindowMicros time for which upstreams of the scope deduplicate a key, microseconds
     * @param latencyObjectiveMicros fixed part of the latency objective, microseconds; a response within the
     *     objective has its full weight
     * @param latencyObjectiveWorkMultiple multiple of the request's expected work that is added to the
     *     objective
     * @param deadlineMicros longest time that clients wait, microseconds
     * @param priorityWeight weight of a response that meets the objective
     * @param lateWeightFraction fraction of the weight that a response after the objective still has
     * @param streaming whether responses may be streams
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

    /** A tenant, its share of the fleet's capacity, and its quota in requests per second. */
    record Tenant(String name, double capacityShare, double quotaPerSecond) {}

    /**
     * Limits that the platform sets for a sidecar.
     *
     * @param maxAttempts largest number of attempts at one request
     * @param maxRetryAfterMicros largest Retry-After of a rejection, microseconds
     * @param connectionIdleMicros time after which upstreams close an idle connection, microseconds
     * @param cpuMicrosPerRequest largest mean CPU time per request, microseconds; 0 for no limit
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
     * Parameters of the platform's rules; times in microseconds.
     *
     * @param slowStartInitialFraction capacity that an upstream has at least when it starts, as a fraction of
     *     its full capacity
     * @param overloadMultiple work within an overload window that overloads an upstream in slow start, as a
     *     multiple of its current capacity
     * @param closeOnDrainMicros time within which idle connections to a draining upstream must be closed; 0
     *     if there is no such rule
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

    /** Price per unit of use, in points of the score; 0 if it is free. */
    record Prices(double crossZone, double gossip, double healthCheck, double connection, double handshake) {}

    /**
     * Settings that a sidecar is started with.
     *
     * @param sidecarIndex index of this sidecar among {@code sidecarCount}, from 0
     * @param weightsByWork whether responses are weighted by their work
     * @param overQuotaWeight weight of a request above its tenant's share, as a fraction of its class's
     *     weight
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
        /** Highest price per request of health-checking a pair of upstreams, in points of the score. */
        private static final double MAX_SAMPLING_PRICE = 0.005;

        /**
         * Returns a copy for a sidecar whose upstreams are shared by only {@code sidecarCount} sidecars; the
         * index is reduced modulo that count.
         */
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
         * Returns a copy with the classes, tenants, limits, rules and weights of {@code next}. The other
         * settings are fixed for the life of the process, as are the limits on health checks, gossip and idle
         * connections.
         *
         * @param maxAttempts limit on attempts in the copy, in place of the one of {@code next}
         */
        public Settings reloadedFrom(Settings next, int maxAttempts) {
            Limits nextLimits = next.limits;
            Limits reloadedLimits = new Limits(
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
                    reloadedLimits,
                    next.rules,
                    loadReporting,
                    pollsDiscovery,
                    next.weightsByWork,
                    next.overQuotaWeight,
                    prices,
                    tickMicros);
        }

        /**
         * Returns whether both upstreams of a drawn pair are health-checked for their load before each
         * request. Health checks must be allowed and cheap enough, and upstreams must report their load.
         */
        public boolean samplesLoad() {
            return limits.healthChecksAllowed()
                    && loadReporting != LoadReporting.NONE
                    && 2 * prices.healthCheck() <= MAX_SAMPLING_PRICE;
        }
    }

    /**
     * What is uncertain about an upstream that discovery has not confirmed. {@code IDENTITY}: an upstream
     * responds at the address, but only an outdated list says which one, so its zone and cell do not show
     * which idempotency keys it deduplicates. {@code SERVICE}: something accepts connections at the address,
     * but it is not known to be the service.
     */
    enum Uncertainty {
        NONE,
        IDENTITY,
        SERVICE
    }

    /** Protocol bit for HTTP/1.1, see {@link Upstream#protocols} and {@link Request#protocol}. */
    int HTTP1 = 1;
    /** Protocol bit for gRPC. */
    int GRPC = 2;

    /**
     * One entry of the endpoint list.
     *
     * @param startedMicros time at which its process started, microseconds; 0 if it started long ago
     * @param slowStartFromMicros if above 0, latest time at which it may have restarted, microseconds: the
     *     slow-start budget applies from then on even if {@code startedMicros} is earlier
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
        /** Creates an entry for an HTTP/1.1 upstream that discovery has confirmed. */
        public Upstream(
                String id,
                String zone,
                String machineType,
                int cell,
                long startedMicros,
                double weight,
                UpstreamState state) {
            this(id, zone, machineType, cell, startedMicros, weight, state, Uncertainty.NONE, 0, HTTP1);
        }

        /** Returns the latest time at which it may have started, microseconds; 0 if it started long ago. */
        public long latestStartMicros() {
            return Math.max(startedMicros, slowStartFromMicros);
        }
    }

    /**
     * A request as it arrives.
     *
     * @param affinityKey key of the client for session affinity; -1 if there is none
     * @param costHintMicros expected work, microseconds; 0 for no hint
     * @param remainingMicros time until the client gives up, for a stream until it must have started;
     *     microseconds
     * @param protocol bit of its protocol, {@link #HTTP1} or {@link #GRPC}
     * @param streaming whether it is a stream of unbounded duration: it occupies one of the upstream's
     *     streams, does not count as a request in flight, and its latency is not used to estimate the
     *     upstream's speed
     * @param idempotencyKey key that stays the same when the client itself retries; null if there is none
     * @param classAtAdmission the class as it was when the request was admitted; null to use the class of
     *     that name in the settings
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
        /** Creates an HTTP/1.1 request that is not a stream. */
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

        /** Creates a request without an idempotency key. */
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

        /** Creates a request whose class is looked up in the settings. */
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

    /** A load report; values that the upstream does not report are negative. */
    record LoadReport(double inFlight, double queued, double utilization) {}

    /** Decisions of the module, to be carried out by the host after the call that issued them. */
    interface Actions {
        /** Sends an attempt at the request to the upstream, which must respond by {@code deadlineMicros}. */
        void send(String requestId, String upstreamId, long deadlineMicros);

        /** Rejects a request of which no attempt has run; 0 means no Retry-After. */
        void reject(String requestId, long retryAfterMicros);

        /** Fails the request. Unlike a rejection, this does not imply that no attempt has run. */
        void fail(String requestId);

        /** Cancels one attempt. */
        void cancel(String requestId, int attempt);

        /** Sends a health check to the upstream. */
        void checkHealth(String upstreamId);

        /** Calls discovery to establish a watch. */
        void pollDiscovery();

        /** Sends a gossip message to the peer with this index. */
        void gossip(int peer, byte[] message);

        /** Closes this sidecar's idle connections to the upstream. */
        void closeIdleConnections(String upstreamId);

        /** Starts a timer that calls {@link Balancer#onTimer} with the same name when it fires. */
        void startTimer(String timerName, long delayMicros);

        /** Writes a line to the log. */
        void log(String text);
    }

    /**
     * Applies settings made by {@link Settings#reloadedFrom}. Their classes apply to requests that arrive
     * from now on.
     */
    default void onSettings(long nowMicros, Settings settings) {}

    /** Called with a new endpoint list, or after a failed call to discovery. */
    void onEndpointList(long nowMicros, EndpointListKind kind, List<Upstream> entries);

    /** Called when a request has arrived. */
    void onRequest(long nowMicros, Request request);

    /**
     * Called when an attempt has ended.
     *
     * @param requestAnswered whether the request has its final answer, from this outcome or an earlier one
     * @param report load report that came with the response; null if there is none
     */
    void onOutcome(
            long nowMicros,
            String requestId,
            int attempt,
            String upstreamId,
            Outcome outcome,
            long latencyMicros,
            boolean requestAnswered,
            LoadReport report);

    /** Called when the response to an attempt has started as a stream. */
    void onStreamStart(long nowMicros, String requestId, int attempt, String upstreamId, long latencyMicros);

    /** Called when a health check has ended; {@code report} is null if there is no load report. */
    void onHealthCheck(long nowMicros, String upstreamId, Outcome outcome, long latencyMicros, LoadReport report);

    /** Called when a request has ended without an answer: its client disconnected or its deadline passed. */
    void onExpired(long nowMicros, String requestId);

    /** Called with a gossip message from the peer with this index; the message may be wrong or malformed. */
    void onGossip(long nowMicros, int peer, byte[] message);

    /** Called when the timer of this name has fired. */
    void onTimer(long nowMicros, String timerName);

    /** Returns whether the balancer's outlier detection currently ejects the upstream. */
    default boolean isEjected(long nowMicros, String upstreamId) {
        return false;
    }
}
