package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.UpstreamShape;
import org.junit.jupiter.api.Test;

/** Hollow sidecars in several processes on loopback sockets, with faults between them. */
class ScaleRunTest {
    private static final int VOTERS = 3;
    private static final long LEASE_US = 1_000_000;
    private static final long PATIENCE_US = 60_000_000;
    /** A hollow sidecar's messages against a real one's, as a part. */
    private static final double TOLERANCE = 0.25;

    @Test
    void aChangeReachesAllThatCanBeReachedThroughFaults() throws Exception {
        int members = 12;
        try (ScaleRun run = new ScaleRun(members, VOTERS, LEASE_US, 3)) {
            run.start();
            assertReached(members, run.change(5, n -> true, PATIENCE_US), "nobody away");

            run.setSilent(11, true);
            assertReached(members - 1, run.change(5, n -> n != 11, PATIENCE_US), "one away");
            run.setSilent(11, false);

            run.partition(8, members);
            assertReached(8, run.change(5, n -> n < 8, PATIENCE_US), "a third cut off");
            run.partition(0, 0);

            run.setLossRate(0.1);
            run.restart(9);
            assertReached(members, run.change(6, n -> true, PATIENCE_US), "one datagram in ten lost, one restarted");
            run.setLossRate(0);

            run.killVoter(2);
            assertReached(members - 1, run.change(5, n -> n != 2, PATIENCE_US), "a voter killed");
        }
    }

    private static void assertReached(int wanted, ScaleRun.Change change, String what) {
        assertEquals(wanted, change.expectedMembers(), what);
        assertTrue(change.isComplete(), what + ": " + change);
    }

    /** What stands for a real sidecar in the scale run says as much as a real one at rest. */
    @Test
    void aHollowSidecarSaysAsMuchAsARealOne() throws Exception {
        int members = 8;
        int real = members - 1;
        int hollow = members - 2;
        try (Testbed world = new Testbed(UpstreamShape.SMALL);
                ScaleRun run = new ScaleRun(members, VOTERS, LEASE_US, 3, "127.77.3.8")) {
            world.nodes(1);
            List<String> peers = new ArrayList<>(run.addresses());
            peers.add("127.77.3.8:1");
            Map<String, Object> config = new LinkedHashMap<>();
            config.put("peer_listen", "127.77.3.8:0");
            config.put("peers", peers);
            config.put("peers_all", peers.get(0));
            Map<String, Object> list = Testbed.list(
                    40, world.nodes().stream().map(Testbed.Listed::of).toList());
            String operator = "[zones]\n[consensus]\nfleet = \"scale\"\nvoters = " + VOTERS
                    + "\nlease = \"1s\"\nfile = \"" + world.folder().resolve("policy.toml") + "\"\n";
            run.start();
            SidecarProcess sidecar = world.peered(real, members, list, config, operator);
            world.ready(sidecar.address()).get(60, TimeUnit.SECONDS);

            // Both say their words for the same time; the count goes on until there are enough of them to compare.
            long realBefore = run.datagramsFrom(real);
            long hollowBefore = run.datagramsFrom(hollow);
            long said = 0;
            for (int half = 0; said < 200; half++) {
                assertTrue(half < 120, "the real sidecar has said " + said + " messages in a minute: " + sidecar.log());
                world.play(500);
                said = run.datagramsFrom(real) - realBefore;
            }
            double ratio = (double) (run.datagramsFrom(hollow) - hollowBefore) / said;
            assertTrue(ratio > 1 - TOLERANCE && ratio < 1 + TOLERANCE, "hollow over real: " + ratio);
        }
    }

    /** So it ends with whoever started it, however that one ends: the kernel closes the pipe. */
    @Test
    void aHostEndsWithItsInput() throws Exception {
        Process host = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        MinimalSidecarHost.class.getName(),
                        "scale",
                        "4",
                        "1",
                        "1000",
                        "1",
                        "0",
                        "4")
                .start();
        try {
            assertEquals(4, host.inputReader().readLine().split(" ").length, "a port for each member");
            host.outputWriter().write("start\n");
            host.outputWriter().flush();
            assertEquals("ok", host.inputReader().readLine());
            host.outputWriter().close();
            assertTrue(host.waitFor(60, TimeUnit.SECONDS), "it goes on without whoever started it");
            assertEquals(0, host.exitValue());
        } finally {
            host.destroyForcibly();
        }
    }

    @Test
    void moreMembersThanTheTargetAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new ScaleRun(2_101, 5, LEASE_US, 1));
        assertThrows(IllegalArgumentException.class, () -> new ScaleRun(5, 5, LEASE_US, 1));
    }
}
