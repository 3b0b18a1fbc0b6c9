package loadbalancer.control.server;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import loadbalancer.operator.ControlTier;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;

/**
 * The configuration file of a replica. Unknown keys are rejected.
 *
 * @param tier configuration shared by the whole tier, with all scopes
 * @param replicaId number of this replica
 * @param listenAddress address for datagrams
 * @param adminAddress address for operators' requests
 * @param folder contains a file SCOPE.toml for each scope, whose content operators can propose
 * @param zones zones that a content may name; empty if it may name any
 * @param jsonLog whether the log is written as JSON
 */
record ControlFile(
        ControlTier tier,
        int replicaId,
        InetSocketAddress listenAddress,
        InetSocketAddress adminAddress,
        Path folder,
        List<String> zones,
        boolean jsonLog) {
    private static final Pattern SCOPE_NAME = Pattern.compile("[A-Za-z0-9_-]{1,64}");

    /** Names of all scopes, by index. */
    List<String> scopes() {
        return tier.group().scopes();
    }

    /**
     * Reads a file.
     *
     * @throws ConfigurationException if the file is invalid; the message names file, line and key
     */
    static ControlFile read(String path) throws ConfigurationException {
        return read(ConfigurationTable.read(path));
    }

    static ControlFile read(ConfigurationTable root) throws ConfigurationException {
        ConfigurationTable table = root.table("control");
        if (table == null) {
            throw root.invalid("control", "a table [control]");
        }
        ControlTier tier = readTier(table);
        int replicaId = table.integer("me", -1, 0, tier.replicas().size() - 1);
        ControlFile file = new ControlFile(
                tier,
                replicaId,
                table.has("listen") ? table.address("listen") : tier.replicas().get(replicaId),
                table.address("admin"),
                Path.of(table.string("folder", null)),
                table.strings("zones"),
                table.flag("json_log", false));
        table.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return file;
    }

    private static ControlTier readTier(ConfigurationTable table) throws ConfigurationException {
        List<String> scopes = table.strings("scopes");
        ControlTier tier;
        try {
            tier = ControlTier.read(table, scopes);
        } catch (IllegalArgumentException exception) {
            throw table.invalid("scopes", "names of services, each once: " + exception.getMessage());
        }
        for (String scope : scopes) {
            if (!SCOPE_NAME.matcher(scope).matches()) {
                throw table.invalid("scopes", "names of 1 to 64 letters, digits, - and _");
            }
        }
        return tier;
    }
}
