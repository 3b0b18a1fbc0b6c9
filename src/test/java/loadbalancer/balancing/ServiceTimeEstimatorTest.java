package loadbalancer.balancing;

import static loadbalancer.balancing.RequestFixtures.streamRequest;
import static loadbalancer.balancing.UpstreamFixtures.A;
import static loadbalancer.balancing.UpstreamFixtures.upstreamSpeaking;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import org.junit.jupiter.api.Test;

/** Tests the estimates of speed and cores from latencies. */
class ServiceTimeEstimatorTest {
    /** The upstream under test has four cores of twice the standard speed. */
    @Test
    void learnsSpeedAndCoresFromLatenciesAlone() {
        BalancerHarness harness = new BalancerHarness();
        harness.loadReporting = LoadReporting.NONE;
        harness.latencyObjectiveMicros = 4_000_000;
        harness.start().endpointList(A);
        long[] coreFreeMicros = new long[4];
        List<long[]> running = new ArrayList<>();
        int nextRequest = 0;
        for (long millis = 0; millis < 120_000; millis++) {
            harness.advance(1_000);
            if (millis % 15 == 0) {
                harness.balancer.onRequest(
                        harness.nowMicros,
                        new Request("r" + nextRequest, -1, false, false, 100_000, 4_000_000, null, "c"));
                nextRequest++;
            }
            harness.fireTimer("hold");
            for (String send : harness.actionsStartingWith("send")) {
                int earliestCore = 0;
                for (int core = 1; core < 4; core++) {
                    earliestCore = coreFreeMicros[core] < coreFreeMicros[earliestCore] ? core : earliestCore;
                }
                coreFreeMicros[earliestCore] = Math.max(coreFreeMicros[earliestCore], harness.nowMicros) + 50_000;
                long requestNumber = Long.parseLong(send.split(" ")[1].substring(1));
                running.add(new long[] {coreFreeMicros[earliestCore], requestNumber, harness.nowMicros});
            }
            harness.actions.clear();
            for (int i = 0; i < running.size(); i++) {
                long[] endNumberAndSent = running.get(i);
                if (endNumberAndSent[0] <= harness.nowMicros) {
                    running.remove(i--);
                    harness.outcome(
                            "r" + endNumberAndSent[1], 0, "a", Outcome.OK, harness.nowMicros - endNumberAndSent[2]);
                }
            }
        }
        double serviceTimeFactor = harness.tracked("a").serviceTimeFactor();
        double cores = harness.balancer.directory().machineTypes().get("k").cores;

        assertTrue(cores > 2.5 && cores < 5, "expected about 4 cores, found " + cores);
        // Cores and speed may be off individually; their combined capacity of 8 standard cores is what
        // matters.
        assertTrue(
                cores / serviceTimeFactor > 6.5 && cores / serviceTimeFactor < 9.5,
                "expected a capacity of about 8, found " + cores + " cores of service-time factor "
                        + serviceTimeFactor);
    }

    /** Streams that stay open for long or start late must not make their upstream look slow. */
    @Test
    void learnsNothingFromStreams() {
        BalancerHarness harness = new BalancerHarness();
        harness.start().endpointList(upstreamSpeaking("s1", Balancer.GRPC));
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 50; i++) {
                String id = "r" + round + "-" + i;
                harness.balancer.onRequest(harness.nowMicros, streamRequest(id));

                assertEquals("s1", harness.sentTo(id, 0), "a stream of a burst waits although the upstream is idle");
            }
            harness.advance(700_000);
            for (int i = 0; i < 50; i++) {
                harness.balancer.onStreamStart(harness.nowMicros, "r" + round + "-" + i, 0, "s1", 700_000);
            }
            harness.advance(60_000_000);
            for (int i = 0; i < 50; i++) {
                harness.balancer.onOutcome(
                        harness.nowMicros, "r" + round + "-" + i, 0, "s1", Outcome.OK, 60_700_000, true, null);
            }
            harness.advance(1_000_000);
        }

        assertEquals(0, harness.tracked("s1").openStreams);
        assertEquals(1, harness.tracked("s1").serviceTimeFactor(), 1e-9);
        assertTrue(harness.actionsStartingWith("reject").isEmpty());
    }
}
