package loadbalancer.simulation.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.Outcome;

/**
 * What a whole fleet spends, second by second: how requests ended, what attempts met, connections, health checks, discovery polls
 * and gossip, ejections, and how far the budgets of upstreams in slow start were used. A cost that is small at one sidecar shows
 * only in this sum. All times are microseconds since the account's start; events before or after it count in its first or last
 * second.
 */
public final class FleetAccount {
    /** A little more than a week. */
    static final int MAX_SECONDS = 700_000;

    private static final long SECOND_MICROS = 1_000_000;

    private final SecondTotals[] seconds;
    private final LatenessCauses causes = new LatenessCauses();
    private final SlowStartLoad slowStartLoad = new SlowStartLoad();

    /**
     * @param seconds length of the account
     * @throws IllegalArgumentException unless it is from 1 to 700,000
     */
    public FleetAccount(int seconds) {
        if (seconds < 1 || seconds > MAX_SECONDS) {
            throw new IllegalArgumentException("an account is of 1 to " + MAX_SECONDS + " seconds, not " + seconds);
        }
        this.seconds = new SecondTotals[seconds];
        for (int i = 0; i < seconds; i++) {
            this.seconds[i] = new SecondTotals();
        }
    }

    /** How a request ended for its client. */
    public enum RequestEnd {
        SERVED("served"),
        LATE("late"),
        REJECTED("refused"),
        FAILED("failed"),
        /** The client did not wait for the answer. */
        ABANDONED("left");

        private final String jsonName;

        RequestEnd(String jsonName) {
            this.jsonName = jsonName;
        }

        String jsonName() {
            return jsonName;
        }
    }

    /** Why requests were late. */
    public LatenessCauses causes() {
        return causes;
    }

    /** A client's request has arrived at its sidecar; each client retry counts as one. */
    public void requestArrived(long atMicros) {
        secondAt(atMicros).requests++;
    }

    /** A request has ended; one in progress when its sidecar dies has failed. */
    public void requestEnded(long atMicros, RequestEnd end) {
        secondAt(atMicros).requestEnded(end);
    }

    /** An attempt has ended at an upstream of this condition. */
    public void attemptEnded(long atMicros, UpstreamCondition condition, Outcome outcome) {
        secondAt(atMicros).attemptEnded(condition, outcome);
    }

    /** A sidecar has begun to connect to an upstream. */
    public void connectStarted(long atMicros) {
        secondAt(atMicros).connects++;
    }

    /** A connection was refused. */
    public void connectRefused(long atMicros) {
        secondAt(atMicros).refusedConnects++;
    }

    /** A sidecar has sent a health check. */
    public void healthCheckSent(long atMicros) {
        secondAt(atMicros).healthChecks++;
    }

    /** A sidecar has asked discovery for its endpoint list. */
    public void discoveryPolled(long atMicros) {
        secondAt(atMicros).discoveryPolls++;
    }

    /** A sidecar has sent a gossip message, to one peer or to all. */
    public void gossipSent(long atMicros) {
        secondAt(atMicros).gossipSent++;
    }

    /** A sidecar has received and used a gossip message. */
    public void gossipReceived(long atMicros) {
        secondAt(atMicros).gossipReceived++;
    }

    /**
     * One sidecar's ejections, observed once a second.
     *
     * @param healthyCount          how many of the ejected upstreams have no fault
     * @param endpointListAgeMicros age of the sidecar's endpoint list
     */
    public void ejectionsObserved(long atMicros, int ejectedCount, int healthyCount, long endpointListAgeMicros) {
        SecondTotals second = secondAt(atMicros);
        second.ejected += ejectedCount;
        second.ejectedHealthy += healthyCount;
        second.endpointListSeen(endpointListAgeMicros);
    }

    /** Load of an upstream in slow start in the second before a request to it, over its capacity in that second. */
    public void slowStartWindow(double multiple) {
        slowStartLoad.add(multiple);
    }

    /**
     * A table with a line for each {@code stepSeconds}, followed by totals.
     *
     * @param allowedMultiple multiple of its capacity that an upstream in slow start may get
     */
    public List<String> lines(int stepSeconds, double allowedMultiple) {
        List<String> lines = new ArrayList<>();
        lines.add(AccountTable.HEADER);
        for (int fromSecond = 0; fromSecond < seconds.length; fromSecond += stepSeconds) {
            lines.add(AccountTable.line(fromSecond, totalsOf(fromSecond, fromSecond + stepSeconds)));
        }
        SecondTotals totals = totalsOf(0, seconds.length);
        lines.addAll(AccountTable.attemptLines(totals));
        lines.addAll(AccountTable.costLines(totals, maxDiscoveryPolls()));
        lines.add(AccountTable.ejectionLine(totals, slowStartLoad, allowedMultiple));
        lines.addAll(causes.lines());
        return lines;
    }

    /** For JSON: the totals, and each second. */
    public Map<String, Object> asMap() {
        Map<String, Object> map = totalsOf(0, seconds.length).asMap();
        map.put("callsWorstSecond", maxDiscoveryPolls());
        map.put("coldWorst", slowStartLoad.max());
        map.put("coldMean", slowStartLoad.mean());
        map.put("causes", causes.asMap());
        List<Object> each = new ArrayList<>(seconds.length);
        for (SecondTotals second : seconds) {
            each.add(second.asMap());
        }
        map.put("seconds", each);
        return map;
    }

    private SecondTotals secondAt(long atMicros) {
        return seconds[(int) Math.max(0, Math.min(seconds.length - 1, atMicros / SECOND_MICROS))];
    }

    private SecondTotals totalsOf(int fromSecond, int toSecond) {
        SecondTotals totals = new SecondTotals();
        for (int i = fromSecond; i < Math.min(toSecond, seconds.length); i++) {
            totals.add(seconds[i]);
        }
        return totals;
    }

    private long maxDiscoveryPolls() {
        long max = 0;
        for (SecondTotals second : seconds) {
            max = Math.max(max, second.discoveryPolls);
        }
        return max;
    }
}
