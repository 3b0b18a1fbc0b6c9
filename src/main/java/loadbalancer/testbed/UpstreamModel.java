package loadbalancer.testbed;

import java.util.ArrayDeque;

/**
 * What a node can do at a time, and how hard it is pushed. Pure; times in microseconds. Its capacity rises evenly from the
 * cold share to the full over the ramp. One that is cold falls over, and stays down, when all that reaches it within a
 * second is more than a multiple of what it could do in that second at its present capacity.
 */
public final class UpstreamModel {
    public static final double FALL_MULTIPLE = 3;
    public static final long FALL_US = 1_000_000;

    private record Push(long atUs, double workMs) {}

    private final UpstreamShape shape;
    /** When it started cold; 0 for one that is warm. */
    private final long coldSinceUs;

    private final ArrayDeque<Push> lately = new ArrayDeque<>();
    private double latelyMs;
    private boolean fallen;

    public UpstreamModel(UpstreamShape shape, long coldSinceUs) {
        this.shape = shape;
        this.coldSinceUs = coldSinceUs;
    }

    /** Part of its full capacity, from the cold share to 1. */
    public double warmth(long nowUs) {
        if (coldSinceUs == 0) {
            return 1;
        }
        double ramp = Math.max(0, nowUs - coldSinceUs) / (shape.rampMs() * 1000.0);
        return Math.min(1, shape.coldShare() + (1 - shape.coldShare()) * ramp);
    }

    /** Time that one request takes when it is begun now. */
    public long serviceUs(long nowUs) {
        return serviceUs(nowUs, shape.workMs());
    }

    /** The same of a request of other work, in milliseconds on a warm core. */
    public long serviceUs(long nowUs, double workMs) {
        return (long) (workMs * 1000 / warmth(nowUs));
    }

    /** A request has come, to be worked on or turned away: how many times its present capacity came in the last second. */
    public double push(long nowUs) {
        return push(nowUs, shape.workMs());
    }

    /** The same of a request of other work, in milliseconds on a warm core. */
    public double push(long nowUs, double workMs) {
        lately.addLast(new Push(nowUs, workMs));
        latelyMs += workMs;
        while (nowUs - lately.peekFirst().atUs >= FALL_US) {
            latelyMs -= lately.removeFirst().workMs;
        }
        double multiple = latelyMs * 1000 / (shape.cores() * warmth(nowUs) * FALL_US);
        if (warmth(nowUs) < 1 && multiple > FALL_MULTIPLE) {
            fallen = true;
        }
        return multiple;
    }

    public boolean fallen() {
        return fallen;
    }
}
