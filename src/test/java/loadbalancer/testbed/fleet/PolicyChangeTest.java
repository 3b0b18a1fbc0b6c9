package loadbalancer.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.consensus.audit.PolicyHistory;
import loadbalancer.consensus.audit.PolicyLogReader;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.testbed.LoadClients;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.StandInUpstream;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.UpstreamShape;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.ResourceLock;

/** Changes of policy among real sidecar processes, with faults between them while they are made. Rules and order; never how fast. */
@ResourceLock("a fleet of processes")
class PolicyChangeTest {
    private static final int SIDECARS = 6;
    private static final Pattern IN_FORCE = Pattern.compile(".*policy ([0-9a-f]+) is in force.*");

    private static FleetProcesses fleet() throws Exception {
        Map<String, Object> instead =
                Map.of("fleet.sidecars", (long) SIDECARS, "fleet.nodes", 9L, "fleet.length", "3s", "traffic.load", 0.2);
        return new FleetProcesses(
                ScenarioFile.read("spread", instead),
                true,
                null,
                folder ->
                        "[log]\nformat = \"json\"\n[zones]\n[consensus]\nfleet = \"test\"\nvoters = 3\nlease = \"1s\"\nfile = \""
                                + folder.resolve("policy.toml") + "\"\n");
    }

    private static String call(SidecarProcess p, String method, String path) throws Exception {
        InetSocketAddress at = p.adminAddress();
        HttpURLConnection c = (HttpURLConnection)
                URI.create("http://127.0.0.1:" + at.getPort() + path).toURL().openConnection();
        c.setRequestMethod(method);
        int status = c.getResponseCode();
        return status + " "
                + new String(
                        (status < 400 ? c.getInputStream() : c.getErrorStream()).readAllBytes(),
                        StandardCharsets.UTF_8);
    }

    private static String propose(FleetProcesses fleet, int by, String policy) throws Exception {
        Files.writeString(fleet.world().folder().resolve("policy.toml"), policy);
        return call(fleet.sidecars().get(by), "POST", "/control/policy/propose");
    }

    /** The version that the proposer says is in force, once it is; {@code known}: those that were before. */
    private static String changed(FleetProcesses fleet, int by, String policy, List<String> known) throws Exception {
        assertTrue(
                propose(fleet, by, policy).startsWith("200"),
                fleet.sidecars().get(by).log().toString());
        SidecarProcess p = fleet.sidecars().get(by);
        String line =
                p.awaitLog(l -> IN_FORCE.matcher(l).matches() && known.stream().noneMatch(l::contains));
        Matcher m = IN_FORCE.matcher(line);
        assertTrue(m.matches());
        return m.group(1);
    }

    private static void everywhere(FleetProcesses fleet, String version, int... but) throws Exception {
        for (int i = 0; i < SIDECARS; i++) {
            int number = i;
            if (java.util.Arrays.stream(but).noneMatch(b -> b == number)) {
                fleet.sidecars().get(i).awaitLog("policy " + version + " is in force");
            }
        }
    }

    private static int served(FleetProcesses fleet, String zone) {
        return fleet.world().nodes().stream()
                .filter(n -> n.zone().equals(zone))
                .mapToInt(StandInUpstream::served)
                .sum();
    }

    @Test
    void aChangeIsInForceEverywhereThoughSomeAreDownOrCutOffMeanwhile() throws Exception {
        try (FleetProcesses fleet = fleet()) {
            long begunUs = fleet.world().clock().nowMicros();
            fleet.begin();
            fleet.world().play(500);
            String first = changed(fleet, 0, "[zones]\naway = [\"north\"]\n", List.of());
            everywhere(fleet, first);
            fleet.world().play(700);
            int before = served(fleet, "north");
            int others = served(fleet, "south");
            fleet.world().play(1_500);
            assertEquals(before, served(fleet, "north"), "nothing new to a zone that is away by all");
            assertTrue(served(fleet, "south") > others);

            // A voter and another one are down while the next is made, by one without a vote.
            List<SidecarProcess> ended = new ArrayList<>();
            for (int down : new int[] {1, 5}) {
                ended.add(fleet.sidecars().get(down));
                fleet.clients(down).sidecarMayDie();
                fleet.clients(down).stop();
                fleet.sidecars().get(down).close();
            }
            String second = changed(fleet, 3, "[zones]\naway = [\"south\"]\n", List.of(first));
            everywhere(fleet, second, 1, 5);
            for (int down : new int[] {1, 5}) {
                fleet.restart(down);
                // It answers that it is ready before what it has logged is read here.
                fleet.sidecars().get(down).awaitLog("ready after a rehearsal");
                List<String> log = fleet.sidecars().get(down).log();
                int learnt = index(log, "policy " + second + " is in force");
                assertTrue(
                        learnt >= 0 && learnt < index(log, "ready after a rehearsal"),
                        "it knows before it is ready: " + log);
                assertFalse(log.stream().anyMatch(l -> l.contains(first)), "and nothing of what was: " + log);
            }

            // One hears nobody, and finds out by its clock that it may have missed something; then it has.
            for (int i = 0; i < SIDECARS; i++) {
                fleet.cut(i, 4, true);
            }
            SidecarProcess deaf = fleet.sidecars().get(4);
            deaf.awaitLog("may have missed a change of policy");
            String third = changed(fleet, 0, "[zones]\naway = [\"west\"]\n", List.of(first, second));
            everywhere(fleet, third, 4);
            assertFalse(deaf.log().stream().anyMatch(l -> l.contains(third)));
            for (int i = 0; i < SIDECARS; i++) {
                fleet.cut(i, 4, false);
            }
            everywhere(fleet, third);

            audited(fleet, ended);
            FleetProcesses.Played played = fleet.end(begunUs, 0, 30);
            assertEquals(0, played.verdict().fouls(), played.verdict().first().toString());
            for (int i : new int[] {0, 2, 3, 4}) {
                LoadClients.Tally t = fleet.clients(i).tally(0, 60);
                assertEquals(0, t.failed() + t.unreachable(), "s" + i + ": " + played.line());
            }
        }
    }

