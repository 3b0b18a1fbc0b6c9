package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import loadbalancer.capacity.LinearFit;
import loadbalancer.capacity.RecordedSlope;
import loadbalancer.capacity.ScaleMetric;
import org.junit.jupiter.api.Test;

/** Slopes that a scale run recorded, by which the capacity page is made. */
class CapacitySlopesTest {
    private static final String SAMPLE = "capacity-slopes.csv", DATE = "2026-12-02";
    private static final List<Integer> SIZES = List.of(260, 525, 1050, 2100);

    @Test
    void theStoredSlopesAreReadAndWrittenAgainByteForByte() {
        Map<ScaleMetric, RecordedSlope> expected = Map.of(
                ScaleMetric.VOTER_DATAGRAMS,
                new RecordedSlope(ScaleMetric.VOTER_DATAGRAMS, new LinearFit(3.04249, 2.66934, 0.001), SIZES, DATE),
                ScaleMetric.MEMBER_CORES,
                new RecordedSlope(
                        ScaleMetric.MEMBER_CORES, new LinearFit(0.000735195, -6.83732e-08, 0.131), SIZES, DATE),
                ScaleMetric.CHAIN_ATTEMPTS_LOG,
                new RecordedSlope(
                        ScaleMetric.CHAIN_ATTEMPTS_LOG,
                        new LinearFit(-8.88178e-16, 1.38629, 0),
                        List.of(1, 2, 4),
                        DATE));
        StringBuilder written = new StringBuilder(RecordedSlope.HEADER).append('\n');
        for (ScaleMetric figure :
                List.of(ScaleMetric.VOTER_DATAGRAMS, ScaleMetric.MEMBER_CORES, ScaleMetric.CHAIN_ATTEMPTS_LOG)) {
            written.append(expected.get(figure).csvLine()).append('\n');
        }
        StoredSamples.assertWritten(SAMPLE, written.toString().getBytes(StandardCharsets.UTF_8));
        assertEquals(expected, RecordedSlope.read(StoredSamples.lines(SAMPLE)));
    }
}
