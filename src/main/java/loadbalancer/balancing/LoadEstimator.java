package loadbalancer.balancing;

import loadbalancer.balancing.Balancer.LoadReport;

/**
 * Estimates how many requests each upstream holds: this sidecar's, and others' from load reports and gossip.
 */
final class LoadEstimator {
    /** Multiple of its expected latency after which an attempt is overdue. */
    static final double OVERDUE_FACTOR = 1.5;
    /** Square-root staffing: an upstream should hold at most its cores plus this times their square root. */
    private static final double STAFFING_FACTOR = 1;
    /**
     * Multiple of its expected latency after which the oldest attempt in flight counts as additional load.
     */
    private static final double STALL_FACTOR = 2;

    private static final double CORES_GAIN = 0.3;

    private final BalancerContext context;
    private final WorkEstimator work;
    private final CongestionEstimator congestion;
    /** Upstream whose load report came with the current event; null if there is none. */
    private TrackedUpstream lastReporter;
    /** Time of the last load report of any upstream, microseconds. */
    private long lastReportMicros = Long.MIN_VALUE / 2;

    LoadEstimator(BalancerContext context, WorkEstimator work, CongestionEstimator congestion) {
        this.context = context;
        this.work = work;
        this.congestion = congestion;
    }

    /**
     * Returns this sidecar's requests in flight plus those of other sidecars, taken from the upstream's last
     * load report less the requests that it should have served since.
     */
    private double loadWithoutGossip(TrackedUpstream upstream, long nowMicros) {
        double served = (nowMicros - upstream.loadReportedMicros)
                * upstream.machineType.cores
                / (upstream.serviceTimeFactor() * work.meanWorkMicros());
        double load =
                Math.max(0, upstream.inFlight - upstream.lostAttempts) + Math.max(0, upstream.peerInFlight - served);
        TrackedAttempt oldest = oldestInFlight(upstream);
        if (oldest != null && upstream.lostAttempts == 0) {
            // A stall shows first in this sidecar's requests, so an overdue response adds to the load.
            double overdue = (nowMicros - oldest.sentMicros) / oldest.expectedLatencyMicros - STALL_FACTOR;
            if (overdue > 0) {
                load += overdue * upstream.machineType.cores;
            }
        }
        return load;
    }

    private static TrackedAttempt oldestInFlight(TrackedUpstream upstream) {
        TrackedAttempt oldest = upstream.attempts.peekFirst();
        while (oldest != null && (oldest.ended || oldest.streamStarted)) {
            upstream.attempts.poll();
            oldest = upstream.attempts.peekFirst();
        }
        return oldest;
    }

    /** Returns the estimated number of requests that the upstream holds; gossip can only raise it. */
    double load(TrackedUpstream upstream, long nowMicros) {
        int peerInFlight = context.peerLoad.inFlight(nowMicros, upstream.id);
        return peerInFlight == 0
                ? loadWithoutGossip(upstream, nowMicros)
                : Math.max(
                        loadWithoutGossip(upstream, nowMicros),
                        Math.max(0, upstream.inFlight - upstream.lostAttempts) + peerInFlight);
    }

    /** Returns the number of requests that an upstream with this number of cores should hold at most. */
    static double staffedCapacity(double cores) {
        return cores + STAFFING_FACTOR * Math.sqrt(cores);
    }

    /**
     * Applies a load report. The upstream is the last reporter until {@link #clearLastReporter} is called.
     */
    void applyReport(TrackedUpstream upstream, LoadReport report, long nowMicros) {
        if (upstream == null || report == null || report.inFlight() < 0) {
            return;
        }
        // Attempts that are overdue and that the upstream does not hold were lost on their connection: they
        // are no load.
        int overdue = 0;
        for (TrackedAttempt attempt : upstream.attempts) {
            boolean late = nowMicros - attempt.sentMicros >= OVERDUE_FACTOR * attempt.expectedLatencyMicros;
            overdue += !attempt.ended && late ? 1 : 0;
        }
        // Some upstreams count open streams as requests in flight. One that reports fewer requests than it
        // has open streams does not count them.
        double held = report.inFlight() - (report.inFlight() >= upstream.openStreams ? upstream.openStreams : 0);
        upstream.lostAttempts = (int) Math.min(overdue, Math.max(0, upstream.inFlight - Math.round(held)));
        upstream.peerInFlight = Math.max(0, held - upstream.inFlight);
        congestion.recordReport(upstream, held);
        upstream.loadReportedMicros = nowMicros;
        lastReportMicros = nowMicros;
        lastReporter = upstream;
        double running = held - Math.max(0, report.queued());
        if (report.queued() >= 0.5 && running >= 0.5 || running > upstream.machineType.cores + 0.5) {
            upstream.machineType.cores += CORES_GAIN * (Math.max(1, running) - upstream.machineType.cores);
        }
    }

    /** Treats the upstream as full until its next load report. */
    void markFull(TrackedUpstream upstream, long nowMicros) {
        double full = staffedCapacity(upstream.machineType.cores);
        upstream.peerInFlight = Math.max(loadWithoutGossip(upstream, nowMicros), full) - upstream.inFlight;
        upstream.loadReportedMicros = nowMicros;
    }

    /** Returns the upstream whose load report came with the current event, or null. */
    TrackedUpstream lastReporter() {
        return lastReporter;
    }

    void clearLastReporter() {
        lastReporter = null;
    }

    /** Returns the time of the last load report of any upstream, microseconds. */
    long lastReportMicros() {
        return lastReportMicros;
    }
}
