package loadbalancer.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.core.Addresses;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.discovery.DiscoveryListFormat;
import loadbalancer.settings.SettingsCompleteness;
import loadbalancer.settings.SettingsException;
import loadbalancer.settings.SettingsReader;

/**
 * The platform's configuration of one sidecar. {@code peerListen}, {@code peerBroadcast} and {@code adminAddress} are
 * null where not configured.
 */
record SidecarConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peerBroadcast,
        InetSocketAddress adminAddress,
        EndpointList knownEndpoints,
        Settings settings,
        long connectTimeoutMicros,
        Map<String, String> presentKeys) {

    /** An invalid configuration; the message is one line and names the field. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.replaceAll("\\s+", " "));
        }
    }

    /** The active limits as text for the log. */
    String describeLimits() {
        return maxDescriptors + " descriptors, "
                + settings.classes().stream()
                        .map(requestClass -> requestClass.name() + ": latency objective / deadline in ms "
                                + requestClass.latencyObjectiveMicros() / 1000 + " / "
                                + requestClass.deadlineMicros() / 1000)
                        .collect(Collectors.joining(", "));
    }

    static SidecarConfig read(Map<String, String> environment) throws InvalidConfigException {
        String path = environment.get("BALANCER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigException("BALANCER_CONFIG is not set");
        }
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(path));
        } catch (IOException | InvalidPathException exception) {
            throw new InvalidConfigException("BALANCER_CONFIG names a file that can't be read: " + exception);
        }
        try {
            return parse(JsonObject.parse(text), environment);
        } catch (IllegalArgumentException exception) {
            throw new InvalidConfigException("configuration: " + exception.getMessage());
        } catch (SettingsException exception) {
            throw new InvalidConfigException("configuration, settings: " + exception.getMessage());
        }
    }

    /** The configuration for the warm-up's sidecar: the same settings, without peers and admin address. */
    SidecarConfig forWarmUp(InetSocketAddress listen, InetSocketAddress discovery, EndpointList knownEndpoints) {
        return new SidecarConfig(
                name,
                listen,
                discovery,
                seed,
                maxDescriptors,
                null,
                List.of(),
                null,
                null,
                knownEndpoints,
                settings,
                connectTimeoutMicros,
                presentKeys);
    }

    /** The keys and values of the file, except for those of the endpoint list. */
    private static Map<String, String> presentKeys(JsonObject json) {
        Map<String, String> keys = json.flattened();
        keys.keySet().removeIf(k -> k.startsWith("known."));
        return keys;
    }

    /** Checks that this reloaded file has every key of the active one. */
    void requireKeysOf(SidecarConfig active) throws InvalidConfigException {
        String missing = SettingsCompleteness.firstMissingKey(active.presentKeys, presentKeys);
        if (missing != null) {
            throw new InvalidConfigException("configuration: '" + missing + "' is missing, but the active file has it");
        }
    }

    /**
     * Reads the file again; its discovery address overrides the environment's, which dates from the start of the
     * process.
     */
    static SidecarConfig reread(Map<String, String> environment) throws InvalidConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove("BALANCER_DISCOVERY");
        return read(withoutDiscovery);
    }

    private static SidecarConfig parse(JsonObject json, Map<String, String> environment) {
        String name = environment.getOrDefault("BALANCER_NAME", json.stringOr("name", "sidecar"));
        SettingsReader reader = new SettingsReader(json.object("settings").flattened());
        Settings settings = reader.read();
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : json.stringsOrEmpty("peers")) {
            peers.add(address("peers", peer));
        }
        int maxDescriptors = (int) (json.has("limits") ? json.object("limits").integerOr("sockets", 1024) : 1024);
        return new SidecarConfig(
                name,
                requiredAddress(json, environment, "listen", "BALANCER_LISTEN"),
                requiredAddress(json, environment, "discovery", "BALANCER_DISCOVERY"),
                seed(json.string("seed")),
                maxDescriptors,
                optionalAddress(json, "peer_listen"),
                peers,
                optionalAddress(json, "peers_all"),
                adminAddress(json, environment),
                knownEndpoints(json),
                settings,
                reader.dialTimeoutMicros(),
                presentKeys(json));
    }

    private static EndpointList knownEndpoints(JsonObject json) {
        try {
            return DiscoveryListFormat.read(json.object("known"), ListSource.CONFIGURED, 0);
        } catch (IllegalArgumentException exception) {
            throw new IllegalArgumentException("'known': " + exception.getMessage());
        }
    }

    private static InetSocketAddress requiredAddress(
            JsonObject json, Map<String, String> environment, String field, String variable) {
        String text = environment.get(variable);
        return text == null ? address(field, json.string(field)) : address(variable, text);
    }

    /** Null without an admin address. */
    private static InetSocketAddress adminAddress(JsonObject json, Map<String, String> environment) {
        String text = environment.getOrDefault("BALANCER_ADMIN", "");
        return text.isEmpty() ? optionalAddress(json, "admin") : address("BALANCER_ADMIN", text);
    }

    private static InetSocketAddress optionalAddress(JsonObject json, String field) {
        return json.has(field) ? address(field, json.string(field)) : null;
    }

    private static InetSocketAddress address(String field, String text) {
        try {
            return Addresses.parse(text);
        } catch (IllegalArgumentException exception) {
            throw new IllegalArgumentException("'" + field + "': expected IP:port, found '" + text + "'");
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException exception) {
            throw new IllegalArgumentException(
                    "'seed': expected a hexadecimal number of at most 16 digits, found '" + text + "'");
        }
    }
}
