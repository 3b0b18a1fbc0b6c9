package loadbalancer.consensus;

/** Sends datagrams, each of which may be lost, delayed, duplicated or reordered. */
@FunctionalInterface
public interface DatagramSender {
    /**
     * Sends one datagram.
     *
     * @param to number of the receiving process
     * @param datagram at most 256 bytes
     */
    void send(int to, byte[] datagram);
}
