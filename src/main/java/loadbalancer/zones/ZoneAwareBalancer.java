package loadbalancer.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.RoutingConstraints;

/**
 * A balancer with routing between zones. Forwards all calls to a delegate and all of its actions to the caller,
 * unchanged, and observes them to track the health of zones. The delegate makes all decisions, within the
 * {@link RoutingConstraints} that this class passes to it.
 */
public final class ZoneAwareBalancer implements Balancer {
    private final Balancer delegate;
    private final ZoneRouting routing;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final Map<String, Upstream> upstreamsById = new LinkedHashMap<>();
    private long nowMicros;

    /**
     * @param seed            random seed for the jitter between trial requests
     * @param actions         receives the delegate's actions
     * @param delegateFactory creates the delegate with its constraints and its actions
     */
    public ZoneAwareBalancer(
            ZoneOptions options,
            Settings settings,
            long seed,
            long nowMicros,
            Actions actions,
            BiFunction<RoutingConstraints, Actions, Balancer> delegateFactory) {
        this.nowMicros = nowMicros;
        routing = new ZoneRouting(options, settings, seed, nowMicros, actions::log);
        delegate = delegateFactory.apply(routing, new ObservedActions(actions));
    }

    private static final class OpenRequest {
        private final Request request;

        /** By attempt number; null for an attempt that has ended. */
        private final List<RoutedAttempt> attempts = new ArrayList<>(1);

        private boolean finished;
        private int attemptsInFlight;

        private OpenRequest(Request request) {
            this.request = request;
        }

        /** Removes and returns an attempt that has ended; null if no attempt of this number is in flight. */
        private RoutedAttempt removeAttempt(int attemptNumber) {
            if (attemptNumber < 0 || attemptNumber >= attempts.size() || attempts.get(attemptNumber) == null) {
                return null;
            }
            attemptsInFlight--;
            return attempts.set(attemptNumber, null);
        }
    }

    /** @param ledgerAttempt null for a request without an idempotency key */
    private record RoutedAttempt(Upstream upstream, IdempotencyLedger.LedgerAttempt ledgerAttempt) {}

    /** Applies the tiers and drained zones of reloaded options. */
    public void reload(long atMicros, ZoneOptions options) {
        nowMicros = atMicros;
        routing.reload(atMicros, options);
    }

    @Override
    public void onEndpointList(long atMicros, EndpointListKind kind, List<Upstream> entries) {
        nowMicros = atMicros;
        if (kind != EndpointListKind.FAILED) {
            if (kind != EndpointListKind.DELTA) {
                upstreamsById.clear();
            }
            for (Upstream endpoint : entries) {
                if (endpoint.state() == UpstreamState.GONE) {
                    upstreamsById.remove(endpoint.id());
                } else {
                    upstreamsById.put(endpoint.id(), endpoint);
                }
            }
            routing.onEndpoints(atMicros, upstreamsById.values());
        }
        delegate.onEndpointList(atMicros, kind, entries);
    }

    @Override
    public void onRequest(long atMicros, Request request) {
        nowMicros = atMicros;
        routing.updateIfDue(atMicros);
        openRequests.put(request.id(), new OpenRequest(request));
        delegate.onRequest(atMicros, request);
    }

    @Override
    public void onOutcome(
            long atMicros,
            String requestId,
            int attemptNumber,
            String upstreamId,
            Outcome outcome,
            long latencyMicros,
            boolean done,
            LoadReport report) {
        nowMicros = atMicros;
        OpenRequest openRequest = openRequests.get(requestId);
        RoutedAttempt attempt = openRequest == null ? null : openRequest.removeAttempt(attemptNumber);
        if (attempt != null) {
            routing.attemptEnded(
                    atMicros, openRequest.request, attempt.upstream, attempt.ledgerAttempt, outcome, report);
            if (done) {
                finish(requestId);
            }
            removeIfComplete(requestId, openRequest);
        }
        delegate.onOutcome(atMicros, requestId, attemptNumber, upstreamId, outcome, latencyMicros, done, report);
    }

