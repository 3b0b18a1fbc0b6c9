package loadbalancer.simulation.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Tenant;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorFile;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;

/**
 * Reads scenario files, as strictly as the operator's file. What a file does not say is as in the brief: its nodes, its classes,
 * its network. A file that names a {@code base} is that scenario with other values ({@code [instead]}) and events of its own.
 */
public final class ScenarioFile {
    /** The scenarios that come with the program. */
    public static final List<String> SHIPPED = List.of(
            "calm",
            "monday",
            "deploy",
            "cold-fleet",
            "half-stalled",
            "zone-dark",
            "flapping",
            "discovery-down",
            "registry-restored",
            "quiet",
            "retry-storm",
            "keyed-repeats",
            "replaced",
            "split",
            "storm-of-faults",
            "cold-storm",
            "vast",
            "vast-join",
            "vast-dark",
            "spread",
            "mass");

    private static final double FALL = 3;
    private static final long FALL_US = 1_000_000, GRACE_US = 500_000;

    private ScenarioFile() {}

    /** A file by its path, or one that is shipped by its name; {@code instead} has other values by the names of keys. */
    public static Scenario read(String name, Map<String, Object> instead) throws ConfigurationException {
        String plain = name.endsWith(".toml") ? name.substring(name.lastIndexOf('/') + 1, name.length() - 5) : name;
        return read(plain, name, text(name, "."), folder(name), instead, 0);
    }

    /** A scenario from its text, whose base, if it has one, is shipped or lies in the working folder. */
    public static Scenario parse(String name, String text, Map<String, Object> instead) throws ConfigurationException {
        return read(name, name, text, ".", instead, 0);
    }

    private static String folder(String name) {
        int slash = name.lastIndexOf('/');
        return slash < 0 ? "." : name.substring(0, Math.max(1, slash));
    }

    private static String text(String name, String folder) throws ConfigurationException {
        try {
            if (!name.endsWith(".toml")) {
                try (InputStream in = ScenarioFile.class.getResourceAsStream("/lab/" + name + ".toml")) {
                    if (in == null) {
                        throw new ConfigurationException("scenario '" + name
                                + "': there is no such file, and shipped are " + String.join(", ", SHIPPED));
                    }
                    return new String(in.readAllBytes(), StandardCharsets.UTF_8);
                }
            }
            return Files.readString(Path.of(folder).resolve(name));
        } catch (IOException | InvalidPathException exception) {
            throw new ConfigurationException(name + ": can't be read: " + exception);
        }
    }

    private static Scenario read(
            String name, String file, String text, String folder, Map<String, Object> instead, int depth)
            throws ConfigurationException {
        ConfigurationTable root = ConfigurationTable.parse(file, text, instead);
        if (!root.has("base")) {
            Scenario s = scenario(name, root);
            root.rejectUnknownKeys();
            if (!root.unusedOverrides().isEmpty()) {
                throw new ConfigurationException(
                        file + ": '" + root.unusedOverrides().get(0) + "' is no key of a scenario");
            }
            return s;
        }
        String base = root.string("base", null);
        if (depth > 0) {
            throw root.invalid("base", "a scenario that has no base itself");
        }
        String about = root.string("about", "as " + base);
        Map<String, Object> all = new HashMap<>();
        ConfigurationTable others = root.table("instead");
        if (others != null) {
            all.putAll(others.values());
        }
        if (root.has("seed")) {
            all.put("seed", (long) root.integer("seed", 1, 0, Integer.MAX_VALUE));
        }
        all.putAll(instead);
        boolean own = root.has("event");
        List<ConfigurationTable> events = root.tables("event");
        Scenario s = read(name, base, text(base, folder), folder, all, depth + 1);
        List<Fault> faults = own ? faults(events, s.fleet()) : s.faults();
        root.rejectUnknownKeys();
        return new Scenario(
                name,
                about,
                s.seed(),
                s.fleet(),
                s.machines(),
                s.nodes(),
                s.classes(),
                s.tenants(),
                s.traffic(),
                s.registry(),
                s.net(),
                s.sidecar(),
                s.operator(),
                faults,
                s.expect(),
                s.hunt());
    }

