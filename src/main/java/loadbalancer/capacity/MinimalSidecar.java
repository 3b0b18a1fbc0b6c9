package loadbalancer.capacity;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.consensus.ConsensusGroup;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.core.Clock;
import loadbalancer.gossip.InFlightGossip;

/**
 * The control part of one sidecar, on a socket of its own: votes, holds a lease, adopts configuration changes and ticks
 * as often as a real sidecar, but has no data path. Runs on the host's event loop.
 */
final class MinimalSidecar {
    /** The same bounds as in {@code sidecar.AgreedConfiguration}. */
    private static final long MAX_TICK_INTERVAL_MICROS = 50_000, MIN_TICK_INTERVAL_MICROS = 1_000;

    private final int number;
    private final ScaleFleet fleet;
    private final EventLoop loop;
    private final Clock clock;
    private final MemberDirectory directory;
    private final DatagramEndpoint socket;
    private final AdoptionLog adoptions;
    /** Null before {@link #startRequests}. */
    private GossipLoad load;

    private ConsensusNode consensus;
    private long incarnation;
    private boolean silent;
    /** Null while no tick is scheduled. */
    private ScheduledFuture<?> nextTick;

    /** The version that was adopted last; 0 for none. */
    private long version;

    MinimalSidecar(
            int number,
            ScaleFleet fleet,
            EventLoop loop,
            Clock clock,
            MemberDirectory directory,
            TrafficCounters traffic,
            AdoptionLog adoptions) {
        this.number = number;
        this.fleet = fleet;
        this.loop = loop;
        this.clock = clock;
        this.directory = directory;
        socket = new DatagramEndpoint(directory, traffic, this::receive);
        this.adoptions = adoptions;
    }

    /**
     * Opens the socket and returns its port; nothing is sent before {@link #start}. Must not be called on the event
     * loop.
     */
    int open() throws InterruptedException {
        return socket.open(loop);
    }

    /** Starts a consensus node without memory, as a new process has none. */
    void start() {
        incarnation++;
        silent = false;
        version = 0;
        consensus = new ConsensusNode(
                ConsensusGroup.withoutSubscribers(
                        fleet.name().hashCode(), fleet.voters(), fleet.members(), fleet.leaseMicros()),
                number,
                fleet.seed() + number * 1_000_003L + incarnation,
                clock.nowMicros(),
                content -> null);
        tick();
    }

    /**
     * Pauses the consensus and drops all received datagrams, as a stopped process with open sockets does, or resumes.
     */
    void setSilent(boolean newSilent) {
        silent = newSilent;
        if (!newSilent) {
            tick();
        }
    }

    /** Generates requests from now on, at this average rate, and gossips those in flight. */
    void startRequests(double requestsPerSecond) {
        load = new GossipLoad(number, fleet.members(), loop, clock, fleet.seed() + number, (to, message) -> {
            if (to != number) {
                socket.send(to, message);
            }
        });
        load.start(requestsPerSecond);
    }

    /** Number of requests started here. */
    long requests() {
        return load == null ? 0 : load.requests();
    }

    /** Proposes a content; returns why it is rejected, or null if it is not. */
    String propose(byte[] content) {
        String rejection =
                consensus.propose(clock.nowMicros(), content, socket::send).orElse(null);
        recordAdoptionAndScheduleTick();
        return rejection;
    }

    /** Whether this member knows the active configuration and has a valid lease on it. */
    boolean isReady() {
        return consensus != null
                && !silent
                && consensus.hasLearnedStage()
                && consensus.activeStage(clock.nowMicros()).leaseValid();
    }

    private void tick() {
        if (nextTick != null) {
            nextTick.cancel(false);
            nextTick = null;
        }
        if (silent) {
            return;
        }
        consensus.tick(clock.nowMicros(), socket::send);
        recordAdoptionAndScheduleTick();
    }

    /** Records a newly adopted version, and schedules the next tick if none is scheduled. */
    private void recordAdoptionAndScheduleTick() {
        ActiveStage active = consensus.activeStage(clock.nowMicros());
        if (active.leaseValid() && !active.isJoint() && active.newVersion() != version) {
            version = active.newVersion();
            adoptions.recordAdoption(version, clock.nowMicros());
        }
        if (nextTick == null) {
            long delayMicros = Math.max(
                    MIN_TICK_INTERVAL_MICROS,
                    Math.min(MAX_TICK_INTERVAL_MICROS, consensus.nextTickMicros() - clock.nowMicros()));
            nextTick = loop.schedule(this::tick, delayMicros, TimeUnit.MICROSECONDS);
        }
    }

    private void receive(int from, byte[] message) {
        if (silent || consensus == null || !directory.isDelivered(from, number)) {
            return;
        }
        if (InFlightGossip.isMessage(message)) {
            if (load != null) {
                load.receive(from, message);
            }
            return;
        }
        consensus.receive(clock.nowMicros(), from, message, socket::send);
        recordAdoptionAndScheduleTick();
    }
}
