package loadbalancer.capacity;

import java.util.Locale;

/**
 * Metrics of scale runs, each measured at several sizes. A constant's name is the key under which the metric is
 * recorded; see {@link #key}.
 */
public enum ScaleMetric {
    /** Datagrams that one idle voter sends and receives. */
    VOTER_DATAGRAMS("per second"),
    /** Bytes that one idle voter sends and receives, without headers. */
    VOTER_BYTES("bytes per second"),
    /** Processor time of one idle voter's process. */
    VOTER_CORES("cores"),
    /** Datagrams that one idle member without a vote sends and receives. */
    MEMBER_DATAGRAMS("per second"),
    /** Bytes that one idle member without a vote sends and receives, without headers. */
    MEMBER_BYTES("bytes per second"),
    /** Processor time of one idle member without a vote. */
    MEMBER_CORES("cores"),
    /** Heap of one member without a vote, including its share of the host process. */
    MEMBER_HEAP("kilobytes"),
    /** Time until the last member is ready after all were started at once. */
    START("milliseconds"),
    /** Time until all members have adopted a change, with no member unreachable; the median of three changes. */
    CHANGE("milliseconds"),
    /** Time until all reachable members have adopted a change, with one member unreachable. */
    CHANGE_ONE_AWAY("milliseconds"),
    /**
     * Gossip messages with requests in flight that a sidecar sends per request of its own; in fleets of at most 300
     * sidecars.
     */
    LOAD_MESSAGES("per request"),
    /** Size of one gossip message with requests in flight, without headers. */
    LOAD_BYTES("bytes"),
    /** Resident memory of a real sidecar's process; the size is the length of its endpoint list. */
    SIDECAR_RESIDENT("kilobytes"),
    /** Processor time of a real sidecar without requests; the size is the length of its endpoint list. */
    SIDECAR_CORES("cores"),
    /**
     * Time that sidecars add to a request through a chain of services: the difference of the medians with and without
     * sidecars; the size is the depth of the chain.
     */
    CHAIN_ADDED("microseconds"),
    /** As {@link #CHAIN_ADDED}, but the difference of the 99th percentiles. */
    CHAIN_ADDED_P99("microseconds"),
    /**
     * Natural logarithm of the attempts at the last hop per request at the first, while the last hop fails; the size is
     * the depth of the chain.
     */
    CHAIN_ATTEMPTS_LOG("logarithm"),
    /**
     * Datagrams that one idle voting replica of the control tier sends and receives; the size is the number of
     * sidecars.
     */
    REPLICA_DATAGRAMS("per second"),
    /** Bytes that one idle voting replica sends and receives, without headers. */
    REPLICA_BYTES("bytes per second"),
    /** Processor time of one idle voting replica's process. */
    REPLICA_CORES("cores"),
    /** Datagrams that one idle sidecar with subscriptions to four scopes sends and receives. */
    SUBSCRIBER_DATAGRAMS("per second"),
    /** Bytes that one such sidecar sends and receives, without headers. */
    SUBSCRIBER_BYTES("bytes per second"),
    /** Processor time of one such sidecar. */
    SUBSCRIBER_CORES("cores"),
    /** Heap of one such sidecar, including its share of the host process. */
    SUBSCRIBER_HEAP("kilobytes"),
    /**
     * Time until the last sidecar has a valid lease on each of its scopes after all were started at once, with the
     * replicas running.
     */
    CONTROL_START("milliseconds"),
    /**
     * Time until all subscribers of a scope have adopted a change, with none unreachable; the maximum of several
     * changes.
     */
    CONTROL_CHANGE("milliseconds"),
    /**
     * Time until all reachable subscribers have adopted a change, with one subscriber unreachable since just before it.
     */
    CONTROL_CHANGE_ONE_AWAY("milliseconds"),
    /** Time for a second change of the same scope, immediately after {@link #CONTROL_CHANGE_ONE_AWAY}. */
    CONTROL_SECOND_CHANGE("milliseconds");

    private final String unit;

    ScaleMetric(String unit) {
        this.unit = unit;
    }

    /** The unit of the values, for output. */
    public String unit() {
        return unit;
    }

    /** The name in files and documentation, such as {@code voter-bytes}. */
    public String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * The metric with a {@link #key}.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static ScaleMetric of(String key) {
        return valueOf(key.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
