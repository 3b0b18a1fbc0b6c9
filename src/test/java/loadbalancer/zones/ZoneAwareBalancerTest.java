package loadbalancer.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import loadbalancer.balancing.Balancer;
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
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.balancing.HaloBalancer;
import loadbalancer.balancing.PeerLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Zone routing with a real balancer as delegate, for client retries whose idempotency key may have run. */
class ZoneAwareBalancerTest {
    private static final long SECOND = 1_000_000;
    private static final long START = 1_000_000 * SECOND;
    private static final long KEY_RETENTION = 60 * SECOND;
    private static final int MAX_KEYS = 100;
    private static final RequestClass CONFIRM = new RequestClass(
            "k", Idempotency.WITH_KEY, IdempotencyScope.ZONE, 4 * SECOND, 300_000, 0, 800_000, 9, 0, false);

    private final RecordingActions actions = new RecordingActions();
    private long nowMicros = START;
    private ZoneAwareBalancer balancer;

    @BeforeEach
    void startBalancerAndPassKeyRetention() {
        restart();
        nowMicros += KEY_RETENTION + SECOND;
    }

    private void restart() {
        Settings settings = settings();
        ZoneOptions options = new ZoneOptions(
                List.of(), Set.of(), 1.4, 0.3, 5, 2 * SECOND, 500_000, 15 * SECOND, MAX_KEYS, KEY_RETENTION);
        balancer = new ZoneAwareBalancer(
                options,
                settings,
                3,
                nowMicros,
                actions,
                (constraints, observed) ->
                        new HaloBalancer(settings, constraints, PeerLoad.NONE, 3, nowMicros, observed));
        listUpstreams("a1", "b1");
    }

    private static Settings settings() {
        return new Settings(
                0,
                1,
                "a",
                List.of("a", "b"),
                List.of("x"),
                List.of(CONFIRM),
                List.of(),
                new Limits(4, false, true, false, false, true, 1_000_000, 15_000_000, 0),
                new Rules(500_000, 0.13, 24 * SECOND, 3, SECOND, 10 * SECOND, 5_000, 0),
                LoadReporting.NONE,
                false,
                false,
                0.1,
                new Prices(0, 0, 0, 0, 0),
                1_000);
    }

    /** Passes an endpoint list of ready upstreams to the balancer. The first letter of an id is the upstream's zone. */
    private void listUpstreams(String... ready) {
        List<Upstream> endpoints = new ArrayList<>();
        for (String upstreamId : ready) {
            endpoints.add(new Upstream(upstreamId, upstreamId.substring(0, 1), "x", 0, 0, 1, UpstreamState.READY));
        }
        balancer.onEndpointList(nowMicros, EndpointListKind.FULL, endpoints);
    }

    private String request(String requestId, String idempotencyKey) {
        return sendRequest(requestId, idempotencyKey, false);
    }

    private String clientRetry(String requestId, String idempotencyKey) {
        return sendRequest(requestId, idempotencyKey, true);
    }

    private String sendRequest(String requestId, String idempotencyKey, boolean retriedByClient) {
        actions.clear();
        balancer.onRequest(
                nowMicros,
                new Request(
                        requestId,
                        -1,
                        retriedByClient,
                        false,
                        0,
                        800_000,
                        null,
                        "k",
                        Balancer.HTTP1,
                        false,
                        idempotencyKey));
        return String.join(",", actions.recorded());
    }

    private static String upstreamOf(String action) {
        assertTrue(action.startsWith("send "), action);
        return action.split(" ")[2];
    }

    private void endAttempt(String requestId, String upstreamId, Outcome outcome) {
        nowMicros += 200_000;
        actions.clear();
        balancer.onOutcome(nowMicros, requestId, 0, upstreamId, outcome, 200_000, outcome == Outcome.OK, null);
    }

    private void runTimersUntil(String action) {
        for (int i = 0; i < 100 && !actions.recorded().contains(action); i++) {
            nowMicros += 5_000;
            balancer.onTimer(nowMicros, "hold");
        }
    }

    @Test
    void clientRetryGoesToTheZoneThatDeduplicatesIt() {
        // given
        String firstUpstream = upstreamOf(request("r1", "key"));
        endAttempt("r1", firstUpstream, Outcome.ERROR);
        for (int i = 0; i < 5; i++) {
            // when, then
            assertEquals(firstUpstream, upstreamOf(clientRetry("again" + i, "key")));
            endAttempt("again" + i, firstUpstream, Outcome.OK);
        }
    }

    /**
     * The earlier attempt may have run in a zone that is no longer listed. A rejection would be wrong, because it says
     * that the request did not run.
     */
    @Test
    void clientRetryFailsIfNoUpstreamCanDeduplicateIt() {
        String upstream = upstreamOf(request("r1", "key"));
        endAttempt("r1", upstream, Outcome.RESET);
        nowMicros += 5 * SECOND;
        assertEquals("fail r2", clientRetry("r2", "key"));
        // Within the window but without an upstream in scope, it waits until its latency objective and then fails.
        String otherUpstream = upstreamOf(request("r3", "other"));
        endAttempt("r3", otherUpstream, Outcome.RESET);
        listUpstreams(otherUpstream.equals("a1") ? "b1" : "a1");
        assertEquals("timer hold", clientRetry("r4", "other"));
        runTimersUntil("fail r4");
        assertTrue(
                actions.recorded().contains("fail r4")
                        && !actions.recorded().toString().contains("reject"),
                actions.recorded().toString());
    }

    @Test
    void attemptThatNeverRanIsRepeatedInAnotherZone() {
        // given
        String firstUpstream = upstreamOf(request("r1", "key"));
        listUpstreams("a1", "b1");
        actions.clear();
        // when
        balancer.onOutcome(nowMicros, "r1", 0, firstUpstream, Outcome.CONNECT_FAILED, 1_000, false, null);
        // then
        assertFalse(
                upstreamOf(actions.recorded().get(0)).equals(firstUpstream),
                actions.recorded().toString());
    }

    /** After a restart the process does not know which attempts the previous process sent. */
    @Test
    void clientRetryOfAnUnknownAttemptFailsAfterARestart() {
        // given
        restart();
        // when, then
        assertEquals("fail r1", clientRetry("r1", "key"));
        assertTrue(request("r2", "another").startsWith("send "));
        nowMicros += KEY_RETENTION + SECOND;
        assertTrue(clientRetry("r3", "key").startsWith("send "));
    }

    @Test
    void newKeysAreRejectedWhenTheLedgerIsFull() {
        // given
        for (int i = 0; i < MAX_KEYS; i++) {
            String requestId = "r" + i;
            String upstream = upstreamOf(request(requestId, "key" + i));
            endAttempt(requestId, upstream, Outcome.OK);
        }
        // when
        request("more", "new");
        runTimersUntil("reject more");
        // then
        assertTrue(
                actions.recorded().contains("reject more"), actions.recorded().toString());
        assertEquals(0, balancer.openRequestCount());
    }
}
