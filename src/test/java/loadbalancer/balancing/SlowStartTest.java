package loadbalancer.balancing;

import static loadbalancer.balancing.RequestFixtures.protocolRequest;
import static loadbalancer.balancing.UpstreamFixtures.uncertainUpstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** Tests that all sidecars together stay within the budget of an upstream in slow start. */
class SlowStartTest {
    @Test
    void staysWithinThisSidecarsShareOfTheBudget() {
        assertWithinShare(sentInSlowStart(false));
    }

    /** A list that leaves the upstream out and one that lists it again do not give it another budget. */
    @Test
    void staysWithinItsShareOfTheBudgetOfAnUpstreamThatIsRemovedAndListedAgain() {
        assertWithinShare(sentInSlowStart(true));
    }

    /** Number of requests of 10 ms that a sidecar sends in the first 1.1 s of an upstream's slow start. */
    private static long sentInSlowStart(boolean listedAgain) {
        BalancerHarness harness = new BalancerHarness();
        harness.latencyObjectiveMicros = 40_000;
        harness.start();
        Upstream upstream = new Upstream("a", "za", "k", 1, harness.nowMicros, 1, UpstreamState.READY);
        harness.endpointList(upstream);
        long sent = 0;
        for (int i = 0; i < 100; i++) {
            if (listedAgain) {
                harness.endpointList().endpointList(upstream);
            }
            harness.advance(10_000).request("r" + i);
            if (harness.sentTo("r" + i, 0) != null) {
                sent++;
                harness.advance(1_000).outcome("r" + i, 0, "a", Outcome.OK, 10_000);
            }
        }
        return sent;
    }

    private static void assertWithinShare(long sent) {
        // Requests take 10 ms each. In 1.1 s the budget is 3 x at most 0.17 of the capacity, initially
        // estimated as two cores, and half of it is this sidecar's.
        assertTrue(
                sent >= 1 && sent * 10_000 <= 3 * 0.17 * 2 * 1_100_000 / 2,
                "expected 1 to 56 requests within the budget, found " + sent);
    }

