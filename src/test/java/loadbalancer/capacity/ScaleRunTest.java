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

/** Minimal sidecars in several processes on loopback sockets, with network faults between them. */
class ScaleRunTest {
    private static final int VOTERS = 3;
    private static final long LEASE_MICROS = 1_000_000;
    private static final long CHANGE_TIMEOUT_MICROS = 60_000_000;
    /** Largest relative difference between the datagram counts of a minimal and a real sidecar. */
    private static final double MAX_RELATIVE_DIFFERENCE = 0.25;

    @Test
    void allReachableMembersAdoptChangesDespiteFaults() throws Exception {
        int members = 12;
        try (ScaleRun run = new ScaleRun(members, VOTERS, LEASE_MICROS, 3)) {
            run.start();
            assertAdopted(members, run.change(5, n -> true, CHANGE_TIMEOUT_MICROS), "no fault");

            run.setSilent(11, true);
            assertAdopted(members - 1, run.change(5, n -> n != 11, CHANGE_TIMEOUT_MICROS), "one member silent");
            run.setSilent(11, false);

            run.partition(8, members);
            assertAdopted(8, run.change(5, n -> n < 8, CHANGE_TIMEOUT_MICROS), "a third partitioned");
            run.partition(0, 0);

            run.setLossRate(0.1);
            run.restart(9);
            assertAdopted(
                    members,
                    run.change(6, n -> true, CHANGE_TIMEOUT_MICROS),
                    "10 % of datagrams lost, one member restarted");
            run.setLossRate(0);

            run.killVoter(2);
            assertAdopted(members - 1, run.change(5, n -> n != 2, CHANGE_TIMEOUT_MICROS), "one voter killed");
        }
    }

    private static void assertAdopted(int expected, ScaleRun.Change change, String fault) {
        assertEquals(expected, change.expectedMembers(), fault);
        assertTrue(change.isComplete(), fault + ": " + change);
    }

    /** Scale runs would measure the wrong load if a minimal sidecar sent fewer or more datagrams than a real one. */
    @Test
    void idleMinimalSidecarSendsAsManyDatagramsAsARealOne() throws Exception {
        int members = 8;
        int real = members - 1;
        int minimal = members - 2;
        try (Testbed testbed = new Testbed(UpstreamShape.SMALL);
                ScaleRun run = new ScaleRun(members, VOTERS, LEASE_MICROS, 3, "127.77.3.8")) {
            testbed.nodes(1);
            List<String> peers = new ArrayList<>(run.addresses());
            peers.add("127.77.3.8:1");
            Map<String, Object> config = new LinkedHashMap<>();
            config.put("peer_listen", "127.77.3.8:0");
            config.put("peers", peers);
            config.put("peers_all", peers.get(0));
            Map<String, Object> list = Testbed.list(
                    40, testbed.nodes().stream().map(Testbed.Listed::of).toList());
            String operator = "[zones]\n[consensus]\nfleet = \"scale\"\nvoters = " + VOTERS
                    + "\nlease = \"1s\"\nfile = \"" + testbed.folder().resolve("policy.toml") + "\"\n";
            run.start();
            SidecarProcess sidecar = testbed.peered(real, members, list, config, operator);
            testbed.ready(sidecar.address()).get(60, TimeUnit.SECONDS);

            // Both are counted over the same time, until there are enough datagrams to compare.
            long realBefore = run.datagramsFrom(real);
            long minimalBefore = run.datagramsFrom(minimal);
            long realDatagrams = 0;
            for (int wait = 0; realDatagrams < 200; wait++) {
                assertTrue(
                        wait < 120,
                        "the real sidecar sent only " + realDatagrams + " datagrams in a minute: " + sidecar.log());
                testbed.play(500);
                realDatagrams = run.datagramsFrom(real) - realBefore;
            }
            double ratio = (double) (run.datagramsFrom(minimal) - minimalBefore) / realDatagrams;
            assertTrue(
                    ratio > 1 - MAX_RELATIVE_DIFFERENCE && ratio < 1 + MAX_RELATIVE_DIFFERENCE,
                    "datagrams of the minimal sidecar per datagram of the real one: " + ratio);
        }
    }

    /** The kernel closes the pipe when the parent process ends for any reason, so no host outlives its parent. */
    @Test
    void hostExitsAtTheEndOfItsInput() throws Exception {
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
            assertEquals(4, host.inputReader().readLine().split(" ").length, "one port per member");
            host.outputWriter().write("start\n");
            host.outputWriter().flush();
            assertEquals("ok", host.inputReader().readLine());
            host.outputWriter().close();
            assertTrue(host.waitFor(60, TimeUnit.SECONDS), "the host still runs 60 s after its input ended");
            assertEquals(0, host.exitValue());
        } finally {
            host.destroyForcibly();
        }
    }

    @Test
    void tooManyOrTooFewMembersAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new ScaleRun(2_101, 5, LEASE_MICROS, 1));
        assertThrows(IllegalArgumentException.class, () -> new ScaleRun(5, 5, LEASE_MICROS, 1));
    }
}
