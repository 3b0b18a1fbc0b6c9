package loadbalancer.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.testbed.Referee;
import loadbalancer.testbed.UpstreamModel;
import loadbalancer.testbed.UpstreamShape;

/**
 * A booking node in virtual time: one queue, its cores, its load's word, stalls and neighbours, its cold start; judged by the
 * referee.
 */
public final class SimulatedUpstream {
    /** How the network, or its process, treats what is sent to it. */
    public enum Link {
        UP,
        /** Nothing comes through, in either direction, and nobody says so. */
        CUT,
        /** What is sent arrives and runs; its answers are lost. */
        ANSWERS_LOST,
        /** Its process is dead: connections are refused, what it held is gone. */
        DEAD
    }

    /** How it took a request. */
    enum Took {
        SERVED,
        ERROR,
        TURNED_AWAY,
        DIED
    }

    private static final class Job {
        final String id;
        final double workMs;
        final Consumer<Took> end;
        /** Nobody waits for it afterwards. */
        final long untilUs;
        /** Of the node's stalls, how much its end has been put off by. */
        long stallSeenUs;

        Job(String id, double workMs, long untilUs, Consumer<Took> end) {
            this.id = id;
            this.workMs = workMs;
            this.untilUs = untilUs;
            this.end = end;
        }
    }

    final String id;
    final String zone;
    /** The machine's kind, as it is listed. */
    final String kind;

    private final VirtualTimeline time;
    private final Referee referee;
    private final UpstreamShape shape;
    private final double speed;
    private final long reportEveryUs;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final LinkedHashSet<Job> working = new LinkedHashSet<>();
    private UpstreamModel model;
    private long startedUs;
    private int life;
    private Link link = Link.UP;
    private final List<Double> coldPushes = new ArrayList<>();
    private final Consumer<SimulatedUpstream> arrivals;
    /** What is left of its speed beside a neighbour. */
    private double neighbour = 1;
    /** Part of the answers that are errors, by turn. */
    private double errors;

    private double errorsDue;
    private long stallFromUs;
    private long stallUntilUs;
    private long stalledUs;
    private LoadReport report;
    private long reportedAtUs = Long.MIN_VALUE / 2;
    /** Connections that it holds, most of them at any time, and how many it has taken. */
    int connections;

    int mostConnections;
    long taken;
    /** Work of warm cores that it has done, milliseconds. */
    double workedMs;
    /** Time that its cores have been at work, all together, until when; and how it stood at the last look. */
    private long busyUs;

    private long busyAtUs;
    private long lookedBusyUs;
    private long lookedTaken;

    SimulatedUpstream(
            VirtualTimeline time,
            Referee referee,
            UpstreamShape shape,
            String id,
            String zone,
            Consumer<SimulatedUpstream> arrivals) {
        this(time, referee, shape, id, zone, "std", 1, 0, 0, arrivals);
    }

    /** @param startedUs when it starts, cold; 0 where it has been warm for long */
    SimulatedUpstream(
            VirtualTimeline time,
            Referee referee,
            UpstreamShape shape,
            String id,
            String zone,
            String kind,
            double speed,
            long reportEveryUs,
            long startedUs,
            Consumer<SimulatedUpstream> arrivals) {
        this.arrivals = arrivals;
        this.time = time;
        this.referee = referee;
        this.shape = shape;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.speed = speed;
        this.reportEveryUs = reportEveryUs;
        this.startedUs = startedUs;
        model = new UpstreamModel(shape, startedUs);
    }

    Link link() {
        return link;
    }

    void be(Link how) {
        if (how == Link.DEAD) {
            List<Job> held = new ArrayList<>(working);
            held.addAll(waiting);
            life++;
            waiting.clear();
            count();
            working.clear();
            connections = 0;
            // Their connections break, where the network lets anybody hear of it.
            held.forEach(j -> j.end.accept(Took.DIED));
        } else if (link == Link.DEAD) {
            startedUs = time.now();
            stallUntilUs = Math.min(stallUntilUs, time.now());
            model = new UpstreamModel(shape, startedUs);
        }
        link = how;
    }

    /** Which of its processes this is. */
    int life() {
        return life;
    }

    /** 0 where it has started before the world did. */
    long startedUs() {
        return startedUs;
    }

    void neighbour(double left) {
        neighbour = left;
    }

    void errors(double part) {
        errors = part;
    }

