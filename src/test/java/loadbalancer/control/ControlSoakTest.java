package loadbalancer.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Soak tests at a small size; {@code bench/capacity.sh} runs them at full size. */
class ControlSoakTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int SOAKS = 12;
    private static final int CHANGES = 60;

    /**
     * A change every second and a restart or pause of one of about fifty processes every three seconds, on average: far
     * more than in operation.
     */
    private static ControlSoak.Plan frequentFaultsPlan() {
        ControlGroup group =
                new ControlGroup("test", ControlGroup.numberedScopes(8), 5, 11, 2 * SECOND_MICROS, 1_200_000);
        return new ControlSoak.Plan(group, 40, 4, CHANGES, SECOND_MICROS, 3 * SECOND_MICROS, 3 * SECOND_MICROS, 2);
    }

    @Test
    void randomFaultsCauseNoViolationsAndAllChangesAreAdoptedInTime() {
        for (long seed = 1; seed <= SOAKS; seed++) {
            // when
            ControlSoak.Outcome outcome = ControlSoak.run(frequentFaultsPlan(), seed);
            // then
            assertEquals(List.of(), outcome.violations(), "seed " + seed);
            assertEquals(0, outcome.unfinished(), "seed " + seed);
            assertEquals(CHANGES, outcome.latenciesMicros().length, "seed " + seed);
            long quantileMicros = outcome.latencyQuantileMicros(0.9);
            assertTrue(quantileMicros <= 9 * SECOND_MICROS, "seed " + seed + ": " + quantileMicros + " us");
        }
    }

    @Test
    void sameSeedGivesTheSameOutcome() {
        // when
        ControlSoak.Outcome first = ControlSoak.run(frequentFaultsPlan(), 5);
        ControlSoak.Outcome second = ControlSoak.run(frequentFaultsPlan(), 5);
        // then
        assertArrayEquals(first.latenciesMicros(), second.latenciesMicros());
    }
}
