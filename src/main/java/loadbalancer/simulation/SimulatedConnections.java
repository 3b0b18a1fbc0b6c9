package loadbalancer.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Attempt;
import loadbalancer.core.Clock;
import loadbalancer.core.Timers;
import loadbalancer.membership.Endpoint;
import loadbalancer.simulation.SimulatedUpstream.Link;
import loadbalancer.simulation.SimulatedUpstream.Took;

/**
 * One sidecar's connections to its upstreams in virtual time, with messages in place of bytes: what {@code http1.Upstreams} is
 * on sockets. Dials cost, idle connections are kept and dropped, a node's restart breaks them, a cut leaves them half open.
 */
final class SimulatedConnections {
    /** As {@code http1.Upstreams} has it: dropped so much before the upstream may drop them. */
    private static final long IDLE_MARGIN_US = 2_000_000;

    private final SimulatedFleet world;
    private final SimulatedEngine owner;
    private final Timers timers;
    private final Clock clock;
    private final long idleUs;
    private final long dialUs;
    private final int most;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    /** Calls under way to upstreams that are listed no more. */
    private final LinkedHashSet<Call> gone = new LinkedHashSet<>();

    private int open;
    /** Attempts that are out: none when all is over. */
    private int out;

    long dials;
    int mostOpen;

    private static final class Target {
        final SimulatedUpstream node;
        final String address;
        final long startedUs;
        UpstreamState state;
        final ArrayDeque<Line> idle = new ArrayDeque<>(2);
        final LinkedHashSet<Call> busy = new LinkedHashSet<>(4);
        boolean sweeping;

        Target(SimulatedUpstream node, String address, long startedUs) {
            this.node = node;
            this.address = address;
            this.startedUs = startedUs;
        }
    }

    /** A connection, to one life of a node's process. */
    private static final class Line {
        final SimulatedUpstream node;
        final int life;
        long idleSinceUs;
        boolean open = true;

        Line(SimulatedUpstream node) {
            this.node = node;
            life = node.life();
        }
    }

    SimulatedConnections(
            SimulatedFleet world,
            SimulatedEngine owner,
            Timers timers,
            Clock clock,
            long connIdleUs,
            long dialUs,
            int most) {
        this.world = world;
        this.owner = owner;
        this.timers = timers;
        this.clock = clock;
        this.dialUs = dialUs;
        this.most = most;
        idleUs = Math.max(connIdleUs / 2, connIdleUs - IDLE_MARGIN_US);
    }

    void update(boolean whole, List<Endpoint> members) {
        Set<String> named = new HashSet<>();
        for (Endpoint m : members) {
            String id = m.upstream().id();
            named.add(id);
            Target t = targets.get(id);
            if (t == null
                    || !t.address.equals(m.address())
                    || t.startedUs != m.upstream().startedMicros()) {
                forget(t);
                t = new Target(world.at(m.address()), m.address(), m.upstream().startedMicros());
                targets.put(id, t);
            }
            t.state = m.upstream().state();
            if (!world.sendsTo(t.state)) {
                close(t);
            }
            if (t.state == UpstreamState.GONE) {
                targets.remove(id);
                gone.addAll(t.busy);
            }
        }
        if (whole) {
            targets.entrySet().removeIf(e -> {
                if (named.contains(e.getKey())) {
                    return false;
                }
                forget(e.getValue());
                return true;
            });
        }
    }

    private void forget(Target t) {
        if (t != null) {
            t.state = UpstreamState.GONE;
            close(t);
            gone.addAll(t.busy);
        }
    }

    void close(String upstream) {
        Target t = targets.get(upstream);
        if (t != null) {
            close(t);
        }
    }

    private void close(Target t) {
        for (Line l; (l = t.idle.poll()) != null; ) {
            close(l);
        }
    }

    private void close(Line l) {
        if (l != null && l.open) {
            l.open = false;
            open--;
            if (l.life == l.node.life()) {
                l.node.connections--;
            }
        }
    }

    /** Its process has ended, and with it all its connections. */
    void end() {
        for (Target t : targets.values()) {
            close(t);
            t.busy.forEach(c -> close(c.line));
        }
        gone.forEach(c -> close(c.line));
        targets.clear();
    }

