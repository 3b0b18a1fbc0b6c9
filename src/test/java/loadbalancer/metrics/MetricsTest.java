package loadbalancer.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import loadbalancer.metrics.Metrics.RequestOutcome;
import loadbalancer.metrics.MetricsSnapshot.ClassCounts;
import org.junit.jupiter.api.Test;

class MetricsTest {
    private final Metrics metrics = new Metrics();

    @Test
    void zerosAreReportedFromTheStartWithTheDocumentedNames() {
        // given
        metrics.addClass("a");
        // then
        assertEquals(
                "{transactions={a={answered=0, deferred=0, errored=0}}, current=0, sends=0, cluster_size=12, cluster_unhealthy=2, "
                        + "conf_loaded=0, conf_invalid=0}",
                metrics.snapshot(12, 2).toJson().toString());
    }

    @Test
    void admittedRequestsAreCompletedOrInFlightAfterRandomEvents() {
        for (long seed = 0; seed < 200; seed++) {
            // given
            SplittableRandom random = new SplittableRandom(seed);
            Metrics randomMetrics = new Metrics();
            randomMetrics.addClass("a");
            randomMetrics.addClass("b");
            long admitted = 0;
            long inFlight = 0;
            // when
            for (int event = 0; event < 300; event++) {
                if (inFlight == 0 || random.nextBoolean()) {
                    randomMetrics.requestAdmitted();
                    admitted++;
                    inFlight++;
                } else {
                    String requestClass = random.nextBoolean() ? "a" : "b";
                    randomMetrics.requestCompleted(requestClass, RequestOutcome.values()[random.nextInt(4)]);
                    inFlight--;
                }
            }
            // then
            assertEquals(inFlight, randomMetrics.inFlight(), "seed " + seed);
            assertEquals(
                    admitted, completed(randomMetrics, "a") + completed(randomMetrics, "b") + inFlight, "seed " + seed);
        }
    }

    private static long completed(Metrics metrics, String requestClass) {
        long completed = 0;
        for (RequestOutcome outcome : RequestOutcome.values()) {
            completed += metrics.count(requestClass, outcome);
        }
        return completed;
    }

    @Test
    void removedClassKeepsItsCountersAndUnknownClassIsNotCounted() {
        // given
        metrics.addClass("old");
        // when
        metrics.requestAdmitted();
        metrics.requestCompleted("old", RequestOutcome.SERVED);
        metrics.addClass("new");
        metrics.requestAnsweredWithoutAdmission("unknown", RequestOutcome.FAILED);
        metrics.requestAnsweredWithoutAdmission("old", RequestOutcome.FAILED);
        // then
        MetricsSnapshot snapshot = metrics.snapshot(0, 0);
        assertEquals("[old, new]", snapshot.classes().keySet().toString());
        assertEquals(new ClassCounts(1, 0, 1), snapshot.classes().get("old"));
        assertEquals(new ClassCounts(0, 0, 0), snapshot.classes().get("new"));
        assertEquals(0L, snapshot.toJson().get("current"));
    }

    @Test
    void reloadsAreCountedByWhetherTheyWereApplied() {
        // when
        metrics.configurationReloaded(true);
        metrics.configurationReloaded(false);
        // then
        assertEquals(1L, metrics.snapshot(0, 0).toJson().get("conf_loaded"));
        assertEquals(1L, metrics.snapshot(0, 0).toJson().get("conf_invalid"));
    }
}
