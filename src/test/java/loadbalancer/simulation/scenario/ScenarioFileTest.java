package loadbalancer.simulation.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import loadbalancer.toml.ConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A scenario file is read as strictly as the operator's: what is wrong names file, line and key. */
class ScenarioFileTest {
    private static final String ABOUT = "about = \"x\"\n";

    private static Scenario read(String text) throws ConfigurationException {
        return ScenarioFile.parse("t.toml", ABOUT + text, Map.of());
    }

    @Test
    void whatIsShippedIsWhatLiesInTheFolderAndCanBeRead() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("lab"))) {
            List<String> there = files.map(f -> f.getFileName().toString())
                    .filter(f -> f.endsWith(".toml"))
                    .map(f -> f.substring(0, f.length() - 5))
                    .sorted()
                    .toList();
            assertEquals(there, ScenarioFile.SHIPPED.stream().sorted().toList());
        }
        for (String name : ScenarioFile.SHIPPED) {
            assertTrue(ScenarioFile.read(name, Map.of()).about().length() > 20, name);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[fleet]\\nnodes = 0 | t.toml:3: fleet.nodes: expected a whole number from 1 to 2000, found 0",
                "[fleet]\\nnods = 3 | t.toml:3: fleet.nods: unknown; expected one of length, nodes, sidecars, told_sidecars, zones",
                "[nodes]\\ncold_share = 2.0 | t.toml:3: nodes.cold_share: expected a number from 0.01 to 1.0, found 2.0",
                "[[event]]\\ndo = 'dance' | t.toml:3: event.do: expected one of crash, stall,",
                "[[event]]\\nat = '3min'\\ndo = 'crash' | t.toml:3: event.at: expected a time within fleet.length",
                "[[event]]\\ndo = 'crash'\\nzone = 'east' | t.toml:4: event.zone: expected one of fleet.zones, north, south, west",
                "[[event]]\\ndo = 'crash'\\nnodes = [12] | t.toml:4: event.nodes: expected a list of whole numbers from 0 to 11",
                "[[class]]\\nname = 'a'\\neffect = 'odd' | t.toml:4: class.effect: expected \"safe\", \"keyed\" or \"unsafe\", found \"odd\"",
                "[operator.zones]\\ntrickle = '1ms' | t.toml:3: operator.zones.trickle: expected a duration",
                "[search]\\nkinds = ['x'] | t.toml:3: search.kinds: expected names of events; 'x' is none",
                "[expect]\\nserved = 'all' | t.toml:3: expect.served: expected a number",
                "x = [ | t.toml:2: no TOML"
            })
    void whatIsWrongIsNamedWithItsPlace(String text, String error) {
        ConfigurationException e = assertThrows(ConfigurationException.class, () -> read(text.replace("\\n", "\n")));
        assertTrue(e.getMessage().startsWith(error), e.getMessage());
    }

    @Test
    void aBaseIsTakenWithOtherValuesAndEvents() throws Exception {
        Scenario s = ScenarioFile.parse(
                "t",
                "base = 'deploy'\nseed = 9\n[instead]\n'fleet.nodes' = 6\n[[event]]\nat = '1s'\ndo = 'stall'\n",
                Map.of());
        assertEquals(6, s.fleet().nodes());
        assertEquals(9, s.seed());
        assertEquals(
                List.of(Fault.Kind.STALL), s.faults().stream().map(Fault::kind).toList());
        assertEquals(ScenarioFile.read("deploy", Map.of()).traffic(), s.traffic());
        assertEquals(
                0,
                ScenarioFile.parse("t", "base = 'deploy'\nevent = []\n", Map.of())
                        .faults()
                        .size());
        assertThrows(ConfigurationException.class, () -> ScenarioFile.parse("t", "base = 'nowhere'\n", Map.of()));
        ConfigurationException e =
                assertThrows(ConfigurationException.class, () -> ScenarioFile.read("calm", Map.of("fleet.nodse", 3L)));
        assertEquals("calm: 'fleet.nodse' is no key of a scenario", e.getMessage());
    }

    /** A find must play the same again from its file. */
    @Test
    void whatIsWrittenIsReadAgainAsItWas() throws Exception {
        List<Fault> faults = List.of(
                new Fault(1_500_000, Fault.Kind.CRASH, "west", List.of(), 0.25, 2_000_000, 300_000, 0),
                new Fault(2_000_000, Fault.Kind.HEAVY, "", List.of(), 1, 900_000, 0, 12.5),
                new Fault(3_000_000, Fault.Kind.STALL, "", List.of(2, 5), 1, 400_000, 0, 0));
        String text = ScenarioFile.write(
                "calm", "it \"broke\"", Map.of("fleet.length", "20s", "fleet.nodes", 9L), 77, faults);
        Scenario s = ScenarioFile.parse("t", text, Map.of());
        assertEquals(faults, s.faults());
        assertEquals(77, s.seed());
        assertEquals(20_000_000, s.fleet().lengthUs());
        assertEquals(
                List.of(),
                ScenarioFile.parse("t", ScenarioFile.write("deploy", "x", Map.of(), 1, List.of()), Map.of())
                        .faults());
    }
}
