package loadbalancer.balancing;

import java.util.Arrays;
import java.util.Map;

/**
 * Averages estimates over the fleet by gossip: each sidecar periodically sends its mean request rates,
 * service-time factors, congestion and idle limit to one random peer. A lost or wrong message changes little,
 * and later messages correct it.
 */
final class FleetGossip {
    /** Name of the timer for the next message, part of the simulator's wire protocol. */
    static final String TIMER = "tell";
    /** Interval between messages sent by this sidecar, microseconds. */
    static final long SEND_INTERVAL_MICROS = 500_000;
    /**
     * Number of responses that determine a machine type's speed well; further responses add no weight.
     */
    static final int MAX_COUNTED_RESPONSES = 40;
    /** Smallest gain with which the mean rates move towards this sidecar's rate at each message sent. */
    private static final double MIN_OWN_RATE_GAIN = 0.03;
    /** Time for which the rates of other zones are valid after a message, microseconds. */
    private static final long EXPIRY_MICROS = 5_000_000;

    private final BalancerContext context;
    private final UpstreamDirectory directory;
    private final ArrivalRateEstimator arrivals;
    private final CongestionEstimator congestion;
    private final ConnectionReuse connections;
    /** Mean requests per second over the fleet's sidecars, split by the zone of the sidecar. */
    private final double[] zoneRates;

    private long receivedMicros = Long.MIN_VALUE / 2;
    private int sentCount;

    FleetGossip(
            BalancerContext context,
            UpstreamDirectory directory,
            ArrivalRateEstimator arrivals,
            CongestionEstimator congestion,
            ConnectionReuse connections) {
        this.context = context;
        this.directory = directory;
        this.arrivals = arrivals;
        this.congestion = congestion;
        this.connections = connections;
        zoneRates = new double[context.settings.zones().size()];
    }

    /**
     * Starts the timer of the first message with a random delay, if gossip is allowed and there are peers.
     */
    void start() {
        if (context.settings.limits().gossipAllowed() && context.settings.sidecarCount() > 1) {
            context.actions.startTimer(TIMER, SEND_INTERVAL_MICROS / 2 + context.random.nextLong(SEND_INTERVAL_MICROS));
        }
    }

    /**
     * Returns the estimated requests per second of the whole fleet: the mean rate of the sidecars, or this
     * sidecar's rate while no mean is known, times their number.
     */
    double fleetRate() {
        double mean = Arrays.stream(zoneRates).sum();
        return context.settings.sidecarCount() * (mean > 0 ? mean : arrivals.requestsPerSecond());
    }

    int zoneCount() {
        return zoneRates.length;
    }

    /** Returns a zone's part of the mean rate, requests per second. */
    double zoneRate(int zone) {
        return zoneRates[zone];
    }

    /** Returns the mean rate over all zones, requests per second; 0 if no peer has sent rates recently. */
    double freshMeanRate(long nowMicros) {
        return nowMicros - receivedMicros < EXPIRY_MICROS
                ? Arrays.stream(zoneRates).sum()
                : 0;
    }

    /** Sends a message to one random peer and starts the timer of the next message. */
    void send(long nowMicros) {
        arrivals.measure(nowMicros);
        sentCount++;
        for (int zone = 0; zone < zoneRates.length; zone++) {
            double ownRate = zone == context.localZoneIndex ? arrivals.requestsPerSecond() : 0;
            zoneRates[zone] += (ownRate - zoneRates[zone]) * Math.max(MIN_OWN_RATE_GAIN, 1.0 / sentCount);
        }
        RateGossip message = emptyMessage();
        System.arraycopy(zoneRates, 0, message.zoneRates, 0, zoneRates.length);
        Map<String, MachineType> machineTypes = directory.machineTypes();
        for (int i = 0; i < message.serviceTimeFactors.length; i++) {
            MachineType machineType =
                    machineTypes.get(context.settings.machineTypes().get(i));
            message.serviceTimeFactors[i] = machineType.serviceTimeFactor;
            message.responseCounts[i] = Math.min(MAX_COUNTED_RESPONSES, machineType.responseCount);
        }
        message.congestion = congestion.congestion();
        message.idleLimitMicros = connections.gossipedIdleLimitMicros(nowMicros);
        int sidecarCount = context.settings.sidecarCount();
        int peer = (context.settings.sidecarIndex() + 1 + context.random.nextInt(sidecarCount - 1)) % sidecarCount;
        context.actions.gossip(peer, message.encode());
        context.actions.startTimer(TIMER, SEND_INTERVAL_MICROS);
    }

    /**
     * Moves rates and congestion halfway to the peer's values, and service-time factors by a part of that
     * which depends on the number of responses on both sides. Ignores malformed messages and messages from
     * unknown peers.
     */
    void receive(long nowMicros, int peer, byte[] encoded) {
        boolean knownPeer =
                peer >= 0 && peer < context.settings.sidecarCount() && peer != context.settings.sidecarIndex();
        RateGossip message = emptyMessage();
        if (!knownPeer || !message.decode(encoded)) {
            return;
        }
        receivedMicros = nowMicros;
        for (int zone = 0; zone < zoneRates.length; zone++) {
            zoneRates[zone] += (message.zoneRates[zone] - zoneRates[zone]) / 2;
        }
        for (int i = 0; i < message.serviceTimeFactors.length; i++) {
            MachineType machineType =
                    directory.machineTypes().get(context.settings.machineTypes().get(i));
            mergeMachineType(machineType, message.serviceTimeFactors[i], message.responseCounts[i]);
        }
        congestion.mergeGossip(message.congestion);
        if (message.idleLimitMicros > 0) {
            connections.lowerIdleLimit(nowMicros, message.idleLimitMicros);
        }
    }

    private static void mergeMachineType(MachineType machineType, double serviceTimeFactor, int responseCount) {
        int responses = Math.min(MAX_COUNTED_RESPONSES, responseCount);
        if (serviceTimeFactor <= 0 || responses == 0) {
            return;
        }
        machineType.serviceTimeFactor += (serviceTimeFactor - machineType.serviceTimeFactor)
                / 2
                * responses
                / (responses + Math.min(MAX_COUNTED_RESPONSES, machineType.responseCount));
        machineType.responseCount = Math.max(machineType.responseCount, responses / 2);
    }

    private RateGossip emptyMessage() {
        return new RateGossip(zoneRates.length, context.settings.machineTypes().size());
    }
}
