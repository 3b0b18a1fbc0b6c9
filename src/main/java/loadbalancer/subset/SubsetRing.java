package loadbalancer.subset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.Upstream;

/**
 * Orders all upstreams on rings and gives each sidecar a position on one of them. All sidecars compute the same rings.
 * There are several rings, so that upstreams that fail together do not all have the same neighbours. In each ring the
 * machine types of each zone are spread evenly, so that any arc has about the composition of the whole. Positions
 * follow the van der Corput sequence, so that any number of sidecars is evenly distributed, and adding or removing an
 * upstream moves a position by at most one. The sequence is that of rotating subsetting (Reinventing Backend Subsetting
 * at Google, ACM Queue 20(5), 2022); several orders are used as in deterministic subsetting (Site Reliability
 * Engineering, chapter 20).
 */
final class SubsetRing {
    private static final int MAX_RINGS = 8;

    /** Number of sidecars needed for each ring, because fewer would be distributed unevenly. */
    private static final int SIDECARS_PER_RING = 64;

    private static final double TWO_TO_32 = 4294967296.0;

    private SubsetRing() {}

    private record PlacedUpstream(Upstream upstream, double position, int hash) {
        private String id() {
            return upstream.id();
        }
    }

    /** Number of rings for a fleet. Sidecars that disagree on the fleet's size are distributed slightly less evenly. */
    static int ringCount(int sidecarCount) {
        return Math.max(1, Math.min(MAX_RINGS, sidecarCount / SIDECARS_PER_RING));
    }

    /** Position of a sidecar, from 0 to below 1, on ring {@code sidecarIndex % ringCount}. */
    static double position(int sidecarIndex, int ringCount) {
        int indexOnRing = sidecarIndex / ringCount;
        double vanDerCorput = (Integer.reverse(indexOnRing) & 0xffffffffL) / TWO_TO_32;
        return (vanDerCorput + (double) (sidecarIndex % ringCount) / ringCount) % 1;
    }

    /** Returns the upstreams in the order of a ring, which does not depend on the order in which they are passed in. */
    static List<Upstream> order(List<Upstream> upstreams, int ring) {
        // Positions depend on the hash code of the key, so all sidecars must use the same type of key.
        Map<List<String>, List<Upstream>> strata = new LinkedHashMap<>();
        for (Upstream upstream : upstreams) {
            strata.computeIfAbsent(List.of(upstream.zone(), upstream.machineType()), stratum -> new ArrayList<>())
                    .add(upstream);
        }
        List<PlacedUpstream> placed = new ArrayList<>(upstreams.size());
        strata.forEach((stratum, members) -> placed.addAll(spread(members, stratum.hashCode(), ring)));
        placed.sort(Comparator.comparingDouble(PlacedUpstream::position)
                .thenComparingInt(PlacedUpstream::hash)
                .thenComparing(PlacedUpstream::id));
        return placed.stream().map(PlacedUpstream::upstream).toList();
    }

    /** Spreads the upstreams of one stratum evenly over the ring, with an offset that depends on the stratum. */
    private static List<PlacedUpstream> spread(List<Upstream> members, int stratumHash, int ring) {
        members.sort(Comparator.comparingInt((Upstream upstream) -> idHash(upstream, ring))
                .thenComparing(Upstream::id));
        double offset = (hash(stratumHash, ring) & 0xffff) / 65536.0;
        List<PlacedUpstream> placed = new ArrayList<>(members.size());
        for (int i = 0; i < members.size(); i++) {
            Upstream upstream = members.get(i);
            placed.add(new PlacedUpstream(upstream, (i + offset) / members.size(), idHash(upstream, ring)));
        }
        return placed;
    }

    private static int idHash(Upstream upstream, int ring) {
        return hash(upstream.id().hashCode(), ring);
    }

    /** Hashes a number with the finalizer of MurmurHash3, so that neighbouring numbers are spread. */
    private static int hash(int value, int seed) {
        int bits = value ^ seed * 0x9e3779b9;
        bits = (bits ^ bits >>> 16) * 0x85ebca6b;
        bits = (bits ^ bits >>> 13) * 0xc2b2ae35;
        return bits ^ bits >>> 16;
    }
}
