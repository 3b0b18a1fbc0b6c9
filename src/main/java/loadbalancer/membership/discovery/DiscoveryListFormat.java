package loadbalancer.membership.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Addresses;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;

/** Discovery's JSON format of endpoint lists, both complete lists and changes. The platform defines the field names. */
public final class DiscoveryListFormat {
    private static final String GENERATION = "generation";
    /** Flag that marks a complete list. */
    private static final String RESET = "reset";

    private static final String INSTANCES = "instances";
    private static final String INSTANCE_ID = "instanceId";
    private static final String HOST_PORT = "hostPort";
    /** Port for gRPC at the same host. Not part of the platform's format; other installations use it. */
    private static final String GRPC_PORT = "grpcPort";

    private static final String ZONE = "zone";
    private static final String MACHINE_TYPE = "machineType";
    private static final String CELL = "cell";
    private static final String LIFECYCLE = "lifecycle";
    private static final String WEIGHT = "weight";
    private static final String STARTED_AT_MILLIS = "startedAtMs";
    private static final String READY = "Ready";
    private static final String DRAINING = "Terminating";
    private static final String GONE = "Gone";
    private static final int MICROS_PER_MILLI = 1000;

    private DiscoveryListFormat() {}

    /**
     * Reads a list.
     *
     * @param asOfMicros Unix time at which the list was known to be correct; 0 if unknown
     * @throws IllegalArgumentException if a field is missing or invalid; one invalid endpoint makes the whole list
     *     invalid
     */
    public static EndpointList read(JsonObject json, ListSource source, long asOfMicros) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonObject instance : json.objects(INSTANCES)) {
            endpoints.add(readEndpoint(instance));
        }
        return new EndpointList(source, generation(json), isComplete(json), asOfMicros, endpoints);
    }

    static long generation(JsonObject json) {
        return json.integer(GENERATION);
    }

    static boolean isComplete(JsonObject json) {
        return json.flag(RESET);
    }

    /** The entries of a list, each empty if it is not an object. */
    static List<Optional<JsonObject>> instances(JsonObject json) {
        return json.elementsAsObjects(INSTANCES);
    }

    static String id(JsonObject instance) {
        return instance.string(INSTANCE_ID);
    }

    static UpstreamState state(JsonObject instance) {
        return readState(instance.string(LIFECYCLE));
    }

    /** An endpoint of which only the id is known, and that it is gone. */
    static Endpoint goneEndpoint(String id) {
        return new Endpoint(new Upstream(id, "", "", -1, 0, 1, UpstreamState.GONE), "");
    }

    static Endpoint readEndpoint(JsonObject instance) {
        UpstreamState state = state(instance);
        String address = instance.string(HOST_PORT);
        Addresses.parse(address);
        String grpcAddress = null;
        if (instance.has(GRPC_PORT)) {
            grpcAddress = address.substring(0, address.lastIndexOf(':') + 1) + instance.integer(GRPC_PORT);
            Addresses.parse(grpcAddress);
        }
        Upstream upstream = new Upstream(
                id(instance),
                instance.stringOr(ZONE, ""),
                instance.stringOr(MACHINE_TYPE, ""),
                (int) instance.integerOr(CELL, -1),
                instance.integerOr(STARTED_AT_MILLIS, 0) * MICROS_PER_MILLI,
                instance.decimalOr(WEIGHT, 1),
                state,
                Uncertainty.NONE,
                0,
                grpcAddress == null ? Balancer.HTTP1 : Balancer.HTTP1 | Balancer.GRPC);
        return new Endpoint(upstream, address, grpcAddress);
    }

    private static UpstreamState readState(String lifecycle) {
        return switch (lifecycle) {
            case READY -> UpstreamState.READY;
            case DRAINING -> UpstreamState.DRAINING;
            case GONE -> UpstreamState.GONE;
            default -> throw new IllegalArgumentException(
                    "lifecycle must be 'Ready', 'Terminating' or 'Gone', not '" + lifecycle + "'");
        };
    }

    /** Returns the JSON fields of a complete list. */
    public static Map<String, Object> writeComplete(EndpointList list) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put(GENERATION, list.generation());
        json.put(RESET, true);
        json.put(
                INSTANCES,
                list.endpoints().stream().map(DiscoveryListFormat::write).toList());
        return json;
    }

    /** Returns the JSON fields of one endpoint. */
    public static Map<String, Object> write(Endpoint endpoint) {
        Upstream upstream = endpoint.upstream();
        Map<String, Object> instance = new LinkedHashMap<>();
        instance.put(INSTANCE_ID, upstream.id());
        instance.put(HOST_PORT, endpoint.address());
        instance.put(ZONE, upstream.zone());
        instance.put(MACHINE_TYPE, upstream.machineType());
        instance.put(CELL, upstream.cell());
        instance.put(LIFECYCLE, lifecycle(upstream.state()));
        instance.put(WEIGHT, upstream.weight());
        instance.put(STARTED_AT_MILLIS, upstream.startedMicros() / MICROS_PER_MILLI);
        String grpcAddress = endpoint.grpcAddress();
        if (grpcAddress != null) {
            instance.put(GRPC_PORT, Integer.parseInt(grpcAddress.substring(grpcAddress.lastIndexOf(':') + 1)));
        }
        return instance;
    }

    private static String lifecycle(UpstreamState state) {
        return switch (state) {
            case READY -> READY;
            case DRAINING -> DRAINING;
            case GONE -> GONE;
        };
    }
}
