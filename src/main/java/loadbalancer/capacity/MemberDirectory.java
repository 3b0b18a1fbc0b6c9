package loadbalancer.capacity;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Addresses of all members, and the simulated network faults: partitions and loss apply at the receiver. A real sidecar
 * sends from an address of its own, at a port that is unknown until its first datagram. Used on the host's event loop
 * only.
 */
final class MemberDirectory {
    private final InetSocketAddress[] addresses;
    private final Map<InetSocketAddress, Integer> numberByAddress = new HashMap<>();
    private final Map<InetAddress, Integer> realSidecars = new HashMap<>();
    private final SplittableRandom random;
    private double lossRate;
    private int partitionFrom;
    private int partitionUntil;

    MemberDirectory(int members, long seed) {
        addresses = new InetSocketAddress[members];
        random = new SplittableRandom(seed);
    }

    void put(int number, InetSocketAddress address) {
        addresses[number] = address;
        numberByAddress.put(address, number);
    }

    void putRealSidecar(int number, InetAddress address) {
        realSidecars.put(address, number);
    }

    /** The address of a member; null if it is not known yet. */
    InetSocketAddress address(int number) {
        return addresses[number];
    }

    /** The number of the member that sends from an address; -1 if it is none. */
    int number(InetSocketAddress sender) {
        Integer number = numberByAddress.get(sender);
        if (number != null) {
            return number;
        }
        Integer realSidecar = realSidecars.get(sender.getAddress());
        if (realSidecar == null) {
            return -1;
        }
        put(realSidecar, sender);
        return realSidecar;
    }

    /**
     * Separates the members from {@code from} to before {@code until} from all others; equal numbers end the partition.
     */
    void partition(int from, int until) {
        partitionFrom = from;
        partitionUntil = until;
    }

    /** Sets the fraction of datagrams that is lost, from 0 to 1. */
    void setLossRate(double newLossRate) {
        lossRate = newLossRate;
    }

    /** Whether the next datagram between two members gets through; draws a loss at random. */
    boolean isDelivered(int from, int to) {
        boolean separated = isInPartition(from) != isInPartition(to);
        return !separated && (lossRate == 0 || random.nextDouble() >= lossRate);
    }

    private boolean isInPartition(int number) {
        return number >= partitionFrom && number < partitionUntil;
    }
}
