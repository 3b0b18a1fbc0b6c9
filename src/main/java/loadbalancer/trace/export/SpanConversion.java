package loadbalancer.trace.export;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.common.AttributesBuilder;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.TraceStateBuilder;
import io.opentelemetry.sdk.common.InstrumentationScopeInfo;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.data.EventData;
import io.opentelemetry.sdk.trace.data.LinkData;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.data.StatusData;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.trace.SamplingDecision;
import loadbalancer.trace.SamplingReason;
import loadbalancer.trace.SpanAttributes;
import loadbalancer.trace.Trace;
import loadbalancer.trace.Trace.Attempt;
import loadbalancer.trace.Trace.RequestResult;

/** Converts a trace to OpenTelemetry spans: one of kind SERVER for the request, one of kind CLIENT for each attempt. */
final class SpanConversion {
    private static final InstrumentationScopeInfo SCOPE = InstrumentationScopeInfo.create("bridgecleat");
    private static final AttributeKey<List<String>> REASONS = AttributeKey.stringArrayKey(SpanAttributes.REASONS);

    private final Resource resource;

    SpanConversion(String service, String instance) {
        resource = Resource.create(Attributes.of(
                AttributeKey.stringKey("service.name"),
                service,
                AttributeKey.stringKey("service.instance.id"),
                instance));
    }

    void add(Trace trace, SamplingDecision decision, List<SpanData> spans) {
        spans.add(request(trace, decision));
        for (Attempt attempt : trace.attempts()) {
            spans.add(attempt(trace, attempt));
        }
    }

    private SpanData request(Trace trace, SamplingDecision decision) {
        AttributesBuilder attributes = Attributes.builder()
                .put(SpanAttributes.REQUEST_ID, trace.request().id())
                .put(SpanAttributes.REQUEST_CLASS, trace.request().requestClass())
                .put(SpanAttributes.PROTOCOL, trace.start().protocol())
                .put(SpanAttributes.RESULT, trace.result().name().toLowerCase(Locale.ROOT))
                .put(SpanAttributes.WEIGHT, decision.weight())
                .put(
                        REASONS,
                        decision.reasons().stream()
                                .map(SamplingReason::name)
                                .map(n -> n.toLowerCase(Locale.ROOT))
                                .toList())
                .put(SpanAttributes.LATENCY_OBJECTIVE_MILLIS, trace.start().latencyObjectiveMicros() / 1000)
                .put(SpanAttributes.ATTEMPTS, trace.attempts().size());
        if (trace.request().tenant() != null && !trace.request().tenant().isEmpty()) {
            attributes.put(SpanAttributes.TENANT, trace.request().tenant());
        }
        if (trace.start().maxUnreadMicros() >= 1_000) {
            attributes.put(SpanAttributes.UNREAD_MILLIS, trace.start().maxUnreadMicros() / 1000);
        }
        List<EventData> events = new ArrayList<>(1);
        events.add(event(SpanAttributes.ANSWERED, trace.answeredMicros()));
        if (trace.retryAfterMicros() > 0) {
            attributes.put(SpanAttributes.RETRY_AFTER_MILLIS, trace.retryAfterMicros() / 1000);
        }
        List<LinkData> links = trace.link() == null
                ? List.of()
                : List.of(LinkData.create(context(trace.link(), trace.link().spanIdBits())));
        StatusData status = trace.result() == RequestResult.SERVED
                ? StatusData.unset()
                : StatusData.create(StatusCode.ERROR, trace.result().name().toLowerCase(Locale.ROOT));
        return new ExportedSpan(
                trace.request().requestClass(),
                SpanKind.SERVER,
                context(trace.context(), trace.context().spanIdBits()),
                trace.parent() == null
                        ? SpanContext.getInvalid()
                        : context(trace.parent(), trace.parent().spanIdBits()),
                status,
                trace.start().receivedMicros() * 1000,
                trace.answeredMicros() * 1000,
                attributes.build(),
                events,
                links,
                resource);
    }

