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
 * The control part of one sidecar on a socket of its own: it votes, holds a lease and takes changes of configuration as a real one does,
 * looks at the clock as often, and has no data path. All on the host's event loop.
 */
final class MinimalSidecar {
    /** As {@code sidecar.Policies} looks at the clock. */
    private static final long MOST_LOOK_US = 50_000, LEAST_LOOK_US = 1_000;

    private final int number;
    private final ScaleFleet fleet;
    private final EventLoop loop;
    private final Clock clock;
    private final MemberDirectory directory;
    private final DatagramEndpoint socket;
    private final SettledLog settled;
    /** Null before it is given any load. */
    private GossipLoad load;

    private ConsensusNode consensus;
    private long lives;
    private boolean silent;
    /** The next look at the clock; null while none is due. */
    private ScheduledFuture<?> nextLook;

    private long version;

    MinimalSidecar(
            int number,
            ScaleFleet fleet,
            EventLoop loop,
            Clock clock,
            MemberDirectory directory,
            TrafficCounters traffic,
            SettledLog settled) {
        this.number = number;
        this.fleet = fleet;
        this.loop = loop;
        this.clock = clock;
        this.directory = directory;
        socket = new DatagramEndpoint(directory, traffic, this::received);
        this.settled = settled;
    }

    /** Opens its socket; it says nothing before {@link #start}. Not to be called on the loop. */
    int open() throws InterruptedException {
        return socket.open(loop);
    }

    /** A new process: it remembers nothing. */
    void start() {
        lives++;
        silent = false;
        version = 0;
        consensus = new ConsensusNode(
                ConsensusGroup.withoutSubscribers(
                        fleet.name().hashCode(), fleet.voters(), fleet.members(), fleet.leaseUs()),
                number,
                fleet.seed() + number * 1_000_003L + lives,
                clock.nowMicros(),
                content -> null);
        look();
    }

    /** It neither hears nor says anything, as a process that stands still; its sockets stay open. */
    void silence(boolean now) {
        silent = now;
        if (!now) {
            look();
        }
    }

    /** Requests of its own begin, so many a second on the average, and it tells the others what it holds. */
    void load(double perSecond) {
        load = new GossipLoad(number, fleet.members(), loop, clock, fleet.seed() + number, (to, message) -> {
            if (to != number) {
                socket.send(to, message);
            }
        });
        load.start(perSecond);
    }

    /** Requests that have begun here. */
    long requests() {
        return load == null ? 0 : load.requests();
    }

    /** Why it can't be proposed; null where it is on its way. */
    String propose(byte[] content) {
        String refusal =
                consensus.propose(clock.nowMicros(), content, socket::send).orElse(null);
        observe();
        return refusal;
    }

    /** Whether it has heard what is in force, and is sure that it still is. */
    boolean sure() {
        return consensus != null
                && !silent
                && consensus.hasLearnedStage()
                && consensus.activeStage(clock.nowMicros()).leaseValid();
    }

    private void look() {
        if (nextLook != null) {
            nextLook.cancel(false);
            nextLook = null;
        }
        if (silent) {
            return;
        }
        consensus.tick(clock.nowMicros(), socket::send);
        observe();
    }

    private void observe() {
        ActiveStage inForce = consensus.activeStage(clock.nowMicros());
        if (inForce.leaseValid() && !inForce.isJoint() && inForce.newVersion() != version) {
            version = inForce.newVersion();
            settled.settled(version, clock.nowMicros());
        }
        if (nextLook == null) {
            long delayUs =
                    Math.max(LEAST_LOOK_US, Math.min(MOST_LOOK_US, consensus.nextTickMicros() - clock.nowMicros()));
            nextLook = loop.schedule(this::look, delayUs, TimeUnit.MICROSECONDS);
        }
    }

    private void received(int from, byte[] message) {
        if (silent || consensus == null || !directory.passes(from, number)) {
            return;
        }
        if (InFlightGossip.isMessage(message)) {
            if (load != null) {
                load.heard(from, message);
            }
            return;
        }
        consensus.receive(clock.nowMicros(), from, message, socket::send);
        observe();
    }
}
