package loadbalancer.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.aggregator.AggregateWith;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pins exact counts of simulated control tiers, which were recorded before a restructuring of the code. A refactoring
 * must change neither the order of events nor the order of random draws, so a different count means a change of
 * behaviour. The counts contain no type names, so that renames keep them.
 */
class ControlRegressionTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static ControlGroup group(int scopes, int voters, int replicas) {
        return new ControlGroup(
                "test", ControlGroup.numberedScopes(scopes), voters, replicas, 2 * SECOND_MICROS, 1_200_000);
    }

    /**
     * The latencies of all changes are compared by sum and checksum; median and maximum help to interpret a difference.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    6 | 5 | 9 | 24 | 3 | 15 | 2 | 1 | changes 15; unfinished 0; violations 0; us 21020000 median 500000 longest 4200000 f02791f5
                    3 | 3 | 5 | 12 | 2 | 30 | 1 | 4 | changes 30; unfinished 0; violations 0; us 34760000 median 480000 longest 4660000 30bfb1d2
                    3 | 3 | 5 | 12 | 2 | 30 | 1 | 5 | changes 30; unfinished 0; violations 0; us 53760000 median 940000 longest 6280000 1fbaa4d
                    1 | 1 | 1 | 6 | 1 | 20 | 0 | 6 | changes 20; unfinished 0; violations 0; us 8580000 median 240000 longest 3840000 f3800071
                    4 | 7 | 7 | 40 | 2 | 15 | 3 | 7 | changes 15; unfinished 0; violations 0; us 23080000 median 880000 longest 3140000 2a9d0330
                    """)
    void soakHasTheRecordedLatencies(@AggregateWith(SoakCase.FromRow.class) SoakCase row) {
        // given
        ControlSoak.Plan plan = row.plan();
        // when
        ControlSoak.Outcome outcome = ControlSoak.run(plan, row.seed());
        // then
        CRC32 checksum = new CRC32();
        checksum.update(Arrays.toString(outcome.latenciesMicros()).getBytes(StandardCharsets.US_ASCII));
        assertEquals(
                row.expected(),
                "changes " + outcome.latenciesMicros().length + "; unfinished " + outcome.unfinished() + "; violations "
                        + outcome.violations().size() + "; us "
                        + Arrays.stream(outcome.latenciesMicros()).sum() + " median "
                        + outcome.latencyQuantileMicros(0.5) + " longest " + outcome.latencyQuantileMicros(1) + " "
                        + Long.toHexString(checksum.getValue()));
    }

    /** Also compares the numbers of datagrams and bytes, which {@link ControlSoak} does not report. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    6 | 5 | 7 | 30 | 3 | 1 | datagrams 8364 11343 14536 17247 20550 24469 27919 30040 34492; bytes 2406647; us 1288736 1318239 1223222 1353773 990319 1572566 1272164 982406; ends at 32087946; leases 132 a9882ffa; violations 0
                    6 | 5 | 7 | 30 | 3 | 2 | datagrams 5720 7539 9594 10512 13432 16190 20297 22986 27606; bytes 1960970; us 291083 1264542 1542093 403067 1639015 1376303 1576288 409700; ends at 25451495; leases 132 b8a1bc55; violations 0
                    2 | 3 | 3 | 10 | 1 | 3 | datagrams 1047 1565 1983 2269 2753 3334 3822 4395 5079; bytes 263572; us 397040 1194780 458031 258744 1019686 1221357 1285326 1238541; ends at 25359914; leases 16 5f4b5da7; violations 0
                    12 | 5 | 9 | 30 | 4 | 4 | datagrams 12602 15786 20515 25860 30993 35153 40110 44392 53476; bytes 3677539; us 1276665 358830 895603 1088080 1271875 558619 1139995 1499289; ends at 28413939; leases 228 bc6344fa; violations 0
                    1 | 7 | 11 | 30 | 1 | 5 | datagrams 5292 7974 10550 13506 16318 19243 22897 25025 27804; bytes 1389891; us 1171782 1557124 1259287 1344137 1243814 1287285 1569189 1288480; ends at 32976756; leases 41 97e40119; violations 0
                    """)
    void randomFaultRunHasTheRecordedDatagramsAndLatencies(
            int scopes, int voters, int replicas, int sidecars, int scopesPerSidecar, long seed, String expected) {
        // given
        ControlSimulation simulation =
                new ControlSimulation(group(scopes, voters, replicas), sidecars, scopesPerSidecar, seed);
        simulation.setNetwork(new ControlSimulation.Network(0.02, 0.02, 2_000));
        simulation.run(5 * SECOND_MICROS);
        // when
        String outcome = new ControlFaultRun(simulation, scopes, replicas, seed).run();
        // then
        assertEquals(expected, outcome);
    }
}
