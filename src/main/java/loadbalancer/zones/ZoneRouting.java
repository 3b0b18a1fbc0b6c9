package loadbalancer.zones;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.balancing.RoutingConstraints;
import loadbalancer.zones.TrackedZone.RoutingMode;

/**
 * Routing constraints derived from the health of zones, as this sidecar sees it. A lost zone gets single idempotent
 * requests as trials, and the other zones take over its load at a limited rate. A returning zone is ramped up as if all
 * of its upstreams had just started. Requests with an idempotency key follow the {@link IdempotencyLedger} in all
 * states.
 */
final class ZoneRouting implements RoutingConstraints {
    private static final long UPDATE_INTERVAL_MICROS = 50_000;

    /** Rate limits are lifted once all zones have been in service and no limit has had an effect for this long. */
    private static final long LIMIT_LIFT_DELAY_MICROS = 3_000_000;

    /** Weight of a zone that is due for a trial or on probation; low, so that the zone gets few requests. */
    private static final double TRIAL_WEIGHT = 0.05;

    /**
     * Lowest weight of a zone in service, so that other tiers are still selected when the preferred ones have no
     * capacity.
     */
    private static final double MIN_WEIGHT = 0.01;

    private final Settings settings;
    private final Consumer<String> log;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classesByName = new HashMap<>();
    private final Map<String, TrackedZone> zonesByName = new LinkedHashMap<>();
    private final Map<String, TrackedZone> zoneByUpstream = new HashMap<>();
    private final double maxPriorityWeight;
    private final IdempotencyLedger ledger;
    private final long startedMicros;
    private ZoneOptions options;
    private boolean panicMode;
    private long updatedMicros;
    /** Last time at which a zone was out of service or a rate limit had an effect. */
    private long limitLastNeededMicros;

    ZoneRouting(ZoneOptions options, Settings settings, long seed, long nowMicros, Consumer<String> log) {
        this.options = options;
        this.settings = settings;
        this.log = log;
        random = new SplittableRandom(seed);
        settings.classes().forEach(requestClass -> classesByName.put(requestClass.name(), requestClass));
        maxPriorityWeight = settings.classes().stream()
                .mapToDouble(RequestClass::priorityWeight)
                .max()
                .orElse(0);
        settings.zones()
                .forEach(zone -> zonesByName.put(zone, new TrackedZone(zone, options, settings.rules(), nowMicros)));
        ledger = new IdempotencyLedger(options.maxIdempotencyKeys(), options.idempotencyKeyRetentionMicros());
        startedMicros = nowMicros;
    }

    /** Applies the tiers and drained zones of reloaded options; all other options stay as they are until a restart. */
    void reload(long nowMicros, ZoneOptions reloaded) {
        options = options.reloadedFrom(reloaded);
        update(nowMicros);
    }

    /** Handles a change of the endpoint list, with all of its current endpoints. */
    void onEndpoints(long nowMicros, Iterable<Upstream> endpoints) {
        Map<String, Set<String>> readyByZone = new HashMap<>();
        zoneByUpstream.clear();
        for (Upstream endpoint : endpoints) {
            TrackedZone zone = zonesByName.get(endpoint.zone());
            if (zone != null) {
                zoneByUpstream.put(endpoint.id(), zone);
                if (endpoint.state() == UpstreamState.READY) {
                    readyByZone
                            .computeIfAbsent(endpoint.zone(), name -> new HashSet<>())
                            .add(endpoint.id());
                }
            }
        }
        zonesByName.forEach(
                (name, zone) -> zone.health().onReadyUpstreams(nowMicros, readyByZone.getOrDefault(name, Set.of())));
        update(nowMicros);
    }

    /**
     * Handles an attempt that is being sent.
     *
     * @return the record to pass to {@link #attemptEnded}; null for a request without an idempotency key
     */
    IdempotencyLedger.LedgerAttempt attemptSent(long nowMicros, Request request, Upstream upstream) {
        TrackedZone zone = zonesByName.get(upstream.zone());
        if (zone != null) {
            zone.rateLimiter().requestSent(nowMicros);
            trialSent(nowMicros, zone);
        }
        RequestClass requestClass = keyedClass(request);
        return requestClass == null
                ? null
                : ledger.attemptSent(nowMicros, requestClass, request.idempotencyKey(), upstream);
    }