    /** It stands still for so long from now on. */
    void stall(long us) {
        long now = time.now();
        if (now >= stallUntilUs) {
            stalledUs += stallUntilUs - stallFromUs;
            stallFromUs = now;
            stallUntilUs = now + us;
        } else {
            stallUntilUs = Math.max(stallUntilUs, now + us);
        }
    }

    boolean stalled() {
        return time.now() < stallUntilUs;
    }

    /** It stands still, errs or has lost some of its speed. */
    boolean ails() {
        return stalled() || errors > 0 || neighbour < 1;
    }

    /** Whether what comes now is begun at once. */
    boolean hasCoreFree() {
        return working.size() + waiting.size() < shape.cores();
    }

    boolean warm() {
        return model.warmth(time.now()) >= 1;
    }

    /** When it next does anything. */
    long awakeAtUs() {
        return Math.max(time.now(), stallUntilUs);
    }

    /** Of all its stalls, the one that it is in to its end. */
    private long stalledInAll() {
        return stalledUs + stallUntilUs - stallFromUs;
    }

    /** A request has come whole. {@code end} is told once. */
    void take(String request, Consumer<Took> end) {
        take(request, shape.workMs(), shape.workMs(), Long.MAX_VALUE, end);
    }

    /**
     * @param workMs on a warm core of speed 1
     * @param meanMs what such requests take on the average, which is what counts for how hard a cold node is pushed: nobody can
     *               know that one request costs ten times as much, and one alone is the least that can be sent
     * @param untilUs what has not begun by then is dropped and never runs; nodes that do not look at it are given the end of time
     */
    void take(String request, double workMs, double meanMs, long untilUs, Consumer<Took> end) {
        long now = time.now();
        taken++;
        double ownMs = workMs / speed;
        double multiple = model.push(now, meanMs / speed);
        arrivals.accept(this);
        boolean cold = model.warmth(now) < 1;
        if (cold) {
            referee.pushed(now, id, multiple);
            coldPushes.add(multiple);
        }
        if (model.fallen()) {
            end.accept(Took.DIED);
            be(Link.DEAD);
            return;
        }
        Job job = new Job(request, ownMs, untilUs, end);
        if (stalled()) {
            int of = life;
            time.at(stallUntilUs, () -> {
                if (of == life) {
                    join(job);
                } else {
                    end.accept(Took.DIED);
                }
            });
        } else {
            join(job);
        }
    }

    private void join(Job job) {
        if (waiting.size() >= shape.waiting()) {
            job.end.accept(Took.TURNED_AWAY);
        } else {
            waiting.add(job);
            begin();
        }
    }

    private void begin() {
        while (working.size() < shape.cores() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            long now = time.now();
            if (now > job.untilUs) {
                job.end.accept(Took.TURNED_AWAY);
                continue;
            }
            count();
            working.add(job);
            referee.ran(now, id, zone, job.id);
            job.stallSeenUs = stalledInAll();
            int of = life;
            time.schedule((long) (model.serviceUs(now, job.workMs) / neighbour), () -> due(job, of));
        }
    }

    private void due(Job job, int of) {
        if (of != life) {
            return;
        }
        long off = stalledInAll() - job.stallSeenUs;
        if (off > 0) {
            job.stallSeenUs += off;
            time.schedule(off, () -> due(job, of));
            return;
        }
        count();
        working.remove(job);
        workedMs += job.workMs * speed;
        errorsDue += errors;
        boolean error = errorsDue >= 1;
        errorsDue -= error ? 1 : 0;
        job.end.accept(error ? Took.ERROR : Took.SERVED);
        begin();
    }

    /** So much of its cores' time is taken by something else than requests, at once. */
    void work(double ms) {
        workedMs += ms;
    }

    private void count() {
        busyUs += working.size() * (time.now() - busyAtUs);
        busyAtUs = time.now();
    }

    /** Since the last look: the time that its cores were at work, all together, and the requests that came. */
    record Lately(long busyUs, long taken) {}

    Lately lately() {
        count();
        Lately l = new Lately(busyUs - lookedBusyUs, taken - lookedTaken);
        lookedBusyUs = busyUs;
        lookedTaken = taken;
        return l;
    }

    LoadReport report() {
        long now = time.now();
        if (now - reportedAtUs >= reportEveryUs) {
            reportedAtUs = now;
            report = new LoadReport(
                    working.size() + waiting.size(), waiting.size(), (double) working.size() / shape.cores());
        }
        return report;
    }

    double speed() {
        return speed;
    }

    /** What came in the second before each of its requests while cold, over what it could do then. */
    List<Double> coldPushes() {
        return coldPushes;
    }
}
