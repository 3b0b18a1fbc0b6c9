package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** Tests which upstreams and zones a sidecar selects. */
class SubsetSelectionTest {
    @Test
    void selectsFewUpstreamsOfEachMachineTypeEvenlyIfConnectionsHaveAPrice() {
        int sidecarCount = 400;
        List<Upstream> fleet = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String machineType = i % 3 == 0 ? "slow" : "fast";
            fleet.add(new Upstream("u" + i * 7919, "za", machineType, i / 3, 0, 1, UpstreamState.READY));
        }
        Map<String, Integer> sidecarsByUpstream = new HashMap<>();
        for (int i = 0; i < sidecarCount; i++) {
            BalancerHarness harness = new BalancerHarness();
            harness.sidecarIndex = i;
            harness.sidecarCount = sidecarCount;
            harness.connectionPrice = 0.05;
            harness.loadReporting = LoadReporting.NONE;
            harness.start().endpointList(fleet.toArray(new Upstream[0]));
            Set<String> used = new HashSet<>();
            for (int j = 0; j < 40; j++) {
                harness.advance(200_000).request("r" + j);
                used.add(harness.sentTo("r" + j, 0));
                harness.outcome("r" + j, 0, harness.sentTo("r" + j, 0), Outcome.OK, 75_000);
            }

            assertTrue(used.size() <= 6, "expected at most 6 upstreams, found " + used);

            used.forEach(id -> sidecarsByUpstream.merge(id, 1, Integer::sum));
        }

        assertEquals(60, sidecarsByUpstream.size());

        sidecarsByUpstream.forEach((id, count) ->
                assertTrue(count >= 5 && count <= 50, "expected 5 to 50 sidecars at " + id + ", found " + count));
    }

    @Test
    void prefersAShortQueueInTheLocalZoneIfCrossingZonesHasAPrice() {
        BalancerHarness harness = new BalancerHarness();
        harness.crossZonePrice = 0.08;
        harness.loadReporting = LoadReporting.NONE;
        harness.start().endpointList(A, B);
        for (int i = 0; i < 3; i++) {
            harness.request("r" + i);

            assertEquals("a", harness.sentTo("r" + i, 0));
        }
        harness.request("over");

        assertEquals("b", harness.sentTo("over", 0));
    }
}
