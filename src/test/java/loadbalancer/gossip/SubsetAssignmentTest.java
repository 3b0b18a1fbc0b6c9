package loadbalancer.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SubsetAssignmentTest {
    private static final int TARGET_SHARER_COUNT = 17;

    private static List<String> upstreamIds(int count) {
        return IntStream.range(0, count).mapToObj(i -> "n" + i).toList();
    }

    private static SubsetAssignment assignment(int sidecarIndex, int sidecarCount, List<String> upstreamIds) {
        SubsetAssignment assignment = new SubsetAssignment(sidecarIndex, sidecarCount, TARGET_SHARER_COUNT);
        assignment.onEndpoints(upstreamIds);
        return assignment;
    }

    private static boolean contains(SubsetAssignment assignment, String upstreamId) {
        return assignment.rank(upstreamId) < assignment.size();
    }

    private static Set<String> subset(SubsetAssignment assignment, List<String> upstreamIds) {
        Set<String> subset = new TreeSet<>();
        upstreamIds.stream()
                .filter(upstreamId -> contains(assignment, upstreamId))
                .forEach(subset::add);
        return subset;
    }

    /** The order of the endpoint list differs between the sidecars. */
    @Test
    void allSidecarsComputeTheSameSharers() {
        // given
        int sidecarCount = 100;
        List<String> upstreamIds = upstreamIds(200);
        List<SubsetAssignment> assignments = new ArrayList<>();
        for (int sidecar = 0; sidecar < sidecarCount; sidecar++) {
            List<String> order = new ArrayList<>(upstreamIds);
            Collections.rotate(order, 17 * sidecar);
            assignments.add(assignment(sidecar, sidecarCount, order));
        }
        // then
        int sharedCount = 0;
        int totalSize = 0;
        for (int sidecar = 0; sidecar < sidecarCount; sidecar++) {
            int size = assignments.get(sidecar).size();
            assertEquals(size, subset(assignments.get(sidecar), upstreamIds).size());
            assertTrue(size >= 8 && size <= 30, "subset of size " + size + ", mean size 16");
            totalSize += size;
            for (String upstreamId : upstreamIds) {
                Set<Integer> sharers = new HashSet<>();
                Arrays.stream(assignments.get(sidecar).sharers(upstreamId)).forEach(sharers::add);
                for (int other = 0; other < sidecarCount; other++) {
                    boolean shares = other != sidecar && contains(assignments.get(other), upstreamId);
                    assertEquals(
                            shares,
                            sharers.contains(other),
                            "what sidecar " + sidecar + " computes of sidecar " + other + " at " + upstreamId);
                    sharedCount += shares ? 1 : 0;
                }
            }
        }
        assertEquals(totalSize * 99, sharedCount);
        assertTrue(Math.abs(totalSize - 1_600) < 100, "total size of all subsets " + totalSize);
    }

    @Test
    void allUpstreamsHaveASimilarNumberOfSharers() {
        for (int[] fleet : new int[][] {{300, 60}, {100, 60}, {100, 200}, {1000, 70}, {40, 400}}) {
            // given
            List<String> upstreamIds = upstreamIds(fleet[1]);
            // when
            SubsetAssignment assignment = assignment(0, fleet[0], upstreamIds);
            // then
            int[] sharerCounts = upstreamIds.stream()
                    .mapToInt(upstreamId -> assignment.sharers(upstreamId).length)
                    .sorted()
                    .toArray();
            double mean = Arrays.stream(sharerCounts).average().orElse(0);
            assertTrue(sharerCounts[0] >= mean / 3, Arrays.toString(sharerCounts));
            assertTrue(sharerCounts[sharerCounts.length - 1] <= 2.2 * mean + 2, Arrays.toString(sharerCounts));
        }
    }

    @Test
    void newUpstreamReplacesAtMostOneUpstreamOfASubset() {
        // given
        List<String> before = upstreamIds(60);
        List<String> after = new ArrayList<>(before);
        after.add("new");
        // when, then
        int movedCount = 0;
        for (int sidecar = 0; sidecar < 300; sidecar++) {
            Set<String> subsetBefore = subset(assignment(sidecar, 300, before), before);
            Set<String> subsetAfter = subset(assignment(sidecar, 300, after), after);
            Set<String> lost = new TreeSet<>(subsetBefore);
            lost.removeAll(subsetAfter);
            assertTrue(
                    lost.size() <= 1 && subsetAfter.size() <= subsetBefore.size() + 1,
                    "sidecar " + sidecar + " lost " + lost);
            movedCount += lost.size();
        }
        assertTrue(movedCount > 0 && movedCount <= 40, movedCount + " upstreams were replaced");
    }

    @Test
    void fewUpstreamsAreInAllSubsetsAndHaveNoSharers() {
        // given
        List<String> three = upstreamIds(3);
        // when
        SubsetAssignment assignment = assignment(5, 300, three);
        // then
        assertEquals(3, assignment.size());
        assertEquals(0, assignment.sharers("n1").length, "gossip to 299 recipients is too expensive");
        assertEquals(0, assignment.sharers("gone").length);
        assertEquals(Integer.MAX_VALUE, assignment.rank("gone"));
        assertEquals(0, assignment(5, 300, List.of()).size());
    }

    @Test
    void veryLargeFleetHasSubsetsWithoutKnownSharers() {
        // given
        List<String> many = upstreamIds(2_000);
        // when
        SubsetAssignment assignment = assignment(0, 1_000, many);
        // then
        assertEquals(0, assignment.sharers("n1").length);
        assertEquals(16, subset(assignment, many).size());
    }
}
