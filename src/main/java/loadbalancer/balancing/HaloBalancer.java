package loadbalancer.balancing;

import java.util.List;

/**
 * Power-of-D load balancing with D = 2 as in the HALO paper: Eq. (4) splits the fleet's request rate over the
 * machine types of the upstreams; each request draws two upstreams with probability p_i / k_i and is sent to
 * the one with fewer requests in flight. An upstream that deviates from its machine type is a group of its
 * own, full upstreams are skipped, and requests that find no capacity wait in a queue.
 *
 * <p>This class only dispatches events to the components that decide. All of them run on one thread and take
 * the time from the event.
 */
public final class HaloBalancer implements Balancer {
    private final BalancerContext context;
    private final ConnectionReuse connections;
    private final UpstreamDirectory directory;
    private final Estimators estimators;
    private final OutlierDetector outliers = new OutlierDetector();
    private final AttemptRules rules;
    private final RequestSplit split;
    private final Hedging hedging;
    private final RequestDispatcher dispatcher;
    private final OutcomeFeedback feedback;
    private final DiscoveryPolling polling;

    /**
     * @param seed      seed of all random draws: with the same seed the same events lead to the same actions
     * @param nowMicros start time, on the clock that all events use
     * @param actions   receives the decisions, possibly before this constructor returns
     */
    public HaloBalancer(
            Settings settings,
            RoutingConstraints constraints,
            PeerLoad peerLoad,
            long seed,
            long nowMicros,
            Actions actions) {
        context = new BalancerContext(settings, constraints, peerLoad, seed, actions);
        connections = new ConnectionReuse(context);
        directory = new UpstreamDirectory(context, connections);
        estimators = createEstimators(nowMicros);
        rules = new AttemptRules(context, estimators.slowStart());
        SubsetSelection subsets = new SubsetSelection(context, directory, estimators, connections);
        split = new RequestSplit(context, directory, estimators, outliers, subsets, nowMicros);
        CapacityCheck capacity = new CapacityCheck(context, directory, estimators, rules, outliers);
        HealthChecks healthChecks = new HealthChecks(context);
        TwoChoices choices = new TwoChoices(context, estimators.loads(), capacity);
        LoadSampling sampling = new LoadSampling(directory, estimators, capacity, choices, healthChecks);
        UpstreamPicker picker = new UpstreamPicker(context, split, subsets, capacity, choices, sampling);
        hedging = new Hedging(context, split, picker, healthChecks);
        Selection selection = new Selection(rules, connections, capacity, split, picker, hedging);
        dispatcher = new RequestDispatcher(context, directory, estimators, selection);
        feedback = new OutcomeFeedback(estimators.serviceTimes(), estimators.loads(), connections, outliers);
        polling = new DiscoveryPolling(context);
        estimators.gossip().start();
        if (settings.pollsDiscovery()) {
            polling.poll(nowMicros);
        }
    }

    private Estimators createEstimators(long nowMicros) {
        WorkEstimator work = new WorkEstimator(context.settings);
        ArrivalRateEstimator arrivals = new ArrivalRateEstimator(nowMicros);
        CongestionEstimator congestion = new CongestionEstimator(context);
        FleetGossip gossip = new FleetGossip(context, directory, arrivals, congestion, connections);
        SlowStart slowStart = new SlowStart(context, work);
        ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator(context, work, slowStart, congestion);
        LoadEstimator loads = new LoadEstimator(context, work, congestion);
        return new Estimators(work, arrivals, congestion, gossip, slowStart, serviceTimes, loads);
    }

    UpstreamDirectory directory() {
        return directory;
    }

    RequestDispatcher dispatcher() {
        return dispatcher;
    }

    AttemptRules rules() {
        return rules;
    }

    @Override
    public void onSettings(long nowMicros, Settings settings) {
        context.settings = settings;
        estimators.work().addClasses(settings);
        dispatcher.reloadClasses();
    }