    /** Handles the end of an attempt, for which {@link #attemptSent} returned {@code sent}. */
    void attemptEnded(
            long nowMicros,
            Request request,
            Upstream upstream,
            IdempotencyLedger.LedgerAttempt sent,
            Outcome outcome,
            LoadReport report) {
        if (sent != null && !outcome.mayHaveRun) {
            ledger.attemptNeverRan(keyedClass(request), request.idempotencyKey(), sent);
        } else if (sent != null) {
            ledger.attemptEnded(sent);
        }
        TrackedZone zone = zonesByName.get(upstream.zone());
        if (zone == null) {
            return;
        }
        loadReported(zone, report);
        switch (outcome) {
            case OK, ERROR, MALFORMED, INVALID -> zone.health().responded(nowMicros, upstream.id());
            case REJECTED -> {
                zone.health().responded(nowMicros, upstream.id());
                zone.rateLimiter().requestRejected();
            }
            case TIMEOUT, CONNECT_FAILED, RESET -> zone.health().timedOut(nowMicros, upstream.id());
                // Cancelled by this side or never sent, which is no evidence about the upstream.
            case CANCELLED, NOT_SENT -> {}
        }
        updateIfDue(nowMicros);
    }

    /** Handles a health check that is being sent, which counts as a trial of an excluded zone. */
    void healthCheckSent(long nowMicros, String upstreamId) {
        TrackedZone zone = zoneByUpstream.get(upstreamId);
        if (zone != null) {
            trialSent(nowMicros, zone);
        }
    }

