package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.zip.CRC32;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.aggregator.AggregateWith;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pins exact counts of the consensus code, which were recorded before a restructuring. A restructuring must change
 * neither the order of events nor the order of random draws, so a different count means a change of behaviour. The
 * counts contain no names of types, so that renaming does not change them.
 */
class ConsensusRegressionTest {
    private static final long LEASE_MICROS = 3_000_000;
    private static final String ALL_RULES = "ALL";

    private static SafetyRules rules(String omitted) {
        return omitted.equals(ALL_RULES) ? SafetyRules.ALL : SafetyRules.without(SafetyRule.valueOf(omitted));
    }

    private static Explorer explorer(int voters, int members, int subscribers, String omitted) {
        return subscribers == 0
                ? Explorer.withRules(voters, members, rules(omitted))
                : Explorer.withSubscribers(voters, members, subscribers, rules(omitted));
    }

    /**
     * Formats the number of applied events, the number of events in the last walk, and the minimized violation: its
     * invariant, its number of events and a checksum of the numbers in them.
     */
    private static String counts(Explorer.Exploration exploration) {
        String violation = "none";
        if (exploration.violation() != null) {
            List<String> events = exploration.violation().events();
            violation = exploration.violation().description().replaceFirst(":.*", "") + " in " + events.size()
                    + " events " + checksumOfNumbers(events);
        }
        return "events " + exploration.states() + "; last walk " + exploration.depth() + "; violation " + violation;
    }

    /**
     * Returns a checksum of the process numbers, ballots, nonces and versions in their order. Names are omitted, so
     * that renaming does not change the checksum.
     */
    private static String checksumOfNumbers(List<String> events) {
        CRC32 crc = new CRC32();
        for (String event : events) {
            crc.update((event.replaceAll("[^0-9]+", " ").trim() + "\n").getBytes(StandardCharsets.US_ASCII));
        }
        return Long.toHexString(crc.getValue());
    }

