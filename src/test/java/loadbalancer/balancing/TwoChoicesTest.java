package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.B;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.balancing.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Tests the draw of two upstreams and the choice between them. */
class TwoChoicesTest {
    @Test
    void picksTheLessBusyOfTwo() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);
        harness.request("r1").request("r2");

        assertNotEquals(harness.sentTo("r1", 0), harness.sentTo("r2", 0));
    }

    @Test
    void drawsIdleUpstreamsOfEqualSharesEquallyOften() {
        BalancerHarness harness = new BalancerHarness()
                .start()
                .endpointList(A, B, BalancerHarness.upstream("c", "zc", 3), BalancerHarness.upstream("d", "zc", 4));
        int[] selections = new int[4];
        for (int i = 0; i < 4000; i++) {
            harness.advance(1_000).request("r" + i);
            String target = harness.sentTo("r" + i, 0);
            selections[target.charAt(0) - 'a']++;
            harness.outcome("r" + i, 0, target, Outcome.OK, 75_000);
            harness.actions.clear();
        }
        for (int count : selections) {
            assertTrue(count > 800 && count < 1200, "expected about 1000 of 4000 requests, found " + count);
        }
    }

    @Test
    void breaksTiesBySelectionWeight() {
        BalancerHarness harness = new BalancerHarness().start().endpointList(A, B);

        harness.request("first");
        harness.outcome("first", 0, harness.sentTo("first", 0), Outcome.OK, 75_000);
        harness.tracked("a").selectionWeight = 0.75;
        harness.tracked("b").selectionWeight = 0.25;
        int toA = 0;
        for (int i = 0; i < 4000; i++) {
            harness.actions.clear();
            harness.request("r" + i);
            String target = harness.sentTo("r" + i, 0);
            toA += target.equals("a") ? 1 : 0;
            harness.outcome("r" + i, 0, target, Outcome.OK, 75_000);
        }

        assertTrue(toA > 2900 && toA < 3100, "expected about 3000 of 4000 requests at a, found " + toA);
    }

    /** One of many sidecars uses an upstream too rarely to know its load, so gossip must decide. */
    @Test
    void countsOtherSidecarsRequestsAsLoad() {
        for (String busy : List.of("a", "b")) {
            BalancerHarness harness = new BalancerHarness();
            harness.peerLoad = (nowMicros, upstreamId) -> upstreamId.equals(busy) ? 1 : 0;
            harness.start().endpointList(A, B);
            for (int i = 0; i < 20; i++) {
                harness.advance(300_000).request("r" + i);

                assertNotEquals(busy, harness.sentTo("r" + i, 0));

                harness.outcome("r" + i, 0, harness.sentTo("r" + i, 0), Outcome.OK, 50_000);
            }
        }
    }
}