    @Override
    public void onStreamStart(
            long atMicros, String requestId, int attemptNumber, String upstreamId, long latencyMicros) {
        nowMicros = atMicros;
        delegate.onStreamStart(atMicros, requestId, attemptNumber, upstreamId, latencyMicros);
    }

    @Override
    public void onSettings(long atMicros, Settings settings) {
        delegate.onSettings(atMicros, settings);
    }

    @Override
    public boolean isEjected(long atMicros, String upstreamId) {
        return delegate.isEjected(atMicros, upstreamId);
    }

    @Override
    public void onHealthCheck(
            long atMicros, String upstreamId, Outcome outcome, long latencyMicros, LoadReport report) {
        nowMicros = atMicros;
        routing.healthCheckEnded(atMicros, upstreamId, outcome, report);
        delegate.onHealthCheck(atMicros, upstreamId, outcome, latencyMicros, report);
    }

    @Override
    public void onExpired(long atMicros, String requestId) {
        nowMicros = atMicros;
        finish(requestId);
        delegate.onExpired(atMicros, requestId);
    }

    @Override
    public void onGossip(long atMicros, int peer, byte[] message) {
        nowMicros = atMicros;
        delegate.onGossip(atMicros, peer, message);
    }

    @Override
    public void onTimer(long atMicros, String timerName) {
        nowMicros = atMicros;
        routing.updateIfDue(atMicros);
        delegate.onTimer(atMicros, timerName);
    }

    /** Number of requests that have not finished or have attempts in flight. */
    public int openRequestCount() {
        return openRequests.size();
    }

    private void finish(String requestId) {
        OpenRequest openRequest = openRequests.get(requestId);
        if (openRequest != null) {
            openRequest.finished = true;
            removeIfComplete(requestId, openRequest);
        }
    }

    private void removeIfComplete(String requestId, OpenRequest openRequest) {
        if (openRequest.finished && openRequest.attemptsInFlight == 0) {
            openRequests.remove(requestId, openRequest);
        }
    }

    /** Forwards the delegate's actions, and observes attempts, health checks and the ends of requests. */
    private final class ObservedActions implements Actions {
        private final Actions delegateActions;

        private ObservedActions(Actions actions) {
            delegateActions = actions;
        }

        @Override
        public void send(String requestId, String upstreamId, long untilMicros) {
            OpenRequest openRequest = openRequests.get(requestId);
            Upstream upstream = upstreamsById.get(upstreamId);
            if (openRequest != null && upstream != null) {
                openRequest.attempts.add(
                        new RoutedAttempt(upstream, routing.attemptSent(nowMicros, openRequest.request, upstream)));
                openRequest.attemptsInFlight++;
            }
            delegateActions.send(requestId, upstreamId, untilMicros);
        }

        @Override
        public void reject(String requestId, long retryAfterMicros) {
            finish(requestId);
            delegateActions.reject(requestId, retryAfterMicros);
        }

        @Override
        public void fail(String requestId) {
            finish(requestId);
            delegateActions.fail(requestId);
        }

        @Override
        public void cancel(String requestId, int attemptNumber) {
            delegateActions.cancel(requestId, attemptNumber);
        }

        @Override
        public void checkHealth(String upstreamId) {
            routing.healthCheckSent(nowMicros, upstreamId);
            delegateActions.checkHealth(upstreamId);
        }

        @Override
        public void pollDiscovery() {
            delegateActions.pollDiscovery();
        }

        @Override
        public void gossip(int peer, byte[] message) {
            delegateActions.gossip(peer, message);
        }

        @Override
        public void closeIdleConnections(String upstreamId) {
            delegateActions.closeIdleConnections(upstreamId);
        }

        @Override
        public void startTimer(String timerName, long delayMicros) {
            delegateActions.startTimer(timerName, delayMicros);
        }

        @Override
        public void log(String text) {
            delegateActions.log(text);
        }
    }
}