    private static Scenario scenario(String name, ConfigurationTable root) throws ConfigurationException {
        String about = root.string("about", null);
        long seed = root.integer("seed", 1, 0, Integer.MAX_VALUE);
        ConfigurationTable empty = ConfigurationTable.parse("", "", Map.of());
        Scenario.Fleet fleet = fleet(or(root.table("fleet"), empty));
        List<Scenario.Machine> machines = machines(root);
        ConfigurationTable t = or(root.table("nodes"), empty);
        Scenario.Nodes nodes = new Scenario.Nodes(
                t.decimal("speed_spread", 0.08, 0, 0.5),
                t.integer("waiting", 8, 0, 1_000),
                t.decimal("cold_share", 0.2, 0.01, 1),
                t.durationMicros("ramp", "20s", "0s", "10min", null),
                t.integer("connections", 500, 1, 100_000),
                t.durationMicros("idle", "15s", "1s", "1h", null),
                ms(t, "handshake_ms", 0.1, 50),
                ms(t, "report_ms", 3, 10_000),
                t.durationMicros("pause_every", "6s", "0s", "1h", null),
                ms(t, "pause_ms", 0, 5_000),
                ms(t, "probe_ms", 0.04, 10),
                t.flag("drops_expired", false));
        t.rejectUnknownKeys();
        List<Scenario.Kind> classes = classes(root);
        Scenario.Traffic traffic = traffic(or(root.table("traffic"), empty));
        t = or(root.table("registry"), empty);
        Scenario.Registry registry = new Scenario.Registry(
                t.flag("asked", true),
                t.durationMicros("notice", "2s", "0s", "60s", null),
                t.durationMicros("silent", "8s", "0s", "10min", null),
                t.integer("calls_per_second", 2_000, 1, 1_000_000),
                t.durationMicros("known_age", "0s", "0s", "365d", "none"));
        t.rejectUnknownKeys();
        t = or(root.table("network"), empty);
        Scenario.Net net = new Scenario.Net(
                ms(t, "same_ms", 0.15, 1_000),
                ms(t, "cross_ms", 0.4, 1_000),
                t.decimal("jitter", 0.2, 0, 10),
                t.decimal("loss", 0, 0, 0.5),
                ms(t, "peer_ms", 8, 10_000),
                t.decimal("peer_loss", 0.01, 0, 1));
        t.rejectUnknownKeys();
        Scenario.Sidecar sidecar = sidecar(or(root.table("sidecar"), empty), nodes);
        ConfigurationTable o = root.table("operator");
        OperatorConfiguration operator = o == null ? OperatorConfiguration.NONE : OperatorFile.read(o);
        List<Fault> faults = faults(root.tables("event"), fleet);
        Scenario.Expect expect = expect(or(root.table("expect"), empty));
        Scenario.Hunt hunt = hunt(or(root.table("search"), empty));
        List<Tenant> tenants = tenants(root);
        Scenario s = new Scenario(
                name, about, seed, fleet, machines, nodes, classes, List.of(), traffic, registry, net, sidecar,
                operator, faults, expect, hunt);
        // A tenant's quota is its share of nine tenths of what all nodes can do.
        double room = 0.9 * s.capacity() / s.workS();
        return new Scenario(
                name,
                about,
                seed,
                fleet,
                machines,
                nodes,
                classes,
                tenants.stream()
                        .map(x -> new Tenant(x.name(), x.capacityShare(), x.capacityShare() * room))
                        .toList(),
                traffic,
                registry,
                net,
                sidecar,
                operator,
                faults,
                expect,
                hunt);
    }

    private static ConfigurationTable or(ConfigurationTable t, ConfigurationTable empty) {
        return t == null ? empty : t;
    }

    private static long ms(ConfigurationTable t, String key, double absent, double most) throws ConfigurationException {
        return Math.round(t.decimal(key, absent, 0, most) * 1000);
    }