    /**
     * Counts the distinct states of all schedules of up to {@code depth} events. An exploration that ends at its bound
     * of states reports only the bound and the depth of the state that it was expanding, so the count is found by a
     * search for the greatest bound that is reached before a state of {@code depth} is expanded. The recorded count is
     * tried first, to save the search.
     */
    private static int statesToDepth(
            Explorer explorer, int depth, int crashes, int leaderStarts, int ticks, int recorded) {
        IntPredicate isBelow = bound ->
                explorer.breadthFirst(bound, crashes, leaderStarts, ticks).depth() < depth;
        if (isBelow.test(recorded) && !isBelow.test(recorded + 1)) {
            return recorded;
        }
        int below = 1;
        int above = 2;
        while (isBelow.test(above)) {
            below = above;
            above *= 2;
        }
        while (above - below > 1) {
            int middle = (below + above) / 2;
            if (isBelow.test(middle)) {
                below = middle;
            } else {
                above = middle;
            }
        }
        return below;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    3 | 3 | 0 | 1 | 0 | 0 | 3 | ALL | 69
                    3 | 3 | 0 | 0 | 1 | 1 | 4 | ALL | 340
                    1 | 2 | 0 | 1 | 1 | 1 | 5 | ALL | 413
                    3 | 3 | 0 | 1 | 2 | 5 | 2 | ALL | 77
                    3 | 3 | 0 | 1 | 2 | 5 | 3 | ALL | 444
                    5 | 5 | 0 | 1 | 1 | 2 | 2 | ALL | 162
                    3 | 3 | 2 | 1 | 2 | 5 | 2 | ALL | 139
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | RECOVERY | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | INCARNATIONS | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | JOINT_STAGE | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | WAITING | 530
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | LEASE_END | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | MAJORITY | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | SUBSCRIBERS_PAST | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | NESTED_LEASE | 516
                    3 | 3 | 1 | 1 | 1 | 2 | 3 | QUIET_START | 530
                    """)
    void breadthFirstSearchVisitsTheRecordedNumberOfStates(
            @AggregateWith(ExplorationCase.FromRow.class) ExplorationCase row) {
        // given
        Explorer explorer = explorer(row.voters(), row.members(), row.subscribers(), row.omitted());
        // when
        int states =
                statesToDepth(explorer, row.depth(), row.crashes(), row.leaderStarts(), row.ticks(), row.expected());
        // then
        assertEquals(row.expected(), states);
    }

    @ParameterizedTest
    @CsvSource({"3, 3, 0, 1, 2, 5, 500", "3, 3, 2, 1, 2, 5, 300", "5, 5, 0, 1, 1, 2, 200"})
    void breadthFirstSearchFindsNoViolation(
            int voters, int members, int subscribers, int crashes, int leaderStarts, int ticks, int maxStates) {
        // given
        Explorer explorer = explorer(voters, members, subscribers, ALL_RULES);
        // when
        Explorer.Exploration exploration = explorer.breadthFirst(maxStates, crashes, leaderStarts, ticks);
        // then
        assertEquals(new Explorer.Exploration(maxStates, exploration.depth(), false, null), exploration);
    }

    /** Random walks find no violation without INCARNATIONS or NESTED_LEASE; the recorded count shows only that. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    3 | 0 | RECOVERY | 3 | 250 | events 28771; last walk 271; violation EVERYWHERE_OR_NOWHERE in 28 events d42415e3
                    3 | 0 | INCARNATIONS | 3 | 20 | events 6000; last walk 300; violation none
                    3 | 0 | JOINT_STAGE | 3 | 250 | events 473; last walk 173; violation ONE_POLICY in 43 events 2cbacbbb
                    3 | 0 | JOINT_STAGE | 4 | 250 | events 140; last walk 140; violation ONE_POLICY in 55 events 1a1c7fe5
                    3 | 0 | WAITING | 3 | 250 | events 7387; last walk 187; violation ONE_POLICY in 38 events 766003eb
                    3 | 0 | WAITING | 4 | 250 | events 11881; last walk 181; violation ONE_POLICY in 34 events c19f73e7
                    3 | 0 | LEASE_END | 3 | 250 | events 9539; last walk 239; violation ONE_POLICY in 70 events 55dfe1db
                    3 | 0 | LEASE_END | 4 | 250 | events 11947; last walk 247; violation ONE_POLICY in 68 events e37a3895
                    3 | 0 | MAJORITY | 9 | 250 | events 52164; last walk 264; violation ONE_POLICY in 47 events 2f4f8b02
                    3 | 2 | SUBSCRIBERS_PAST | 10 | 250 | events 1444; last walk 244; violation ONE_POLICY in 98 events d9798a3f
                    3 | 2 | NESTED_LEASE | 3 | 20 | events 6000; last walk 300; violation none
                    3 | 2 | QUIET_START | 15 | 250 | events 18197; last walk 197; violation ONE_POLICY in 73 events 9bcb3314
                    4 | 0 | ALL | 1 | 20 | events 6000; last walk 300; violation none
                    4 | 2 | ALL | 2 | 20 | events 6000; last walk 300; violation none
                    """)
    void randomWalksFindTheRecordedViolation(
            int members, int subscribers, String omitted, long seed, int walks, String expected) {
        // given
        Explorer explorer = explorer(3, members, subscribers, omitted);
        // when
        Explorer.Exploration exploration = explorer.randomWalks(seed, walks, 300);
        // then
        assertEquals(expected, counts(exploration));
    }

