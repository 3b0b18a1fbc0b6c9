package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.Idempotency;

/**
 * Says which of the four rules broke, and with which request. It is pure: told what was sent, received and told, with the
 * time of each (microseconds of one clock), it keeps what it needs to judge and no more. Not thread-safe.
 *
 * <p>A <em>try</em> is what one client sent under one id; an <em>intent</em> is what its user wanted, which stays the same
 * over the client's own retry.
 */
public final class Referee {
    /** How a try ended for its client. */
    public enum Ending {
        SERVED,
        REFUSED,
        FAILED
    }

    /** The rules, in the order of the brief. */
    public enum Rule {
        ONE_ANSWER,
        NO_SECOND_EFFECT,
        DRAINS_KEPT,
        COLD_SPARED
    }

    /** One break of a rule. */
    public record Foul(Rule rule, long atUs, String what) {
        @Override
        public String toString() {
            return rule + " at " + atUs / 1000 % 1_000_000 + " ms: " + what;
        }
    }

    /** Rules are judged with this much more than their limit: sockets and timers of the stage are late too. */
    private static final long SLACK_US = 50_000;
    /** An answer may be late by so much: the stage shares its core with all it judges. */
    private long lateUs = SLACK_US;

    private static final int MOST_FOULS = 100;

    private static final class Try {
        final String intent;
        final Idempotency semantics;
        final long sentUs;
        final long untilUs;
        Ending ending;
        boolean left;
        int ran;

        Try(String intent, Idempotency semantics, long sentUs, long untilUs) {
            this.intent = intent;
            this.semantics = semantics;
            this.sentUs = sentUs;
            this.untilUs = untilUs;
        }
    }

    private record Effect(String group, long atUs) {}

    private final long graceUs;
    private final double fallMultiple;
    private final long memoryUs;
    private final Map<String, Try> tries = new LinkedHashMap<>();
    /** Effects of intents that may not take place twice. */
    private final Map<String, List<Effect>> effects = new HashMap<>();
    /** When a sidecar was told that a node takes nothing new: by sidecar and node. */
    private final Map<String, Long> toldUs = new HashMap<>();

    private final Map<String, Double> coldPeak = new HashMap<>();
    private final List<Foul> fouls = new ArrayList<>();
    private int fouled;

    /**
     * @param graceUs      after being told, how long new work may still reach a node that drains or is gone
     * @param fallMultiple of its present capacity a cold node takes, over a second
     * @param memoryUs     for how long the nodes of one group drop repeats of a key
     */
    public Referee(long graceUs, double fallMultiple, long memoryUs) {
        this.graceUs = graceUs;
        this.fallMultiple = fallMultiple;
        this.memoryUs = memoryUs;
    }

    /** A client's last byte is written to a sidecar that took its connection; it waits until {@code untilUs}. */
    public void sent(long atUs, String id, String intent, Idempotency semantics, long untilUs) {
        if (tries.putIfAbsent(id, new Try(intent, semantics, atUs, untilUs)) != null) {
            throw new IllegalArgumentException("the stage used the id " + id + " twice");
        }
    }

    /** Clients that wait so many times as long are patient with a late answer too; all other rules stay as they are. */
    void patience(int times) {
        lateUs = SLACK_US * times;
    }

    /** {@code madeForIt} is false where a served body was not made by a node for this very try. */
    public void answered(long atUs, String id, Ending ending, boolean madeForIt) {
        Try t = tries.get(id);
        if (t == null) {
            foul(Rule.ONE_ANSWER, atUs, "an answer to " + id + ", which nobody sent");
            return;
        }
        if (t.ending != null) {
            foul(Rule.ONE_ANSWER, atUs, "a second answer to " + id + ", after " + t.ending);
            return;
        }
        t.ending = ending;
        if (atUs > t.untilUs + lateUs) {
            foul(
                    Rule.ONE_ANSWER,
                    atUs,
                    "the answer to " + id + " came " + (atUs - t.untilUs) / 1000 + " ms after its time");
        }
        if (ending == Ending.SERVED && !madeForIt) {
            foul(Rule.ONE_ANSWER, atUs, id + " was served what no node made for it");
        }
        if (ending == Ending.REFUSED && t.semantics != Idempotency.IDEMPOTENT && t.ran > 0) {
            foul(Rule.NO_SECOND_EFFECT, atUs, id + " was refused though it ran");
        }
    }

