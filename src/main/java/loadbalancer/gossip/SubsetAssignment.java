package loadbalancer.gossip;

import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns a subset of the upstreams to each sidecar. All sidecars compute the same subsets from the same endpoint list.
 * The sidecars that share an upstream are few enough for each to send its requests in flight to the others. With
 * rendezvous hashing (Thaler, Ravishankar: Using Name-Based Mappings to Increase Hit Rates, IEEE/ACM ToN 6(1), 1998)
 * each sidecar chooses half of its subset, and the upstreams choose sidecars for the other half. So no sidecar or
 * upstream is left out by chance, and a change of the list changes only the subsets that contain the changed upstream.
 * The result is a random graph over which uneven load spreads out. A few upstreams per sidecar suffice, because with
 * fresh load information the longest queue falls doubly exponentially with their number (Mitzenmacher, The Power of Two
 * Choices, IEEE TPDS 12(10), 2001).
 *
 * <p>While the lists of sidecars differ, some gossip is sent to the wrong sidecars. Sidecars then know less about each
 * other's requests in flight; there is no other effect.
 */
final class SubsetAssignment {
    /**
     * Preferred minimum size, because one slow upstream is too large a part of a smaller subset. Up to
     * {@link #MAX_SHARER_MULTIPLE} times the target number of sharers is accepted for it.
     */
    static final int PREFERRED_MIN_SIZE = 4;

    /**
     * Minimum size that leaves a choice. If subsets would be smaller, each has all upstreams instead and no sharers are
     * known.
     */
    static final int MIN_SIZE = 2;

    /**
     * Number of sidecars times upstreams above which computing all subsets takes too long, so that no sharers are
     * known.
     */
    static final int MAX_PAIRS = 100_000;

    private static final int MAX_SHARER_MULTIPLE = 2;

    /** Size that gives enough choice for an average sidecar. */
    private static final int SUFFICIENT_SIZE = 8;

    /** Ratio of a subset's capacity to the load of an average sidecar, so that busy sidecars have enough capacity. */
    private static final int LOAD_HEADROOM = 8;

    /** Number of low bits of a score that hold the index of its sidecar or upstream. */
    private static final int INDEX_BITS = 16;

    private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;
    private static final int[] NO_SIDECARS = {};

    private final int sidecarIndex;
    private final int sidecarCount;
    private final int targetSharerCount;
    private final Map<String, Integer> positionById = new HashMap<>();
    private String[] upstreamIds = {};
    private int[] idHashes = {};

    /**
     * Rank of each upstream, by position: those of the subset first, then the others, both in this sidecar's order of
     * preference.
     */
    private int[] ranks = {};

    /**
     * For each upstream, by position, the other sidecars that have it in their subsets; empty if no sharers are known.
     */
    private int[][] sharersByPosition = {};

    private int size;

    /** @param targetSharerCount mean number of sidecars that may share an upstream, including this one */
    SubsetAssignment(int sidecarIndex, int sidecarCount, int targetSharerCount) {
        this.sidecarIndex = sidecarIndex;
        this.sidecarCount = sidecarCount;
        this.targetSharerCount = targetSharerCount;
    }

    /** Handles a change of the upstreams that accept requests, with all of their ids in any order. */
    void onEndpoints(List<String> endpointIds) {
        upstreamIds = endpointIds.toArray(new String[0]);
        idHashes = endpointIds.stream().mapToInt(String::hashCode).toArray();
        positionById.clear();
        for (int position = 0; position < upstreamIds.length; position++) {
            positionById.put(upstreamIds[position], position);
        }
        int targetSize = targetSize();
        boolean ownOrderOnly = targetSize == upstreamIds.length || (long) upstreamIds.length * sidecarCount > MAX_PAIRS;
        int[] ownOrder = preferredUpstreams(sidecarIndex, upstreamIds.length);
        BitSet members = new BitSet();
        if (ownOrderOnly) {
            sharersByPosition = new int[0][];
            for (int i = 0; i < targetSize; i++) {
                members.set(ownOrder[i]);
            }
        } else {
            sharersByPosition = findSharers(targetSize, members);
        }
        size = members.cardinality();
        ranks = ranks(ownOrder, members);
    }

    /** Number of upstreams in this sidecar's subset. */
    int size() {
        return size;
    }

    /**
     * Rank of the upstream in this sidecar's order, from 0, with the upstreams of the subset first;
     * {@link Integer#MAX_VALUE} if the upstream is not listed.
     */
    int rank(String upstreamId) {
        Integer position = positionById.get(upstreamId);
        return position == null ? Integer.MAX_VALUE : ranks[position];
    }