    /** A node's connections were reset, or its process has died and says so. */
    void reset(SimulatedUpstream node) {
        for (Target t : targets.values()) {
            if (t.node == node) {
                close(t);
                new ArrayList<>(t.busy).forEach(Call::broke);
            }
        }
        for (Call c : new ArrayList<>(gone)) {
            if (c.line != null && c.line.node == node) {
                c.broke();
            }
        }
    }

    boolean anyReady() {
        return targets.values().stream().anyMatch(t -> t.state == UpstreamState.READY);
    }

    int open() {
        return open;
    }

    int out() {
        return out;
    }

    boolean knows(String upstream) {
        Target t = targets.get(upstream);
        return t != null && t.state == UpstreamState.READY;
    }

    Attempt attempt(SimulatedFleet.Try request, String upstream, long untilUs, Attempt.Listener result) {
        return new Call(request, upstream, untilUs, result);
    }

    void probe(String upstream, long untilUs, Attempt.Listener result) {
        new Call(null, upstream, untilUs, result).start();
    }

    /** One message to an upstream, until its outcome; {@code request} is null for a probe. */
    private final class Call implements Attempt {
        private final SimulatedFleet.Try request;
        private final String upstream;
        private final long untilUs;
        private final Listener result;
        private long sentUs;
        private long writtenUs;
        private boolean dialled;
        private boolean refused;
        private boolean ended;
        private Target target;
        private Line line;
        private Timers.Timer timeout;
        private long sendBeforeUs = Long.MAX_VALUE;

        Call(SimulatedFleet.Try request, String upstream, long untilUs, Listener result) {
            this.request = request;
            this.upstream = upstream;
            this.untilUs = untilUs;
            this.result = result;
        }

        @Override
        public void sendBefore(long us) {
            sendBeforeUs = us;
        }

        @Override
        public String upstream() {
            return upstream;
        }

        @Override
        public long sentMicros() {
            return sentUs;
        }

        @Override
        public boolean hasEnded() {
            return ended;
        }

        @Override
        public long writtenMicros() {
            return writtenUs;
        }

        @Override
        public boolean openedConnection() {
            return dialled;
        }

        @Override
        public boolean isConnectionRefused() {
            return refused;
        }

        @Override
        public void start() {
            sentUs = clock.nowMicros();
            out++;
            target = targets.get(upstream);
            if (target == null || !world.sendsTo(target.state)) {
                end(Outcome.NOT_SENT, null);
                return;
            }
            timeout = timers.schedule(untilUs - sentUs, this::timedOut);
            for (Line l; (l = target.idle.pollFirst()) != null; ) {
                if (clock.nowMicros() - l.idleSinceUs < idleUs && l.open) {
                    line = l;
                    write();
                    return;
                }
                SimulatedConnections.this.close(l);
            }
            dial();
        }

        private void dial() {
            if (open >= most && !dropOldestIdle()) {
                end(Outcome.NOT_SENT, null);
                return;
            }
            dialled = true;
            dials++;
            world.dials();
            SimulatedUpstream node = target.node;
            long one = world.oneWayUs(owner, node);
            if (node == null || node.link() == Link.DEAD) {
                // Its machine answers that nobody listens there.
                timers.schedule(2 * one, () -> {
                    refused = true;
                    world.dialRefused();
                    broke();
                });
            } else if (node.link() == Link.CUT || node.link() == Link.ANSWERS_LOST) {
                timers.schedule(dialUs, () -> {
                    world.dialRefused();
                    broke();
                });
            } else {
                // The machine's kernel accepts, also for a process that stands still.
                timers.schedule(3 * one, () -> {
                    if (ended || node.link() == Link.DEAD) {
                        world.dialRefused();
                        broke();
                    } else if (node.connections >= world.connectionsOf(node)) {
                        world.dialRefused();
                        end(Outcome.REJECTED, null);
                    } else if (!world.sendsTo(target.state)
                            || request != null && clock.nowMicros() >= Math.min(untilUs, sendBeforeUs)) {
                        end(Outcome.NOT_SENT, null);
                    } else {
                        line = new Line(node);
                        open++;
                        mostOpen = Math.max(mostOpen, open);
                        node.connections++;
                        node.mostConnections = Math.max(node.mostConnections, node.connections);
                        world.handshake(node);
                        write();
                    }
                });
            }
        }

