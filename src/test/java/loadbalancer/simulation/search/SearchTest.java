package loadbalancer.simulation.search;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import org.junit.jupiter.api.Test;

/** A search must find what is broken; three sidecars that are broken on purpose, and one that is not. */
class SearchTest {
    private static final int RUNS = 200, BATCH = 25;

    /** The first day that breaks a rule, of so many. */
    private static void finds(
            String scenario, Map<String, Object> instead, Function<Scenario, SimulatedFleet> broken, String rule)
            throws Exception {
        FaultSearch search = new FaultSearch(scenario, instead, broken);
        try (Runner runner = new Runner(Runtime.getRuntime().availableProcessors())) {
            for (int run = 0; run < RUNS; run += BATCH) {
                for (SimulationRun d : search.play(7, run, BATCH, runner, x -> {})) {
                    if (FaultSearch.broken(d).equals(rule)) {
                        FaultSearch.Find f = search.shrink(run, d);
                        assertTrue(f.shrunk().scenario().faults().size()
                                <= d.scenario().faults().size());
                        Scenario again = ScenarioFile.parse("found", f.toml(), Map.of());
                        assertEquals(
                                rule, FaultSearch.broken(broken.apply(again).play()), f.toml());
                        assertEquals(
                                "",
                                FaultSearch.broken(FaultSearch.sound(again).play()),
                                "sidecars as they are keep the rule on that day");
                        return;
                    }
                }
            }
        }
        fail(RUNS + " days found nothing");
    }

    private static Engine.BalancerFactory with(Scenario s, Function<Settings, Settings> other) {
        Engine.BalancerFactory real = Engine.balancer(s.operator());
        return (settings, others, seed, now, actions) -> real.create(other.apply(settings), others, seed, now, actions);
    }

    private static Settings with(Settings s, List<RequestClass> classes, Rules rules) {
        return new Settings(
                s.sidecarIndex(),
                s.sidecarCount(),
                s.zone(),
                s.zones(),
                s.machineTypes(),
                classes,
                s.tenants(),
                s.limits(),
                rules,
                s.loadReporting(),
                s.pollsDiscovery(),
                s.weightsByWork(),
                s.overQuotaWeight(),
                s.prices(),
                s.tickMicros());
    }

    @Test
    void aDrainThatIsIgnoredIsFound() throws Exception {
        finds(
                "storm-of-faults",
                Map.of("fleet.length", "20s"),
                s -> {
                    Engine.BalancerFactory real = Engine.balancer(s.operator());
                    return new SimulatedFleet(
                            s,
                            (settings, others, seed, now, actions) ->
                                    new Deaf(real.create(settings, others, seed, now, actions)),
                            null) {
                        @Override
                        protected boolean sendsTo(UpstreamState state) {
                            return state != UpstreamState.GONE;
                        }
                    };
                },
                "DRAINS_KEPT");
    }

    @Test
    void aKeyedRepeatInAnotherZoneIsFound() throws Exception {
        finds(
                "storm-of-faults",
                Map.of(),
                s -> new SimulatedFleet(
                        s,
                        with(
                                s,
                                settings -> with(
                                        settings,
                                        settings.classes().stream()
                                                .map(c -> new RequestClass(
                                                        c.name(),
                                                        c.idempotency(),
                                                        IdempotencyScope.ALL,
                                                        c.idempotencyWindowMicros(),
                                                        c.latencyObjectiveMicros(),
                                                        c.latencyObjectiveWorkMultiple(),
                                                        c.deadlineMicros(),
                                                        c.priorityWeight(),
                                                        c.lateWeightFraction(),
                                                        c.streaming()))
                                                .toList(),
                                        settings.rules())),
                        null),
                "NO_SECOND_EFFECT");
    }

    @Test
    void aColdBudgetThatIsDoubledIsFound() throws Exception {
        finds(
                "cold-storm",
                Map.of(),
                s -> new SimulatedFleet(
                        s,
                        with(s, settings -> {
                            Rules r = settings.rules();
                            return with(
                                    settings,
                                    settings.classes(),
                                    new Rules(
                                            r.drainGraceMicros(),
                                            r.slowStartInitialFraction(),
                                            r.slowStartMicros(),
                                            2 * r.overloadMultiple(),
                                            r.overloadWindowMicros(),
                                            r.discoveryPollMicros(),
                                            r.responseSlackMicros(),
                                            r.closeOnDrainMicros()));
                        }),
                        null),
                "COLD_SPARED");
    }

    @Test
    void whatIsDrawnIsTheSameForTheSameSeedAndNumber() throws Exception {
        FaultSearch a = new FaultSearch("storm-of-faults", Map.of(), FaultSearch::sound);
        FaultSearch b = new FaultSearch("storm-of-faults", Map.of(), FaultSearch::sound);
        assertEquals(a.draw(3, 17), b.draw(3, 17));
        assertNotEquals(a.draw(3, 17).faults(), a.draw(3, 18).faults());
    }

    @Test
    void sidecarsAsTheyAreBreakNothingOnFortyDays() throws Exception {
        FaultSearch search = new FaultSearch("storm-of-faults", Map.of("fleet.length", "20s"), FaultSearch::sound);
        try (Runner runner = new Runner(Runtime.getRuntime().availableProcessors())) {
            for (SimulationRun d : search.play(11, 0, 40, runner, x -> {})) {
                assertEquals(
                        "",
                        FaultSearch.broken(d),
                        d.fouls() + " " + d.troubles() + " " + d.scenario().faults());
            }
        }
    }

    /** A module to which nobody ever drains. */
    private record Deaf(Balancer real) implements Balancer {
        @Override
        public void onEndpointList(long now, EndpointListKind kind, List<Upstream> entries) {
            real.onEndpointList(
                    now,
                    kind,
                    entries.stream()
                            .map(u -> u.state() != UpstreamState.DRAINING
                                    ? u
                                    : new Upstream(
                                            u.id(),
                                            u.zone(),
                                            u.machineType(),
                                            u.cell(),
                                            u.startedMicros(),
                                            u.weight(),
                                            UpstreamState.READY))
                            .toList());
        }

        @Override
        public void onRequest(long now, Request request) {
            real.onRequest(now, request);
        }

        @Override
        public void onOutcome(
                long now,
                String request,
                int attempt,
                String upstream,
                Outcome outcome,
                long latencyUs,
                boolean done,
                LoadReport report) {
            real.onOutcome(now, request, attempt, upstream, outcome, latencyUs, done, report);
        }

        @Override
        public void onStreamStart(long now, String request, int attempt, String upstream, long latencyUs) {
            real.onStreamStart(now, request, attempt, upstream, latencyUs);
        }

        @Override
        public void onHealthCheck(long now, String upstream, Outcome outcome, long latencyUs, LoadReport report) {
            real.onHealthCheck(now, upstream, outcome, latencyUs, report);
        }

        @Override
        public void onExpired(long now, String request) {
            real.onExpired(now, request);
        }

        @Override
        public void onGossip(long now, int peer, byte[] message) {
            real.onGossip(now, peer, message);
        }

        @Override
        public void onTimer(long now, String mark) {
            real.onTimer(now, mark);
        }
    }
}
