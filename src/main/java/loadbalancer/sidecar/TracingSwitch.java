package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Predicate;
import loadbalancer.core.Clock;
import loadbalancer.core.EventLoops;
import loadbalancer.core.Log;
import loadbalancer.core.Requests;
import loadbalancer.operator.OperatorConfiguration.TraceOptions;

/**
 * Turns tracing on and off while requests are in progress. Without tracing none of its classes is loaded. Event loop
 * only, except for {@link #create}.
 */
final class TracingSwitch {
    private final EventLoop loop;
    private final Clock clock;
    private final Requests requests;
    private final String instance;
    private final long seed;

    /** Null while tracing is off. */
    private TracingSetup active;

    private boolean stopped;

    TracingSwitch(EventLoop loop, Clock clock, Requests requests, String instance, long seed) {
        this.loop = loop;
        this.clock = clock;
        this.requests = requests;
        this.instance = instance;
        this.seed = seed;
    }

    /** Loads the tracing library, which is too slow for the event loop. */
    TracingSetup create(TraceOptions options) {
        return new TracingSetup(options, instance, clock, seed);
    }

    /**
     * Replaces the active setup; null turns tracing off. Requests in progress keep their traces, which the former setup
     * still exports.
     */
    void install(TracingSetup setup) {
        TracingSetup former = active;
        active = setup;
        requests.setTracer(setup == null ? null : setup.tracer(), turns -> EventLoops.measureLatency(loop, turns));
        if (former != null) {
            former.close(() -> {});
        }
    }

    /**
     * Applies reloaded options; null turns tracing off.
     *
     * @param stillWanted tested once the library is loaded, because a later reload may have replaced the options
     */
    void reload(TraceOptions options, Predicate<TraceOptions> stillWanted) {
        if (options == null) {
            install(null);
            Log.event("reload.traces", "tracing is turned off");
            return;
        }
        Runnable creation = () -> {
            TracingSetup setup = create(options);
            loop.execute(() -> {
                if (stillWanted.test(options) && !stopped) {
                    install(setup);
                    Log.event("reload.traces", "tracing options are reloaded");
                } else {
                    setup.close(() -> {});
                }
            });
        };
        new Thread(creation, "traces-start").start();
    }

    /** Turns tracing off for good; the caller closes the setup that was active. */
    Optional<TracingSetup> stop() {
        stopped = true;
        TracingSetup last = active;
        active = null;
        return Optional.ofNullable(last);
    }
}
