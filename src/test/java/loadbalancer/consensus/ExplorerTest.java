package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import loadbalancer.consensus.Explorer.Exploration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ExplorerTest {
    private static final int VOTERS = 3;
    private static final int WALK_LENGTH = 300;

    private static Explorer withSubscribers(SafetyRules rules) {
        return Explorer.withSubscribers(VOTERS, VOTERS, 2, rules);
    }

    private static Explorer without(SafetyRule rule) {
        return Explorer.withRules(VOTERS, VOTERS, SafetyRules.without(rule));
    }

    private static String describe(Exploration exploration) {
        return exploration.violation() == null
                ? "no violation in " + exploration.states() + " states"
                : exploration.violation().description() + "\n"
                        + String.join("\n", exploration.violation().events());
    }

    private static void assertNoViolation(Exploration exploration) {
        assertNull(exploration.violation(), () -> describe(exploration));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 30})
    void changeWithoutFaultsIsAdoptedByAllMembers(int members) {
        // when
        int messages = Explorer.withAllRules(VOTERS, members).countMessagesOfChange(2);
        // then
        assertTrue(messages > 0 && messages < 60 * members, messages + " messages");
    }

    static Stream<Explorer> explorersWithAllRules() {
        return Stream.of(Explorer.withAllRules(3, 4), Explorer.withAllRules(5, 5));
    }

    @ParameterizedTest
    @MethodSource("explorersWithAllRules")
    void randomSchedulesViolateNoInvariant(Explorer explorer) {
        assertNoViolation(explorer.randomWalks(1, 1_000, WALK_LENGTH));
    }

    @Test
    void shortestSchedulesViolateNoInvariant() {
        // when
        Exploration exploration = Explorer.withAllRules(VOTERS, VOTERS).breadthFirst(20_000, 1, 2, 5);
        // then
        assertNoViolation(exploration);
        assertTrue(exploration.states() >= 20_000, exploration.states() + " states");
    }

    @ParameterizedTest
    @EnumSource(
            value = SafetyRule.class,
            names = {"RECOVERY", "JOINT_STAGE", "WAITING", "LEASE_END", "MAJORITY"})
    void violationWithoutARuleIsFoundMinimizedAndReproducible(SafetyRule rule) {
        // when
        Exploration exploration = without(rule).randomWalks(3, 20_000, WALK_LENGTH);
        // then
        assertNotNull(exploration.violation(), rule.name());
        assertTrue(exploration.violation().events().size() <= 90, describe(exploration));
        assertEquals(
                exploration.violation(),
                without(rule).randomWalks(3, 20_000, WALK_LENGTH).violation());
    }

    @Test
    void randomSchedulesWithSubscribersViolateNoInvariant() {
        assertNoViolation(withSubscribers(SafetyRules.ALL).randomWalks(1, 1_500, WALK_LENGTH));
    }

    @Test
    void shortestSchedulesWithSubscribersViolateNoInvariant() {
        // when
        Exploration exploration = withSubscribers(SafetyRules.ALL).breadthFirst(10_000, 1, 2, 5);
        // then
        assertNoViolation(exploration);
        assertTrue(exploration.states() >= 10_000, exploration.states() + " states");
    }

    /**
     * Random walks find no violation without {@link SafetyRule#NESTED_LEASE}; {@link SubscriberLeaseTest} runs a
     * schedule that violates an invariant without that rule.
     */
    @ParameterizedTest
    @EnumSource(
            value = SafetyRule.class,
            names = {"SUBSCRIBERS_PAST", "QUIET_START"})
    void violationWithoutARuleForSubscribersIsFoundAndMinimized(SafetyRule rule) {
        // when
        Exploration exploration = withSubscribers(SafetyRules.without(rule)).randomWalks(3, 40_000, WALK_LENGTH);
        // then
        assertNotNull(exploration.violation(), rule.name());
        assertTrue(exploration.violation().events().size() <= 120, describe(exploration));
    }
}
