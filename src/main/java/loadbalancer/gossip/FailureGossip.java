package loadbalancer.gossip;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;

/**
 * Tells the peers which upstreams this sidecar could not connect to. Without it each sidecar would detect each dead
 * upstream only by an attempt of its own. A report is about one process of an upstream, identified by id and start
 * time, so that it does not affect the next process. Reports only lower the selection weight; no capacity, ejection or
 * rule depends on them.
 *
 * <p>The effect of reports is limited: {@link #MIN_REPORTERS} sidecars must have reported a failure within
 * {@link #REPORT_EXPIRY_MICROS}, so that no single sidecar has an effect. A response to this sidecar overrides all
 * reports. If half of the upstreams or more would be affected, none is. Messages are paced so that no sidecar receives
 * more than {@link #MAX_RECEIVED_PER_SECOND} per second, and an upstream that has enough reporters is not reported
 * again.
 */
public final class FailureGossip {
    /** Number of sidecars, including this one, that must report a failure before it has an effect. */
    static final int MIN_REPORTERS = 2;

    /**
     * Equals the time that discovery may take to report the failure. After it, some sidecar has to try the upstream
     * again.
     */
    static final long REPORT_EXPIRY_MICROS = 2_000_000;

    /**
     * Factor on the selection weight of a failed upstream. Above 0, so that requests are still rarely sent and reveal a
     * wrong report.
     */
    static final double FAILED_TRUST_FACTOR = 0.02;

    /** Maximum number of upstream processes with reports. */
    static final int MAX_TRACKED = 4_096;

    /** A connection attempt that was given up earlier ended with its client's deadline, which is no evidence. */
    static final long MIN_CONNECT_WAIT_MICROS = 200_000;

    /** Maximum number of entries in a message, which has at most 256 bytes. */
    static final int MAX_ENTRIES = 60;

    private static final byte MESSAGE_TAG = 'L';
    private static final int ENTRY_BYTES = 4;
    private static final long MIN_INTERVAL_MICROS = 50_000;
    private static final long MAX_RECEIVED_PER_SECOND = 500;

    /** Maximum price of one message to all peers, in the unit of the platform's prices (points of the score). */
    private static final double MAX_MESSAGE_PRICE = 0.1;

    private static final double TYPICAL_MESSAGE_BYTES = 16;

    private final int sidecarIndex;
    private final int sidecarCount;
    private final long intervalMicros;
    private final Map<Integer, FailureReports> reportsByProcess = new HashMap<>();
    private final Set<Integer> unsent = new LinkedHashSet<>();
    private long lastSentMicros = Long.MIN_VALUE / 2;

    /** Time at which {@link #confirmedCount} was counted. */
    private long countedMicros = Long.MIN_VALUE;

    private int confirmedCount;

    private FailureGossip(int sidecarIndex, int sidecarCount, long intervalMicros) {
        this.sidecarIndex = sidecarIndex;
        this.sidecarCount = sidecarCount;
        this.intervalMicros = intervalMicros;
    }

    /** The latest reports about one upstream process, from distinct sidecars. */
    private static final class FailureReports {
        private final int[] reporters = new int[MIN_REPORTERS];
        private final long[] reportedMicros = new long[MIN_REPORTERS];
        private int nextSlot;

        private void add(int reporter, long nowMicros) {
            for (int slot = 0; slot < MIN_REPORTERS; slot++) {
                if (reportedMicros[slot] > 0 && reporters[slot] == reporter) {
                    reportedMicros[slot] = nowMicros;
                    return;
                }
            }
            reporters[nextSlot] = reporter;
            reportedMicros[nextSlot] = nowMicros;
            nextSlot = (nextSlot + 1) % MIN_REPORTERS;
        }

        private int activeCount(long nowMicros) {
            int count = 0;
            for (long atMicros : reportedMicros) {
                count += atMicros > 0 && nowMicros - atMicros < REPORT_EXPIRY_MICROS ? 1 : 0;
            }
            return count;
        }

        private boolean isConfirmed(long nowMicros) {
            return activeCount(nowMicros) >= MIN_REPORTERS;
        }
    }

    /**
     * Creates failure gossip for a sidecar. Empty if gossip is forbidden or too expensive, if there are too few peers,
     * or if it would be of no use because load is sampled before each request.
     */
    public static Optional<FailureGossip> forSettings(Settings settings) {
        int peerCount = settings.sidecarCount() - 1;
        double messagePrice =
                peerCount * settings.prices().gossip() * TYPICAL_MESSAGE_BYTES / InFlightGossip.PRICED_BYTES;
        if (!settings.limits().gossipAllowed()
                || peerCount < MIN_REPORTERS
                || settings.samplesLoad()
                || !(messagePrice <= MAX_MESSAGE_PRICE)) {
            return Optional.empty();
        }
        long intervalMicros = Math.max(MIN_INTERVAL_MICROS, peerCount * 1_000_000L / MAX_RECEIVED_PER_SECOND);
        return Optional.of(new FailureGossip(settings.sidecarIndex(), settings.sidecarCount(), intervalMicros));
    }

