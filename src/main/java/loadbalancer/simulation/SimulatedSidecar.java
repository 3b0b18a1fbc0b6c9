package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.simulation.SimulatedUpstream.Link;
import loadbalancer.simulation.SimulatedUpstream.Took;

/**
 * One sidecar in virtual time: the real module, with or without zones beside it, and in place of sockets and timers the world's.
 * It keeps the core's promises: one final answer, attempts that end once, and the last word at the deadline.
 */
final class SimulatedSidecar implements Balancer.Actions {
    /** What a client is told. */
    interface Answer {
        void is(String end);
    }

    private static final long WIRE_US = 300, PROBE_US = 50_000, DIAL_US = 250_000, OVERDUE_US = 2_000;

    private static final class Exchange {
        final Request request;
        final long deadlineUs;
        final Answer answer;
        final List<Boolean> ended = new ArrayList<>(1);
        boolean over;

        Exchange(Request request, long deadlineUs, Answer answer) {
            this.request = request;
            this.deadlineUs = deadlineUs;
            this.answer = answer;
        }
    }

    private final VirtualTimeline time;
    private final Map<String, SimulatedUpstream> nodes;
    private final int maxAttempts;
    private final List<String> log;
    private final Map<String, Exchange> open = new HashMap<>();
    private final ArrayList<Runnable> later = new ArrayList<>();
    private boolean inside;
    private Balancer module;
    private final String zone;
    /** Attempts that went to another zone than the sidecar's. */
    int crossed;

    int attempts;

    SimulatedSidecar(
            String zone,
            VirtualTimeline time,
            Map<String, SimulatedUpstream> nodes,
            int maxAttempts,
            List<String> log) {
        this.zone = zone;
        this.time = time;
        this.nodes = nodes;
        this.maxAttempts = maxAttempts;
        this.log = log;
    }

    void module(Balancer made) {
        module = made;
    }

    Balancer module() {
        return module;
    }

    /** Into the module; what it does is done when it has returned, as {@code core.Decisions} has it. */
    private void call(Runnable call) {
        if (inside) {
            later.add(() -> call(call));
            return;
        }
        inside = true;
        call.run();
        inside = false;
        while (!later.isEmpty()) {
            later.remove(0).run();
        }
    }

    void list(Balancer.EndpointListKind kind, List<Upstream> entries) {
        call(() -> module.onEndpointList(time.now(), kind, entries));
    }

    /** {@code remainingUs}: the client waits no longer. */
    void take(Request request, Answer answer) {
        Exchange x = new Exchange(request, time.now() + request.remainingMicros(), answer);
        open.put(request.id(), x);
        time.at(x.deadlineUs + OVERDUE_US, () -> {
            if (!x.over) {
                end(x, "failed");
                call(() -> module.onExpired(time.now(), request.id()));
            }
        });
        call(() -> module.onRequest(time.now(), request));
    }

    private void end(Exchange x, String how) {
        if (!x.over) {
            x.over = true;
            settle(x);
            x.answer.is(how);
        }
    }

    private void settle(Exchange x) {
        if (x.over && !x.ended.contains(false)) {
            open.remove(x.request.id());
        }
    }

    @Override
    public void send(String id, String upstream, long untilUs) {
        later.add(() -> sendNow(id, upstream, untilUs));
    }

    private void sendNow(String id, String upstream, long untilUs) {
        Exchange x = open.get(id);
        if (x == null) {
            return;
        }
        int number = x.ended.size();
        x.ended.add(false);
        long sent = time.now();
        attempts++;
        SimulatedUpstream n = nodes.get(upstream);
        crossed += n != null && !n.zone.equals(zone) ? 1 : 0;
        if (x.over || number >= maxAttempts || n == null) {
            ended(x, number, upstream, Outcome.NOT_SENT, sent, null);
            return;
        }
        time.at(Math.min(untilUs, x.deadlineUs), () -> ended(x, number, upstream, Outcome.TIMEOUT, sent, null));
        switch (n.link()) {
            case DEAD -> time.schedule(
                    2 * WIRE_US, () -> ended(x, number, upstream, Outcome.CONNECT_FAILED, sent, null));
            case CUT -> {
                // Half of them found a connection that is open and silent, the others none that comes up.
                if (number + x.request.id().hashCode() % 2 == 0) {
                    time.schedule(DIAL_US, () -> ended(x, number, upstream, Outcome.CONNECT_FAILED, sent, null));
                }
            }
            case UP, ANSWERS_LOST -> time.schedule(
                    WIRE_US,
                    () -> n.take(id, took -> {
                        if (n.link() != Link.UP && took != Took.DIED) {
                            return;
                        }
                        time.schedule(
                                WIRE_US,
                                () -> ended(
                                        x,
                                        number,
                                        upstream,
                                        took == Took.SERVED
                                                ? Outcome.OK
                                                : took == Took.TURNED_AWAY ? Outcome.REJECTED : Outcome.RESET,
                                        sent,
                                        n.report()));
                    }));
            default -> throw new IllegalStateException();
        }
    }

    private void ended(Exchange x, int number, String upstream, Outcome outcome, long sent, LoadReport report) {
        if (x.ended.get(number)) {
            return;
        }
        x.ended.set(number, true);
        if (outcome == Outcome.OK) {
            end(x, "served");
        }
        settle(x);
        call(() -> module.onOutcome(
                time.now(), x.request.id(), number, upstream, outcome, time.now() - sent, x.over, report));
    }

    @Override
    public void reject(String request, long retryAfterUs) {
        later.add(() -> end(request, "refused"));
    }

    @Override
    public void fail(String request) {
        later.add(() -> end(request, "failed"));
    }

    private void end(String id, String how) {
        if (open.containsKey(id)) {
            end(open.get(id), how);
        }
    }

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void checkHealth(String upstream) {
        later.add(() -> {
            SimulatedUpstream n = nodes.get(upstream);
            long sent = time.now();
            boolean answers = n != null && n.link() == Link.UP;
            boolean refused = n == null || n.link() == Link.DEAD;
            time.schedule(
                    answers || refused ? 2 * WIRE_US : PROBE_US,
                    () -> call(() -> module.onHealthCheck(
                            time.now(),
                            upstream,
                            answers ? Outcome.OK : refused ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT,
                            time.now() - sent,
                            answers ? n.report() : null)));
        });
    }

    @Override
    public void pollDiscovery() {}

    @Override
    public void gossip(int peer, byte[] message) {}

    @Override
    public void closeIdleConnections(String upstream) {}

    @Override
    public void startTimer(String mark, long delayUs) {
        later.add(() -> time.schedule(delayUs, () -> call(() -> module.onTimer(time.now(), mark))));
        if (!inside) {
            // From its constructor: nobody else would look.
            later.remove(later.size() - 1).run();
        }
    }

    @Override
    public void log(String text) {
        log.add(time.now() / 1000 + " " + text);
    }

    /** Requests that are held; none when all is over. */
    int held() {
        return open.size();
    }
}
