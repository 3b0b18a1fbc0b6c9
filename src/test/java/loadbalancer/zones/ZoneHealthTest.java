package loadbalancer.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import loadbalancer.zones.ZoneHealth.State;
import org.junit.jupiter.api.Test;

class ZoneHealthTest {
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    private static final Set<String> FOUR_UPSTREAMS = Set.of("a", "b", "c", "d");

    private static ZoneHealth healthyZone() {
        ZoneHealth health = new ZoneHealth();
        health.onReadyUpstreams(0, FOUR_UPSTREAMS);
        FOUR_UPSTREAMS.forEach(upstreamId -> health.responded(10 * MILLISECOND, upstreamId));
        assertEquals(State.HEALTHY, health.state(10 * MILLISECOND));
        return health;
    }

    private static void makeSilent(ZoneHealth health, long fromMicros, String... upstreamIds) {
        for (String upstreamId : upstreamIds) {
            health.timedOut(fromMicros, upstreamId);
            health.timedOut(fromMicros + 340 * MILLISECOND, upstreamId);
        }
    }

    @Test
    void zoneIsUnresponsiveWhenAllItsUpstreamsAreSilent() {
        ZoneHealth health = healthyZone();
        makeSilent(health, SECOND, "a", "b", "c");
        // One of the four upstreams has responded recently.
        assertEquals(State.HEALTHY, health.state(2 * SECOND));
        assertEquals(0.25, health.availableFraction(2 * SECOND), 1e-9);
        makeSilent(health, 2 * SECOND, "d");
        assertEquals(State.UNRESPONSIVE, health.state(2 * SECOND + 340 * MILLISECOND));
        assertEquals(0, health.availableFraction(3 * SECOND));
        // Discovery still lists the zone, so others may reach it.
        assertEquals(State.PARTITIONED, health.state(6 * SECOND));
    }

    /** The balancer ejects a silent upstream after two failed health checks, so there may be no third timeout. */
    @Test
    void zoneBecomesUnresponsiveWithoutAThirdTimeout() {
        // given
        ZoneHealth health = healthyZone();
        // when
        for (String upstreamId : FOUR_UPSTREAMS) {
            health.timedOut(SECOND, upstreamId);
            health.timedOut(SECOND + 100 * MILLISECOND, upstreamId);
        }
        // then
        assertEquals(State.HEALTHY, health.state(SECOND + 200 * MILLISECOND));
        assertEquals(State.UNRESPONSIVE, health.state(SECOND + 340 * MILLISECOND));
    }

    @Test
    void singleTimeoutsAndBurstsOfTimeoutsDoNotMakeUpstreamsSilent() {
        // given one timeout of each upstream
        ZoneHealth health = healthyZone();
        for (String upstreamId : FOUR_UPSTREAMS) {
            health.timedOut(SECOND, upstreamId);
        }
        // then
        assertEquals(State.HEALTHY, health.state(2 * SECOND));
        // given requests that time out together, which count as one timeout
        ZoneHealth burst = healthyZone();
        for (String upstreamId : FOUR_UPSTREAMS) {
            for (int i = 0; i < 4; i++) {
                burst.timedOut(SECOND + i * MILLISECOND, upstreamId);
            }
        }
        // then
        assertEquals(State.HEALTHY, burst.state(SECOND + 400 * MILLISECOND));
        FOUR_UPSTREAMS.forEach(upstreamId -> health.responded(2 * SECOND, upstreamId));
        assertEquals(1, health.availableFraction(2 * SECOND));
    }

    @Test
    void silentMinorityIsNotAZoneFailureEvenWithoutEvidenceOfTheOthers() {
        ZoneHealth health = new ZoneHealth();
        health.onReadyUpstreams(0, Set.of("a", "b", "c", "d", "e"));
        makeSilent(health, SECOND, "a", "b");
        assertEquals(State.HEALTHY, health.state(2 * SECOND));
        makeSilent(health, 2 * SECOND, "c");
        assertEquals(State.UNRESPONSIVE, health.state(3 * SECOND));
    }

    @Test
    void zoneRecoversOnceHalfItsUpstreamsHaveResponded() {
        ZoneHealth health = healthyZone();
        makeSilent(health, SECOND, "a", "b", "c", "d");
        health.responded(3 * SECOND, "a");
        assertEquals(State.PROBATION, health.state(3 * SECOND));
        health.responded(3 * SECOND, "a");
        health.responded(3 * SECOND, "a");
        assertEquals(State.PROBATION, health.state(3 * SECOND));
        health.responded(3 * SECOND, "b");
        assertEquals(State.HEALTHY, health.state(3 * SECOND));
    }

    @Test
    void zoneEmptiedByADeploymentReturnsOnProbation() {
        ZoneHealth health = healthyZone();
        health.onReadyUpstreams(SECOND, Set.of());
        assertEquals(State.EMPTY, health.state(SECOND));
        health.onReadyUpstreams(2 * SECOND, Set.of("x", "y"));
        assertEquals(State.PROBATION, health.state(2 * SECOND));
        for (int i = 0; i < 3; i++) {
            health.responded(3 * SECOND, "x");
        }
        assertEquals(State.HEALTHY, health.state(3 * SECOND));
        // The zone had four upstreams before, so the two are half of it.
        assertEquals(0.5, health.availableFraction(3 * SECOND), 1e-9);
    }
}
