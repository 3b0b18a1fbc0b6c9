package loadbalancer.capacity;

/** The fleet size to plan for and the budgets at that size, as stated in docs/CAPACITY.md. */
public final class CapacityTarget {
    /** Number of upstreams, each with a sidecar of its own. */
    public static final int SIDECARS = 2_100;
    /** Calls in the whole fleet. */
    public static final int CALLS_PER_SECOND = 100_000;
    /** Longest time until a change is active everywhere. */
    public static final double MAX_CHANGE_MILLIS = 9_000;
    /** Longest time until all sidecars are ready if all start at once. */
    public static final double MAX_START_MILLIS = 10_000;
    /** Processor budget of one sidecar's control code. */
    public static final double MAX_CONTROL_CORES = 0.011;
    /** Memory budget of one sidecar's control code. */
    public static final double MAX_CONTROL_KILOBYTES = 32 * 1_024;
    /** Network budget of one sidecar's control code, sent and received, with headers. */
    public static final double MAX_CONTROL_BYTES_PER_SECOND = 16 * 1_024;
    /** Longest time that a sidecar may add to a call at the 99th percentile. */
    public static final double MAX_ADDED_P99_MICROS = 1_600;
    /** Number of services that a call passes through, each calling the next. */
    public static final int CHAIN_DEPTH = 20;
    /** Most attempts at the last service of a chain, per request at the first, while the last service fails. */
    public static final double MAX_ATTEMPTS_PER_REQUEST = 1.2;
    /** IPv4 and UDP headers of a datagram (RFC 791, RFC 768). */
    public static final int DATAGRAM_HEADER_BYTES = 28;
    /** Largest number of sidecars times upstreams for which {@code gossip.SubsetAssignment} assigns subsets. */
    public static final int MAX_SUBSET_PAIRS = 100_000;
    /** Size of one upstream in a full endpoint list from discovery. */
    public static final int LIST_ENTRY_BYTES = 150;
    /** Size of the largest fleet in which sidecars gossip their requests in flight. */
    public static final int MAX_LOAD_MESSAGE_SIDECARS = 300;

    /** Processor budget of a control replica: a third of a core, so that the load can triple. */
    public static final double MAX_REPLICA_CORES = 1.0 / 3;
    /** Network budget of a control replica: a third of a link of 1 Gbit/s, so that the load can triple. */
    public static final double MAX_REPLICA_BYTES_PER_SECOND = 125e6 / 3;

    private CapacityTarget() {}

    /** Average request rate of one sidecar. */
    public static double requestsPerSecondPerSidecar() {
        return (double) CALLS_PER_SECOND / SIDECARS;
    }
}
