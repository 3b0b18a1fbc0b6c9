package loadbalancer.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SubsetTest {
    private static final long SECOND = 1_000_000;
    private static final long DRAIN = 10 * SECOND;
    private static final SubsetOptions AT_LEAST_FIVE = new SubsetOptions(5, 2, DRAIN, 0);

    private static Upstream upstream(int number, UpstreamState state) {
        return new Upstream("n" + number, "z" + number % 3, number % 4 == 0 ? "big" : "std", -1, 0, 1, state);
    }

    private static List<Upstream> upstreams(int count) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            upstreams.add(upstream(number, UpstreamState.READY));
        }
        return upstreams;
    }

    private static Subset subset(int sidecarIndex, int sidecarCount, List<Upstream> upstreams) {
        Subset subset = new Subset(AT_LEAST_FIVE, sidecarIndex, sidecarCount, 0);
        subset.onEndpoints(upstreams);
        return subset;
    }

    private static List<String> members(Subset subset, long nowMicros) {
        return subset.effectiveEndpoints(nowMicros).stream()
                .filter(upstream -> upstream.state() == UpstreamState.READY)
                .map(Upstream::id)
                .toList();
    }

    private static long count(List<Upstream> upstreams, UpstreamState state) {
        return upstreams.stream().filter(upstream -> upstream.state() == state).count();
    }

    @ParameterizedTest
    @CsvSource({"100, 20", "1000, 20", "5000, 20", "5000, 12", "5000, 60", "1000, 47", "3000, 100"})
    void allUpstreamsAreInASimilarNumberOfSubsets(int sidecarCount, int upstreamCount) {
        // given
        List<Upstream> upstreams = upstreams(upstreamCount);
        // when
        Map<String, Integer> subsetCounts = new HashMap<>();
        for (int sidecar = 0; sidecar < sidecarCount; sidecar++) {
            members(subset(sidecar, sidecarCount, upstreams), 0).forEach(id -> subsetCounts.merge(id, 1, Integer::sum));
        }
        // then
        assertEquals(upstreamCount, subsetCounts.size());
        int[] counts = subsetCounts.values().stream().mapToInt(i -> i).toArray();
        double ratio = Arrays.stream(counts).max().orElse(0)
                / (double) Arrays.stream(counts).min().orElse(1);
        assertTrue(ratio <= 1.3, "ratio of maximum to minimum " + ratio);
    }

    @Test
    void subsetsStayEvenIfSidecarsDisagreeOnTheFleetsSize() {
        // when
        Map<String, Integer> subsetCounts = new HashMap<>();
        for (int sidecar = 0; sidecar < 1_000; sidecar++) {
            int assumedCount = sidecar % 3 == 0 ? 600 : sidecar % 3 == 1 ? 1_000 : 100_000;
            members(subset(sidecar, assumedCount, upstreams(20)), 0)
                    .forEach(id -> subsetCounts.merge(id, 1, Integer::sum));
        }
        // then
        int[] counts = subsetCounts.values().stream().mapToInt(i -> i).sorted().toArray();
        assertTrue(counts[counts.length - 1] <= 1.3 * counts[0], Arrays.toString(counts));
    }

    /** A sidecar should keep most upstreams of its subset, because what it has learnt about them stays useful. */
    @Test
    void addedUpstreamChangesFewMembers() {
        int changedCount = 0;
        for (int sidecar = 0; sidecar < 500; sidecar++) {
            Set<String> lost = new HashSet<>(members(subset(sidecar, 500, upstreams(40)), 0));
            lost.removeAll(members(subset(sidecar, 500, upstreams(41)), 0));
            changedCount += lost.size();
        }
        assertTrue(changedCount <= 500 * 5 * 0.25, changedCount + " of 2500 members changed");
    }

    /**
     * HALO's split needs the machine types, and retries with an idempotency key need the zones, in the same proportions
     * as among all upstreams.
     */
    @Test
    void subsetHasAboutTheSameCompositionAsAllUpstreams() {
        // given
        SubsetOptions atLeastTwelve = new SubsetOptions(12, 2, DRAIN, 0);
        for (int sidecar = 0; sidecar < 200; sidecar++) {
            Subset subset = new Subset(atLeastTwelve, sidecar, 200, 0);
            subset.onEndpoints(upstreams(36));
            // when
            List<Upstream> effective = subset.effectiveEndpoints(0);
            // then
            for (String zone : List.of("z0", "z1", "z2")) {
                long ofZone = effective.stream()
                        .filter(upstream -> upstream.zone().equals(zone))
                        .count();
                assertTrue(ofZone >= 3 && ofZone <= 5, zone + " has " + ofZone + " of 12");
            }
            long big = effective.stream()
                    .filter(upstream -> upstream.machineType().equals("big"))
                    .count();
            assertTrue(big >= 2 && big <= 5, big + " of 12 are of machine type big");
        }
    }

    @Test
    void suspectedUpstreamsAreSupplementedUntilTheyRecover() {
        // given
        Subset subset = subset(3, 100, upstreams(12));
        List<String> first = members(subset, 0);
        // when
        first.forEach(upstreamId -> {
            subset.attemptEnded(SECOND, upstreamId, true);
            subset.attemptEnded(SECOND, upstreamId, true);
        });
        // then
        assertTrue(subset.isUpdateDue(SECOND));
        List<String> second = members(subset, SECOND);
        assertEquals(10, second.size(), "all five are suspected to be down, so five others are added");
        assertTrue(second.containsAll(first));
        subset.attemptEnded(2 * SECOND, first.get(0), false);
        assertEquals(9, members(subset, 2 * SECOND).size());
        assertEquals(5, members(subset, 20 * SECOND).size(), "the suspicion expires");
    }

    @Test
    void allUpstreamsAreMembersIfAllAreSuspected() {
        // given
        Subset subset = subset(3, 100, upstreams(8));
        // when
        for (int round = 0; round < 4; round++) {
            for (String upstreamId : members(subset, SECOND)) {
                subset.attemptEnded(SECOND, upstreamId, true);
                subset.attemptEnded(SECOND, upstreamId, true);
            }
        }
        // then
        assertEquals(8, members(subset, SECOND).size());
    }

    @Test
    void busySidecarHasALargerSubsetAndDrainsUpstreamsThatLeaveIt() {
        // given
        Subset subset = subset(1, 100, upstreams(30));
        // when
        long nowMicros = 0;
        for (int i = 0; i < 3_000; i++) {
            nowMicros += SECOND / 20;
            subset.attemptEnded(nowMicros, "n1", false);
        }
        // then
        assertTrue(subset.isUpdateDue(nowMicros));
        int busySize = members(subset, nowMicros).size();
        assertTrue(busySize >= 9 && busySize <= 11, busySize + " upstreams for 20 requests per second");
        // when idle again
        long laterMicros = nowMicros + 120 * SECOND;
        List<Upstream> effective = subset.effectiveEndpoints(laterMicros);
        // then
        assertEquals(5, count(effective, UpstreamState.READY));
        assertEquals(busySize - 5, count(effective, UpstreamState.DRAINING));
        assertFalse(subset.isUpdateDue(laterMicros));
        assertTrue(subset.isUpdateDue(laterMicros + DRAIN + SECOND));
        assertEquals(5, subset.effectiveEndpoints(laterMicros + DRAIN + SECOND).size());
    }

    @Test
    void stateOfUpstreamsThatAreNoLongerListedIsRemoved() {
        // given
        Subset subset = subset(1, 100, upstreams(12));
        members(subset, 0).forEach(upstreamId -> subset.attemptEnded(SECOND, upstreamId, true));
        // when
        subset.onEndpoints(List.of(upstream(77, UpstreamState.READY)));
        subset.effectiveEndpoints(SECOND);
        // then
        assertEquals(0, subset.trackedUpstreams());
        assertEquals(List.of("n77"), members(subset, SECOND));
    }

    @Test
    void drainingUpstreamsAreNotMembers() {
        // given
        List<Upstream> upstreams = upstreams(12);
        Subset subset = subset(2, 100, upstreams);
        String first = members(subset, 0).get(0);
        // when
        subset.onEndpoints(upstreams.stream()
                .map(upstream -> upstream.id().equals(first)
                        ? new Upstream(first, upstream.zone(), upstream.machineType(), -1, 0, 1, UpstreamState.DRAINING)
                        : upstream)
                .toList());
        // then
        assertEquals(5, members(subset, SECOND).size());
        assertFalse(members(subset, SECOND).contains(first));
        assertTrue(subset.effectiveEndpoints(SECOND).stream()
                .anyMatch(upstream -> upstream.id().equals(first) && upstream.state() == UpstreamState.DRAINING));
    }

    @Test
    void sidecarsPerUpstreamDependOnTheFleetsSize() {
        assertEquals(1_250, Subset.sidecarsPerUpstream(AT_LEAST_FIVE, 5_000, 20));
        assertEquals(30, Subset.sidecarsPerUpstream(AT_LEAST_FIVE, 30, 5));
        assertEquals(
                250,
                Subset.sidecarsPerUpstream(new SubsetOptions(5, 2, SECOND, 1_000), 5_000, 20),
                "the operator's fleet size overrides the platform's");
        assertEquals(1, Subset.sidecarsPerUpstream(AT_LEAST_FIVE, 3, 100));
    }
}