    @Override
    public void onEndpointList(long nowMicros, EndpointListKind listKind, List<Upstream> entries) {
        polling.recordResponse(nowMicros, listKind);
        if (listKind == EndpointListKind.FAILED) {
            return;
        }
        directory.apply(nowMicros, listKind, entries);
        split.invalidate(nowMicros);
        dispatcher.dispatchQueue(nowMicros, false);
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        dispatcher.admit(nowMicros, request);
    }

    @Override
    public void onOutcome(
            long nowMicros,
            String requestId,
            int attemptNumber,
            String upstreamId,
            Outcome outcome,
            long latencyMicros,
            boolean requestAnswered,
            LoadReport report) {
        LoadEstimator loads = estimators.loads();
        loads.applyReport(directory.find(upstreamId), report, nowMicros);
        TrackedRequest request = dispatcher.find(requestId);
        if (request == null) {
            loads.clearLastReporter();
            return;
        }
        TrackedAttempt attempt = request.attempt(attemptNumber);
        if (attempt == null || attempt.ended) {
            return;
        }
        attempt.end(nowMicros, outcome);
        connections.closeIfDraining(attempt.upstream);
        directory.forgetIfDone(nowMicros, attempt.upstream);
        feedback.apply(nowMicros, attempt, outcome, latencyMicros);
        dispatcher.onAttemptEnd(nowMicros, request, outcome, requestAnswered);
        dispatcher.dispatchQueue(nowMicros, false);
        loads.clearLastReporter();
    }

    @Override
    public void onStreamStart(
            long nowMicros, String requestId, int attemptNumber, String upstreamId, long latencyMicros) {
        TrackedRequest request = dispatcher.find(requestId);
        TrackedAttempt attempt = request == null ? null : request.attempt(attemptNumber);
        if (attempt != null) {
            attempt.startStream();
            dispatcher.dispatchQueue(nowMicros, false);
        }
    }

    @Override
    public void onExpired(long nowMicros, String requestId) {
        TrackedRequest request = dispatcher.find(requestId);
        if (request != null) {
            dispatcher.finish(request);
        }
    }

    @Override
    public void onHealthCheck(
            long nowMicros, String upstreamId, Outcome outcome, long latencyMicros, LoadReport report) {
        TrackedUpstream upstream = directory.find(upstreamId);
        if (upstream == null) {
            return;
        }
        LoadEstimator loads = estimators.loads();
        upstream.healthCheckSentMicros = 0;
        if (outcome != Outcome.OK) {
            outliers.recordHealthCheck(nowMicros, upstream, outcome);
        } else if (report == null) {
            // The upstream responds but reports no load: assume that it is busy rather than idle.
            loads.markFull(upstream, nowMicros);
        }
        loads.applyReport(upstream, report, nowMicros);
        dispatcher.dispatchQueue(nowMicros, false);
        loads.clearLastReporter();
    }

    @Override
    public void onGossip(long nowMicros, int peer, byte[] message) {
        estimators.gossip().receive(nowMicros, peer, message);
    }

    @Override
    public void onTimer(long nowMicros, String timerName) {
        switch (timerName) {
            case PendingQueue.TIMER -> dispatcher.sweep(nowMicros);
            case FleetGossip.TIMER -> estimators.gossip().send(nowMicros);
            case DiscoveryPolling.TIMER -> polling.poll(nowMicros);
            default -> onRequestTimer(nowMicros, timerName);
        }
    }

    private void onRequestTimer(long nowMicros, String timerName) {
        TrackedRequest request = dispatcher.find(timerName.substring(timerName.indexOf(':') + 1));
        if (timerName.startsWith(Hedging.OVERDUE_TIMER)) {
            hedging.checkOverdue(nowMicros, request);
        } else if (timerName.startsWith(Hedging.CHECK_TIMER)) {
            TrackedUpstream upstream = hedging.pickAfterCheck(nowMicros, request);
            if (upstream != null) {
                dispatcher.send(nowMicros, request, upstream);
            }
        }
    }

    @Override
    public boolean isEjected(long nowMicros, String upstreamId) {
        TrackedUpstream upstream = directory.find(upstreamId);
        return upstream != null && OutlierDetector.isEjected(upstream, nowMicros);
    }
}
