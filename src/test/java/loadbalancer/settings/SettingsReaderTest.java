package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.HaloBalancer;
import loadbalancer.balancing.PeerLoad;
import loadbalancer.balancing.RoutingConstraints;
import org.junit.jupiter.api.Test;

/** Reads settings from the path=value pairs that the wire and a sidecar's configuration contain. */
class SettingsReaderTest {
    private final Map<String, String> values = new HashMap<>(Map.ofEntries(
            Map.entry("me", "2"),
            Map.entry("balancers", "5"),
            Map.entry("zone", "za"),
            Map.entry("profiles.count", "1"),
            Map.entry("profiles.0.name", "c"),
            Map.entry("profiles.0.semantics", "keyed"),
            Map.entry("profiles.0.objective_us", "330000"),
            Map.entry("profiles.0.give_up_us", "830000"),
            Map.entry("rules.drain_grace_us", "500000"),
            Map.entry("rules.cold_share", "0.13"),
            Map.entry("rules.ramp_time_us", "24000000"),
            Map.entry("rules.fall_multiple", "3"),
            Map.entry("rules.fall_us", "1000000")));

    private Settings read() {
        return new SettingsReader(values).read();
    }

    @Test
    void readsSettingsThatArePresent() {
        values.putAll(Map.of(
                "azs",
                "za,zb",
                "kinds",
                "k1,k2",
                "profiles.0.group",
                "zone",
                "profiles.0.window_us",
                "4e6",
                "profiles.0.importance",
                "9",
                "accounts.count",
                "1",
                "accounts.0.name",
                "t",
                "accounts.0.share",
                "0.4",
                "limits.second_copies",
                "1",
                "load_info.how",
                "inline"));
        values.put("discovery", "on_request");
        values.put("load_info.fields", "busy_reqs,cpu_share");
        Settings settings = read();
        assertEquals(2, settings.sidecarIndex());
        assertEquals(List.of("za", "zb"), settings.zones());
        assertEquals(List.of("k1", "k2"), settings.machineTypes());
        assertEquals(Idempotency.WITH_KEY, settings.classes().get(0).idempotency());
        assertEquals(IdempotencyScope.ZONE, settings.classes().get(0).idempotencyScope());
        assertEquals(4_000_000, settings.classes().get(0).idempotencyWindowMicros());
        assertEquals(9, settings.classes().get(0).priorityWeight());
        assertEquals(0.4, settings.tenants().get(0).capacityShare());
        assertTrue(settings.limits().hedgingAllowed());
        assertTrue(settings.pollsDiscovery());
        assertEquals(LoadReporting.IN_RESPONSES, settings.loadReporting());
        assertEquals(List.of("busy_reqs", "cpu_share"), new SettingsReader(values).reportFields());
    }

    /** Platforms without the overload rule set its window to 0; the balancer must still send requests. */
    @Test
    void balancerSendsRequestsWithAnOverloadWindowOfZero() {
        for (String windowMicros : List.of("0", "1")) {
            values.put("rules.fall_us", windowMicros);
            List<String> sent = new ArrayList<>();
            Balancer.Actions actions = (Balancer.Actions) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(),
                    new Class<?>[] {Balancer.Actions.class},
                    (proxy, method, arguments) -> {
                        if (method.getName().equals("send")) {
                            sent.add(arguments[0] + " to " + arguments[1]);
                        }
                        return null;
                    });
            HaloBalancer balancer = new HaloBalancer(read(), RoutingConstraints.NONE, PeerLoad.NONE, 1, 0, actions);
            balancer.onEndpointList(
                    0,
                    Balancer.EndpointListKind.FULL,
                    List.of(new Balancer.Upstream("u0", "za", "k", 0, 1, 1, Balancer.UpstreamState.READY)));
            balancer.onRequest(
                    30_000_000,
                    new Balancer.Request("a", -1, false, false, 0, 800_000, "t", "c", Balancer.HTTP1, false, "key"));
            assertEquals(List.of("a to u0"), sent, "overload window of " + windowMicros + " us");
        }
    }

    @Test
    void usesDefaultsForMissingSettings() {
        Settings settings = read();
        assertEquals(List.of("za"), settings.zones());
        assertEquals(IdempotencyScope.ALL, settings.classes().get(0).idempotencyScope());
        assertEquals(1, settings.limits().maxAttempts());
        assertFalse(settings.limits().healthChecksAllowed());
        assertFalse(settings.pollsDiscovery());
        assertEquals(LoadReporting.NONE, settings.loadReporting());
        assertEquals(250_000, new SettingsReader(values).dialTimeoutMicros());
        assertEquals(List.of(), settings.tenants());
    }

    @Test
    void namesTheInvalidOrMissingSetting() {
        Map.of(
                        "profiles.0.semantics",
                        "setting 'profiles.0.semantics' must be 'safe', 'keyed' or 'unsafe', not 'x'",
                        "profiles.0.group",
                        "setting 'profiles.0.group' must be 'all', 'zone', 'cell' or '-', not 'x'",
                        "me",
                        "setting 'me' must be a finite number, not 'x'",
                        "rules.cold_share",
                        "setting 'rules.cold_share' must be a finite number, not 'x'")
                .forEach((path, message) -> {
                    String previous = values.put(path, "x");
                    assertEquals(
                            message,
                            assertThrows(SettingsException.class, this::read, path)
                                    .getMessage());
                    if (previous == null) {
                        values.remove(path);
                    } else {
                        values.put(path, previous);
                    }
                });
        for (String path : List.copyOf(values.keySet())) {
            String previous = values.remove(path);
            assertTrue(assertThrows(SettingsException.class, this::read, path)
                    .getMessage()
                    .contains("'" + path + "' is missing"));
            values.put(path, previous);
        }
    }

    @Test
    void loadReportBuilderAcceptsBothNamesOfEachValue() {
        LoadReportBuilder withFirstNames = new LoadReportBuilder();
        withFirstNames.put("busy_reqs", 3);
        withFirstNames.put("pending", 1);
        withFirstNames.put("cpu_share", 0.5);
        LoadReportBuilder withSecondNames = new LoadReportBuilder();
        withSecondNames.put("inflight", 3);
        withSecondNames.put("queue", 1);
        withSecondNames.put("util", 0.5);
        withSecondNames.put("something_else", 7);
        assertEquals(new LoadReport(3, 1, 0.5), withFirstNames.build());
        assertEquals(withFirstNames.build(), withSecondNames.build());
        assertEquals(new LoadReport(-1, -1, -1), new LoadReportBuilder().build());
    }
}