    private static Scenario.Fleet fleet(ConfigurationTable t) throws ConfigurationException {
        int sidecars = t.integer("sidecars", 5, 1, 20_000);
        List<String> zones = t.strings("zones");
        Scenario.Fleet f = new Scenario.Fleet(
                t.integer("nodes", 12, 1, 2_000),
                sidecars,
                t.integer("told_sidecars", sidecars, 1, 1_000_000),
                zones.isEmpty() ? List.of("north", "south", "west") : zones,
                t.durationMicros("length", "60s", "1s", "24h", null));
        t.rejectUnknownKeys();
        return f;
    }

    private static List<Scenario.Machine> machines(ConfigurationTable root) throws ConfigurationException {
        List<Scenario.Machine> machines = new ArrayList<>();
        for (ConfigurationTable t : root.tables("machine")) {
            machines.add(new Scenario.Machine(
                    t.string("name", null),
                    t.decimal("share", 1, 0.001, 1_000),
                    t.integer("cores", 1, 1, 256),
                    t.decimal("speed", 1, 0.01, 100)));
            t.rejectUnknownKeys();
        }
        return machines.isEmpty()
                ? List.of(new Scenario.Machine("std-a", 0.44, 1, 1), new Scenario.Machine("std-b", 0.56, 1, 1))
                : machines;
    }

    private static Scenario.Kind kind(
            String name,
            double share,
            double workMs,
            double spread,
            Idempotency s,
            IdempotencyScope group,
            long windowUs,
            long aimUs,
            long deadlineUs,
            double worth) {
        return new Scenario.Kind(
                new RequestClass(name, s, group, windowUs, aimUs, 0, deadlineUs, worth, 0, false),
                share,
                workMs * 1000,
                spread);
    }

    private static List<Scenario.Kind> classes(ConfigurationTable root) throws ConfigurationException {
        List<Scenario.Kind> classes = new ArrayList<>();
        for (ConfigurationTable t : root.tables("class")) {
            String effect = t.string("effect", "safe");
            String group = t.string("group", "all");
            Idempotency s =
                    switch (effect) {
                        case "safe" -> Idempotency.IDEMPOTENT;
                        case "keyed" -> Idempotency.WITH_KEY;
                        case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
                        default -> throw t.invalid("effect", "\"safe\", \"keyed\" or \"unsafe\"");
                    };
            IdempotencyScope g =
                    switch (group) {
                        case "all" -> IdempotencyScope.ALL;
                        case "zone" -> IdempotencyScope.ZONE;
                        case "cell" -> IdempotencyScope.CELL;
                        default -> throw t.invalid("group", "\"all\", \"zone\" or \"cell\"");
                    };
            long aim = t.durationMicros("aim", "330ms", "1ms", "1h", null);
            classes.add(kind(
                    t.string("name", null),
                    t.decimal("share", 1, 0.001, 1_000),
                    t.decimal("work_ms", 90, 0.001, 100_000),
                    t.decimal("spread", 0.6, 0, 5),
                    s,
                    g,
                    t.durationMicros("window", "4s", "0s", "1d", null),
                    aim,
                    t.durationMicros("deadline", "830ms", "1ms", "1h", null),
                    t.decimal("worth", 1, 0, 1_000)));
            t.rejectUnknownKeys();
        }
        return !classes.isEmpty()
                ? classes
                : List.of(
                        kind(
                                "slot-lookup",
                                0.47,
                                96,
                                0.68,
                                Idempotency.IDEMPOTENT,
                                IdempotencyScope.ALL,
                                0,
                                330_000,
                                830_000,
                                3),
                        kind(
                                "booking-update",
                                0.37,
                                91,
                                0.64,
                                Idempotency.IDEMPOTENT,
                                IdempotencyScope.ALL,
                                0,
                                330_000,
                                830_000,
                                3),
                        kind(
                                "booking-confirm",
                                0.16,
                                89,
                                0.68,
                                Idempotency.WITH_KEY,
                                IdempotencyScope.ZONE,
                                4_000_000,
                                330_000,
                                830_000,
                                9));
    }

