package loadbalancer.consensus;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.consensus.ExplorerEvent.Kind;

/** Draws the events of one random walk. Each walk has its own fault rates, paused process and isolated member. */
final class RandomSchedule {
    /** Rates are per thousand events. */
    private static final int ROLL_RANGE = 1_000;

    private static final int RENEW_RATE = 60;
    private static final int SUBSCRIBE_RATE = 100;
    /** The rate of renewals and subscriptions while no message can be delivered. */
    private static final int IDLE_RATE = 500;

    private static final int STEP_RATE = 60;
    private static final int LEAD_RATE = 15;
    private static final int ABORT_RATE = 5;
    private static final int DUPLICATE_RATE = 40;

    private final SplittableRandom random;
    private final GroupConfig group;
    private final int subscribers;
    private final int crashRate;
    private final int dropRate;
    private final int tickRate;
    /** How many of ten deliveries take a random message instead of the oldest one. */
    private final int reorderedPerTen;
    /**
     * The process that is paused for a while: a member takes no steps and receives nothing, a subscriber receives
     * nothing. A number that no process has pauses none.
     */
    private final int pausedProcess;

    private final int pauseStart;
    private final int pauseEnd;
    /**
     * The member that exchanges no messages with other members for a while; a number above the members', or -1,
     * isolates none.
     */
    private final int isolatedMember;

    private final int isolationStart;
    private final int isolationEnd;

    /** The drawn number, less the rates that it has been compared with. */
    private int roll;

    /** @param events length of the walk */
    RandomSchedule(SplittableRandom random, GroupConfig group, int subscribers, int events) {
        this.random = random;
        this.group = group;
        this.subscribers = subscribers;
        crashRate = random.nextInt(16);
        dropRate = random.nextInt(120);
        tickRate = 5 + random.nextInt(60);
        reorderedPerTen = random.nextInt(10);
        pausedProcess = random.nextInt(2 * group.members());
        pauseStart = random.nextInt(events);
        pauseEnd = pauseStart + random.nextInt(events);
        isolatedMember = subscribers > 0 ? random.nextInt(2 * group.members()) : -1;
        isolationStart = subscribers > 0 ? random.nextInt(events) : 0;
        isolationEnd = subscribers > 0 ? isolationStart + random.nextInt(events) : 0;
    }

    /**
     * Draws the next event.
     *
     * @param step position of the event in the walk
     */
    ExplorerEvent next(int step, List<Envelope> inTransit) {
        roll = random.nextInt(ROLL_RANGE);
        int process = random.nextInt(group.members() + subscribers);
        int voter = random.nextInt(group.voters());
        int version = 1 + random.nextInt(3);
        Envelope envelope = drawEnvelope(step, inTransit);
        if (isSelected(tickRate)) {
            return ExplorerEvent.of(Kind.TICK, 0);
        }
        boolean idle = envelope == null;
        ExplorerEvent event = null;
        if (process >= group.members()) {
            event = subscriberEvent(process, idle);
        } else if (!isPaused(process, step)) {
            event = memberEvent(process, idle);
        }
        if (event == null && !isPaused(voter, step)) {
            event = leaderEvent(voter, version);
        }
        if (event == null) {
            event = idle ? ExplorerEvent.of(Kind.TICK, 0) : messageEvent(envelope, step);
        }
        return event;
    }

    /** Returns null if the roll selects no event. */
    private ExplorerEvent subscriberEvent(int process, boolean idle) {
        if (isSelected(crashRate)) {
            return ExplorerEvent.of(Kind.RESTART_SUBSCRIBER, process);
        }
        if (isSelected(idle ? IDLE_RATE : SUBSCRIBE_RATE)) {
            return ExplorerEvent.subscribe(process, random.nextInt(group.members()));
        }
        return null;
    }

    /** Returns null if the roll selects no event. */
    private ExplorerEvent memberEvent(int process, boolean idle) {
        if (isSelected(crashRate)) {
            return ExplorerEvent.of(Kind.CRASH, process);
        }
        if (isSelected(idle ? IDLE_RATE : RENEW_RATE)) {
            return ExplorerEvent.of(Kind.RENEW, process);
        }
        return isSelected(STEP_RATE) ? ExplorerEvent.of(Kind.STEP, process) : null;
    }

    /** Returns null if the roll selects no event. */
    private ExplorerEvent leaderEvent(int voter, int version) {
        if (isSelected(LEAD_RATE)) {
            return ExplorerEvent.lead(voter, version);
        }
        return isSelected(ABORT_RATE) ? ExplorerEvent.of(Kind.ABORT, voter) : null;
    }

    /** Returns the oldest message to a process that is not paused, or sometimes a random one; null if there is none. */
    private Envelope drawEnvelope(int step, List<Envelope> inTransit) {
        List<Envelope> deliverable = inTransit.stream()
                .filter(envelope -> !isPaused(envelope.to(), step))
                .toList();
        if (deliverable.isEmpty()) {
            return null;
        }
        boolean inOrder = random.nextInt(10) >= reorderedPerTen;
        return deliverable.get(inOrder ? 0 : random.nextInt(deliverable.size()));
    }

    private ExplorerEvent messageEvent(Envelope envelope, int step) {
        if (isBlockedByIsolation(envelope, step) || isSelected(dropRate)) {
            return ExplorerEvent.on(Kind.DROP, envelope);
        }
        return ExplorerEvent.on(roll < DUPLICATE_RATE ? Kind.DUPLICATE : Kind.DELIVER, envelope);
    }

    private boolean isSelected(int rate) {
        roll -= rate;
        return roll < 0;
    }

    private boolean isPaused(int process, int step) {
        return process == pausedProcess && step >= pauseStart && step < pauseEnd;
    }

    private boolean isBlockedByIsolation(Envelope envelope, int step) {
        int from = envelope.from();
        int to = envelope.to();
        boolean betweenMembers = from < group.members() && to < group.members() && from != to;
        boolean isolated = from == isolatedMember || to == isolatedMember;
        return betweenMembers && isolated && step >= isolationStart && step < isolationEnd;
    }
}