    /**
     * The result of a walk without a violation contains only its length, so this test reads the explorer's state after
     * each event.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    3 | 3 | 2 | ALL | 1 | events 5000; messages 37539; chosen stages 18; stage sum 6430696; incarnations 132; ticks 10179; violations 0
                    3 | 3 | 2 | ALL | 2 | events 5000; messages 33889; chosen stages 19; stage sum 5620058; incarnations 147; ticks 10166; violations 0
                    3 | 5 | 0 | ALL | 3 | events 5000; messages 44139; chosen stages 17; stage sum 6084772; incarnations 92; ticks 10163; violations 0
                    5 | 7 | 3 | ALL | 4 | events 5000; messages 74996; chosen stages 16; stage sum 16548347; incarnations 142; ticks 10105; violations 0
                    3 | 3 | 2 | RECOVERY | 1 | events 5000; messages 42054; chosen stages 20; stage sum 11072419; incarnations 131; ticks 10143; violations 0
                    3 | 3 | 2 | INCARNATIONS | 1 | events 5000; messages 37539; chosen stages 18; stage sum 6430696; incarnations 132; ticks 10179; violations 0
                    3 | 3 | 2 | JOINT_STAGE | 1 | events 5000; messages 39275; chosen stages 19; stage sum 8985874; incarnations 143; ticks 10149; violations 0
                    3 | 3 | 2 | WAITING | 1 | events 4228; messages 30342; chosen stages 41; stage sum 42809673; incarnations 109; ticks 10139; violations 3
                    3 | 3 | 2 | LEASE_END | 1 | events 5000; messages 37539; chosen stages 18; stage sum 10749236; incarnations 132; ticks 10179; violations 0
                    3 | 3 | 2 | MAJORITY | 1 | events 5000; messages 37626; chosen stages 24; stage sum 11925852; incarnations 123; ticks 10145; violations 0
                    3 | 3 | 2 | SUBSCRIBERS_PAST | 1 | events 5000; messages 38863; chosen stages 24; stage sum 7221191; incarnations 140; ticks 10147; violations 0
                    3 | 3 | 2 | NESTED_LEASE | 1 | events 5000; messages 44380; chosen stages 21; stage sum 8915293; incarnations 130; ticks 10157; violations 0
                    3 | 3 | 2 | QUIET_START | 1 | events 5000; messages 35587; chosen stages 41; stage sum 55168804; incarnations 133; ticks 10161; violations 0
                    """)
    void randomEventsLeadToTheRecordedCounts(
            int voters, int members, int subscribers, String omitted, long seed, String expected) {
        // given
        RandomExplorerRun run =
                new RandomExplorerRun(new GroupConfig(voters, members, 4, 4, 4), subscribers, rules(omitted), seed);
        // when
        run.run(10, 500);
        // then
        assertEquals(expected, run.counts());
    }

    @ParameterizedTest
    @CsvSource({"3, 3, 56", "3, 5, 96", "5, 5, 144", "5, 12, 340", "3, 30, 596"})
    void changeWithoutFaultsTakesTheRecordedMessages(int voters, int members, int expected) {
        // given
        Explorer explorer = Explorer.withAllRules(voters, members);
        // when
        int messages = explorer.countMessagesOfChange(2);
        // then
        assertEquals(expected, messages);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    3 | 5 | 1 | messages 3830; bytes 164515; times us 1048918 -1 2334331 2905645 4733209 2148717 -1 1841900 -1; joint us 3193517; active voters 3; adopted checksum fbf7c7b1; violations 0
                    3 | 5 | 2 | messages 3558; bytes 163448; times us 995704 3738145 5328090 421511 4988768 -1 1457926 -1 1087307; joint us 3238174; active voters 3; adopted checksum fbf7c7b1; violations 0
                    3 | 12 | 3 | messages 9878; bytes 445747; times us 1003511 -1 -1 1309965 -1 -1 -1 1639579 4511323; joint us 3179598; active voters 3; adopted checksum 5e99542b; violations 0
                    5 | 12 | 4 | messages 14580; bytes 613484; times us 940624 -1 1232379 1822155 1837653 3873486 3636112 -1 5568365; joint us 3147050; active voters 5; adopted checksum 5e99542b; violations 0
                    5 | 20 | 5 | messages 22313; bytes 949250; times us 1330052 3576132 2268346 5228494 974678 1221250 3784221 1085737 708899; joint us 3180758; active voters 5; adopted checksum 9a62bdff; violations 0
                    """)
    void simulatedFaultsLeadToTheRecordedCounts(int voters, int members, long seed, String expected) {
        // given
        ConsensusSimulation simulation = new ConsensusSimulation(voters, members, LEASE_MICROS, seed);
        simulation.setNetwork(0.05, 0.05, 5_000);
        // when
        String outcome = new ConsensusFaultRun(simulation, members, seed).run();
        // then
        assertEquals(expected, outcome);
    }
}
