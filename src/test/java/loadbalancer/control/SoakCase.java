package loadbalancer.control;

import org.junit.jupiter.api.extension.ParameterContext;
import org.junit.jupiter.params.aggregator.ArgumentsAccessor;
import org.junit.jupiter.params.aggregator.ArgumentsAggregator;

/** A soak test and the recorded summary of its outcome. */
record SoakCase(ControlSoak.Plan plan, long seed, String expected) {
    private static final long SECOND_MICROS = 1_000_000;

    /**
     * Reads a case from a row: scopes, voters, replicas, sidecars, scopes per sidecar, changes, partitions, seed,
     * expected.
     */
    static final class FromRow implements ArgumentsAggregator {
        @Override
        public SoakCase aggregateArguments(ArgumentsAccessor row, ParameterContext context) {
            ControlGroup group = new ControlGroup(
                    "test",
                    ControlGroup.numberedScopes(row.getInteger(0)),
                    row.getInteger(1),
                    row.getInteger(2),
                    2 * SECOND_MICROS,
                    1_200_000);
            ControlSoak.Plan plan = new ControlSoak.Plan(
                    group,
                    row.getInteger(3),
                    row.getInteger(4),
                    row.getInteger(5),
                    SECOND_MICROS,
                    3 * SECOND_MICROS,
                    3 * SECOND_MICROS,
                    row.getInteger(6));
            return new SoakCase(plan, row.getLong(7), row.getString(8));
        }
    }
}