    private SpanData attempt(Trace trace, Attempt attempt) {
        AttributesBuilder attributes = Attributes.builder()
                .put(SpanAttributes.UPSTREAM, attempt.upstream)
                .put(SpanAttributes.ATTEMPT, attempt.number)
                .put(SpanAttributes.OUTCOME, SpanAttributes.outcomeText(attempt.outcome()))
                .put(SpanAttributes.MAY_HAVE_RUN, attempt.mayHaveRun())
                .put(SpanAttributes.NEW_CONNECTION, attempt.newConnection());
        if (attempt.hedged) {
            attributes.put(SpanAttributes.HEDGED, true);
        }
        if (attempt.loadReport() != null) {
            attributes
                    .put(SpanAttributes.NODE_IN_FLIGHT, attempt.loadReport().inFlight())
                    .put(SpanAttributes.NODE_QUEUED, attempt.loadReport().queued())
                    .put(SpanAttributes.NODE_UTILIZATION, attempt.loadReport().utilization());
        }
        List<EventData> events = new ArrayList<>(2);
        if (attempt.writtenMicros() > 0) {
            events.add(event(SpanAttributes.WRITTEN, attempt.writtenMicros()));
        }
        if (attempt.streamingMicros() > 0) {
            events.add(event(SpanAttributes.STREAMING, attempt.streamingMicros()));
        }
        if (attempt.cancelledMicros() > 0) {
            events.add(event(SpanAttributes.CANCELLED, attempt.cancelledMicros()));
        }
        StatusData status = attempt.outcome() == Outcome.OK || attempt.outcome() == Outcome.CANCELLED
                ? StatusData.unset()
                : StatusData.create(StatusCode.ERROR, SpanAttributes.outcomeText(attempt.outcome()));
        return new ExportedSpan(
                "attempt",
                SpanKind.CLIENT,
                context(trace.context(), attempt.spanIdBits),
                context(trace.context(), trace.context().spanIdBits()),
                status,
                attempt.startMicros * 1000,
                Math.max(attempt.startMicros, attempt.endMicros()) * 1000,
                attributes.build(),
                events,
                List.of(),
                resource);
    }

    private static EventData event(String name, long timeMicros) {
        return EventData.create(timeMicros * 1000, name, Attributes.empty());
    }

    private static SpanContext context(loadbalancer.trace.SpanContext source, long span) {
        TraceState state = TraceState.getDefault();
        if (!source.traceState().isEmpty()) {
            TraceStateBuilder builder = TraceState.builder();
            String[] entries = source.traceState().split(",");
            // The builder prepends each entry.
            for (int i = entries.length - 1; i >= 0; i--) {
                int equals = entries[i].indexOf('=');
                builder.put(entries[i].substring(0, equals), entries[i].substring(equals + 1));
            }
            state = builder.build();
        }
        return SpanContext.create(
                source.traceId(),
                loadbalancer.trace.SpanContext.spanId(span),
                TraceFlags.fromByte((byte) source.flags()),
                state);
    }

    /** Immutable {@link SpanData}, as the OTLP marshaler needs it. */
    private record ExportedSpan(
            String name,
            SpanKind kind,
            SpanContext context,
            SpanContext parent,
            StatusData status,
            long startNanos,
            long endNanos,
            Attributes attributes,
            List<EventData> events,
            List<LinkData> links,
            Resource resource)
            implements SpanData {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public SpanKind getKind() {
            return kind;
        }

        @Override
        public SpanContext getSpanContext() {
            return context;
        }

        @Override
        public SpanContext getParentSpanContext() {
            return parent;
        }

        @Override
        public StatusData getStatus() {
            return status;
        }

        @Override
        public long getStartEpochNanos() {
            return startNanos;
        }

        @Override
        public long getEndEpochNanos() {
            return endNanos;
        }

        @Override
        public Attributes getAttributes() {
            return attributes;
        }

        @Override
        public List<EventData> getEvents() {
            return events;
        }

        @Override
        public List<LinkData> getLinks() {
            return links;
        }

        @Override
        public boolean hasEnded() {
            return true;
        }

        @Override
        public int getTotalRecordedEvents() {
            return events.size();
        }

        @Override
        public int getTotalRecordedLinks() {
            return links.size();
        }

        @Override
        public int getTotalAttributeCount() {
            return attributes.size();
        }

        @Override
        public InstrumentationScopeInfo getInstrumentationScopeInfo() {
            return SCOPE;
        }

        @Override
        @Deprecated
        public io.opentelemetry.sdk.common.InstrumentationLibraryInfo getInstrumentationLibraryInfo() {
            return io.opentelemetry.sdk.common.InstrumentationLibraryInfo.create(SCOPE.getName(), null);
        }

        @Override
        public Resource getResource() {
            return resource;
        }
    }
}
