package loadbalancer.sidecar;

import java.util.List;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.operator.OperatorConfiguration.TraceOptions;
import loadbalancer.trace.Tracer;
import loadbalancer.trace.export.TraceExport;

/** A tracer and its exporters. */
final class TracingSetup {
    /** Time for the last spans at shutdown; the platform may kill a sidecar 0.7 s after its last response. */
    private static final long MAX_FLUSH_MILLIS = 300;

    private final List<TraceExport> exports;
    private final Tracer tracer;

    TracingSetup(TraceOptions options, String instance, Clock clock, long seed) {
        exports = TraceExport.of(options, instance, clock, seed, text -> Log.event("traces", text));
        tracer = new Tracer(
                options.sampling(),
                clock::nowMicros,
                seed ^ 0x7472616365L,
                (trace, verdict) -> {
                    for (TraceExport export : exports) {
                        export.enqueue(trace, verdict);
                    }
                },
                exception -> Log.fault("tracing failed and is off; requests are still served", exception));
    }

    Tracer tracer() {
        return tracer;
    }

    /** Flushes on a thread of its own, because collectors may be slow. {@code onDone} runs on that thread. */
    void close(Runnable onDone) {
        exports.forEach(TraceExport::close);
        Thread flusher = new Thread(
                () -> {
                    try {
                        for (TraceExport export : exports) {
                            export.join(MAX_FLUSH_MILLIS / exports.size());
                        }
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    } finally {
                        Tracer.Counts counts = tracer.counts();
                        Log.event(
                                "traces.counts",
                                "traces: " + counts.started() + " begun, " + counts.sampled() + " kept, "
                                        + exports.stream()
                                                .mapToLong(export ->
                                                        export.counts().sent())
                                                .max()
                                                .orElse(0) + " handed on, "
                                        + exports.stream()
                                                .mapToLong(export ->
                                                        export.counts().dropped())
                                                .sum() + " lost, " + counts.dropped() + " over the rates");
                        onDone.run();
                    }
                },
                "traces-end");
        flusher.setDaemon(true);
        flusher.start();
    }
}