    /** The other sidecars that have the upstream in their subsets; empty if no sharers are known. */
    int[] sharers(String upstreamId) {
        Integer position = positionById.get(upstreamId);
        return position == null || sharersByPosition.length == 0 ? NO_SIDECARS : sharersByPosition[position];
    }

    /**
     * Mean size of a subset; the number of all upstreams if too many sidecars would share each upstream of a smaller
     * subset.
     */
    private int targetSize() {
        int upstreamCount = upstreamIds.length;
        int affordableSize = (targetSharerCount * upstreamCount + sidecarCount - 1) / sidecarCount;
        int usefulSize = Math.max(SUFFICIENT_SIZE, (LOAD_HEADROOM * upstreamCount + sidecarCount - 1) / sidecarCount);
        int extendedSize =
                Math.min(PREFERRED_MIN_SIZE, MAX_SHARER_MULTIPLE * targetSharerCount * upstreamCount / sidecarCount);
        int targetSize = Math.max(Math.min(affordableSize, usefulSize), extendedSize);
        return targetSize < MIN_SIZE ? upstreamCount : Math.min(upstreamCount, targetSize);
    }

    private static int[] ranks(int[] ownOrder, BitSet members) {
        int[] ranks = new int[ownOrder.length];
        int nextInside = 0;
        int nextOutside = members.cardinality();
        for (int position : ownOrder) {
            ranks[position] = members.get(position) ? nextInside++ : nextOutside++;
        }
        return ranks;
    }

    /** Number of upstreams of its subset that a sidecar chooses itself. */
    private static int ownChoiceCount(int targetSize) {
        return (targetSize + 1) / 2;
    }

    /** The positions of the first {@code count} upstreams in the sidecar's order of preference. */
    private int[] preferredUpstreams(int sidecar, int count) {
        long[] scores = new long[idHashes.length];
        for (int position = 0; position < idHashes.length; position++) {
            scores[position] = score(sidecar, idHashes[position]) << INDEX_BITS | position & INDEX_MASK;
        }
        return indicesOfLowest(scores, count);
    }

    /**
     * The indices of the sidecars that an upstream chooses, in ascending order; their number fills the other half of
     * all subsets.
     */
    private int[] preferredSidecars(int position, int targetSize) {
        long[] scores = new long[sidecarCount];
        for (int sidecar = 0; sidecar < sidecarCount; sidecar++) {
            scores[sidecar] = score(~sidecar, idHashes[position]) << INDEX_BITS | sidecar & INDEX_MASK;
        }
        int choiceCount = ((targetSize - ownChoiceCount(targetSize)) * sidecarCount + upstreamIds.length - 1)
                / upstreamIds.length;
        int[] chosen = indicesOfLowest(scores, Math.min(sidecarCount, choiceCount));
        Arrays.sort(chosen);
        return chosen;
    }

    private static int[] indicesOfLowest(long[] scores, int count) {
        Arrays.sort(scores);
        return Arrays.stream(scores)
                .limit(count)
                .mapToInt(score -> (int) (score & INDEX_MASK))
                .toArray();
    }

    /**
     * Returns, by position, the other sidecars that have the upstream in their subsets.
     *
     * @param ownMembers receives the positions of the upstreams in this sidecar's subset
     */
    private int[][] findSharers(int targetSize, BitSet ownMembers) {
        BitSet[] sidecarsByPosition = new BitSet[upstreamIds.length];
        for (int position = 0; position < upstreamIds.length; position++) {
            sidecarsByPosition[position] = new BitSet(sidecarCount);
            for (int sidecar : preferredSidecars(position, targetSize)) {
                sidecarsByPosition[position].set(sidecar);
            }
        }
        for (int sidecar = 0; sidecar < sidecarCount; sidecar++) {
            for (int position : preferredUpstreams(sidecar, ownChoiceCount(targetSize))) {
                sidecarsByPosition[position].set(sidecar);
            }
        }
        int[][] sharers = new int[upstreamIds.length][];
        for (int position = 0; position < upstreamIds.length; position++) {
            ownMembers.set(position, sidecarsByPosition[position].get(sidecarIndex));
            sidecarsByPosition[position].clear(sidecarIndex);
            sharers[position] = sidecarsByPosition[position].stream().toArray();
        }
        return sharers;
    }

    /** Hashes a sidecar and an upstream to 46 evenly distributed bits, with the finalizer of SplitMix64. */
    private static long score(int sidecar, int idHash) {
        long bits = idHash * 0x9e3779b97f4a7c15L + (sidecar + 1) * 0xd1342543de82ef95L;
        bits = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
        bits = (bits ^ bits >>> 27) * 0x94d049bb133111ebL;
        return (bits ^ bits >>> 31) >>> 18;
    }
}
