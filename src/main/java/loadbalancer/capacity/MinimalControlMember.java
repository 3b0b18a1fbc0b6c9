package loadbalancer.capacity;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.control.ControlClient;
import loadbalancer.control.ControlReplica;
import loadbalancer.control.RendezvousOrder;
import loadbalancer.core.Clock;

/** One control replica, or the control part of one sidecar, on a socket of its own. Runs on the host's event loop. */
final class MinimalControlMember {
    private static final long MIN_TICK_INTERVAL_MICROS = 1_000;

    private final int number;
    private final ControlFleet fleet;
    private final EventLoop loop;
    private final Clock clock;
    private final DatagramEndpoint socket;
    private final AdoptionLog adoptions;
    private final List<Integer> scopes;
    /** The version that was adopted last, by scope. */
    private final Map<Integer, Long> versions = new HashMap<>();

    private ControlReplica replica;
    private ControlClient client;
    private boolean silent;
    /** Incremented by each start; ticks of an earlier incarnation are dropped. 0 before the first start. */
    private int incarnation;

    MinimalControlMember(
            int number,
            ControlFleet fleet,
            EventLoop loop,
            Clock clock,
            MemberDirectory directory,
            TrafficCounters traffic,
            AdoptionLog adoptions) {
        this.number = number;
        this.fleet = fleet;
        this.loop = loop;
        this.clock = clock;
        socket = new DatagramEndpoint(directory, traffic, this::receive);
        this.adoptions = adoptions;
        scopes = fleet.scopesOf(number);
    }

    /**
     * Opens the socket and returns its port; nothing is sent before {@link #start}. Must not be called on the event
     * loop.
     */
    int open() throws InterruptedException {
        return socket.open(loop);
    }

    /** Starts a replica or client without memory, as a new process has none. */
    void start() {
        incarnation++;
        silent = false;
        versions.clear();
        long seed = number * 1_000_003L + incarnation;
        if (number < fleet.replicas()) {
            replica = new ControlReplica(fleet.group(), number, seed, clock.nowMicros(), content -> null);
        } else {
            int[] order = RendezvousOrder.forSidecar(number, fleet.replicas());
            client = new ControlClient(fleet.group(), scopes, order, seed, clock.nowMicros(), content -> null);
        }
        tick(incarnation);
    }

    /** Sends nothing and ignores all datagrams until the next {@link #start}, as a lost machine does. */
    void silence() {
        silent = true;
    }

    /** Whether this member has a valid lease on each of its scopes. */
    boolean isReady() {
        if (replica != null) {
            return replica.isReady(clock.nowMicros());
        }
        return client != null
                && !silent
                && scopes.stream().allMatch(scope -> client.activeStage(scope, clock.nowMicros())
                        .leaseValid());
    }

    /** Proposes a content; returns why it is rejected, or null if it is not. */
    String propose(int scope, byte[] content) {
        return replica.propose(scope, content, clock.nowMicros(), socket::send).orElse(null);
    }

    private void tick(int ofIncarnation) {
        if (silent || ofIncarnation != incarnation) {
            return;
        }
        if (replica != null) {
            replica.tick(clock.nowMicros(), socket::send);
        } else {
            client.tick(clock.nowMicros(), socket::send);
        }
        recordAdoptions();
        long nextTickMicros = replica != null ? replica.nextTickMicros() : client.nextTickMicros();
        long delayMicros = Math.max(MIN_TICK_INTERVAL_MICROS, nextTickMicros - clock.nowMicros());
        loop.schedule(() -> tick(ofIncarnation), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void recordAdoptions() {
        if (client == null) {
            return;
        }
        for (int scope : scopes) {
            ActiveStage active = client.activeStage(scope, clock.nowMicros());
            boolean settled = active.leaseValid() && !active.isJoint();
            if (settled && versions.getOrDefault(scope, 0L) != active.newVersion()) {
                versions.put(scope, active.newVersion());
                adoptions.recordAdoption(active.newVersion(), clock.nowMicros());
            }
        }
    }

    private void receive(int from, byte[] datagram) {
        if (silent || incarnation == 0) {
            return;
        }
        if (replica != null) {
            replica.receive(clock.nowMicros(), from, datagram, socket::send);
        } else {
            client.receive(clock.nowMicros(), from, datagram, socket::send);
            recordAdoptions();
        }
    }
}
