package loadbalancer.sidecar;

import java.util.Objects;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.core.RequestClasses;
import loadbalancer.membership.discovery.DiscoveryHttpClient;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorConfiguration.DiskOptions;
import loadbalancer.zones.ZoneAwareBalancer;
import loadbalancer.zones.ZoneOptions;

/**
 * The active configuration, and its replacement by reloaded files while requests are in progress. Changes that take
 * effect only at the next start are logged as such. Event loop only.
 */
final class ActiveConfiguration {
    private final Clock clock;
    private final RequestClasses classes;
    private final Engine engine;
    private final TracingSwitch tracing;
    private final EndpointListPersistence persistence;
    private Settings settings;
    private OperatorConfiguration operator;

    ActiveConfiguration(
            Settings settings,
            OperatorConfiguration operator,
            Clock clock,
            RequestClasses classes,
            Engine engine,
            TracingSwitch tracing,
            EndpointListPersistence persistence) {
        this.settings = settings;
        this.operator = operator;
        this.clock = clock;
        this.classes = classes;
        this.engine = engine;
        this.tracing = tracing;
        this.persistence = persistence;
    }

    OperatorConfiguration operator() {
        return operator;
    }

    /** Applies both reloaded files. */
    void apply(SidecarConfig config, OperatorConfiguration reloaded, DiscoveryHttpClient discoveryClient) {
        engine.metrics().configurationReloaded(true);
        if (!settings.equals(config.settings())) {
            applySettings(config);
        }
        if (discoveryClient.setAddress(config.discovery())) {
            engine.discovery().onAddressChanged();
        }
        if (!reloaded.equals(operator)) {
            applyOperator(reloaded);
        }
    }

    /** Records that a reloaded file was invalid; the active configuration stays. */
    void rejected() {
        engine.metrics().configurationReloaded(false);
    }

    private void applySettings(SidecarConfig config) {
        settings = config.settings();
        classes.replace(clock.nowMicros(), settings.classes());
        engine.reload(settings);
        Log.event(
                "reload.settings",
                "settings are reloaded: " + config.describeLimits() + ", "
                        + settings.limits().maxAttempts() + " attempts");
    }

    private void applyOperator(OperatorConfiguration reloaded) {
        OperatorConfiguration former = operator;
        logUnlessEqual(former.grpc(), reloaded.grpc(), "changes in [grpc] take effect at the next start");
        logUnlessEqual(
                former.consensus(),
                reloaded.consensus(),
                "changes in [consensus] take effect at the next start, except for its policy file");
        logUnlessEqual(former.control(), reloaded.control(), "changes in [control] take effect at the next start");
        logUnlessEqual(former.subset(), reloaded.subset(), "changes in [subset] take effect at the next start");
        Log.setJsonOutput(reloaded.jsonLog());
        if (!Objects.equals(former.zones(), reloaded.zones())) {
            applyZones(reloaded.zones());
        }
        operator = reloaded;
        if (!Objects.equals(former.traces(), reloaded.traces())) {
            tracing.reload(reloaded.traces(), options -> options.equals(operator.traces()));
        }
        DiskOptions disk = disk(reloaded);
        if (!Objects.equals(disk(former), disk)) {
            persistence.reload(disk);
        }
    }

    /** Null where the endpoint list is not stored on disk. */
    static DiskOptions disk(OperatorConfiguration operator) {
        return operator.membership() == null ? null : operator.membership().disk();
    }

    private static void logUnlessEqual(Object former, Object reloaded, String text) {
        if (!Objects.equals(former, reloaded)) {
            Log.event("reload.later", text);
        }
    }

    private void applyZones(ZoneOptions zones) {
        if (engine.agreedConfiguration() != null) {
            Log.event(
                    "reload.later",
                    "[zones] away and tiers are set by the agreed policy: propose a policy instead; other changes in [zones] take effect at the next start");
            return;
        }
        engine.decisions()
                .call(
                        balancer -> {
                            if (balancer instanceof ZoneAwareBalancer zoneAware && zones != null) {
                                zoneAware.reload(clock.nowMicros(), zones);
                                Log.event(
                                        "reload.zones",
                                        "[zones] away and tiers are reloaded; other changes in [zones] take effect at the next start");
                            } else {
                                Log.event("reload.later", "changes in [zones] take effect at the next start");
                            }
                        },
                        () -> {});
    }
}