        private void write() {
            writtenUs = clock.nowMicros();
            SimulatedUpstream node = line.node;
            target.busy.add(this);
            if (!line.open) {
                broke();
                return;
            }
            if (node.link() == Link.CUT) {
                return;
            }
            int of = line.life;
            world.time().schedule(world.oneWayUs(owner, node), () -> arrived(node, of));
        }

        /** Also what has been given up meanwhile: the bytes were on their way. */
        private void arrived(SimulatedUpstream node, int of) {
            if (node.link() == Link.CUT) {
                return;
            }
            if (node.link() == Link.DEAD || node.life() != of) {
                // Half open: the machine knows nothing of this connection.
                timers.schedule(world.oneWayUs(owner, node), this::broke);
                return;
            }
            if (request == null) {
                world.probed(node);
                long awake = node.awakeAtUs() - world.time().now();
                timers.schedule(awake + world.oneWayUs(owner, node), () -> answered(node, Took.SERVED));
                return;
            }
            world.attempted(owner, node, request, sentUs);
            node.take(request.id(), request.workMs(), request.meanMs(), world.dropsAfterUs(untilUs), took -> {
                if (node.link() == Link.UP || took == Took.DIED && node.link() == Link.DEAD) {
                    timers.schedule(world.oneWayUs(owner, node), () -> answered(node, took));
                }
            });
        }

        private void answered(SimulatedUpstream node, Took took) {
            if (node.link() == Link.CUT || node.link() == Link.ANSWERS_LOST) {
                return;
            }
            switch (took) {
                case SERVED -> end(Outcome.OK, node.report());
                case ERROR -> end(Outcome.ERROR, node.report());
                case TURNED_AWAY -> end(Outcome.REJECTED, node.report());
                case DIED -> broke();
                default -> throw new IllegalStateException();
            }
        }

        private void timedOut() {
            if (!ended) {
                dropLine();
                end(writtenUs > 0 ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, null);
            }
        }

        private void broke() {
            if (!ended) {
                dropLine();
                end(writtenUs > 0 ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
            }
        }

        private void dropLine() {
            if (line != null) {
                SimulatedConnections.this.close(line);
                line = null;
            }
        }

        @Override
        public void drop() {
            out++;
            end(Outcome.NOT_SENT, null);
        }

        @Override
        public void cancelIfUnsent() {
            if (line == null) {
                end(Outcome.NOT_SENT, null);
            }
        }

        @Override
        public void cancel() {
            if (!ended) {
                dropLine();
                end(Outcome.CANCELLED, null);
            }
        }

        private void end(Outcome outcome, LoadReport report) {
            if (ended) {
                return;
            }
            ended = true;
            out--;
            if (timeout != null) {
                timeout.cancel();
            }
            if (line != null) {
                release();
            }
            if (target != null) {
                target.busy.remove(this);
                gone.remove(this);
            }
            ByteBuf body = outcome == Outcome.OK ? Unpooled.EMPTY_BUFFER : null;
            world.ended(owner, upstream, request, outcome);
            result.onEnd(this, outcome, report, body);
        }

        private void release() {
            if (world.sendsTo(target.state) && line.open) {
                line.idleSinceUs = clock.nowMicros();
                target.idle.addFirst(line);
                sweep(target);
            } else {
                SimulatedConnections.this.close(line);
            }
            line = null;
        }
    }

    /** One timer for each upstream with idle connections, for the oldest of them. */
    private void sweep(Target t) {
        if (t.sweeping || t.idle.isEmpty()) {
            return;
        }
        t.sweeping = true;
        timers.schedule(t.idle.peekLast().idleSinceUs + idleUs - clock.nowMicros(), () -> {
            t.sweeping = false;
            while (!t.idle.isEmpty() && clock.nowMicros() - t.idle.peekLast().idleSinceUs >= idleUs) {
                close(t.idle.pollLast());
            }
            sweep(t);
        });
    }

    private boolean dropOldestIdle() {
        Target oldest = null;
        for (Target t : targets.values()) {
            if (!t.idle.isEmpty()
                    && (oldest == null || t.idle.peekLast().idleSinceUs < oldest.idle.peekLast().idleSinceUs)) {
                oldest = t;
            }
        }
        if (oldest != null) {
            close(oldest.idle.pollLast());
        }
        return oldest != null;
    }
}