    /** The client's sidecar was killed, or its connection never taken: no answer is owed. */
    public void released(String id) {
        tries.remove(id);
    }

    /** Its client has gone: no answer is owed, and what it may not do twice it may not do twice all the same. */
    public void left(String id) {
        Try t = tries.get(id);
        if (t != null) {
            t.left = true;
        }
    }

    /** A sidecar's attempt came whole to a node, whatever the node made of it. */
    public void attempted(long atUs, String sidecar, String node, String id) {
        Long told = toldUs.get(sidecar + " " + node);
        if (told != null && atUs > told + graceUs + SLACK_US) {
            foul(
                    Rule.DRAINS_KEPT,
                    atUs,
                    sidecar + " sent " + id + " to " + node + " " + (atUs - told) / 1000 + " ms after it was told");
        }
    }

    /**
     * A node began to work on it. Repeats of a keyed intent within one group and the time it remembers are dropped there,
     * and have no second effect.
     */
    public void ran(long atUs, String node, String group, String id) {
        Try t = tries.get(id);
        if (t == null) {
            return;
        }
        t.ran++;
        if (t.semantics == Idempotency.IDEMPOTENT) {
            return;
        }
        if (t.ending == Ending.REFUSED) {
            foul(Rule.NO_SECOND_EFFECT, atUs, id + " ran on " + node + " after it was refused");
        }
        List<Effect> before = effects.computeIfAbsent(t.intent, i -> new ArrayList<>(1));
        boolean dropped = t.semantics == Idempotency.WITH_KEY
                && before.stream().anyMatch(e -> e.group.equals(group) && atUs - e.atUs < memoryUs);
        if (!dropped) {
            before.add(new Effect(group, atUs));
            if (before.size() > 1) {
                foul(
                        Rule.NO_SECOND_EFFECT,
                        atUs,
                        t.intent + " took effect " + before.size() + " times, the last on " + node + " as " + id);
            }
        }
    }

    /** Discovery's word has been written to the sidecar. {@code usable}: the node is listed as ready. */
    public void told(long atUs, String sidecar, String node, boolean usable) {
        if (usable) {
            toldUs.remove(sidecar + " " + node);
        } else {
            toldUs.putIfAbsent(sidecar + " " + node, atUs);
        }
    }

    /** Over the last second a cold node was sent this multiple of what it can do now. */
    public void pushed(long atUs, String node, double multiple) {
        double before = coldPeak.merge(node, multiple, Math::max);
        if (multiple > fallMultiple && before == multiple) {
            foul(
                    Rule.COLD_SPARED,
                    atUs,
                    node + " was sent " + Math.round(multiple * 10) / 10.0 + " times what it could do");
        }
    }

    /**
     * For worlds that last: what was sent before then is judged now and forgotten. What comes of it later is nobody's.
     */
    public void forget(long beforeUs) {
        for (java.util.Iterator<Try> all = tries.values().iterator(); all.hasNext(); ) {
            Try t = all.next();
            if (t.sentUs >= beforeUs) {
                break;
            }
            if (t.ending == null && !t.left) {
                foul(Rule.ONE_ANSWER, beforeUs, "a request of " + t.intent + " was never answered");
            }
            all.remove();
        }
        effects.values().removeIf(e -> e.get(e.size() - 1).atUs < beforeUs);
    }

    /** The time is over: whatever is still owed an answer, and was due, is lost. */
    public void end(long atUs) {
        tries.forEach((id, t) -> {
            if (t.ending == null && !t.left && atUs > t.untilUs + lateUs) {
                foul(Rule.ONE_ANSWER, atUs, id + ", sent " + (atUs - t.sentUs) / 1000 + " ms ago, was never answered");
            }
        });
    }

    private void foul(Rule rule, long atUs, String what) {
        fouled++;
        if (fouls.size() < MOST_FOULS) {
            fouls.add(new Foul(rule, atUs, what));
        }
    }

    /** The first hundred; {@link #count} has them all. */
    public List<Foul> fouls() {
        return List.copyOf(fouls);
    }

    public int count() {
        return fouled;
    }

    /** The largest multiple of its capacity that any cold node was sent over a second; 0 where none was cold. */
    public double coldPeak() {
        return coldPeak.values().stream().mapToDouble(d -> d).max().orElse(0);
    }

    public int tries() {
        return tries.size();
    }
}
