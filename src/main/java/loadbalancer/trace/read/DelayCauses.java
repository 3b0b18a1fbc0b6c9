package loadbalancer.trace.read;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.trace.SpanAttributes;

/**
 * Groups sampled requests other than ordinary ones by class, sampling reason, longest phase and location, and compares each group with
 * the median of that phase in ordinary traces of its class. Pure.
 */
public final class DelayCauses {
    /**
     * One group of requests.
     *
     * @param requests       estimated requests that the group stands for, by sampling weight
     * @param sampled        traces in the group
     * @param medianMillis   median duration of the phase
     * @param usualMillis    median of it in ordinary traces; negative if there are none
     * @param exampleTraceId the longest trace of the group
     */
    public record Cause(
            String requestClass,
            String reason,
            Phase phase,
            String location,
            double requests,
            int sampled,
            double medianMillis,
            double usualMillis,
            String exampleTraceId) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%8.0f %-16s %-9s %6.0f ms %s%s%s  e.g. %s",
                    requests,
                    requestClass,
                    reason,
                    medianMillis,
                    phase.description,
                    location.isEmpty() ? "" : " " + location,
                    usualMillis < 0 ? "" : String.format(Locale.ROOT, " (usually %.0f ms)", usualMillis),
                    exampleTraceId);
        }
    }

    private record GroupKey(String requestClass, String reason, Phase phase, String location) {}

    private DelayCauses() {}

    /** Causes by the number of requests they stand for, largest first. */
    public static List<Cause> of(List<AssembledTrace> traces) {
        Map<String, Map<Phase, List<Double>>> ordinaryMillis = new LinkedHashMap<>();
        Map<GroupKey, List<AssembledTrace>> groups = new LinkedHashMap<>();
        for (AssembledTrace trace : traces) {
            String reason = reason(trace);
            String requestClass = trace.request().attribute(SpanAttributes.REQUEST_CLASS);
            if (reason.equals("ordinary")) {
                Map<Phase, List<Double>> millisByPhase =
                        ordinaryMillis.computeIfAbsent(requestClass, c -> new EnumMap<>(Phase.class));
                Map<Phase, Long> phases = trace.phaseNanos();
                for (Phase p : Phase.values()) {
                    millisByPhase.computeIfAbsent(p, x -> new ArrayList<>()).add(phases.getOrDefault(p, 0L) / 1e6);
                }
            } else {
                Phase longestPhase = trace.longestPhase();
                groups.computeIfAbsent(
                                new GroupKey(requestClass, reason, longestPhase, trace.location(longestPhase)),
                                k -> new ArrayList<>())
                        .add(trace);
            }
        }
        List<Cause> causes = new ArrayList<>();
        groups.forEach((k, values) -> causes.add(new Cause(
                k.requestClass,
                k.reason,
                k.phase,
                k.location,
                values.stream()
                        .mapToDouble(trace -> trace.request().numericAttribute(SpanAttributes.WEIGHT, 1))
                        .sum(),
                values.size(),
                median(values.stream()
                        .map(trace -> trace.phaseNanos().getOrDefault(k.phase, 0L) / 1e6)
                        .toList()),
                ordinaryMillis.containsKey(k.requestClass)
                        ? median(ordinaryMillis.get(k.requestClass).get(k.phase))
                        : -1,
                values.stream()
                        .max(Comparator.comparingDouble(AssembledTrace::durationMillis))
                        .orElseThrow()
                        .request()
                        .traceId())));
        causes.sort(Comparator.comparingDouble(Cause::requests).reversed());
        return causes;
    }

    /** The request's most severe sampling reason, which its span lists first. */
    static String reason(AssembledTrace trace) {
        String reasons = trace.request().attribute(SpanAttributes.REASONS);
        int comma = reasons.indexOf(',');
        return comma < 0 ? reasons : reasons.substring(0, comma);
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }
}