    private static List<Tenant> tenants(ConfigurationTable root) throws ConfigurationException {
        List<Tenant> tenants = new ArrayList<>();
        for (ConfigurationTable t : root.tables("tenant")) {
            tenants.add(new Tenant(t.string("name", null), t.decimal("share", 1, 0.001, 1), 0));
            t.rejectUnknownKeys();
        }
        return !tenants.isEmpty()
                ? tenants
                : List.of(
                        new Tenant("zahnplan-stamm", 0.43, 0),
                        new Tenant("dentaltal", 0.3, 0),
                        new Tenant("lachwerk", 0.16, 0),
                        new Tenant("kieferhaus", 0.11, 0));
    }

    private static Scenario.Traffic traffic(ConfigurationTable t) throws ConfigurationException {
        Scenario.Traffic traffic = new Scenario.Traffic(
                t.decimal("load", 0.5, 0, 10),
                t.decimal("per_second", 0, 0, 100_000),
                t.integer("busy_one_in", 0, 0, 10_000),
                t.decimal("busy_times", 1, 1, 10_000),
                t.decimal("wave", 0, 0, 0.95),
                t.durationMicros("wave_period", "20s", "1s", "24h", null),
                t.decimal("retries", 0.8, 0, 1),
                ms(t, "retry_ms", 120, 60_000),
                t.flag("insistent", false),
                t.decimal("impatient", 0.005, 0, 1),
                t.decimal("patience", 0.85, 0.1, 1));
        t.rejectUnknownKeys();
        return traffic;
    }

    private static Scenario.Sidecar sidecar(ConfigurationTable t, Scenario.Nodes nodes) throws ConfigurationException {
        String reports = t.string("reports", "inline");
        LoadReporting how =
                switch (reports) {
                    case "inline" -> LoadReporting.IN_RESPONSES;
                    case "probe" -> LoadReporting.IN_HEALTH_CHECKS;
                    case "none" -> LoadReporting.NONE;
                    default -> throw t.invalid("reports", "\"inline\", \"probe\" or \"none\"");
                };
        boolean retryAfter = t.flag("retry_after", false);
        Scenario.Sidecar s = new Scenario.Sidecar(
                new Limits(
                        t.integer("attempts", 4, 1, 16),
                        t.flag("second_copies", true),
                        t.flag("cancelling", true),
                        t.flag("probes", true),
                        t.flag("peers", true),
                        retryAfter,
                        retryAfter ? 1_200_000 : 0,
                        nodes.idleUs(),
                        0),
                how,
                new Rules(
                        GRACE_US,
                        nodes.coldShare(),
                        nodes.rampUs(),
                        FALL,
                        FALL_US,
                        t.durationMicros("ask_every", "10s", "1s", "60s", null),
                        5_000,
                        0),
                t.durationMicros("dial_timeout", "250ms", "1ms", "60s", null),
                t.integer("connections", 400, 4, 100_000),
                t.durationMicros("boot", "1s", "0s", "60s", null),
                t.durationMicros("start_spread", "1s", "0s", "60s", null),
                t.decimal("probe_price", 0.002, 0, 10));
        t.rejectUnknownKeys();
        return s;
    }

    private static List<Fault> faults(List<ConfigurationTable> tables, Scenario.Fleet fleet)
            throws ConfigurationException {
        List<Fault> faults = new ArrayList<>();
        for (ConfigurationTable t : tables) {
            Fault.Kind kind = Fault.Kind.of(t.string("do", null));
            if (kind == null) {
                throw t.invalid(
                        "do",
                        "one of "
                                + String.join(
                                        ", ",
                                        java.util.Arrays.stream(Fault.Kind.values())
                                                .map(Fault.Kind::word)
                                                .toList()));
            }
            long at = t.durationMicros("at", "0s", "0s", "24h", null);
            String zone = t.has("zone") ? t.string("zone", null) : "";
            if (!zone.isEmpty() && !fleet.zones().contains(zone)) {
                throw t.invalid("zone", "one of fleet.zones, " + String.join(", ", fleet.zones()));
            }
            if (at > fleet.lengthUs()) {
                throw t.invalid("at", "a time within fleet.length");
            }
            faults.add(new Fault(
                    at,
                    kind,
                    zone,
                    t.integers("nodes", 0, fleet.nodes() - 1),
                    t.decimal("part", 1, 0.0001, 1),
                    t.durationMicros("for", "0s", "0s", "24h", null),
                    t.durationMicros("within", "0s", "0s", "24h", null),
                    kind.scale.isEmpty() ? 0 : t.decimal("size", kind.usual, kind.least, kind.most)));
            t.rejectUnknownKeys();
        }
        return faults;
    }

