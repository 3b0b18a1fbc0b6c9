package loadbalancer.balancing;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;

/**
 * Handles each request from its arrival through its attempts to one final answer: served, rejected or failed.
 */
final class RequestDispatcher {
    /**
     * A queued request starts no later than this many expected service times before its latency objective.
     */
    private static final double QUEUE_SLACK_SERVICE_TIMES = 1.5;

    private final BalancerContext context;
    private final UpstreamDirectory directory;
    private final Estimators estimators;
    private final AttemptRules rules;
    private final ConnectionReuse connections;
    private final CapacityCheck capacity;
    private final RequestSplit split;
    private final UpstreamPicker picker;
    private final RequestFactory factory;
    private final Hedging hedging;
    private final PendingQueue queue;
    private final Map<String, TrackedRequest> openRequests = new HashMap<>();

    RequestDispatcher(
            BalancerContext context, UpstreamDirectory directory, Estimators estimators, Selection selection) {
        this.context = context;
        this.directory = directory;
        this.estimators = estimators;
        rules = selection.rules();
        connections = selection.connections();
        capacity = selection.capacity();
        split = selection.split();
        picker = selection.picker();
        hedging = selection.hedging();
        factory = new RequestFactory(context, estimators.work());
        queue = new PendingQueue(context);
    }

    /** Returns the open request with this id, or null. */
    TrackedRequest find(String requestId) {
        return openRequests.get(requestId);
    }

    /**
     * Returns the number of open requests. A request is open from its arrival until its last attempt has
     * ended.
     */
    int openRequestCount() {
        return openRequests.size();
    }

    /** Applies the classes of the current settings to requests that arrive from now on. */
    void reloadClasses() {
        factory.reloadClasses(context.settings);
    }

    /** Sends, queues or rejects a request that has arrived. */
    void admit(long nowMicros, Request arrival) {
        if (!arrival.streaming()) {
            estimators.arrivals().recordArrival();
        }
        hedging.recordArrival();
        TrackedRequest request = factory.create(nowMicros, arrival);
        openRequests.put(arrival.id(), request);
        if (estimators.congestion().shouldShed()) {
            rejectOrFail(request);
            return;
        }
        boolean skipsQueue = context.samplesLoad || queue.holdsOnlyStreams();
        TrackedUpstream upstream = skipsQueue ? picker.pick(nowMicros, request) : null;
        capacity.recordArrival(upstream != null);
        if (upstream != null) {
            send(nowMicros, request, upstream);
        } else if (directory.hasPeerSubset() && !arrival.streaming()) {
            rejectOrFail(request);
        } else {
            enqueue(nowMicros, request);
        }
    }

    private void enqueue(long nowMicros, TrackedRequest request) {
        boolean tooLate = nowMicros >= latestStartMicros(request);
        if (tooLate || context.constraints.isUnservable(nowMicros, request.arrival)) {
            // The request would be too late at the next sweep, or no upstream can ever take it.
            rejectOrFail(request);
        } else {
            queue.add(request);
        }
    }

    /** Sweeps the queue when the sweep timer fires, see {@link PendingQueue}. */
    void sweep(long nowMicros) {
        queue.recordSweep();
        dispatchQueue(nowMicros, true);
        queue.scheduleSweep();
    }

    /**
     * Sends queued requests in order while there is capacity, and rejects or fails those that are too late.
     * Unless {@code wholeQueue} is set, stops at the first request that shows that no capacity is left.
     */
    void dispatchQueue(long nowMicros, boolean wholeQueue) {
        boolean capacityLeft = true;
        for (int i = 0; i < queue.size() && (capacityLeft || wholeQueue); i++) {
            TrackedRequest request = queue.get(i);
            boolean mayStart = capacityLeft || !request.attempts.isEmpty();
            TrackedUpstream upstream = mayStart ? picker.pick(nowMicros, request) : null;
            if (upstream != null || nowMicros >= latestStartMicros(request)) {
                queue.removeAt(i--);
                if (upstream != null) {
                    send(nowMicros, request, upstream);
                } else {
                    rejectOrFail(request);
                }
            } else {
                // A first attempt may go to any upstream: if it finds no capacity, the requests behind it
                // wait too.
                capacityLeft &= context.samplesLoad || request.arrival.streaming() || !request.attempts.isEmpty();
            }
        }
    }

