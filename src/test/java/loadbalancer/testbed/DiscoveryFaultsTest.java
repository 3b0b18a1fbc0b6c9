package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Real sidecars while discovery drains, removes and lists upstreams in drawn order, goes down, loses its versions, lists
 * nothing, or has an entry that can't be read, judged by the referee. {@code -Ddiscovery.faults.seeds=N} plays N seeds.
 */
@Timeout(value = 20, unit = TimeUnit.MINUTES)
class DiscoveryFaultsTest {
    private static final int DEFAULT_SEEDS = 2;
    private static final int SIDECARS = 3;
    private static final int UPSTREAMS = 5;
    private static final int STEPS = 24;
    private static final int MIN_STEP_MILLIS = 100;
    private static final int MAX_STEP_MILLIS = 900;
    private static final int REQUESTS_PER_SECOND = 15;
    /** Time for a sidecar to learn of all changes and to end what it has sent before. */
    private static final long SETTLE_MILLIS = 7_000;
    /** Time for which an upstream is the only one that is ready. */
    private static final long ALONE_MILLIS = 1_500;

    private static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("discovery.faults.seeds", DEFAULT_SEEDS));
    }

    /** Guards against incident 3e0307 and its class: what discovery has withdrawn gets nothing after the grace period. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noRuleBreaksWhateverDiscoverySays(int seed) throws Exception {
        Random random = new Random(seed);
        try (Testbed world = new Testbed(UpstreamShape.SMALL).patient().nodes(UPSTREAMS)) {
            List<Testbed.Listed> known =
                    world.nodes().stream().map(Testbed.Listed::of).toList();
            List<SidecarProcess> sidecars = new ArrayList<>();
            for (int i = 0; i < SIDECARS; i++) {
                sidecars.add(world.sidecar(SIDECARS, Testbed.list(41, known), null));
            }
            for (SidecarProcess sidecar : sidecars) {
                world.ready(sidecar.address()).get(60, TimeUnit.SECONDS);
                world.clients(sidecar.name()).start(sidecar.address(), REQUESTS_PER_SECOND);
            }
            for (int step = 0; step < STEPS; step++) {
                injectFault(world, random);
                world.play(MIN_STEP_MILLIS + random.nextInt(MAX_STEP_MILLIS - MIN_STEP_MILLIS));
            }
            endFaults(world);
            world.play(SETTLE_MILLIS);
            List<String> unusedIds = unusedAlone(world);
            Testbed.Verdict verdict = world.verdict();
            String logs = "seed " + seed + ": "
                    + sidecars.stream().map(sidecar -> sidecar.log().toString()).toList();
            assertEquals(List.of(), verdict.first(), logs);
            assertEquals(0, verdict.fouls(), logs);
            assertEquals(List.of(), unusedIds, "not used although no other upstream is ready; " + logs);
        }
    }

    /** Drains all upstreams but one, in turn, and returns the ids of those that were not used then. */
    private static List<String> unusedAlone(Testbed world) {
        List<String> unusedIds = new ArrayList<>();
        for (StandInUpstream node : world.nodes()) {
            List<StandInUpstream> others =
                    world.nodes().stream().filter(other -> other != node).toList();
            others.forEach(other -> world.registry().list(other, "Terminating"));
            int servedBefore = node.served();
            world.play(ALONE_MILLIS);
            if (node.served() == servedBefore) {
                unusedIds.add(node.id());
            }
            others.forEach(other -> world.registry().list(other, "Ready"));
        }
        return unusedIds;
    }

    private static void injectFault(Testbed world, Random random) {
        StandInUpstream node = world.nodes().get(random.nextInt(UPSTREAMS));
        StandInDiscovery discovery = world.registry();
        switch (random.nextInt(10)) {
            case 0, 1 -> discovery.list(node, "Terminating");
            case 2 -> discovery.list(node, "Gone");
            case 3, 4 -> discovery.list(node, "Ready");
            case 5 -> discovery.empty(random.nextBoolean());
            case 6 -> discovery.down(random.nextInt(3) == 0);
            case 7 -> discovery.resetVersions();
            case 8 -> discovery.listUnreadableEntry(random.nextBoolean());
            default -> {
                node.kill();
                node.restart();
                discovery.list(node, "Ready");
            }
        }
    }

    private static void endFaults(Testbed world) {
        StandInDiscovery discovery = world.registry();
        discovery.down(false);
        discovery.empty(false);
        discovery.listUnreadableEntry(false);
        world.nodes().forEach(node -> discovery.list(node, "Ready"));
    }
}
