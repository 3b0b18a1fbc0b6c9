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
 * The configuration in force, and its change by reloaded files while requests are in progress. What can't change before the next
 * start is logged as such. All on the event loop.
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

    /** Takes over both reloaded files. */
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

    /** A reloaded file was invalid and changes nothing. */
    void rejected() {
        engine.metrics().configurationReloaded(false);
    }

    private void applySettings(SidecarConfig config) {
        settings = config.settings();
        classes.replace(clock.nowMicros(), settings.classes());
        engine.reload(settings);
        Log.event(
                "reload.settings",
                "settings are as the file says now: " + config.describeLimits() + ", "
                        + settings.limits().maxAttempts() + " attempts");
    }

    private void applyOperator(OperatorConfiguration reloaded) {
        OperatorConfiguration former = operator;
        logUnlessEqual(former.grpc(), reloaded.grpc(), "what changed under [grpc] holds from the next start on");
        logUnlessEqual(
                former.consensus(),
                reloaded.consensus(),
                "what changed under [consensus] holds from the next start on, but for its file");
        logUnlessEqual(
                former.control(), reloaded.control(), "what changed under [control] holds from the next start on");
        logUnlessEqual(former.subset(), reloaded.subset(), "what changed under [subset] holds from the next start on");
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

    /** Null where the endpoint list is not kept on disk. */
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
                    "zones away and preferred are decided in common: propose them; the rest of [zones] holds from the next start on");
            return;
        }
        engine.decisions()
                .call(
                        balancer -> {
                            if (balancer instanceof ZoneAwareBalancer zoneAware && zones != null) {
                                zoneAware.reload(clock.nowMicros(), zones);
                                Log.event(
                                        "reload.zones",
                                        "zones: those away and those preferred are as the file says now; the rest holds from the next start on");
                            } else {
                                Log.event("reload.later", "what changed under [zones] holds from the next start on");
                            }
                        },
                        () -> {});
    }
}