    /**
     * Hundreds of sidecars learn about the upstream at the same time and do not gossip. Together they must
     * stay within the budget of any window, and still send enough requests.
     */
    @Test
    void manySidecarsStayWithinTheBudget() {
        int sidecarCount = 600;
        List<BalancerHarness> sidecars = new ArrayList<>();
        for (int i = 0; i < sidecarCount; i++) {
            BalancerHarness harness = new BalancerHarness();
            harness.sidecarIndex = i;
            harness.seed = i;
            harness.sidecarCount = sidecarCount;
            harness.latencyObjectiveMicros = 400_000;
            sidecars.add(harness.start()
                    .endpointList(new Upstream("a", "za", "k", 1, harness.nowMicros, 1, UpstreamState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < 800; step++) {
            for (BalancerHarness harness : sidecars) {
                harness.actions.clear();
                String id = "r" + step;
                harness.advance(10_000).request(id, 300_000);
                if (harness.sentTo(id, 0) != null) {
                    sends.add(harness.nowMicros);
                    harness.outcome(id, 0, "a", Outcome.OK, 100_000);
                }
                harness.fireTimer("hold");
            }
        }

        assertSentWithinBudget(BalancerHarness.START_MICROS, sends);
    }

    /**
     * With sampled loads there are more requests per slot: all sidecars wait for capacity at once, and the
     * reported load limits their requests.
     */
    @Test
    void manySidecarsThatSampleLoadsStayWithinTheBudget() {
        int sidecarCount = 500;
        List<BalancerHarness> sidecars = new ArrayList<>();
        for (int i = 0; i < sidecarCount; i++) {
            BalancerHarness harness = new BalancerHarness();
            harness.sidecarIndex = i;
            harness.seed = i;
            harness.sidecarCount = sidecarCount;
            harness.latencyObjectiveMicros = 400_000;
            harness.healthChecks = true;
            sidecars.add(harness.start()
                    .endpointList(new Upstream("a", "za", "k", 1, harness.nowMicros, 1, UpstreamState.READY)));
        }
        List<Long> sends = new ArrayList<>();
        double workMicros = 0;
        for (int step = 0; step < 2000; step++) {
            double warmupFactor = 0.13 + 0.87 * step * 5_000 / 24e6;
            workMicros = Math.max(0, workMicros - warmupFactor * 5_000);
            double load = Math.ceil(workMicros / 100_000);
            for (BalancerHarness harness : sidecars) {
                boolean checked = !harness.actionsStartingWith("checkHealth").isEmpty();
                harness.actions.clear();
                harness.advance(5_000);
                if (checked) {
                    harness.balancer.onHealthCheck(
                            harness.nowMicros, "a", Outcome.OK, 1_000, new LoadReport(load, Math.max(0, load - 1), 1));
                }
                if (step % 100 == 0) {
                    harness.request("r" + step, 700_000);
                }
                harness.fireTimer("hold");
                for (String send : harness.actionsStartingWith("send")) {
                    sends.add(harness.nowMicros);
                    workMicros += 100_000;
                    harness.outcome(send.split(" ")[1], 0, "a", Outcome.OK, 100_000);
                }
            }
        }

        assertSentWithinBudget(BalancerHarness.START_MICROS, sends);
    }

    /**
     * If its start is unknown, an upstream gets the budget from the latest time at which it may have started.
     */
    @Test
    void appliesTheBudgetToAnUpstreamThatMayHaveRestarted() {
        int[] sent = new int[2];
        for (int i = 0; i < 2; i++) {
            BalancerHarness harness = new BalancerHarness();
            harness.start()
                    .endpointList(uncertainUpstream("s1", "za", Uncertainty.IDENTITY, i == 0 ? 0 : harness.nowMicros));
            for (int request = 0; request < 100; request++) {
                harness.request("r" + request);
                if (harness.sentTo("r" + request, 0) != null) {
                    sent[i]++;
                    harness.outcome("r" + request, 0, "s1", Outcome.OK, 1_000);
                }
                harness.advance(1_000);
            }
        }

        assertTrue(
                sent[1] < sent[0] / 3,
                "expected less than a third, found " + sent[1] + " requests if it may have restarted, else " + sent[0]);
    }

    /** Both protocols together could overload an upstream in slow start, so they share its budget. */
    @Test
    void sharesTheBudgetBetweenProtocols() {
        int[] sent = new int[2];
        for (int mixed = 0; mixed < 2; mixed++) {
            BalancerHarness harness = new BalancerHarness();
            harness.start()
                    .endpointList(new Upstream(
                            "s1",
                            "za",
                            "k",
                            1,
                            harness.nowMicros,
                            1,
                            UpstreamState.READY,
                            Uncertainty.NONE,
                            0,
                            Balancer.HTTP1 | Balancer.GRPC));
            for (int request = 0; request < 400; request++) {
                harness.balancer.onRequest(
                        harness.nowMicros,
                        protocolRequest(
                                "r" + request, mixed == 1 && request % 2 == 0 ? Balancer.GRPC : Balancer.HTTP1));
                if (harness.sentTo("r" + request, 0) != null) {
                    sent[mixed]++;
                    harness.outcome("r" + request, 0, "s1", Outcome.OK, 20_000);
                }
                harness.advance(2_000);
            }
        }

        assertEquals(sent[0], sent[1]);
        assertTrue(sent[0] > 0 && sent[0] < 200, "expected 1 to 199 of 400 requests, found " + sent[0]);
    }

    private static void assertSentWithinBudget(long startMicros, List<Long> sends) {
        assertTrue(sends.size() > 8, "expected more than 8 requests, found " + sends.size());
        for (int i = 0; i < sends.size(); i++) {
            int j = i;
            while (j < sends.size() && sends.get(j) < sends.get(i) + 1_000_000) {
                j++;
            }
            double warmupFactor = 0.13 + 0.87 * (sends.get(i) - startMicros) / 24e6;
            assertTrue(
                    (j - i) * 0.1 <= 3 * warmupFactor,
                    (j - i) + " requests of 0.1 s within 1 s exceed 3 times the capacity " + warmupFactor);
        }
    }
}