    /** Whether these bytes have the format of a failure gossip message. */
    public static boolean isMessage(byte[] message) {
        return message.length > 1
                && message[0] == MESSAGE_TAG
                && (message.length - 1) % ENTRY_BYTES == 0
                && message.length <= 1 + ENTRY_BYTES * MAX_ENTRIES;
    }

    /**
     * Handles a failed connection of this sidecar to an upstream.
     *
     * @param refused      whether the connection was refused
     * @param waitedMicros how long the sidecar waited for the connection, in microseconds
     * @return whether the failure has to be reported in a message
     */
    public boolean connectFailed(long nowMicros, Upstream upstream, boolean refused, long waitedMicros) {
        if (!refused && waitedMicros < MIN_CONNECT_WAIT_MICROS) {
            return false;
        }
        int hash = processHash(upstream);
        FailureReports reports = reportsByProcess.get(hash);
        boolean alreadyConfirmed = reports != null && reports.isConfirmed(nowMicros);
        addReport(nowMicros, sidecarIndex, hash);
        return !alreadyConfirmed && unsent.size() < MAX_ENTRIES && unsent.add(hash);
    }

    /** Handles a response of an upstream to this sidecar, which overrides all reports about the upstream. */
    public void responseReceived(Upstream upstream) {
        if (!reportsByProcess.isEmpty()) {
            int hash = processHash(upstream);
            reportsByProcess.remove(hash);
            unsent.remove(hash);
        }
    }

    /** Time in microseconds until the next message may be sent; 0 if it may be sent now. */
    public long delayMicros(long nowMicros) {
        return Math.max(0, lastSentMicros + intervalMicros - nowMicros);
    }

    /** Returns the message to send to all peers now; empty if its reports have been confirmed or overridden since. */
    public Optional<byte[]> nextMessage(long nowMicros) {
        if (unsent.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer message = ByteBuffer.allocate(1 + ENTRY_BYTES * MAX_ENTRIES).put(MESSAGE_TAG);
        unsent.forEach(message::putInt);
        unsent.clear();
        lastSentMicros = nowMicros;
        return Optional.of(Arrays.copyOf(message.array(), message.position()));
    }

    /**
     * Handles a message of a peer, given by its index in the settings. Messages of other senders or formats are
     * dropped.
     */
    public void receive(long nowMicros, int peer, byte[] message) {
        if (peer < 0 || peer >= sidecarCount || peer == sidecarIndex || !isMessage(message)) {
            return;
        }
        ByteBuffer entries = ByteBuffer.wrap(message).position(1);
        while (entries.hasRemaining()) {
            int hash = entries.getInt();
            addReport(nowMicros, peer, hash);
            FailureReports reports = reportsByProcess.get(hash);
            if (reports != null && reports.isConfirmed(nowMicros)) {
                unsent.remove(hash);
            }
        }
    }

    /** Factor on the selection weight of one of {@code endpointCount} upstreams; above 0 and at most 1. */
    public double trustFactor(long nowMicros, Upstream upstream, int endpointCount) {
        if (reportsByProcess.isEmpty()) {
            return 1;
        }
        if (countedMicros != nowMicros) {
            countedMicros = nowMicros;
            expireReports(nowMicros);
            confirmedCount = countConfirmed(nowMicros);
        }
        if (2 * confirmedCount >= endpointCount) {
            return 1;
        }
        FailureReports reports = reportsByProcess.get(processHash(upstream));
        return reports != null && reports.isConfirmed(nowMicros) ? FAILED_TRUST_FACTOR : 1;
    }

    /** Hash of an upstream's id and start time, which is equal at all sidecars. */
    private static int processHash(Upstream upstream) {
        int bits = (upstream.id().hashCode() * 31 + Long.hashCode(upstream.startedMicros() / 1000)) * 0x9e3779b9;
        return bits ^ bits >>> 16;
    }

    private void addReport(long nowMicros, int reporter, int hash) {
        if (reportsByProcess.size() >= MAX_TRACKED) {
            expireReports(nowMicros);
        }
        if (reportsByProcess.size() < MAX_TRACKED || reportsByProcess.containsKey(hash)) {
            reportsByProcess
                    .computeIfAbsent(hash, process -> new FailureReports())
                    .add(reporter, nowMicros);
        }
    }

    private void expireReports(long nowMicros) {
        reportsByProcess.values().removeIf(reports -> reports.activeCount(nowMicros) == 0);
    }

    private int countConfirmed(long nowMicros) {
        int count = 0;
        for (FailureReports reports : reportsByProcess.values()) {
            count += reports.isConfirmed(nowMicros) ? 1 : 0;
        }
        return count;
    }
}
