package loadbalancer.consensus;

import java.util.SplittableRandom;
import loadbalancer.consensus.ExplorerEvent.Kind;

/**
 * Applies random events to states of the explorer. Adds up the messages in transit and the leased stages after each
 * event, and the chosen stages, started processes and ticks after each schedule.
 */
final class RandomExplorerRun {
    /** With more messages in transit, only events on messages are drawn, so that stages are chosen. */
    private static final int MAX_IN_TRANSIT = 12;

    private final GroupConfig group;
    private final int subscribers;
    private final SafetyRules rules;
    private final SplittableRandom random;

    private long events;
    private long messagesInTransit;
    private long chosenStages;
    private long stageSum;
    private long incarnations;
    private long ticks;
    private int violations;

    RandomExplorerRun(GroupConfig group, int subscribers, SafetyRules rules, long seed) {
        this.group = group;
        this.subscribers = subscribers;
        this.rules = rules;
        random = new SplittableRandom(seed);
    }

    /** Runs several schedules, each of which ends at its first violation. */
    void run(int schedules, int eventsPerSchedule) {
        for (int count = 0; count < schedules; count++) {
            ExplorerState state = new ExplorerState(group, subscribers, rules);
            startGroup(state);
            for (int event = 0; event < eventsPerSchedule && state.violation == null; event++) {
                state.apply(drawEvent(state));
                events++;
                messagesInTransit += state.inTransit.size();
                addStages(state);
            }
            chosenStages += state.chosenStageCount();
            incarnations += state.processCount;
            ticks += state.nowTicks;
            violations += state.violation != null ? 1 : 0;
        }
    }

    private void startGroup(ExplorerState state) {
        for (int round = 0; round < 4; round++) {
            for (int member = 0; member < group.members(); member++) {
                state.apply(ExplorerEvent.of(Kind.RENEW, member));
            }
            state.deliverAll();
        }
        state.apply(ExplorerEvent.lead(0, 1));
        state.deliverAll();
    }

    private ExplorerEvent drawEvent(ExplorerState state) {
        int roll = random.nextInt(100);
        int member = random.nextInt(group.members());
        if (roll >= 20 && !state.inTransit.isEmpty() || state.inTransit.size() > MAX_IN_TRANSIT) {
            return drawMessage(state);
        } else if (roll < 4) {
            return ExplorerEvent.of(Kind.TICK, 0);
        } else if (roll < 5) {
            return ExplorerEvent.of(Kind.CRASH, member);
        } else if (roll < 7 && subscribers > 0) {
            return ExplorerEvent.subscribe(group.members() + random.nextInt(subscribers), member);
        } else if (roll < 8 && subscribers > 0) {
            return ExplorerEvent.of(Kind.RESTART_SUBSCRIBER, group.members() + random.nextInt(subscribers));
        } else if (roll < 10) {
            return ExplorerEvent.lead(random.nextInt(group.voters()), 1 + random.nextInt(3));
        } else if (roll < 11) {
            return ExplorerEvent.of(Kind.ABORT, random.nextInt(group.voters()));
        }
        return ExplorerEvent.of(roll < 15 ? Kind.STEP : Kind.RENEW, member);
    }

    /** Draws three of four messages in order, the others at random; few messages are dropped or duplicated. */
    private ExplorerEvent drawMessage(ExplorerState state) {
        boolean inOrder = random.nextInt(4) > 0;
        Envelope envelope = state.inTransit.get(inOrder ? 0 : random.nextInt(state.inTransit.size()));
        int roll = random.nextInt(40);
        Kind kind = roll < 2 ? Kind.DROP : roll < 4 ? Kind.DUPLICATE : Kind.DELIVER;
        return ExplorerEvent.on(kind, envelope);
    }

    /**
     * Adds the stages of all processes, weighted by the process and the event, so that the same stages at other
     * processes or events give another sum.
     */
    private void addStages(ExplorerState state) {
        for (int process = 0; process < group.members() + subscribers; process++) {
            Stage stage = process < group.members()
                    ? state.members[process].leaseHolder().leasedStage(state.nowTicks)
                    : state.subscribers[process - group.members()].leasedStage(state.nowTicks);
            if (stage != null) {
                long value = stage.index() * 16 + stage.oldVersion() * 4 + stage.newVersion() + 1;
                stageSum += (process + 1) * (events % 97) * value;
            }
        }
    }

    String counts() {
        return "events " + events + "; messages " + messagesInTransit + "; chosen stages " + chosenStages
                + "; stage sum " + stageSum + "; incarnations " + incarnations + "; ticks " + ticks + "; violations "
                + violations;
    }
}
