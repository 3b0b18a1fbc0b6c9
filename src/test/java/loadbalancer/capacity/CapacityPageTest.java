package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The page's table is made of the recorded slopes, so that neither can change without the other. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path SLOPES = Path.of("docs/capacity-slopes.csv");
    private static final String BEGIN = "<!-- table: made of docs/capacity-slopes.csv -->\n";
    private static final String END = "<!-- end of the table -->";

    @Test
    void thePageHasTheTableThatTheRecordedSlopesMake() throws IOException {
        Map<ScaleMetric, RecordedSlope> slopes = RecordedSlope.read(Files.readAllLines(SLOPES));
        String page = Files.readString(PAGE);
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(END);
        assertTrue(begin >= 0 && end > begin, "the page has no table");
        assertEquals(CapacityTable.markdown(slopes), page.substring(begin + BEGIN.length(), end));
    }

    @Test
    void eachRecordedSlopeHasFourSizesOrSaysFewerAndItsResidual() throws IOException {
        Map<ScaleMetric, RecordedSlope> slopes = RecordedSlope.read(Files.readAllLines(SLOPES));
        assertEquals(ScaleMetric.values().length, slopes.size());
        for (RecordedSlope slope : slopes.values()) {
            assertTrue(slope.sizes().size() >= 3, slope.csvLine());
            assertTrue(slope.date().matches("\\d{4}-\\d{2}-\\d{2}"), slope.csvLine());
            assertTrue(slope.fit().residual() >= 0, slope.csvLine());
        }
    }

    @Test
    void aRowOverItsBudgetIsNamedAndOneWithinIsNot() {
        Map<ScaleMetric, RecordedSlope> slopes = new EnumMap<>(ScaleMetric.class);
        slopes.put(ScaleMetric.CHANGE, slope(ScaleMetric.CHANGE, 100, 1));
        slopes.put(ScaleMetric.CHANGE_ONE_AWAY, slope(ScaleMetric.CHANGE_ONE_AWAY, 5_000, 0));
        List<String> over = CapacityTable.overBudget(slopes);
        assertTrue(
                over.contains("all sidecars, a second change right behind it: 1.11 times its budget"), over::toString);
        assertTrue(over.stream().noneMatch(row -> row.contains("nobody away")), over::toString);
    }

    @Test
    void aLineOfTheFileIsReadAsItWasWritten() {
        RecordedSlope written = slope(ScaleMetric.VOTER_BYTES, 12.5, 92.25);
        assertEquals(
                Map.of(ScaleMetric.VOTER_BYTES, written),
                RecordedSlope.read(List.of(RecordedSlope.HEADER, written.csvLine())));
    }

    @Test
    void aWrongLineIsNamed() {
        List<String> unknown = List.of(RecordedSlope.HEADER, "no-figure,1,2,0,1 2,2026-12-02");
        String message = assertThrows(IllegalArgumentException.class, () -> RecordedSlope.read(unknown))
                .getMessage();
        assertTrue(message.startsWith("line 2"), message);
        List<String> cut = List.of(RecordedSlope.HEADER, "change,1,2");
        assertThrows(IllegalArgumentException.class, () -> RecordedSlope.read(cut));
        assertThrows(IllegalArgumentException.class, () -> RecordedSlope.read(List.of("change,1,2")));
    }

    private static RecordedSlope slope(ScaleMetric figure, double intercept, double slope) {
        return new RecordedSlope(
                figure, new LinearFit(intercept, slope, 0.01), List.of(260, 525, 1_050, 2_100), "2026-12-02");
    }
}
