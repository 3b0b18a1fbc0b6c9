package loadbalancer.balancing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.balancing.Balancer.Upstream;

/** State of one upstream, from its first listing until it is removed and {@link UpstreamDirectory} forgets it. */
final class TrackedUpstream {
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    final String id;
    final MachineType machineType;
    /** Sort key of the order of upstreams that all sidecars share. */
    final int subsetOrder;
    /** Index of its zone in the settings; 0 if they do not list the zone. */
    final int zoneIndex;
    /** Latest entry of the endpoint list. */
    Upstream endpoint;

    boolean ready;
    /** Whether it is no longer listed. */
    boolean removed;
    /** Weight in the draw: p_i / k_i of Eq. (4) times the constraints' weight and the peers' trust factor. */
    double selectionWeight;
    /** Requests of this sidecar in flight, without streams. */
    int inFlight;
    /** Open streams of this sidecar, from send to end. */
    int openStreams;
    /** Number of open streams when it last rejected another one. */
    int streamCapacity;
    /** Time of that rejection, microseconds. */
    long streamsExhaustedMicros = NEVER_MICROS;
    /** Attempts of this sidecar in the order of their sends; ended ones are removed lazily. */
    final ArrayDeque<TrackedAttempt> attempts = new ArrayDeque<>();
    /** Service-time factor relative to that of its machine type; above 1 if it is slower. */
    double deviationFactor = 1;
    /** Time of its last response, microseconds. */
    long lastResponseMicros;
    /** Attempts of this sidecar that it does not hold according to its last load report. */
    int lostAttempts;
    /** Requests of other sidecars that it held at its last load report or was assumed to hold when full. */
    double peerInFlight;
    /** Time of its last load report, or at which it was last marked full without one; microseconds. */
    long loadReportedMicros = NEVER_MICROS;
    /** Weighted failures since the last success or ejection. */
    int failureScore;
    /** Ejections since the last success. */
    int consecutiveEjections;
    /** Timeouts by class name; an entry exists from a class's first timeout to its next response. */
    final Map<String, ClassTimeouts> timeoutsByClass = new HashMap<>(2);
    /** End of the ejection, microseconds. */
    long ejectedUntilMicros;
    /** Time of the last send or outcome, microseconds; 0 if no connection has been used yet. */
    long lastUsedMicros;
    /** Send time of the health check in flight, microseconds; 0 if there is none. */
    long healthCheckSentMicros;
    /** Time at which a health check for an overdue attempt was found to be unanswered, microseconds. */
    long unresponsiveSinceMicros = NEVER_MICROS;
    /** Last slot of the slow-start budget in which a request was sent. */
    long warmupSlot;
    /** Work that this sidecar sent in that slot, microseconds. */
    double warmupSlotWorkMicros;
    /** Time of the last send in slow start, microseconds. */
    long warmupSentMicros = NEVER_MICROS;

    TrackedUpstream(Upstream endpoint, MachineType machineType, int zoneIndex, int subsetOrder) {
        id = endpoint.id();
        this.machineType = machineType;
        this.subsetOrder = subsetOrder;
        this.zoneIndex = Math.max(0, zoneIndex);
        this.endpoint = endpoint;
    }

    /** Returns the time that this upstream takes for work that takes one unit of time on a standard core. */
    double serviceTimeFactor() {
        return machineType.serviceTimeFactor * deviationFactor;
    }

    /** Resets what was learned about the previous incarnation of the process. */
    void resetIncarnation() {
        deviationFactor = 1;
        failureScore = 0;
        consecutiveEjections = 0;
        ejectedUntilMicros = 0;
        lastUsedMicros = 0;
        timeoutsByClass.clear();
    }
}
