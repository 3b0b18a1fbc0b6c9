package loadbalancer.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Limits the checks of unverified endpoints with a token bucket: most endpoints of a stale list may be dead, and
 * unrelated servers may listen at their addresses. A check that succeeds returns its token, so a list that is still
 * correct is verified as fast as its endpoints respond.
 */
final class EndpointChecks {
    private static final double MICROS_PER_SECOND = 1e6;

    private final StalenessPolicy policy;
    private final SplittableRandom random;
    private double tokens;
    private long refilledMicros;
    private int inFlight;

    EndpointChecks(StalenessPolicy policy, long seed, long nowMicros) {
        this.policy = policy;
        random = new SplittableRandom(seed);
        tokens = policy.maxConcurrentChecks();
        refilledMicros = nowMicros;
    }

    /** Begins the checks that are due, as many as the limits allow, and returns their endpoints. */
    List<Endpoint> begin(long nowMicros, Collection<EndpointEntry> entries) {
        tokens = Math.min(
                policy.maxConcurrentChecks(),
                tokens + (nowMicros - refilledMicros) * policy.checksPerSecond() / MICROS_PER_SECOND);
        refilledMicros = nowMicros;
        if (isExhausted()) {
            return List.of();
        }
        List<Endpoint> begun = new ArrayList<>();
        for (EndpointEntry entry : due(nowMicros, entries)) {
            if (isExhausted()) {
                break;
            }
            tokens--;
            inFlight++;
            entry.beginCheck();
            begun.add(entry.endpoint());
        }
        return begun;
    }

    private boolean isExhausted() {
        return tokens < 1 || inFlight >= policy.maxConcurrentChecks();
    }

    /**
     * Endpoints whose check is due, those with the fewest failed checks first. The order among equals is random, so
     * that the sidecars of a fleet do not all check the same endpoint at once.
     */
    private List<EndpointEntry> due(long nowMicros, Collection<EndpointEntry> entries) {
        List<EndpointEntry> due = new ArrayList<>();
        for (EndpointEntry entry : entries) {
            if (entry.isCheckDue(nowMicros)) {
                due.add(entry);
            }
        }
        Map<EndpointEntry, Integer> ranks = new HashMap<>();
        due.forEach(entry -> ranks.put(entry, random.nextInt()));
        due.sort(Comparator.comparingLong(EndpointEntry::retryDelayMicros).thenComparing(ranks::get));
        return due;
    }

    /** Handles a check that found an upstream. */
    void succeeded(EndpointEntry entry) {
        end(entry);
        tokens = Math.min(policy.maxConcurrentChecks(), tokens + 1);
    }

    /** Handles a check that found no upstream: it is repeated after a delay with jitter, which doubles each time. */
    void failed(long nowMicros, EndpointEntry entry) {
        end(entry);
        long delayMicros = entry.retryDelayMicros();
        entry.retryCheck(nowMicros, delayMicros / 2 + random.nextLong(delayMicros + 1));
    }

    private void end(EndpointEntry entry) {
        entry.endCheck();
        inFlight--;
    }

    /** Stops waiting for the check of a removed endpoint, if one is in flight. */
    void abandon(EndpointEntry entry) {
        if (entry.isCheckInFlight()) {
            end(entry);
        }
    }

    /** Stops waiting for checks in flight, whose results have no effect once discovery has responded. */
    void abandonAll() {
        inFlight = 0;
    }
}
