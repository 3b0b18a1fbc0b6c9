package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.consensus.ExplorerEvent.Kind;

/**
 * Explores the state space of the protocol: runs the real {@link Participant}s and {@link Subscriber}s through
 * schedules in which messages are lost, duplicated and reordered, processes crash and lose their state, processes
 * pause, and leaders compete. After each event the invariants of {@code docs/design/policy-change.md} are checked.
 * Schedules are either all up to a bound, or long random ones; a random schedule that violates an invariant is
 * minimized. The same seed gives the same result.
 */
public final class Explorer {
    private static final int LEASE_TICKS = 4;
    private static final int SUBSCRIBER_LEASE_TICKS = 4;
    private static final int STARTUP_ROUNDS = 4;
    private static final int CHANGE_ROUNDS = 8;
    /** Upper bound on the rounds of a change without faults. */
    private static final int MAX_CHANGE_ROUNDS = 50;

    private final GroupConfig group;
    private final int subscribers;
    private final SafetyRules rules;

    private Explorer(GroupConfig group, int subscribers, SafetyRules rules) {
        this.group = group;
        this.subscribers = subscribers;
        this.rules = rules;
    }

    /** Creates an explorer of a group without subscribers that enforces all safety rules. */
    public static Explorer withAllRules(int voters, int members) {
        return withRules(voters, members, SafetyRules.ALL);
    }

    static Explorer withRules(int voters, int members, SafetyRules rules) {
        return new Explorer(new GroupConfig(voters, members, LEASE_TICKS, LEASE_TICKS), 0, rules);
    }

    /** Creates an explorer of a group whose subscribers ask any member for leases. */
    static Explorer withSubscribers(int voters, int members, int subscribers, SafetyRules rules) {
        GroupConfig group = new GroupConfig(voters, members, LEASE_TICKS, LEASE_TICKS, SUBSCRIBER_LEASE_TICKS);
        return new Explorer(group, subscribers, rules);
    }

    /** Returns the start of each schedule: all processes have started without state and then agreed on version 1. */
    private ExplorerState startState() {
        ExplorerState state = new ExplorerState(group, subscribers, rules);
        for (int round = 0; round < STARTUP_ROUNDS; round++) {
            for (int member = 0; member < group.members(); member++) {
                state.apply(ExplorerEvent.of(Kind.RENEW, member));
            }
            state.deliverAll();
        }
        state.apply(ExplorerEvent.lead(0, 1));
        for (int round = 0; round < CHANGE_ROUNDS; round++) {
            state.deliverAll();
            state.apply(ExplorerEvent.of(Kind.STEP, 0));
        }
        for (int index = 0; index < subscribers; index++) {
            state.apply(ExplorerEvent.subscribe(group.members() + index, index % group.members()));
        }
        state.deliverAll();
        return state;
    }

    /**
     * Returns how many messages a change without faults takes.
     *
     * @throws IllegalStateException if the change is not adopted by all members
     */
    public int countMessagesOfChange(long version) {
        ExplorerState state = startState();
        int[] sent = new int[1];
        state.members[0].lead(state.nowTicks, new ChangeRequest(0, version, false), countingOutbox(state, 0, sent));
        for (int round = 0; round < MAX_CHANGE_ROUNDS; round++) {
            while (!state.inTransit.isEmpty()) {
                Envelope envelope = state.inTransit.remove(0);
                int to = envelope.to();
                state.members[to].receive(
                        state.nowTicks, envelope.from(), envelope.message(), countingOutbox(state, to, sent));
            }
            state.members[0].step(state.nowTicks, countingOutbox(state, 0, sent));
        }
        for (Participant member : state.members) {
            Stage stage = member.leaseHolder().leasedStage(state.nowTicks);
            if (stage == null || stage.isJoint() || stage.newVersion() != version) {
                throw new IllegalStateException(
                        "not all members have adopted a change without faults: " + state.describe());
            }
        }
        return sent[0];
    }

    private static Outbox countingOutbox(ExplorerState state, int from, int[] sent) {
        return (to, message) -> {
            sent[0] += from == to ? 0 : 1;
            state.inTransit.add(new Envelope(from, to, message));
        };
    }

    /** Runs random schedules of {@code length} events each, up to the first schedule that violates an invariant. */
    public Exploration randomWalks(long seed, int walks, int length) {
        ExplorerState start = startState();
        long applied = 0;
        for (int walk = 0; walk < walks; walk++) {
            SplittableRandom random = new SplittableRandom(seed * 1_000_003 + walk);
            RandomSchedule schedule = new RandomSchedule(random, group, subscribers, length);
            ExplorerState state = new ExplorerState(start);
            List<ExplorerEvent> events = new ArrayList<>();
            for (int step = 0; step < length && state.violation == null; step++) {
                ExplorerEvent event = schedule.next(step, state.inTransit);
                events.add(event);
                state.apply(event);
                applied++;
            }
            if (state.violation != null) {
                return new Exploration(applied, events.size(), false, new ScheduleMinimizer(start).minimize(events));
            }
        }
        return new Exploration(applied, length, false, null);
    }

    /**
     * Runs all schedules in the order of their length, see {@link BreadthFirstSearch}.
     *
     * @param crashes maximum in a schedule
     * @param leaderStarts maximum number of times in a schedule that a voter starts to lead
     * @param ticks maximum clock ticks in a schedule
     */
    public Exploration breadthFirst(int maxStates, int crashes, int leaderStarts, int ticks) {
        BreadthFirstSearch.Budget budget = new BreadthFirstSearch.Budget(crashes, leaderStarts, ticks);
        return new BreadthFirstSearch(group, subscribers).search(startState(), budget, maxStates);
    }

    /**
     * A violated invariant.
     *
     * @param events the schedule that leads from the start state to the violation
     */
    public record Violation(String description, List<String> events) {}

    /**
     * The result of an exploration.
     *
     * @param states number of distinct states of all schedules; for random schedules, the number of applied events
     * @param depth number of events in the longest schedule; for random schedules, in the last one
     * @param exhaustive whether all states within the bounds were reached
     * @param violation null if all invariants held
     */
    public record Exploration(long states, int depth, boolean exhaustive, Violation violation) {}
}
