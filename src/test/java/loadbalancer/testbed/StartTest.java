package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.ClosedPort;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.disk.EndpointListStore;
import loadbalancer.testbed.Testbed.Listed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Real sidecars that start while discovery is the broken thing, from lists of any age, judged by the referee. */
@Timeout(120)
class StartTest {
    private static final long SECOND_US = 1_000_000, DAY_US = 86_400 * SECOND_US;
    private static final Map<String, Object> NOTHING_KNOWN = Testbed.list(1, List.of());

    /** Puts a list of this age into the folder, as a sidecar before would have. */
    private static void keep(Testbed world, Path folder, long generation, long ageUs, List<Listed> entries)
            throws Exception {
        try (EndpointListStore store = new EndpointListStore(folder, "stage", 1 << 20)) {
            store.write(new EndpointList(
                    ListSource.DISK,
                    generation,
                    true,
                    world.clock().nowMicros() - ageUs,
                    entries.stream()
                            .map(e -> new Endpoint(
                                    new Upstream(
                                            e.id(),
                                            e.zone(),
                                            "stand-in",
                                            0,
                                            e.startedMs() * 1000,
                                            1,
                                            UpstreamState.READY),
                                    e.address()))
                            .toList()));
        }
    }

    private static String operator(Path folder) {
        return "[membership]\n[membership.disk]\nfleet = \"stage\"\nfolder = \"" + folder + "\"\n";
    }

    private static String nobodysAddress() throws Exception {
        return "127.0.0.1:" + ClosedPort.reserve(0).getPort();
    }

    private static void kept(Testbed.Verdict verdict) {
        assertEquals(List.of(), verdict.first());
        assertEquals(0, verdict.fouls());
    }

