package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.grpc.mapping.Route;
import loadbalancer.grpc.mapping.Routes;
import loadbalancer.operator.OperatorConfiguration.GrpcOptions;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;

/** Reads the table {@code [grpc]} of the operator's file. */
final class GrpcOptionsReader {
    private static final String DEFAULT_KEY_HEADER = "idempotency-key";

    private GrpcOptionsReader() {}

    static GrpcOptions read(ConfigurationTable table) throws ConfigurationException {
        InetSocketAddress listen = table.address("listen");
        int maxConnections = table.integer("connections", 64, 1, 1024);
        int maxStreams = table.integer("streams", 100, 1, 1000);
        int maxUpstreamConnections = table.integer("node_connections", 4, 1, 32);
        int maxUpstreamStreams = table.integer("node_streams", 100, 1, 1000);
        long upstreamPingMicros = table.durationMicros("node_ping", "5min", "10s", "2h");
        long streamDrainMicros = table.durationMicros("stream_drain", "30s", "0s", "1h");
        String tenantHeader = table.string("tenant_key", "x-org");
        String customerHeader = table.string("customer_key", "x-customer");
        Map<String, Route> routesByName = routesByName(table);
        Route fallback = OperatorFile.readTable(table, "other", other -> route(other, true));
        if (fallback == null) {
            throw table.invalid("other", "a table, [grpc.other], with the class of all methods that are not named");
        }
        List<Route> routes = new ArrayList<>(routesByName.values());
        routes.add(fallback);
        return new GrpcOptions(
                listen,
                maxConnections,
                maxStreams,
                maxUpstreamConnections,
                maxUpstreamStreams,
                upstreamPingMicros,
                streamDrainMicros,
                tenantHeader,
                customerHeader,
                new Routes(routesByName, fallback),
                List.copyOf(routes));
    }

    private static Map<String, Route> routesByName(ConfigurationTable table) throws ConfigurationException {
        Map<String, Route> routes = new LinkedHashMap<>();
        for (ConfigurationTable method : table.tables("method")) {
            String name = method.string("name", null);
            Route route = route(method, false);
            method.rejectUnknownKeys();
            if (routes.put(name, route) != null) {
                throw method.invalid("name", "a name that no other method has");
            }
        }
        return routes;
    }

    private static Route route(ConfigurationTable table, boolean streamsByDefault) throws ConfigurationException {
        return new Route(
                table.string("class", null),
                table.flag("streams", streamsByDefault),
                table.string("key", DEFAULT_KEY_HEADER));
    }
}
