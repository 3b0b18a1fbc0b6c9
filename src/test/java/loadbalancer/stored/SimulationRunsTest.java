package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import loadbalancer.json.JsonObject;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.report.HtmlReport;
import loadbalancer.simulation.scenario.Fault;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import org.junit.jupiter.api.Test;

/** Compatibility of simulation runs, which {@code lab run --json} writes as JSON lines for reports and comparisons. */
class SimulationRunsTest {
    private static final String SAMPLE = "simulation-runs.json";
    private static final Map<String, Object> SMALL_FLEET =
            Map.of("fleet.length", "2s", "fleet.nodes", 3L, "fleet.sidecars", 1L);

    @Test
    void runsEqualTheStoredOnesByteForByte() throws Exception {
        Scenario calm = ScenarioFile.read("calm", SMALL_FLEET);
        Fault crash = new Fault(500_000, Fault.Kind.CRASH, "", List.of(0), 1, 400_000, 0, 0);
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        for (Scenario scenario : List.of(calm, calm.with(List.of(crash), 2))) {
            SimulationRun run = new SimulatedFleet(scenario, Engine.balancer(scenario.operator()), null).play();
            lines.write(JsonObject.write(run.asMap()));
            lines.write('\n');
        }
        StoredSamples.assertWritten(SAMPLE, lines.toByteArray());
    }

    @Test
    void reportIsGeneratedFromStoredRuns() {
        List<JsonObject> runs = StoredSamples.lines(SAMPLE).stream()
                .map(line -> JsonObject.parse(line.getBytes(StandardCharsets.UTF_8)))
                .toList();
        assertEquals(2, runs.size());
        for (int i = 0; i < runs.size(); i++) {
            assertEquals("calm", runs.get(i).string("scenario"));
            assertEquals(i + 1, runs.get(i).integer("seed"));
            assertEquals(0, runs.get(i).integer("broken"));
        }
        assertEquals(List.of(), runs.get(0).stringsOrEmpty("events"));
        assertEquals(
                List.of("crash of nodes [0] at 0.5 s for 0.4 s"), runs.get(1).stringsOrEmpty("events"));
        String report = HtmlReport.days(runs);
        assertTrue(report.contains("calm, seed 1</h2>") && report.contains("calm, seed 2</h2>"), report);
    }
}