    /**
     * Of a week-old list's names some are dead, some addresses belong to strangers by now, and one to another booking node.
     * No request reaches a stranger, the innocent node serves, and nothing runs twice.
     */
    @Test
    void aWeekOldListWithStrangersInIt() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(3)) {
            List<UnrelatedServer> strangers = new ArrayList<>();
            List<Listed> list = new ArrayList<>();
            for (UnrelatedServer.Manner manner : UnrelatedServer.Manner.values()) {
                strangers.add(world.impostor(manner));
                list.add(new Listed(
                        "gone-" + manner, strangers.get(strangers.size() - 1).address(), "north", 0));
            }
            for (int i = 0; i < 3; i++) {
                list.add(new Listed("dead-" + i, nobodysAddress(), "south", 0));
            }
            list.add(Listed.of(world.nodes().get(0)));
            list.add(Listed.of(world.nodes().get(1)));
            // Now another node's, in another zone than the list says.
            list.add(new Listed("before-n2", world.nodes().get(2).address(), "north", 0));
            Path folder = world.folder().resolve("kept");
            keep(world, folder, 41, 7 * DAY_US, list);
            world.registry().down(true);
            SidecarProcess sidecar = world.sidecar(1, NOTHING_KNOWN, operator(folder));
            world.ready(sidecar.address()).get(30, TimeUnit.SECONDS);
            LoadClients clients = world.clients(sidecar.name());
            clients.start(sidecar.address(), 60);
            world.play(2_500);
            kept(world.verdict());
            for (UnrelatedServer stranger : strangers) {
                assertEquals(0, stranger.requests(), "a stranger was sent a client's request");
            }
            for (StandInUpstream node : world.nodes()) {
                assertTrue(node.served() > 0, node.id() + " was left out: " + sidecar.log());
            }
            assertTrue(sidecar.awaitLog("7 days old").contains("each of them is checked first"));
        }
    }

    /** Four sidecars start from a fresh list while all that it names restarted cold a moment ago, and nobody tells them. */
    @Test
    void aFreshListThatNamesNodesRestartingColdRightThen() throws Exception {
        try (Testbed world = new Testbed(new UpstreamShape(1, 100, 12, 0.13, 24_000))
                .patient()
                .nodes(4)) {
            List<Listed> list = world.nodes().stream().map(Listed::of).toList();
            world.registry().down(true);
            world.nodes().forEach(StandInUpstream::kill);
            world.nodes().forEach(StandInUpstream::restart);
            List<SidecarProcess> sidecars = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Path folder = world.folder().resolve("kept" + i);
                keep(world, folder, 41, 5 * SECOND_US, list);
                sidecars.add(world.sidecar(4, NOTHING_KNOWN, operator(folder)));
            }
            for (SidecarProcess s : sidecars) {
                world.ready(s.address()).get(60, TimeUnit.SECONDS);
            }
            for (SidecarProcess s : sidecars) {
                // Half of what the four could do warm, four times what they can do now.
                world.clients(s.name()).start(s.address(), 5);
            }
            world.play(5_000);
            Testbed.Verdict verdict = world.verdict();
            kept(verdict);
            assertTrue(verdict.coldPeak() > 0 && verdict.coldPeak() <= 3, "cold peak " + verdict.coldPeak());
        }
    }

    /** Discovery comes back and knows other nodes than the disk: those it does not name get nothing new after the grace. */
    @Test
    void discoveryThatContradictsTheDiskHasTheLastWord() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(3)) {
            Path folder = world.folder().resolve("kept");
            keep(
                    world,
                    folder,
                    90,
                    2 * SECOND_US,
                    world.nodes().subList(0, 2).stream().map(Listed::of).toList());
            world.registry().down(true);
            world.registry().list(world.nodes().get(0), "Gone");
            world.registry().list(world.nodes().get(1), "Gone");
            SidecarProcess sidecar = world.sidecar(1, NOTHING_KNOWN, operator(folder));
            world.ready(sidecar.address()).get(30, TimeUnit.SECONDS);
            LoadClients clients = world.clients(sidecar.name());
            clients.start(sidecar.address(), 40);
            world.play(500);
            world.registry().down(false);
            sidecar.awaitLog("discovery responded: 1 upstreams confirmed, 2 removed");
            world.play(1_500);
            kept(world.verdict());
            assertTrue(
                    world.nodes().get(0).served() + world.nodes().get(1).served() > 0,
                    "the disk's nodes did not serve");
            assertTrue(world.nodes().get(2).served() > 0, "discovery's node does not serve");
        }
    }

    /** What a sidecar wrote while discovery lived, the next one starts from when it does not. */
    @Test
    void theListOfOneLifeServesTheNext() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(2)) {
            Path folder = world.folder().resolve("kept");
            SidecarProcess first = world.sidecar(1, NOTHING_KNOWN, operator(folder));
            world.ready(first.address()).get(30, TimeUnit.SECONDS);
            assertEquals(0, first.terminate());
            world.registry().down(true);
            SidecarProcess second = world.sidecar(1, NOTHING_KNOWN, operator(folder));
            world.ready(second.address()).get(30, TimeUnit.SECONDS);
            assertTrue(
                    second.awaitLog("starts from the list on disk").contains("of 2 upstreams"),
                    second.log().toString());
            LoadClients clients = world.clients(second.name());
            clients.start(second.address(), 30);
            world.play(700);
            kept(world.verdict());
            assertTrue(world.tally(0, 9).inTime() > 0);
        }
    }

    /** Two get one folder by mistake: one line from the second, and both serve. */
    @Test
    void twoSidecarsWithOneFolderBothServe() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(2)) {
            Path folder = world.folder().resolve("kept");
            SidecarProcess first = world.sidecar(2, NOTHING_KNOWN, operator(folder));
            world.ready(first.address()).get(30, TimeUnit.SECONDS);
            world.registry().list(world.node(), "Ready");
            SidecarProcess second = world.sidecar(2, NOTHING_KNOWN, operator(folder));
            second.awaitLog("another sidecar keeps its list in");
            world.ready(second.address()).get(30, TimeUnit.SECONDS);
            world.clients(first.name()).start(first.address(), 20);
            world.clients(second.name()).start(second.address(), 20);
            world.play(700);
            kept(world.verdict());
        }
    }

    /** Told to end while it starts without discovery, it answers what it holds and exits with 0. */
    @Test
    void terminatedDuringAStartWithoutDiscoveryItAnswersAll() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(2)) {
            Path folder = world.folder().resolve("kept");
            keep(
                    world,
                    folder,
                    41,
                    SECOND_US,
                    world.nodes().stream().map(Listed::of).toList());
            world.registry().down(true);
            SidecarProcess sidecar = world.sidecar(1, NOTHING_KNOWN, operator(folder));
            LoadClients clients = world.clients(sidecar.name());
            // Not ready yet: it listens, and requests come all the same.
            clients.start(sidecar.address(), 200);
            world.nodes().forEach(n -> n.stall(300));
            world.play(100);
            clients.stop();
            assertEquals(0, sidecar.terminate(), sidecar.log().toString());
            kept(world.verdict());
        }
    }

    /** With nobody but the dead on its list it refuses at once, and serves as soon as discovery names somebody. */
    @Test
    void withNobodyAliveItRefusesAtOnceAndServesWhenDiscoveryIsBack() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(1)) {
            Path folder = world.folder().resolve("kept");
            keep(world, folder, 41, DAY_US, List.of(new Listed("dead", nobodysAddress(), "north", 0)));
            world.registry().down(true);
            SidecarProcess sidecar = world.sidecar(1, NOTHING_KNOWN, operator(folder));
            LoadClients clients = world.clients(sidecar.name());
            clients.start(sidecar.address(), 20);
            world.play(400);
            clients.stop();
            world.settle();
            LoadClients.Tally t = world.tally(0, 9);
            assertEquals(t.sent(), t.refused(), t.toString());
            world.registry().down(false);
            world.ready(sidecar.address()).get(30, TimeUnit.SECONDS);
            kept(world.verdict());
        }
    }

    /** While discovery comes and goes without another list, what was known serves on, and discovery is not rushed. */
    @Test
    void aDiscoveryThatFlapsChangesNothing() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(3)) {
            SidecarProcess sidecar = startFromDisk(world);
            for (int i = 0; i < 8; i++) {
                world.registry().down(i % 3 == 0);
                world.play(200);
            }
            world.registry().down(false);
            assertAllServedWithFewCalls(world, sidecar);
        }
    }

    /**
     * Discovery comes and goes, and now and then withdraws all upstreams for less than the deadline: they get nothing
     * after the grace period, and all requests are served once they are listed again.
     */
    @Test
    void aDiscoveryThatFlapsAndAnswersEmptyListsIsObeyed() throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(3)) {
            SidecarProcess sidecar = startFromDisk(world);
            for (int i = 0; i < 8; i++) {
                world.registry().empty(i % 2 == 0);
                world.registry().down(i % 3 == 0);
                world.play(350);
            }
            world.registry().down(false);
            world.registry().empty(false);
            sidecar.awaitLog("3 removed (");
            sidecar.awaitLog("3 ready (");
            assertAllServedWithFewCalls(world, sidecar);
        }
    }

    private static void assertAllServedWithFewCalls(Testbed world, SidecarProcess sidecar) {
        kept(world.verdict());
        LoadClients.Tally t = world.tally(0, 99);
        assertEquals(0, t.refused() + t.failed() + t.unreachable(), t + " " + sidecar.log());
        assertTrue(world.registry().calls() <= 40, world.registry().calls() + " calls");
    }

    /** A sidecar whose list on disk has all nodes, with clients that have begun to send. */
    private static SidecarProcess startFromDisk(Testbed world) throws Exception {
        Path folder = world.folder().resolve("kept");
        keep(world, folder, 30, DAY_US, world.nodes().stream().map(Listed::of).toList());
        SidecarProcess sidecar = world.sidecar(1, NOTHING_KNOWN, operator(folder));
        world.ready(sidecar.address()).get(30, TimeUnit.SECONDS);
        world.clients(sidecar.name()).start(sidecar.address(), 40);
        return sidecar;
    }
}
