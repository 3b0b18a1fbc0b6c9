package loadbalancer.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.consensus.Explorer.Exploration;
import loadbalancer.consensus.Explorer.Violation;
import loadbalancer.consensus.ExplorerEvent.Kind;

/**
 * Explores all schedules in the order of their length. Messages are delivered in any order or not at all, members lead
 * and crash, and while no message is in transit, processes ask for leases and leaders take their next step. A process
 * receives its own messages at once, as in {@link ConsensusNode}, and equal messages are merged; neither omits a
 * schedule with a different outcome.
 */
final class BreadthFirstSearch {
    private final GroupConfig group;
    private final int subscribers;
    private final Set<String> visited = new HashSet<>();
    private final ArrayDeque<Node> frontier = new ArrayDeque<>();

    /**
     * How often an event may still occur in a schedule.
     *
     * @param crashes of any member
     * @param leaderStarts how often any voter may start to lead
     * @param ticks of the clock
     */
    record Budget(int crashes, int leaderStarts, int ticks) {
        Budget after(ExplorerEvent event) {
            return new Budget(
                    crashes - (event.kind() == Kind.CRASH ? 1 : 0),
                    leaderStarts - (event.kind() == Kind.LEAD ? 1 : 0),
                    ticks - (event.kind() == Kind.TICK ? 1 : 0));
        }
    }

    /** A state and the event that led to it, which is null at the start. */
    private record Node(ExplorerState state, Node previous, ExplorerEvent event, int depth, Budget budget) {
        List<String> schedule() {
            List<String> events = new ArrayList<>();
            for (Node node = this; node.event != null; node = node.previous) {
                events.add(0, node.event.toString());
            }
            return events;
        }

        String digest() {
            return BreadthFirstSearch.digest(
                    state.describe() + budget.crashes() + budget.leaderStarts() + budget.ticks());
        }
    }

    BreadthFirstSearch(GroupConfig group, int subscribers) {
        this.group = group;
        this.subscribers = subscribers;
    }

    /** Searches until there are no more states, {@code maxStates} have been found, or an invariant is violated. */
    Exploration search(ExplorerState start, Budget budget, int maxStates) {
        frontier.add(new Node(start, null, null, 0, budget));
        int depth = 0;
        while (!frontier.isEmpty()) {
            Node node = frontier.poll();
            depth = node.depth;
            for (ExplorerEvent event : possibleEvents(node)) {
                Node next = nodeAfter(node, event);
                if (next.state.violation != null) {
                    Violation violation = new Violation(next.state.violation, next.schedule());
                    return new Exploration(visited.size(), next.depth, false, violation);
                }
                if (visited.add(next.digest())) {
                    if (visited.size() >= maxStates) {
                        return new Exploration(visited.size(), depth, false, null);
                    }
                    frontier.add(next);
                }
            }
        }
        return new Exploration(visited.size(), depth, true, null);
    }

    private static Node nodeAfter(Node node, ExplorerEvent event) {
        ExplorerState state = new ExplorerState(node.state);
        state.apply(event);
        state.deliverLoopback();
        return new Node(state, node, event, node.depth + 1, node.budget.after(event));
    }

    private List<ExplorerEvent> possibleEvents(Node node) {
        ExplorerState state = node.state;
        Budget budget = node.budget;
        boolean idle = state.inTransit.isEmpty();
        List<ExplorerEvent> next = new ArrayList<>();
        state.inTransit.forEach(envelope -> next.add(ExplorerEvent.on(Kind.DELIVER, envelope)));
        for (int member = 0; member < group.members(); member++) {
            if (budget.crashes() > 0) {
                next.add(ExplorerEvent.of(Kind.CRASH, member));
            }
            if (budget.leaderStarts() > 0 && member < group.voters()) {
                next.add(ExplorerEvent.lead(member, budget.leaderStarts()));
            }
            if (idle) {
                next.add(ExplorerEvent.of(state.members[member].leader() != null ? Kind.STEP : Kind.RENEW, member));
            }
        }
        for (int index = 0; index < subscribers && idle; index++) {
            for (int member = 0; member < group.members(); member++) {
                next.add(ExplorerEvent.subscribe(group.members() + index, member));
            }
        }
        if (budget.ticks() > 0) {
            next.add(ExplorerEvent.of(Kind.TICK, 0));
        }
        return next;
    }

    /** Hashes the text of a state to 128 bits, to save memory. */
    private static String digest(String state) {
        long high = 1;
        long low = 7;
        for (int index = 0; index < state.length(); index++) {
            high = (high ^ state.charAt(index)) * 0x9e3779b97f4a7c15L;
            low = Long.rotateLeft(low, 5) * 0xd1342543de82ef95L + state.charAt(index);
            high ^= high >>> 31;
        }
        return Long.toHexString(high) + Long.toHexString(low);
    }
}
