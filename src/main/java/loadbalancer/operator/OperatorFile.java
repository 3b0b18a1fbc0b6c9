package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.membership.StalenessPolicy;
import loadbalancer.operator.OperatorConfiguration.DiskOptions;
import loadbalancer.operator.OperatorConfiguration.MembershipOptions;
import loadbalancer.subset.SubsetOptions;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import loadbalancer.zones.ZoneOptions;

/**
 * Reads the operator's file strictly: unknown keys and values out of bounds are errors that name file, line and key.
 */
public final class OperatorFile {
    private OperatorFile() {}

    /** Reads the options of one table. Keys that it does not read are rejected afterwards as unknown. */
    interface TableReader<T> {
        T read(ConfigurationTable table) throws ConfigurationException;
    }

    /**
     * Reads the file {@code name}.
     *
     * @throws ConfigurationException if the file can't be read or is invalid
     */
    public static OperatorConfiguration read(String name) throws ConfigurationException {
        return read(ConfigurationTable.read(name));
    }

    /** Reads the same options from a table, for example one of a scenario file. */
    public static OperatorConfiguration read(ConfigurationTable root) throws ConfigurationException {
        root.rejectRenamed("accord", "[consensus]");
        OperatorConfiguration configuration = new OperatorConfiguration(
                readTable(root, "membership", OperatorFile::membership),
                readTable(root, "grpc", GrpcOptionsReader::read),
                readTable(root, "traces", TraceOptionsReader::read),
                readTable(root, "zones", OperatorFile::zones),
                readTable(root, "subset", OperatorFile::subset),
                jsonLog(root),
                readTable(root, "consensus", table -> consensus(table, root)),
                readTable(root, "control", table -> control(table, root)));
        root.rejectUnknownKeys();
        return configuration;
    }

    /** Returns the options of the table {@code key}; null if there is no such table. */
    static <T> T readTable(ConfigurationTable parent, String key, TableReader<T> reader) throws ConfigurationException {
        ConfigurationTable table = parent.table(key);
        if (table == null) {
            return null;
        }
        T options = reader.read(table);
        table.rejectUnknownKeys();
        return options;
    }

    private static MembershipOptions membership(ConfigurationTable table) throws ConfigurationException {
        long maxFreshAgeMicros = table.durationMicros("fresh", "30s", "0s", "1h");
        long maxUsableAgeMicros = table.durationMicros("oldest", "30d", "1min", "365d");
        if (maxUsableAgeMicros < maxFreshAgeMicros) {
            throw table.invalid("oldest", "a duration no shorter than membership.fresh");
        }
        StalenessPolicy staleness = new StalenessPolicy(
                maxFreshAgeMicros,
                maxUsableAgeMicros,
                table.durationMicros("known_age", "unknown", "0s", "365d", "unknown"),
                table.integer("trials_per_second", 4, 1, 100),
                table.integer("trials_at_once", 8, 1, 64));
        long discoverySpreadMicros = table.durationMicros("registry_spread", "0ms", "0ms", "30s");
        return new MembershipOptions(staleness, discoverySpreadMicros, readTable(table, "disk", OperatorFile::disk));
    }

    private static DiskOptions disk(ConfigurationTable table) throws ConfigurationException {
        return new DiskOptions(
                Path.of(table.string("folder", null)),
                table.string("fleet", null),
                table.integer("writes_per_minute", 6, 1, 60),
                table.durationMicros("refresh", "30s", "1s", "1h"),
                (int) table.sizeBytes("largest", "4MiB", "4KiB", "64MiB"));
    }

    private static ZoneOptions zones(ConfigurationTable table) throws ConfigurationException {
        return new ZoneOptions(
                tiers(table),
                Set.copyOf(table.strings("away")),
                table.integer("overprovision_percent", 140, 100, 1_000) / 100.0,
                table.integer("panic_percent", 30, 0, 100) / 100.0,
                table.integer("floor_per_second", 5, 1, 1_000),
                table.durationMicros("doubling", "2s", "100ms", "10min"),
                table.durationMicros("trickle", "500ms", "50ms", "1min"),
                table.durationMicros("half_life", "15s", "1s", "1h"),
                table.integer("remembered", 20_000, 100, 1_000_000),
                table.durationMicros("remember", "60s", "1s", "1h"));
    }

    /** Returns the zones of each tier in the order of preference. A zone may be named only once. */
    static List<List<String>> tiers(ConfigurationTable zones) throws ConfigurationException {
        List<List<String>> tiers = new ArrayList<>();
        Set<String> zoneNames = new HashSet<>();
        for (ConfigurationTable tier : zones.tables("tier")) {
            List<String> tierZones = tier.strings("zones");
            for (String zone : tierZones) {
                if (!zoneNames.add(zone)) {
                    throw tier.invalid("zones", "zones that no other tier has");
                }
            }
            tiers.add(tierZones);
            tier.rejectUnknownKeys();
        }
        return List.copyOf(tiers);
    }

    private static SubsetOptions subset(ConfigurationTable table) throws ConfigurationException {
        return new SubsetOptions(
                table.integer("least", 5, 2, 1_000),
                table.decimal("requests_per_node", 2, 0.01, 10_000),
                table.durationMicros("linger", "10s", "1s", "10min"),
                table.integer("sidecars", 0, 0, 1_000_000));
    }

    private static boolean jsonLog(ConfigurationTable root) throws ConfigurationException {
        String format = readTable(root, "log", table -> {
            String found = table.string("format", "text");
            if (!found.equals("text") && !found.equals("json")) {
                throw table.invalid("format", "\"text\" or \"json\"");
            }
            return found;
        });
        return "json".equals(format);
    }

    private static ConsensusOptions consensus(ConfigurationTable table, ConfigurationTable root)
            throws ConfigurationException {
        if (!root.has("zones")) {
            throw table.invalid(
                    "file", "a table [zones] beside [consensus]: what is changed in common is its away and tiers");
        }
        int voters = table.integer("voters", 5, 1, 7);
        if (voters % 2 == 0) {
            throw table.invalid("voters", "an odd number, so that there is a majority");
        }
        return new ConsensusOptions(
                table.string("fleet", null),
                voters,
                table.durationMicros("lease", "3s", "500ms", "1min"),
                Path.of(table.string("file", null)));
    }

    private static ControlOptions control(ConfigurationTable table, ConfigurationTable root)
            throws ConfigurationException {
        if (root.has("consensus") || !root.has("zones")) {
            throw table.invalid(
                    "scope", "a table [zones] beside [control], and no [consensus]: the scope has its away and tiers");
        }
        ControlTier tier = ControlTier.read(table, List.of(table.string("scope", null)));
        InetSocketAddress listen = table.has("listen") ? table.address("listen") : new InetSocketAddress("0.0.0.0", 0);
        List<Integer> nearReplicas = table.integers("near", 0, tier.replicas().size() - 1);
        return new ControlOptions(tier, listen, nearReplicas);
    }
}
