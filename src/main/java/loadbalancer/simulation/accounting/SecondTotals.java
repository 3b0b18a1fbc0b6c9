package loadbalancer.simulation.accounting;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.simulation.accounting.FleetAccount.RequestEnd;

/** What was counted in one second, or the sum of several. */
final class SecondTotals {
    long requests;
    long connects;
    long refusedConnects;
    long healthChecks;
    long discoveryPolls;
    long gossipSent;
    long gossipReceived;
    long ejected;
    long ejectedHealthy;
    private final long[] requestEnds = new long[RequestEnd.values().length];
    private final long[] attempts = new long[UpstreamCondition.values().length];
    private final long[] wastedAttempts = new long[UpstreamCondition.values().length];
    private long oldestEndpointListMicros;

    void requestEnded(RequestEnd end) {
        requestEnds[end.ordinal()]++;
    }

    /** An attempt is wasted unless its response is served. */
    void attemptEnded(UpstreamCondition condition, Outcome outcome) {
        attempts[condition.ordinal()]++;
        wastedAttempts[condition.ordinal()] += outcome == Outcome.OK ? 0 : 1;
    }

    void endpointListSeen(long ageMicros) {
        oldestEndpointListMicros = Math.max(oldestEndpointListMicros, ageMicros);
    }

    void add(SecondTotals other) {
        add(requestEnds, other.requestEnds);
        add(attempts, other.attempts);
        add(wastedAttempts, other.wastedAttempts);
        endpointListSeen(other.oldestEndpointListMicros);
        requests += other.requests;
        connects += other.connects;
        refusedConnects += other.refusedConnects;
        healthChecks += other.healthChecks;
        discoveryPolls += other.discoveryPolls;
        gossipSent += other.gossipSent;
        gossipReceived += other.gossipReceived;
        ejected += other.ejected;
        ejectedHealthy += other.ejectedHealthy;
    }

    long ended(RequestEnd end) {
        return requestEnds[end.ordinal()];
    }

    long ended() {
        return sum(requestEnds);
    }

    long attempts(UpstreamCondition condition) {
        return attempts[condition.ordinal()];
    }

    long attempts() {
        return sum(attempts);
    }

    long wastedAttempts(UpstreamCondition condition) {
        return wastedAttempts[condition.ordinal()];
    }

    long wastedAttempts() {
        return sum(wastedAttempts);
    }

    long oldestEndpointListMicros() {
        return oldestEndpointListMicros;
    }

    /** For JSON. */
    Map<String, Object> asMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("asked", requests);
        for (RequestEnd end : RequestEnd.values()) {
            map.put(end.jsonName(), ended(end));
        }
        Map<String, Object> attemptsByCondition = new LinkedHashMap<>();
        for (UpstreamCondition condition : UpstreamCondition.values()) {
            attemptsByCondition.put(condition.description(), List.of(attempts(condition), wastedAttempts(condition)));
        }
        map.put("attemptsAndWasted", attemptsByCondition);
        map.put("dials", connects);
        map.put("dialsRefused", refusedConnects);
        map.put("probes", healthChecks);
        map.put("calls", discoveryPolls);
        map.put("said", gossipSent);
        map.put("heard", gossipReceived);
        map.put("avoided", ejected);
        map.put("avoidedHealthy", ejectedHealthy);
        map.put("oldestListMs", oldestEndpointListMicros / 1000);
        return map;
    }

    private static void add(long[] totals, long[] others) {
        for (int i = 0; i < totals.length; i++) {
            totals[i] += others[i];
        }
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}
