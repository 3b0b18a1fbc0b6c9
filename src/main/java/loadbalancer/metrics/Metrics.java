package loadbalancer.metrics;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.metrics.MetricsSnapshot.ClassCounts;

/**
 * Counters of this process since its start. Each admitted request is counted once at its admission and once at its
 * completion. No other code counts requests, so the counters are consistent with each other. A request class that a
 * reload removes keeps its counters. No I/O; not thread-safe.
 */
public final class Metrics {
    /** Limit on classes, more than any configuration has, so that repeated reloads can't exhaust the memory. */
    static final int MAX_CLASSES = 1_000;

    private static final int OUTCOMES = RequestOutcome.values().length;

    /** Completed requests by class, then by ordinal of the outcome. */
    private final Map<String, long[]> completions = new LinkedHashMap<>();

    private long sentAttempts;
    private long inFlight;
    private long cancelledByClient;
    private long reloadsApplied;
    private long reloadsRejected;

    /** Adds a request class, which is reported with zeros before its first request. */
    public void addClass(String requestClass) {
        if (completions.size() < MAX_CLASSES) {
            completions.computeIfAbsent(requestClass, absent -> new long[OUTCOMES]);
        }
    }

    /** Counts a request at its admission. */
    public void requestAdmitted() {
        inFlight++;
    }

    /** Counts an admitted request at its completion. */
    public void requestCompleted(String requestClass, RequestOutcome outcome) {
        inFlight--;
        requestAnsweredWithoutAdmission(requestClass, outcome);
    }

    /** Counts a request that was answered without admission. Requests of unknown classes are not counted by class. */
    public void requestAnsweredWithoutAdmission(String requestClass, RequestOutcome outcome) {
        if (outcome == RequestOutcome.CANCELLED) {
            cancelledByClient++;
        }
        long[] counts = completions.get(requestClass);
        if (counts != null) {
            counts[outcome.ordinal()]++;
        }
    }

    /** Counts an attempt whose last byte was written to an upstream. */
    public void attemptSent() {
        sentAttempts++;
    }

    /** Counts a reload at SIGHUP, by whether it was applied or rejected. */
    public void configurationReloaded(boolean applied) {
        if (applied) {
            reloadsApplied++;
        } else {
            reloadsRejected++;
        }
    }

    /** Number of requests that are admitted and not completed. */
    public long inFlight() {
        return inFlight;
    }

    /** Number of attempts whose last byte was written to an upstream. */
    public long sentAttempts() {
        return sentAttempts;
    }

    /** Number of requests that clients cancelled. */
    public long cancelledByClient() {
        return cancelledByClient;
    }

    /** Number of requests of a class that ended with an outcome; 0 for an unknown class. */
    public long count(String requestClass, RequestOutcome outcome) {
        long[] counts = completions.get(requestClass);
        return counts == null ? 0 : counts[outcome.ordinal()];
    }

    /**
     * The current values of all counters.
     *
     * @param upstreams number of endpoints in the list
     * @param unhealthyUpstreams number of those that receive no requests
     */
    public MetricsSnapshot snapshot(int upstreams, int unhealthyUpstreams) {
        Map<String, ClassCounts> classes = new LinkedHashMap<>();
        completions.forEach((requestClass, counts) -> classes.put(requestClass, classCounts(counts)));
        return new MetricsSnapshot(
                classes, inFlight, sentAttempts, upstreams, unhealthyUpstreams, reloadsApplied, reloadsRejected);
    }

    private static ClassCounts classCounts(long[] counts) {
        return new ClassCounts(
                counts[RequestOutcome.SERVED.ordinal()],
                counts[RequestOutcome.REJECTED.ordinal()],
                counts[RequestOutcome.FAILED.ordinal()]);
    }

    /** Outcome of a request. */
    public enum RequestOutcome {
        SERVED,
        REJECTED,
        FAILED,
        /** Cancelled by the client. Not reported by class. */
        CANCELLED
    }
}
