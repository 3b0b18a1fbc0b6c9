package loadbalancer.balancing;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Tenant;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;

/**
 * Runs one balancer under test: builds its settings, passes events to it and records its actions as text
 * lines.
 */
final class BalancerHarness implements Balancer.Actions {
    static final long START_MICROS = 1_000_000_000L;

    /** Actions in the order in which they were issued, each as its name and arguments. */
    final List<String> actions = new ArrayList<>();

    long nowMicros = START_MICROS;
    HaloBalancer balancer;
    RoutingConstraints constraints = RoutingConstraints.NONE;
    PeerLoad peerLoad = PeerLoad.NONE;

    Idempotency idempotency = Idempotency.IDEMPOTENT;
    IdempotencyScope idempotencyScope = IdempotencyScope.ALL;
    long idempotencyWindowMicros = 4_000_000;
    long latencyObjectiveMicros = 300_000;
    boolean streamingClass;
    int maxAttempts = 4;
    boolean hedging;
    boolean gossip = true;
    boolean healthChecks;
    long closeOnDrainMicros;
    int sidecarIndex;
    double connectionPrice;
    boolean pollsDiscovery;
    long pollIntervalMicros = 10_000_000;
    int sidecarCount = 2;
    long seed = 7;
    double crossZonePrice;
    LoadReporting loadReporting = LoadReporting.IN_RESPONSES;
    List<Tenant> tenants = List.of();

    BalancerHarness start() {
        RequestClass requestClass = new RequestClass(
                "c",
                idempotency,
                idempotencyScope,
                idempotencyWindowMicros,
                latencyObjectiveMicros,
                0,
                800_000,
                3,
                0,
                streamingClass);
        RequestClass otherClass = new RequestClass(
                "other",
                idempotency,
                idempotencyScope,
                idempotencyWindowMicros,
                latencyObjectiveMicros,
                0,
                800_000,
                3,
                0,
                streamingClass);
        Settings settings = new Settings(
                sidecarIndex,
                sidecarCount,
                "za",
                List.of("za", "zb", "zc"),
                List.of("k"),
                List.of(requestClass, otherClass),
                tenants,
                new Limits(maxAttempts, hedging, true, healthChecks, gossip, true, 1_000_000, 15_000_000, 0),
                new Rules(500_000, 0.13, 24_000_000, 3, 1_000_000, pollIntervalMicros, 5_000, closeOnDrainMicros),
                loadReporting,
                pollsDiscovery,
                false,
                0.1,
                new Prices(crossZonePrice, 0.01, 0.002, connectionPrice, connectionPrice),
                1000);
        balancer = new HaloBalancer(settings, constraints, peerLoad, seed, nowMicros, this);
        return this;
    }

    static Upstream upstream(String id, String zone, int cell) {
        return new Upstream(id, zone, "k", cell, 0, 1, UpstreamState.READY);
    }

    /** Passes a complete endpoint list. */
    BalancerHarness endpointList(Upstream... entries) {
        balancer.onEndpointList(nowMicros, EndpointListKind.FULL, List.of(entries));
        return this;
    }

    BalancerHarness request(String id) {
        return request(id, 800_000);
    }

    BalancerHarness request(String id, long remainingMicros) {
        balancer.onRequest(nowMicros, new Request(id, -1, false, false, 0, remainingMicros, null, "c"));
        return this;
    }

    BalancerHarness outcome(String id, int attempt, String upstreamId, Outcome outcome, long latencyMicros) {
        balancer.onOutcome(nowMicros, id, attempt, upstreamId, outcome, latencyMicros, outcome == Outcome.OK, null);
        return this;
    }

    /** Advances the clock. */
    BalancerHarness advance(long micros) {
        nowMicros += micros;
        return this;
    }

    /** Returns the balancer's state of the upstream with this id. */
    TrackedUpstream tracked(String id) {
        return balancer.directory().find(id);
    }

    /** Fires the timer with this name. */
    BalancerHarness fireTimer(String timerName) {
        balancer.onTimer(nowMicros, timerName);
        return this;
    }

    List<String> actionsStartingWith(String prefix) {
        return actions.stream().filter(a -> a.startsWith(prefix)).toList();
    }

    /** Returns the id of the upstream to which the attempt with this number was sent, or null. */
    String sentTo(String id, int attempt) {
        List<String> sends = actionsStartingWith("send " + id + " ");
        return attempt < sends.size() ? sends.get(attempt).split(" ")[2] : null;
    }

    @Override
    public void send(String requestId, String upstreamId, long deadlineMicros) {
        actions.add("send " + requestId + " " + upstreamId + " " + deadlineMicros);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        actions.add("reject " + requestId);
    }

    @Override
    public void fail(String requestId) {
        actions.add("fail " + requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        actions.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void checkHealth(String upstreamId) {
        actions.add("checkHealth " + upstreamId);
    }

    @Override
    public void pollDiscovery() {
        actions.add("pollDiscovery");
    }

    @Override
    public void gossip(int peer, byte[] message) {
        actions.add("gossip " + peer + " " + message.length);
    }

    @Override
    public void closeIdleConnections(String upstreamId) {
        actions.add("closeIdleConnections " + upstreamId);
    }

    @Override
    public void startTimer(String timerName, long delayMicros) {
        actions.add("startTimer " + timerName + " " + delayMicros);
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