    void healthCheckEnded(long nowMicros, String upstreamId, Outcome outcome, LoadReport report) {
        TrackedZone zone = zoneByUpstream.get(upstreamId);
        if (zone == null || outcome == Outcome.NOT_SENT) {
            return;
        }
        loadReported(zone, report);
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.MALFORMED) {
            zone.health().responded(nowMicros, upstreamId);
        } else {
            zone.health().timedOut(nowMicros, upstreamId);
        }
        updateIfDue(nowMicros);
    }

    /** Updates modes, rate limits and weights if the last update is at least {@link #UPDATE_INTERVAL_MICROS} ago. */
    void updateIfDue(long nowMicros) {
        if (nowMicros - updatedMicros >= UPDATE_INTERVAL_MICROS) {
            update(nowMicros);
        }
    }

    @Override
    public boolean allows(long nowMicros, Request request, Upstream upstream) {
        RequestClass requestClass = keyedClass(request);
        if (requestClass != null
                && (isRetryOfUnknownAttempt(nowMicros, requestClass, request)
                        || !ledger.allows(nowMicros, requestClass, request.idempotencyKey(), upstream))) {
            return false;
        }
        TrackedZone zone = zonesByName.get(upstream.zone());
        if (zone == null || zone.mode() != RoutingMode.DRAINED && panicMode) {
            return true;
        }
        return switch (zone.mode()) {
            case IN_SERVICE -> zone.rateLimiter().allows(nowMicros, hasTopPriority(request));
            case PROBATION -> isIdempotent(request) && zone.rateLimiter().allows(nowMicros, false);
            case EXCLUDED -> isIdempotent(request) && zone.isTrialDue(nowMicros);
            case DRAINED -> false;
        };
    }

    @Override
    public double weight(Upstream upstream) {
        TrackedZone zone = zonesByName.get(upstream.zone());
        return zone == null || panicMode && zone.mode() != RoutingMode.DRAINED ? 1 : zone.weight();
    }

    @Override
    public boolean mayReject(Request request) {
        RequestClass requestClass = keyedClass(request);
        return requestClass == null
                || !ledger.mayHaveRun(requestClass, request.idempotencyKey())
                        && !isRetryOfUnknownAttempt(updatedMicros, requestClass, request);
    }

    @Override
    public boolean isUnservable(long nowMicros, Request request) {
        RequestClass requestClass = keyedClass(request);
        return requestClass != null
                && (isRetryOfUnknownAttempt(nowMicros, requestClass, request)
                        || ledger.isUnservable(nowMicros, requestClass, request.idempotencyKey()));
    }

    private void trialSent(long nowMicros, TrackedZone zone) {
        if (zone.mode() == RoutingMode.EXCLUDED) {
            zone.trialSent(nowMicros + (long) (options.trialIntervalMicros() * (0.5 + random.nextDouble())));
        }
    }

    private static void loadReported(TrackedZone zone, LoadReport report) {
        if (report != null && report.inFlight() >= 0 && report.queued() >= 0) {
            zone.rateLimiter().loadReported(report.inFlight(), report.queued());
        }
    }

    private void update(long nowMicros) {
        updatedMicros = nowMicros;
        boolean anyOutOfService = false;
        boolean allHaveHeadroom = true;
        for (TrackedZone zone : zonesByName.values()) {
            if (zone.health().maxReadyCount() > 0) {
                if (zone.updateMode(nowMicros, options.drainedZones().contains(zone.name()))) {
                    log.accept(zone.description());
                }
                anyOutOfService |= zone.mode() != RoutingMode.IN_SERVICE;
                allHaveHeadroom &= zone.rateLimiter().hasHeadroom();
            }
        }
        if (anyOutOfService || !allHaveHeadroom) {
            limitLastNeededMicros = nowMicros;
        }
        for (TrackedZone zone : zonesByName.values()) {
            if (anyOutOfService && zone.mode() == RoutingMode.IN_SERVICE) {
                zone.rateLimiter().startLimiting(nowMicros);
            } else if (!anyOutOfService && nowMicros - limitLastNeededMicros >= LIMIT_LIFT_DELAY_MICROS) {
                zone.rateLimiter().stopLimiting();
            }
        }
        updateWeights(nowMicros);
    }

    private void updateWeights(long nowMicros) {
        int tierCount = options.tiers().size() + 1;
        double[] availableFractions = new double[tierCount];
        int[] tierSizes = new int[tierCount];
        int[] readyCounts = new int[tierCount];
        int usableCount = 0;
        int totalSize = 0;
        for (TrackedZone zone : zonesByName.values()) {
            int tier = tierOf(zone.name());
            ZoneHealth health = zone.health();
            tierSizes[tier] += health.maxReadyCount();
            totalSize += health.maxReadyCount();
            if (zone.mode() == RoutingMode.IN_SERVICE) {
                availableFractions[tier] += health.availableFraction(nowMicros)
                        * zone.rateLimiter().recoveredFraction(nowMicros)
                        * health.maxReadyCount();
                readyCounts[tier] += health.readyCount();
                usableCount += health.readyCount();
            }
        }
        double availableTotal = 0;
        for (int tier = 0; tier < tierCount; tier++) {
            availableTotal += availableFractions[tier];
            availableFractions[tier] = tierSizes[tier] == 0 ? 0 : availableFractions[tier] / tierSizes[tier];
        }
        updatePanicMode(totalSize > 0 && availableTotal < options.panicThreshold() * totalSize);
        double[] loadFractions = ZonePreference.loadFractions(
                availableFractions, tierSizes, options.overprovisioningFactor(), options.panicThreshold());
        for (TrackedZone zone : zonesByName.values()) {
            int tier = tierOf(zone.name());
            zone.setWeight(
                    switch (zone.mode()) {
                            // The weight is relative to the equal share of each upstream in the balancer's split.
                        case IN_SERVICE -> readyCounts[tier] == 0 || usableCount == 0
                                ? 1
                                : Math.max(MIN_WEIGHT, loadFractions[tier] * usableCount / readyCounts[tier]);
                        case PROBATION -> TRIAL_WEIGHT;
                        case EXCLUDED -> zone.isTrialDue(nowMicros) ? TRIAL_WEIGHT : 0;
                        case DRAINED -> 0;
                    });
        }
    }

    private void updatePanicMode(boolean panic) {
        if (panic != panicMode) {
            log.accept(
                    panic
                            ? "too few upstreams of all zones respond: no zone is excluded for now"
                            : "enough upstreams respond again: zones that fail are excluded again");
        }
        panicMode = panic;
    }

    private int tierOf(String zone) {
        for (int tier = 0; tier < options.tiers().size(); tier++) {
            if (options.tiers().get(tier).contains(zone)) {
                return tier;
            }
        }
        return options.tiers().size();
    }

    /**
     * Whether this is a client's retry of a request of which this process has sent no attempt. The previous process of
     * this sidecar may have sent one, to any scope. This is impossible once the process has run for longer than clients
     * retry.
     */
    private boolean isRetryOfUnknownAttempt(long nowMicros, RequestClass requestClass, Request request) {
        return request.retriedByClient()
                && nowMicros - startedMicros < options.idempotencyKeyRetentionMicros()
                && requestClass.idempotencyScope() != IdempotencyScope.ALL
                && !ledger.mayHaveRun(requestClass, request.idempotencyKey());
    }

    /** Returns the class of a request with an idempotency key; null for any other request. */
    private RequestClass keyedClass(Request request) {
        RequestClass requestClass = request.idempotencyKey() == null ? null : classOf(request);
        return requestClass != null && requestClass.idempotency() == Idempotency.WITH_KEY ? requestClass : null;
    }

    private boolean hasTopPriority(Request request) {
        RequestClass requestClass = classOf(request);
        return requestClass != null && requestClass.priorityWeight() >= maxPriorityWeight;
    }

    private boolean isIdempotent(Request request) {
        RequestClass requestClass = classOf(request);
        return requestClass != null && requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    private RequestClass classOf(Request request) {
        return request.classAtAdmission() != null
                ? request.classAtAdmission()
                : classesByName.get(request.requestClass());
    }
}
