package loadbalancer.consensus;

import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.params.aggregator.ArgumentsAccessor;
import org.junit.jupiter.params.aggregator.ArgumentsAggregator;

/**
 * A breadth-first exploration and the recorded number of its states.
 *
 * @param omitted name of the safety rule that is omitted, or ALL if none is
 * @param expected recorded number of states up to the depth
 */
record ExplorationCase(
        int voters,
        int members,
        int subscribers,
        int crashes,
        int leaderStarts,
        int ticks,
        int depth,
        String omitted,
        int expected) {
    /** Reads a case from a row of a table, in the order of the components. */
    static final class FromRow implements ArgumentsAggregator {
        @Override
        public ExplorationCase aggregateArguments(ArgumentsAccessor row, ParameterContext context) {
            return new ExplorationCase(
                    row.getInteger(0),
                    row.getInteger(1),
                    row.getInteger(2),
                    row.getInteger(3),
                    row.getInteger(4),
                    row.getInteger(5),
                    row.getInteger(6),
                    row.getString(7),
                    row.getInteger(8));
        }
    }
}