    /**
     * Returns the latest time at which an attempt can start and still bring a useful response, microseconds.
     */
    private long latestStartMicros(TrackedRequest request) {
        long latestMicros = request.deadlineMicros - PendingQueue.SWEEP_MICROS - 2 * context.settings.tickMicros();
        if (request.arrival.streaming()) {
            // A late stream is still useful; it is only given up earlier if a rejection lets the client
            // retry.
            return rules.mayReject(request) ? Math.min(latestMicros, request.usefulUntilMicros) : latestMicros;
        }
        // No slack is reserved while a pair is being sampled: the request is not waiting for capacity yet.
        boolean sampling = request.firstCandidate != null;
        double slackMicros =
                sampling ? 0 : QUEUE_SLACK_SERVICE_TIMES * split.bestServiceTimeFactor() * request.workMicros;
        return Math.min(latestMicros, (long) (request.usefulUntilMicros - slackMicros));
    }

    /**
     * Sends the request to the upstream.
     *
     * @throws IllegalStateException if {@link AttemptRules#maySend} forbids the attempt
     */
    void send(long nowMicros, TrackedRequest request, TrackedUpstream upstream) {
        if (!rules.maySend(nowMicros, request, upstream)) {
            throw new IllegalStateException("attempt rules forbid sending request '" + request.arrival.id()
                    + "' to upstream '" + upstream.id + "'");
        }
        double load = estimators.loads().load(upstream, nowMicros);
        double expectedLatencyMicros =
                estimators.serviceTimes().expectedLatencyMicros(upstream, request.workMicros, load, nowMicros);
        TrackedAttempt attempt = new TrackedAttempt(request, upstream, nowMicros, load, expectedLatencyMicros);
        request.attempts.add(attempt);
        if (request.arrival.streaming()) {
            upstream.openStreams++;
        } else {
            upstream.attempts.addLast(attempt);
            upstream.inFlight++;
        }
        estimators.slowStart().recordSend(nowMicros, upstream, request.workMicros);
        connections.prepare(nowMicros, attempt);
        ClassBackoff.recordSend(nowMicros, request.requestClass, upstream);
        context.actions.send(request.arrival.id(), upstream.id, request.deadlineMicros);
        hedging.startOverdueTimer(nowMicros, attempt);
    }

    /** Handles the end of an attempt: finishes, retries or fails its request. */
    void onAttemptEnd(long nowMicros, TrackedRequest request, Outcome outcome, boolean requestAnswered) {
        if (requestAnswered || request.finished) {
            finish(request);
        } else if (outcome == Outcome.INVALID) {
            fail(request);
        } else if (!request.responseStarted) {
            retryOrGiveUp(nowMicros, request);
        }
    }

    /**
     * Sends or queues another attempt if the rules and the time left allow it, else rejects or fails the
     * request.
     */
    private void retryOrGiveUp(long nowMicros, TrackedRequest request) {
        if (!request.allAttemptsEnded()) {
            return;
        }
        TrackedUpstream upstream = nowMicros < latestStartMicros(request) ? picker.pick(nowMicros, request) : null;
        if (upstream != null) {
            send(nowMicros, request, upstream);
        } else if (maySendAnywhere(nowMicros, request)) {
            enqueue(nowMicros, request);
        } else {
            rejectOrFail(request);
        }
    }

    private boolean maySendAnywhere(long nowMicros, TrackedRequest request) {
        for (TrackedUpstream upstream : directory.ready()) {
            if (rules.maySend(nowMicros, request, upstream)) {
                return true;
            }
        }
        return false;
    }

    private void rejectOrFail(TrackedRequest request) {
        if (rules.mayReject(request)) {
            boolean retryAfterAllowed = context.settings.limits().retryAfterAllowed();
            reject(request, retryAfterAllowed ? request.requestClass.latencyObjectiveMicros() / 2 : 0);
        } else {
            fail(request);
        }
    }

    private void reject(TrackedRequest request, long retryAfterMicros) {
        finish(request);
        long boundedMicros =
                Math.min(retryAfterMicros, context.settings.limits().maxRetryAfterMicros());
        context.actions.reject(request.arrival.id(), boundedMicros);
    }

    private void fail(TrackedRequest request) {
        if (!request.finished) {
            finish(request);
            context.actions.fail(request.arrival.id());
        }
    }

    /**
     * Finishes a request that has its final answer or whose client waits no longer. The request stays open
     * until its last attempt ends.
     */
    void finish(TrackedRequest request) {
        request.finished = true;
        queue.remove(request);
        if (request.allAttemptsEnded()) {
            openRequests.remove(request.arrival.id());
        }
    }
}
