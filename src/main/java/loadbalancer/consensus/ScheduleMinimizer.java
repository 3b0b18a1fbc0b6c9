package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Removes events from a schedule as long as the rest still violates an invariant (delta debugging: Zeller, Hildebrandt,
 * IEEE TSE 28(2), 2002).
 */
final class ScheduleMinimizer {
    private final ExplorerState start;

    ScheduleMinimizer(ExplorerState start) {
        this.start = start;
    }

    /** Returns a schedule from which no event can be removed, and the violation that the schedule leads to. */
    Explorer.Violation minimize(List<ExplorerEvent> schedule) {
        List<ExplorerEvent> shortest = schedule;
        int previousSize;
        do {
            previousSize = shortest.size();
            for (int removed = Math.max(1, shortest.size() / 2); removed >= 1; removed /= 2) {
                shortest = removeRuns(shortest, removed);
            }
        } while (shortest.size() < previousSize);
        List<String> events = shortest.stream().map(ExplorerEvent::toString).toList();
        return new Explorer.Violation(replay(shortest).violation, events);
    }

    private List<ExplorerEvent> removeRuns(List<ExplorerEvent> schedule, int length) {
        List<ExplorerEvent> shortest = schedule;
        int from = 0;
        while (from < shortest.size()) {
            List<ExplorerEvent> without = new ArrayList<>(shortest);
            without.subList(from, Math.min(shortest.size(), from + length)).clear();
            if (replay(without).violation != null) {
                shortest = without;
            } else {
                from += length;
            }
        }
        return shortest;
    }

    private ExplorerState replay(List<ExplorerEvent> schedule) {
        ExplorerState state = new ExplorerState(start);
        for (ExplorerEvent event : schedule) {
            if (state.violation == null) {
                state.apply(event);
            }
        }
        return state;
    }
}
