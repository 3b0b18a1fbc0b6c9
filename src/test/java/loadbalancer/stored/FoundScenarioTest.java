package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.simulation.scenario.Fault;
import loadbalancer.simulation.scenario.Fault.Kind;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.simulation.search.FaultSearch;
import org.junit.jupiter.api.Test;

/** Compatibility of scenarios that the search found and shortened: files that override values and faults of "calm". */
class FoundScenarioTest {
    private static final String SAMPLE = "found-scenario.toml", ALL_FAULTS = "found-scenario-all-faults.toml";
    private static final Map<String, Object> VALUES =
            new LinkedHashMap<>(new TreeMap<>(Map.of("fleet.length", "16s", "fleet.nodes", 8L, "fleet.sidecars", 2L)));
    private static final String ABOUT = "found by a search: LEASE \\ sidecar 1: 'held' at the end";

    private static Scenario read(String name) throws Exception {
        return ScenarioFile.parse(name, String.join("\n", StoredSamples.lines(name)), Map.of());
    }

    /** The expected faults are drawn by the search from a fixed seed. */
    @Test
    void foundScenarioIsReadAndWrittenByteForByte() throws Exception {
        Scenario drawn = new FaultSearch("calm", VALUES, FaultSearch::sound).draw(3, 2);
        StoredSamples.assertWritten(
                SAMPLE,
                ScenarioFile.write("calm", ABOUT, VALUES, drawn.seed(), drawn.faults())
                        .getBytes(StandardCharsets.UTF_8));
        Scenario read = read(SAMPLE);
        assertEquals(ABOUT, read.about());
        assertEquals(drawn.seed(), read.seed());
        assertEquals(drawn.faults(), read.faults());
        assertEquals(drawn.fleet(), read.fleet());
        assertEquals(16_000_000, read.fleet().lengthUs());
        assertEquals(8, read.fleet().nodes());
        assertEquals(2, read.fleet().sidecars());
    }

    @Test
    void eachKindOfFaultIsReadAndWrittenByteForByte() throws Exception {
        List<Fault> faults = java.util.Arrays.stream(Kind.values())
                .map(kind -> new Fault(
                        1_000_000L * (kind.ordinal() + 1),
                        kind,
                        kind.ordinal() % 3 == 0 ? "south" : "",
                        kind.ordinal() % 4 == 1 ? List.of(0, 5) : List.of(),
                        kind.ordinal() % 2 == 0 ? 1 : 0.25,
                        kind.ordinal() % 5 == 0 ? 0 : 300_000,
                        kind.ordinal() % 3 == 1 ? 1_500_000 : 0,
                        kind.scale.isEmpty() ? 0 : kind.usual))
                .toList();
        StoredSamples.assertWritten(
                ALL_FAULTS,
                ScenarioFile.write("calm", "each kind of fault", Map.of(), 4, faults)
                        .getBytes(StandardCharsets.UTF_8));
        assertEquals(faults, read(ALL_FAULTS).faults());
    }
}
