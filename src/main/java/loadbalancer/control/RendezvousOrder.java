package loadbalancer.control;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * The order in which a sidecar prefers replicas, by a hash of both numbers (rendezvous hashing: Thaler and Ravishankar,
 * Using Name-Based Mappings to Increase Hit Rates, IEEE/ACM Transactions on Networking 6(1), 1998). Each replica is the
 * first choice of about the same number of sidecars, and the sidecars of a lost replica are spread over all others.
 */
public final class RendezvousOrder {
    private RendezvousOrder() {}

    /** Numbers of all replicas in order of preference. */
    public static int[] forSidecar(int sidecar, int replicas) {
        return IntStream.range(0, replicas)
                .boxed()
                .sorted(Comparator.comparingLong(replica -> -weight(sidecar, replica)))
                .mapToInt(Integer::intValue)
                .toArray();
    }

    /** The same order with the {@code near} replicas before all others. */
    public static int[] forSidecar(int sidecar, int replicas, Collection<Integer> near) {
        int[] order = forSidecar(sidecar, replicas);
        IntStream first = Arrays.stream(order).filter(near::contains);
        IntStream others = Arrays.stream(order).filter(replica -> !near.contains(replica));
        return IntStream.concat(first, others).toArray();
    }

    /** A hash of both numbers, mixed as in SplitMix64 (Steele, Lea, Flood, OOPSLA 2014); not negative. */
    private static long weight(int sidecar, int replica) {
        long mixed = ((long) sidecar << 32 | replica) * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return (mixed ^ mixed >>> 31) >>> 1;
    }
}
