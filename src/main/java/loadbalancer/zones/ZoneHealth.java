package loadbalancer.zones;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Health of one zone, derived from the responses and timeouts of its upstreams. An upstream is silent after
 * {@link #TIMEOUTS_UNTIL_SILENT} consecutive timeouts, but no earlier than {@link #MIN_SILENCE_MICROS} after the first
 * of them. A zone is unresponsive when every upstream with recent evidence is silent, and these are at least half of
 * the zone's upstreams and at least two, unless the zone has only one. A partial failure is not a zone failure; the
 * balancer's outlier ejection handles it.
 */
final class ZoneHealth {
    /** Consecutive timeouts after which an upstream may count as silent. */
    private static final int TIMEOUTS_UNTIL_SILENT = 2;

    /** Timeouts of an upstream that are closer together than this count as one. */
    private static final long SAME_EVENT_MICROS = 40_000;

    private static final long MIN_SILENCE_MICROS = 330_000;
    private static final long EVIDENCE_EXPIRY_MICROS = 5_000_000;
    private static final long PARTITIONED_AFTER_MICROS = 3_000_000;

    /** Responses after which probation ends, if at least half of the upstreams have responded. */
    private static final int RESPONSES_TO_RECOVER = 3;

    private final Map<String, UpstreamEvidence> upstreams = new HashMap<>();
    private State state = State.EMPTY;
    private long stateSinceMicros;
    private int probationResponses;
    private int maxReadyCount;
    private boolean everReady;

    /** State of a zone as this sidecar sees it. */
    enum State {
        HEALTHY("healthy"),
        /** No upstream responds; discovery may be about to remove the zone. */
        UNRESPONSIVE("unresponsive"),
        /** No upstream has responded for some time, but discovery still lists the zone, so others may reach it. */
        PARTITIONED("partitioned"),
        /** An upstream responds again, so idempotent requests may be sent. */
        PROBATION("on probation"),
        /** The endpoint list contains no ready upstream of the zone. */
        EMPTY("empty");

        private final String logText;

        State(String logText) {
            this.logText = logText;
        }

        String logText() {
            return logText;
        }

        /** Whether the zone has ready upstreams but none of them responds. */
        boolean isUnreachable() {
            return this == UNRESPONSIVE || this == PARTITIONED;
        }
    }

    private static final class UpstreamEvidence {
        private long firstTimeoutMicros;
        private long lastTimeoutMicros;
        private int consecutiveTimeouts;
        private long lastResponseMicros = Long.MIN_VALUE / 2;
        private boolean respondedInProbation;

        private boolean isSilent(long nowMicros) {
            return consecutiveTimeouts >= TIMEOUTS_UNTIL_SILENT && nowMicros - firstTimeoutMicros >= MIN_SILENCE_MICROS;
        }

        private boolean hasRespondedRecently(long nowMicros) {
            return nowMicros - lastResponseMicros < EVIDENCE_EXPIRY_MICROS && consecutiveTimeouts == 0;
        }
    }

    /** Handles a new endpoint list, with the ids of the zone's ready upstreams. */
    void onReadyUpstreams(long nowMicros, Set<String> ready) {
        upstreams.keySet().retainAll(ready);
        ready.forEach(upstreamId -> upstreams.computeIfAbsent(upstreamId, id -> new UpstreamEvidence()));
        maxReadyCount = Math.max(ready.size(), maxReadyCount);
        if (ready.isEmpty()) {
            transitionTo(nowMicros, State.EMPTY);
        } else if (state == State.EMPTY) {
            // The first list is not a recovery, so it needs no probation.
            transitionTo(nowMicros, everReady ? State.PROBATION : State.HEALTHY);
            everReady = true;
        }
    }

    /** Handles a response of an upstream, with any status. */
    void responded(long nowMicros, String upstreamId) {
        UpstreamEvidence evidence = upstreams.get(upstreamId);
        if (evidence == null) {
            return;
        }
        evidence.consecutiveTimeouts = 0;
        evidence.lastResponseMicros = nowMicros;
        if (state.isUnreachable()) {
            transitionTo(nowMicros, State.PROBATION);
        }
        if (state == State.PROBATION) {
            evidence.respondedInProbation = true;
            probationResponses++;
            int respondedCount = 0;
            for (UpstreamEvidence each : upstreams.values()) {
                respondedCount += each.respondedInProbation ? 1 : 0;
            }
            if (probationResponses >= RESPONSES_TO_RECOVER && 2 * respondedCount >= upstreams.size()) {
                transitionTo(nowMicros, State.HEALTHY);
            }
        }
    }

    /** Handles a request or health check that got no response or no connection. */
    void timedOut(long nowMicros, String upstreamId) {
        UpstreamEvidence evidence = upstreams.get(upstreamId);
        if (evidence == null) {
            return;
        }
        if (evidence.consecutiveTimeouts == 0) {
            evidence.firstTimeoutMicros = nowMicros;
        }
        if (evidence.consecutiveTimeouts == 0 || nowMicros - evidence.lastTimeoutMicros >= SAME_EVENT_MICROS) {
            evidence.consecutiveTimeouts++;
            evidence.lastTimeoutMicros = nowMicros;
        }
        if (state == State.PROBATION && evidence.consecutiveTimeouts >= TIMEOUTS_UNTIL_SILENT) {
            probationResponses = 0;
            evidence.respondedInProbation = false;
        }
        detectUnresponsive(nowMicros);
    }

    /**
     * The current state. It is updated for the time alone, without further timeouts, because an ejected upstream is
     * sent nothing that could time out.
     */
    State state(long nowMicros) {
        detectUnresponsive(nowMicros);
        if (state == State.UNRESPONSIVE && nowMicros - stateSinceMicros >= PARTITIONED_AFTER_MICROS) {
            state = State.PARTITIONED;
        }
        return state;
    }

    /**
     * Upstreams that are ready and not silent, as a fraction of {@link #maxReadyCount}; 0 unless the zone is healthy.
     */
    double availableFraction(long nowMicros) {
        if (state != State.HEALTHY || maxReadyCount == 0) {
            return 0;
        }
        int availableCount = 0;
        for (UpstreamEvidence evidence : upstreams.values()) {
            availableCount += evidence.isSilent(nowMicros) ? 0 : 1;
        }
        return (double) availableCount / maxReadyCount;
    }

    int readyCount() {
        return upstreams.size();
    }

    /** Largest number of upstreams that were ready at one time. */
    int maxReadyCount() {
        return maxReadyCount;
    }

    private void detectUnresponsive(long nowMicros) {
        if (state != State.HEALTHY && state != State.PROBATION) {
            return;
        }
        int silentCount = 0;
        int evidenceCount = 0;
        for (UpstreamEvidence evidence : upstreams.values()) {
            boolean silent = evidence.isSilent(nowMicros);
            silentCount += silent ? 1 : 0;
            evidenceCount += silent || evidence.hasRespondedRecently(nowMicros) ? 1 : 0;
        }
        if (silentCount == evidenceCount
                && silentCount >= Math.min(upstreams.size(), 2)
                && 2 * silentCount >= upstreams.size()) {
            transitionTo(nowMicros, State.UNRESPONSIVE);
        }
    }

    private void transitionTo(long nowMicros, State next) {
        if (state == next) {
            return;
        }
        state = next;
        stateSinceMicros = nowMicros;
        probationResponses = 0;
        upstreams.values().forEach(evidence -> evidence.respondedInProbation = false);
    }
}