    /** What all logs together say is as it must be. */
    private static void audited(FleetProcesses fleet, List<SidecarProcess> ended) throws Exception {
        PolicyHistory history = new PolicyHistory();
        for (SidecarProcess p : ended) {
            PolicyLogReader.read(history, p.name() + " before", p.log());
        }
        for (SidecarProcess p : fleet.sidecars()) {
            PolicyLogReader.read(history, p.name(), p.log());
        }
        assertEquals(List.of(), history.violations(20));
        assertTrue(history.describe().size() >= 4, history.describe().toString());
    }

    private static int index(List<String> log, String part) {
        for (int i = 0; i < log.size(); i++) {
            if (log.get(i).contains(part)) {
                return i;
            }
        }
        return -1;
    }

    /** Killed as soon as it has said that two versions go together, or paused over it: what it began is finished by others, and it goes by that. */
    @Test
    void whoeverDiesOrStandsStillMeanwhileTheFleetGoesByOne() throws Exception {
        try (FleetProcesses fleet = fleet()) {
            String first = changed(fleet, 2, "[zones]\naway = [\"north\"]\n", List.of());
            everywhere(fleet, first);
            SidecarProcess proposer = fleet.sidecars().get(0);
            SidecarProcess paused = fleet.sidecars().get(4);
            paused.pause();
            assertTrue(propose(fleet, 0, "[zones]\naway = [\"south\"]\n").startsWith("200"));
            String joint = fleet.sidecars()
                    .get(2)
                    .awaitLog(l -> l.contains("policy " + first + " and ") && l.contains("go together"));
            proposer.close();
            String second = joint.replaceAll(".* and ([0-9a-f]+) go together.*", "$1");
            everywhere(fleet, second, 0, 4);
            paused.goOn();
            fleet.restart(0);
            everywhere(fleet, second);
            audited(fleet, List.of(proposer));
            List<String> log = paused.log();
            assertFalse(
                    log.stream().anyMatch(l -> l.contains("go together") && l.contains(second)),
                    "it was never in between: " + log);
        }
    }

    /** Where nobody has asked for it, it costs nothing: not a class of it is there, with words between sidecars or without. */
    @Test
    void withoutItNothingOfItIsLoaded() throws Exception {
        try (FleetProcesses fleet = new FleetProcesses(
                ScenarioFile.read("spread", Map.of("fleet.sidecars", 2L, "fleet.nodes", 3L)), true)) {
            fleet.begin();
            fleet.world().play(1_500);
            String jcmd =
                    Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
            Process p = new ProcessBuilder(
                            jcmd,
                            String.valueOf(fleet.sidecars().get(0).process().pid()),
                            "VM.class_hierarchy")
                    .start();
            List<String> loaded = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(l -> l.contains("loadbalancer."))
                    .toList();
            assertTrue(
                    loaded.stream().anyMatch(l -> l.contains("loadbalancer.gossip.InFlightGossip")),
                    "classes are told: " + loaded.size());
            assertEquals(
                    List.of(),
                    loaded.stream()
                            .filter(l -> l.contains("loadbalancer.consensus.")
                                    || l.contains("sidecar.AgreedConfiguration")
                                    || l.contains("PolicyFile"))
                            .toList());
        }
    }

    @Test
    void whoCantDecideInCommonDoesNotStart() throws Exception {
        try (Testbed world = new Testbed(new UpstreamShape(1, 20, 8, 0.2, 1_000))) {
            world.nodes(2);
            Map<String, Object> known = Testbed.list(
                    40, world.nodes().stream().map(Testbed.Listed::of).toList());
            String operator = "[zones]\n[consensus]\nfleet = \"test\"\nvoters = 5\nfile = \"p\"\n";
            Map<String, Object> peers = Map.of(
                    "peer_listen",
                    "127.0.0.1:0",
                    "peers",
                    List.of("127.0.0.1:9", "127.0.0.1:8", "127.0.0.1:7"),
                    "peers_all",
                    "127.0.0.1:9");
            SidecarProcess few = world.peered(3, known, peers, operator);
            few.awaitLog(
                    "operator's file: [consensus] voters: expected at most the 3 sidecars that there are, found 5");
            assertEquals(2, few.process().waitFor());
            SidecarProcess silent = world.peered(3, known, Map.of(), operator);
            silent.awaitLog(
                    "operator's file: [consensus] needs gossip between all sidecars: expected peer_listen, and peers with 3 addresses");
            assertEquals(2, silent.process().waitFor());
        }
    }

    @Test
    void whatCantBeTakenIsRefusedWithItsReason() throws Exception {
        try (FleetProcesses fleet = fleet()) {
            String no = propose(fleet, 1, "[zones]\naway = [\"nowhere\"]\n");
            assertTrue(
                    no.startsWith("409") && no.contains("there is no zone 'nowhere'; there are north, south, west"),
                    no);
            assertTrue(propose(fleet, 1, "[zones]\nawy = []\n").contains("awy"));
            String status = call(fleet.sidecars().get(1), "GET", "/control/policy");
            assertTrue(
                    status.contains("\"version\":\"none\"")
                            && status.contains("\"learnt\":true")
                            && status.contains("\"sure\":true"),
                    status);
            assertTrue(call(fleet.sidecars().get(1), "POST", "/control/policy").startsWith("405"));
        }
    }
}
