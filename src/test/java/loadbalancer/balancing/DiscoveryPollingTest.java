package loadbalancer.balancing;

import static loadbalancer.balancing.UpstreamFixtures.A;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.balancing.Balancer.EndpointListKind;
import org.junit.jupiter.api.Test;

/** Tests the polls of discovery and their backoff. */
class DiscoveryPollingTest {
    @Test
    void pollsAtTheStartAndAgainAfterAFailure() {
        BalancerHarness harness = new BalancerHarness();
        harness.pollsDiscovery = true;
        harness.start();

        assertEquals(1, harness.actionsStartingWith("pollDiscovery").size());

        harness.balancer.onEndpointList(harness.nowMicros, EndpointListKind.FAILED, List.of());

        assertEquals(1, harness.actionsStartingWith("startTimer ask").size());

        harness.advance(2_000_000).fireTimer("ask");

        assertEquals(2, harness.actionsStartingWith("pollDiscovery").size());

        harness.balancer.onEndpointList(harness.nowMicros, EndpointListKind.FULL, List.of(A));
        harness.fireTimer("ask");

        assertEquals(2, harness.actionsStartingWith("pollDiscovery").size());
    }

    /**
     * Without a poll interval in the settings, the backoff must not shrink to nothing while discovery keeps
     * failing.
     */
    @Test
    void backsOffWithoutAPollIntervalInTheSettings() {
        BalancerHarness harness = new BalancerHarness();
        harness.pollsDiscovery = true;
        harness.pollIntervalMicros = 0;
        harness.start();
        for (int i = 0; i < 20; i++) {
            harness.balancer.onEndpointList(harness.nowMicros, EndpointListKind.FAILED, List.of());
            List<String> pollTimers = harness.actionsStartingWith("startTimer ask");

            assertEquals(i + 1, pollTimers.size());

            long backoffMicros = Long.parseLong(pollTimers.get(i).substring("startTimer ask ".length()));

            assertTrue(
                    backoffMicros >= 250_000 && backoffMicros < 750_000,
                    "expected a backoff of 250 to 750 ms, found " + backoffMicros + " us");

            harness.advance(backoffMicros).fireTimer("ask");
        }
    }
}