    private static Scenario.Expect expect(ConfigurationTable t) throws ConfigurationException {
        Scenario.Expect e = new Scenario.Expect(
                t.flag("rules", true),
                bound(t, "served", 1),
                bound(t, "confirms", 1),
                bound(t, "worst_second", 1),
                bound(t, "cold_multiple", 100),
                t.has("recovery") ? t.durationMicros("recovery", "10s", "0s", "1h", null) : -1,
                bound(t, "refused", 1),
                bound(t, "failed", 1),
                bound(t, "own_load", 1),
                t.has("connections") ? t.integer("connections", 0, 0, 1_000_000) : -1,
                bound(t, "calls_per_minute", 10_000),
                bound(t, "evenness", 1_000));
        t.rejectUnknownKeys();
        return e;
    }

    private static double bound(ConfigurationTable t, String key, double most) throws ConfigurationException {
        return t.has(key) ? t.decimal(key, 0, 0, most) : -1;
    }

    private static Scenario.Hunt hunt(ConfigurationTable t) throws ConfigurationException {
        List<Fault.Kind> kinds = new ArrayList<>();
        for (String word : t.strings("kinds")) {
            Fault.Kind kind = Fault.Kind.of(word);
            if (kind == null) {
                throw t.invalid("kinds", "names of events; '" + word + "' is none");
            }
            kinds.add(kind);
        }
        Scenario.Hunt h = new Scenario.Hunt(
                t.integer("events", 4, 1, 20),
                kinds.isEmpty()
                        ? List.of(
                                Fault.Kind.CRASH,
                                Fault.Kind.STALL,
                                Fault.Kind.SLOW,
                                Fault.Kind.CUT,
                                Fault.Kind.ANSWERS_LOST,
                                Fault.Kind.RESET,
                                Fault.Kind.DEPLOY,
                                Fault.Kind.DRAIN,
                                Fault.Kind.ERRORS,
                                Fault.Kind.REGISTRY_DOWN,
                                Fault.Kind.REGISTRY_LATE,
                                Fault.Kind.REGISTRY_CUT,
                                Fault.Kind.RESTART,
                                Fault.Kind.HEAVY,
                                Fault.Kind.LOAD,
                                Fault.Kind.PEERS_LOST,
                                Fault.Kind.PEERS_GARBLED)
                        : kinds);
        t.rejectUnknownKeys();
        return h;
    }

    /** A scenario file: another one with these values, this seed and these events alone. */
    public static String write(String base, String about, Map<String, Object> instead, long seed, List<Fault> faults) {
        StringBuilder t = new StringBuilder("about = \"")
                .append(about.replace("\\", "\\\\").replace("\"", "'"))
                .append("\"\nbase = \"")
                .append(base)
                .append("\"\nseed = ")
                .append(seed)
                .append('\n');
        if (!instead.isEmpty()) {
            t.append("\n[instead]\n");
            new LinkedHashMap<>(instead).forEach((k, v) -> t.append('"')
                    .append(k)
                    .append("\" = ")
                    .append(v instanceof String ? "\"" + v + "\"" : String.valueOf(v))
                    .append('\n'));
        }
        if (faults.isEmpty()) {
            // None at all, where the base has some.
            return t.insert(t.indexOf("seed ="), "event = []\n").toString();
        }
        for (Fault f : faults) {
            t.append('\n').append(f.toml());
        }
        return t.toString();
    }
}
