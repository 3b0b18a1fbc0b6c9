package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.grpc.mapping.Route;
import loadbalancer.grpc.mapping.Routes;
import loadbalancer.membership.StalenessPolicy;
import loadbalancer.subset.SubsetOptions;
import loadbalancer.trace.SamplingOptions;
import loadbalancer.zones.ZoneOptions;

/**
 * The options of the operator's file. A component that is null means that its subsystem is off.
 *
 * @param membership how old endpoint lists may be used; if off, lists are used whatever their age
 * @param grpc       the gRPC listener and its upstream connections
 * @param traces     trace sampling and export
 * @param zones      failover between zones and recovery; if off, zones are ignored
 * @param subset     how many upstreams each sidecar connects to; if off, all of them
 * @param jsonLog    whether events are logged as JSON, one object per line
 * @param consensus  agreement of the sidecars on zone policies; if off, each sidecar applies its own file
 * @param control    subscription of this sidecar to a control tier
 */
public record OperatorConfiguration(
        MembershipOptions membership,
        GrpcOptions grpc,
        TraceOptions traces,
        ZoneOptions zones,
        SubsetOptions subset,
        boolean jsonLog,
        ConsensusOptions consensus,
        ControlOptions control) {
    /** The configuration without an operator's file: every subsystem is off. */
    public static final OperatorConfiguration NONE = new OperatorConfiguration(null, null, null, null, null, false);

    /** Creates a configuration with {@code consensus} and {@code control} off. */
    public OperatorConfiguration(
            MembershipOptions membership,
            GrpcOptions grpc,
            TraceOptions traces,
            ZoneOptions zones,
            SubsetOptions subset,
            boolean jsonLog) {
        this(membership, grpc, traces, zones, subset, jsonLog, null, null);
    }

    /** Returns the staleness policy of endpoint lists; if membership is off, the policy that accepts every list. */
    public StalenessPolicy staleness() {
        return membership == null ? StalenessPolicy.ACCEPT_ALL : membership.staleness();
    }

    /**
     * Staleness policy and storage of endpoint lists.
     *
     * @param staleness             how lists are used depending on their age
     * @param discoverySpreadMicros upper bound of the random delay before the first call to discovery, so that a fleet
     *                              that starts at once does not overload it
     * @param disk                  storage of lists on disk; null if lists are not stored
     */
    public record MembershipOptions(StalenessPolicy staleness, long discoverySpreadMicros, DiskOptions disk) {}

    /**
     * The gRPC listener and its connections to upstreams.
     *
     * @param listen                 address of the listener
     * @param maxConnections         maximum number of concurrent client connections
     * @param maxStreams             maximum number of concurrent streams per client connection
     * @param maxUpstreamConnections maximum number of concurrent connections to one upstream
     * @param maxUpstreamStreams     maximum number of concurrent streams per upstream connection, or the upstream's own
     *                               limit if that is lower; streaming calls may use three quarters of all streams to
     *                               an upstream
     * @param upstreamPingMicros     how long a connection with open streams may be silent before it is pinged
     * @param streamDrainMicros      how long open streams may continue after their upstream or this sidecar starts
     *                               draining
     * @param tenantHeader           metadata key that holds the tenant, or empty
     * @param customerHeader         metadata key that holds the customer that a call is about, or empty
     * @param routeTable             looks up the route of a path
     * @param routes                 all routes; the last one is the fallback for methods without a route of their own
     */
    public record GrpcOptions(
            InetSocketAddress listen,
            int maxConnections,
            int maxStreams,
            int maxUpstreamConnections,
            int maxUpstreamStreams,
            long upstreamPingMicros,
            long streamDrainMicros,
            String tenantHeader,
            String customerHeader,
            Routes routeTable,
            List<Route> routes) {
        /** Returns the route of a call; null if the path is not the path of a gRPC call. */
        public Route route(CharSequence path) {
            return routeTable.of(path);
        }
    }

    /**
     * Trace sampling and export.
     *
     * @param sampling              which requests are traced
     * @param service               the service name of the spans
     * @param maxPendingTraces      maximum number of traces waiting for delivery to a receiver
     * @param deliveryTimeoutMicros how long a batch is offered to a receiver before it is dropped
     * @param file                  trace files; null if none are written
     * @param collector             trace collector; null if there is none
     */
    public record TraceOptions(
            SamplingOptions sampling,
            String service,
            int maxPendingTraces,
            long deliveryTimeoutMicros,
            TraceFileOptions file,
            CollectorOptions collector) {}

    /**
     * Rotating trace files.
     *
     * @param folder       folder of the files
     * @param maxFileBytes maximum size of each file
     * @param maxFiles     number of files that are kept
     */
    public record TraceFileOptions(Path folder, int maxFileBytes, int maxFiles) {}

    /**
     * The trace collector.
     *
     * @param address       address of the collector
     * @param path          path of its HTTP endpoint
     * @param timeoutMicros timeout for connecting, and for each part of a response
     */
    public record CollectorOptions(InetSocketAddress address, String path, long timeoutMicros) {}

    /**
     * Endpoint lists on disk.
     *
     * @param folder        folder of the stored lists
     * @param fleet         name of the fleet; stored lists of other fleets are ignored
     * @param refreshMicros interval at which an unchanged list is written again, to record that it is still valid
     */
    public record DiskOptions(
            Path folder, String fleet, int maxWritesPerMinute, long refreshMicros, int maxFileBytes) {}
}
