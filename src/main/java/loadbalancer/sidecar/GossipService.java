package loadbalancer.sidecar;

import java.util.Optional;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.PeerLoad;
import loadbalancer.core.Attempt;
import loadbalancer.core.Clock;
import loadbalancer.core.Timers;
import loadbalancer.gossip.FailureGossip;
import loadbalancer.gossip.InFlightGossip;

/** Sends and receives gossip about requests in flight and about failed connects; the settings turn each on. */
final class GossipService {
    private static final int ALL_PEERS = -1;

    private final Timers timers;
    private final Clock clock;
    private final Engine.Network network;
    private final EndpointService endpoints;
    private final int sidecarIndex;

    /** Null where gossip about requests in flight is off. */
    private final InFlightGossip inFlight;

    /** Null where gossip about failed connects is off. */
    private final FailureGossip failures;

    /** Sends the next in-flight message; null where none is due. */
    private Timers.Timer inFlightTimer;

    private boolean inFlightChanged;
    private boolean failureMessageDue;

    private GossipService(
            Timers timers,
            Clock clock,
            Engine.Network network,
            EndpointService endpoints,
            int sidecarIndex,
            Optional<InFlightGossip> inFlight,
            Optional<FailureGossip> failures) {
        this.timers = timers;
        this.clock = clock;
        this.network = network;
        this.endpoints = endpoints;
        this.sidecarIndex = sidecarIndex;
        this.inFlight = inFlight.orElse(null);
        this.failures = failures.orElse(null);
    }

    /** The kinds of gossip that the settings turn on. */
    static GossipService forSettings(
            Settings settings, Timers timers, Clock clock, Engine.Network network, EndpointService endpoints) {
        return new GossipService(
                timers,
                clock,
                network,
                endpoints,
                settings.sidecarIndex(),
                InFlightGossip.forSettings(settings),
                FailureGossip.forSettings(settings));
    }

    /** Sends nothing, and drops all messages that it receives. */
    static GossipService disabled(Timers timers, Clock clock, Engine.Network network, EndpointService endpoints) {
        return new GossipService(timers, clock, network, endpoints, 0, Optional.empty(), Optional.empty());
    }

    /** The load and failures that peers report, for the balancer. */
    PeerLoad peerLoad() {
        if (failures != null) {
            return new CombinedPeerLoad();
        }
        return inFlight == null ? PeerLoad.NONE : inFlight;
    }

    /** Called when the endpoint list has changed. */
    void endpointsChanged() {
        if (inFlight != null) {
            inFlight.onEndpoints(endpoints.readyIds());
        }
    }

    void receiveInFlight(int peer, byte[] message) {
        if (inFlight != null && peer != sidecarIndex) {
            inFlight.receive(clock.nowMicros(), peer, message);
        }
    }

    void receiveFailures(int peer, byte[] message) {
        if (failures != null) {
            failures.receive(clock.nowMicros(), peer, message);
        }
    }

    void attemptStarted(Request request, Attempt attempt) {
        if (inFlight != null && !request.streaming()) {
            inFlight.attemptStarted(attempt.upstream());
            scheduleInFlight();
        }
    }

    /** {@code report} is null if the response carried none. */
    void attemptEnded(Request request, Attempt attempt, Outcome outcome, LoadReport report) {
        if (inFlight != null && !request.streaming()) {
            if (report != null && report.inFlight() >= 0) {
                inFlight.loadReported(clock.nowMicros(), attempt.upstream(), report.inFlight());
            }
            inFlight.attemptEnded(attempt.upstream());
            scheduleInFlight();
        }
        if (failures != null) {
            recordOutcome(attempt, outcome);
        }
    }

    void requestRejected() {
        if (inFlight != null) {
            inFlight.requestRejected();
        }
    }

    /** Schedules the next message as soon as the rate limit allows. */
    private void scheduleInFlight() {
        if (!inFlightChanged) {
            inFlightChanged = true;
            if (inFlightTimer != null) {
                inFlightTimer.cancel();
            }
            inFlightTimer = timers.schedule(inFlight.delayMicros(clock.nowMicros()), this::sendInFlight);
        }
    }

    private void sendInFlight() {
        inFlightChanged = false;
        long nowMicros = clock.nowMicros();
        int[] recipients = inFlight.nextRecipients(nowMicros);
        byte[] message = inFlight.nextMessage(nowMicros);
        if (recipients == null) {
            network.sendToPeer(ALL_PEERS, message);
        } else {
            for (int peer : recipients) {
                network.sendToPeer(peer, message);
            }
        }
        long refreshDelayMicros = inFlight.refreshDelayMicros();
        inFlightTimer = refreshDelayMicros == 0 ? null : timers.schedule(refreshDelayMicros, this::sendInFlight);
    }

    private void recordOutcome(Attempt attempt, Outcome outcome) {
        Upstream upstream = endpoints.upstream(attempt.upstream());
        if (upstream == null) {
            return;
        }
        if (outcome == Outcome.OK) {
            failures.responseReceived(upstream);
            return;
        }
        long nowMicros = clock.nowMicros();
        boolean messageNeeded = outcome == Outcome.CONNECT_FAILED
                && failures.connectFailed(
                        nowMicros,
                        upstream,
                        attempt.isConnectionRefused(),
                        attempt.openedConnection() ? nowMicros - attempt.sentMicros() : 0);
        if (messageNeeded && !failureMessageDue) {
            failureMessageDue = true;
            timers.schedule(failures.delayMicros(nowMicros), this::sendFailures);
        }
    }

    private void sendFailures() {
        failureMessageDue = false;
        failures.nextMessage(clock.nowMicros()).ifPresent(message -> network.sendToPeer(ALL_PEERS, message));
    }

    private final class CombinedPeerLoad implements PeerLoad {
        @Override
        public int inFlight(long nowMicros, String upstreamId) {
            return inFlight == null ? 0 : inFlight.inFlight(nowMicros, upstreamId);
        }

        @Override
        public int subsetSize() {
            return inFlight == null ? Integer.MAX_VALUE : inFlight.subsetSize();
        }

        @Override
        public boolean isUnavailable() {
            return inFlight == null || inFlight.isUnavailable();
        }

        @Override
        public int subsetRank(String upstreamId) {
            return inFlight == null ? 0 : inFlight.subsetRank(upstreamId);
        }

        @Override
        public double trustFactor(long nowMicros, Upstream upstream) {
            return failures.trustFactor(nowMicros, upstream, endpoints.size());
        }
    }
}
