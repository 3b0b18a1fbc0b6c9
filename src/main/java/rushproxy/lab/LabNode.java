package rushproxy.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rushproxy.Balancer.LoadReport;
import rushproxy.standin.NodeModel;
import rushproxy.standin.Referee;
import rushproxy.standin.Shape;

/** A booking node in virtual time: one queue, its cores, its load's word, its cold start; judged by the referee. */
public final class LabNode {
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
    enum Took { SERVED, TURNED_AWAY, DIED }

    private record Job(String id, Consumer<Took> end) {}

    final String id;
    final String zone;
    private final Timeline time;
    private final Referee referee;
    private final Shape shape;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private NodeModel model;
    private long startedUs;
    private int working;
    private int life;
    private Link link = Link.UP;
    private final List<Double> coldPushes = new ArrayList<>();
    private final Consumer<LabNode> arrivals;

    LabNode(Timeline time, Referee referee, Shape shape, String id, String zone, Consumer<LabNode> arrivals) {
        this.arrivals = arrivals;
        this.time = time;
        this.referee = referee;
        this.shape = shape;
        this.id = id;
        this.zone = zone;
        model = new NodeModel(shape, 0);
    }

    Link link() {
        return link;
    }

    void be(Link how) {
        if (how == Link.DEAD) {
            life++;
            waiting.clear();
            working = 0;
        } else if (link == Link.DEAD) {
            startedUs = time.now();
            model = new NodeModel(shape, startedUs);
        }
        link = how;
    }

    /** 0 where it has started before the world did. */
    long startedUs() {
        return startedUs;
    }

    /** A request has come whole. {@code end} is told once, or never where the process dies. */
    void take(String request, Consumer<Took> end) {
        long now = time.now();
        double multiple = model.push(now);
        arrivals.accept(this);
        boolean cold = model.warmth(now) < 1;
        if (cold) {
            referee.pushed(now, id, multiple);
            coldPushes.add(multiple);
        }
        if (model.fallen()) {
            be(Link.DEAD);
            end.accept(Took.DIED);
        } else if (waiting.size() >= shape.waiting()) {
            end.accept(Took.TURNED_AWAY);
        } else {
            waiting.add(new Job(request, end));
            begin();
        }
    }

    private void begin() {
        while (working < shape.cores() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            working++;
            referee.ran(time.now(), id, zone, job.id);
            int of = life;
            time.in(model.serviceUs(time.now()), () -> {
                if (of == life) {
                    working--;
                    job.end.accept(Took.SERVED);
                    begin();
                }
            });
        }
    }

    LoadReport report() {
        return new LoadReport(working + waiting.size(), waiting.size(), (double) working / shape.cores());
    }

    /** What came in the second before each of its requests while cold, over what it could do then. */
    List<Double> coldPushes() {
        return coldPushes;
    }
}
