package loadbalancer.capacity;

/** The size that is coming and its budgets, as docs/CAPACITY.md states them. */
public final class CapacityTarget {
    /** Upstreams, each with a sidecar of its own. */
    public static final int SIDECARS = 2_100;
    /** Calls a second in the whole fleet. */
    public static final int CALLS_PER_SECOND = 100_000;
    /** Until a change is in force everywhere, milliseconds. */
    public static final double MAX_CHANGE_MILLIS = 9_000;
    /** Until all that start at once are ready, milliseconds. */
    public static final double MAX_START_MILLIS = 10_000;
    /** Control of a sidecar: part of a core. */
    public static final double MAX_CONTROL_CORES = 0.011;
    /** Control of a sidecar: kilobytes of memory. */
    public static final double MAX_CONTROL_KILOBYTES = 32 * 1_024;
    /** Control of a sidecar: bytes a second in and out, with headers. */
    public static final double MAX_CONTROL_BYTES_PER_SECOND = 16 * 1_024;
    /** That a sidecar adds to a call, 99 in 100, microseconds. */
    public static final double MAX_ADDED_P99_MICROS = 1_600;
    /** Services that a call goes through, one calling the next. */
    public static final int CHAIN_DEPTH = 20;
    /** Attempts at a failing last service for each request at the first. */
    public static final double MAX_ATTEMPTS_PER_REQUEST = 1.2;
    /** IPv4 and UDP headers of a datagram, bytes (RFC 791, RFC 768). */
    public static final int DATAGRAM_HEADER_BYTES = 28;
    /** Sidecars times upstreams up to which {@code gossip.SubsetAssignment} assigns subsets. */
    public static final int MAX_SUBSET_PAIRS = 100_000;
    /** Bytes of one upstream in a whole list, as discovery writes it. */
    public static final int LIST_ENTRY_BYTES = 150;
    /** Of a sidecar of the largest fleet in which load messages are sent. */
    public static final int MAX_LOAD_MESSAGE_SIDECARS = 300;

    /** Of a control machine's core, so that three times room is left. */
    public static final double MAX_REPLICA_CORES = 1.0 / 3;
    /** Of a control machine's link of 1 Gbit/s, bytes a second, so that three times room is left. */
    public static final double MAX_REPLICA_BYTES_PER_SECOND = 125e6 / 3;

    private CapacityTarget() {}

    /** Requests a second of one sidecar. */
    public static double requestsPerSecondPerSidecar() {
        return (double) CALLS_PER_SECOND / SIDECARS;
    }
}
