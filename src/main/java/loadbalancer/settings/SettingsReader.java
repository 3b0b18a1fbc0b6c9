package loadbalancer.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Tenant;

/**
 * Reads settings from path=value pairs, which come from the simulator's {@code ENLIST} message or from a sidecar's
 * configuration. This is the only place that translates the platform's names of settings to the terms of the code.
 * Unknown paths are ignored.
 */
public final class SettingsReader {
    /**
     * The balancer counts in halves of the window, so it must not be 0. Platforms without the overload rule set it to
     * 0.
     */
    private static final long MIN_OVERLOAD_WINDOW_MICROS = 2;

    private static final long DEFAULT_CONNECTION_IDLE_MICROS = 15_000_000;
    private static final long DEFAULT_DIAL_TIMEOUT_MICROS = 250_000;
    private static final long DEFAULT_TICK_MICROS = 1000;
    /** Value of a setting that counts as absent. */
    private static final String ABSENT = "-";

    private final Map<String, String> values;

    /**
     * @param values flattened settings: lists of plain values are joined with commas, and lists of objects have a
     *     {@code count} and an index for each object
     */
    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** @throws SettingsException for the first setting that is missing or invalid */
    public Settings read() {
        List<RequestClass> classes = requestClasses();
        List<Tenant> tenants = tenants();
        Limits limits = limits();
        Rules rules = rules();
        Prices prices = prices();
        return new Settings(
                (int) requiredNumber("me"),
                (int) requiredNumber("balancers"),
                requiredText("zone"),
                list("azs", requiredText("zone")),
                list("kinds", ""),
                classes,
                tenants,
                limits,
                rules,
                loadReporting(values.getOrDefault("load_info.how", "off")),
                values.getOrDefault("discovery", "pushed").equals("on_request"),
                values.getOrDefault("counted_by", "request").equals("work"),
                number("over_share_worth", 1),
                prices,
                (long) number("period_us", DEFAULT_TICK_MICROS));
    }

    /** Timeout of connection attempts, in microseconds. */
    public long dialTimeoutMicros() {
        return (long) number("limits.dial_timeout_us", DEFAULT_DIAL_TIMEOUT_MICROS);
    }

    /** Names of a load report's values, in the order of the reports on the wire. */
    public List<String> reportFields() {
        return list("load_info.fields", "");
    }

    private List<RequestClass> requestClasses() {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < (int) requiredPositive("profiles.count"); i++) {
            String prefix = "profiles." + i + ".";
            String name = requiredText(prefix + "name");
            if (!names.add(name)) {
                throw SettingsException.duplicate(prefix + "name", name);
            }
            classes.add(requestClass(name, prefix));
        }
        return classes;
    }

    private RequestClass requestClass(String name, String prefix) {
        return new RequestClass(
                name,
                idempotency(prefix + "semantics", requiredText(prefix + "semantics")),
                idempotencyScope(prefix + "group", values.getOrDefault(prefix + "group", "all")),
                (long) number(prefix + "window_us", 0),
                (long) requiredPositive(prefix + "objective_us"),
                number(prefix + "aim_stretch", 0),
                (long) requiredPositive(prefix + "give_up_us"),
                number(prefix + "importance", 1),
                number(prefix + "late_worth", 0),
                flag(prefix + "stream"));
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) number("accounts.count", 0); i++) {
            String prefix = "accounts." + i + ".";
            String name = requiredText(prefix + "name");
            tenants.add(new Tenant(name, number(prefix + "share", 0), number(prefix + "quota_rps", 0)));
        }
        return tenants;
    }

    private Limits limits() {
        return new Limits(
                (int) (values.containsKey("limits.max_attempts") ? requiredPositive("limits.max_attempts") : 1),
                flag("limits.second_copies"),
                flag("limits.cancelling"),
                flag("limits.probing"),
                flag("limits.peers"),
                flag("limits.retry_after"),
                (long) number("limits.max_retry_after_us", 0),
                (long) number("limits.conn_idle_us", DEFAULT_CONNECTION_IDLE_MICROS),
                number("limits.cpu_us_per_request", 0));
    }

    private Rules rules() {
        return new Rules(
                (long) requiredNumber("rules.drain_grace_us"),
                requiredNumber("rules.cold_share"),
                (long) requiredNumber("rules.ramp_time_us"),
                requiredNumber("rules.fall_multiple"),
                Math.max(MIN_OVERLOAD_WINDOW_MICROS, (long) requiredNumber("rules.fall_us")),
                (long) number("rules.ask_every_us", 0),
                (long) number("rules.answer_slack_us", 0),
                (long) number("rules.close_on_drain_within_us", 0));
    }

    private Prices prices() {
        return new Prices(
                number("tariffs.cross_zone", 0),
                number("tariffs.peer", 0),
                number("tariffs.probe", 0),
                number("tariffs.connection", 0),
                number("tariffs.handshake", 0));
    }

    private String requiredText(String path) {
        String value = values.get(path);
        if (value == null) {
            throw SettingsException.missing(path);
        }
        return value;
    }

    private double requiredNumber(String path) {
        requiredText(path);
        return number(path, 0);
    }

    private double requiredPositive(String path) {
        double value = requiredNumber(path);
        if (!(value >= 1)) {
            throw SettingsException.notPositive(path, values.get(path));
        }
        return value;
    }

    private double number(String path, double defaultValue) {
        String value = values.get(path);
        if (value == null || value.equals(ABSENT)) {
            return defaultValue;
        }
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException exception) {
            throw SettingsException.notANumber(path, value);
        }
        if (!Double.isFinite(number)) {
            throw SettingsException.notANumber(path, value);
        }
        return number;
    }

    private boolean flag(String path) {
        String value = values.get(path);
        return value != null && (value.equals("true") || value.equals("1"));
    }

    private List<String> list(String path, String defaultValue) {
        return Arrays.asList(values.getOrDefault(path, defaultValue).split(","));
    }

    private static Idempotency idempotency(String path, String text) {
        return switch (text) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.WITH_KEY;
            case "unsafe" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw SettingsException.unexpectedValue(path, "'safe', 'keyed' or 'unsafe'", text);
        };
    }

    private static IdempotencyScope idempotencyScope(String path, String text) {
        return switch (text) {
            case "all", ABSENT -> IdempotencyScope.ALL;
            case "zone" -> IdempotencyScope.ZONE;
            case "cell" -> IdempotencyScope.CELL;
            default -> throw SettingsException.unexpectedValue(path, "'all', 'zone', 'cell' or '-'", text);
        };
    }

    private static LoadReporting loadReporting(String text) {
        return switch (text) {
            case "inline" -> LoadReporting.IN_RESPONSES;
            case "on_probe" -> LoadReporting.IN_HEALTH_CHECKS;
            default -> LoadReporting.NONE;
        };
    }
}
