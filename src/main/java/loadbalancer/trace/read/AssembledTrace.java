package loadbalancer.trace.read;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import loadbalancer.trace.SpanAttributes;

/**
 * One request: its span, its attempts by start time, and the spans below them. Pure.
 *
 * @param children spans by the id of their parent span, those of other services included
 */
public record AssembledTrace(
        RecordedSpan request, List<RecordedSpan> attempts, Map<String, List<RecordedSpan>> children) {
    static AssembledTrace of(RecordedSpan request, Map<String, List<RecordedSpan>> children) {
        List<RecordedSpan> attempts = new ArrayList<>(children.getOrDefault(request.spanId(), List.of()).stream()
                .filter(span -> span.attributes().containsKey(SpanAttributes.ATTEMPT))
                .toList());
        attempts.sort(Comparator.comparingLong(RecordedSpan::startNanos));
        return new AssembledTrace(request, attempts, children);
    }

    /** The attempt whose response the client received; null if there was none. */
    RecordedSpan winner() {
        if (request.attribute(SpanAttributes.RESULT).equals("served")) {
            for (RecordedSpan attempt : attempts) {
                if (attempt.attribute(SpanAttributes.OUTCOME).equals("ok")
                        && attempt.endNanos() <= request.endNanos()) {
                    return attempt;
                }
            }
        }
        return null;
    }

    /** Nanoseconds by phase; they add up to the request's duration. */
    Map<Phase, Long> phaseNanos() {
        Map<Phase, Long> nanosByPhase = new EnumMap<>(Phase.class);
        RecordedSpan winner = winner();
        long positionNanos = request.startNanos();
        long endNanos = request.endNanos();
        for (RecordedSpan attempt : attempts) {
            if (attempt == winner
                    || attempt.startNanos() >= endNanos
                    || winner != null && attempt.startNanos() >= winner.startNanos()) {
                continue;
            }
            if (attempt.startNanos() > positionNanos) {
                nanosByPhase.merge(
                        positionNanos == request.startNanos() ? Phase.QUEUED : Phase.BACKOFF,
                        attempt.startNanos() - positionNanos,
                        Long::sum);
                positionNanos = attempt.startNanos();
            }
            long untilNanos =
                    Math.min(winner == null ? endNanos : Math.min(endNanos, winner.startNanos()), attempt.endNanos());
            if (untilNanos > positionNanos) {
                nanosByPhase.merge(Phase.FAILED_ATTEMPTS, untilNanos - positionNanos, Long::sum);
                positionNanos = untilNanos;
            }
        }
        if (winner != null) {
            if (winner.startNanos() > positionNanos) {
                nanosByPhase.merge(
                        positionNanos == request.startNanos() ? Phase.QUEUED : Phase.BACKOFF,
                        winner.startNanos() - positionNanos,
                        Long::sum);
                positionNanos = winner.startNanos();
            }
            long writtenNanos = Math.min(
                    winner.endNanos(),
                    Math.max(positionNanos, winner.events().getOrDefault(SpanAttributes.WRITTEN, positionNanos)));
            nanosByPhase.merge(Phase.SENDING, writtenNanos - positionNanos, Long::sum);
            nanosByPhase.merge(Phase.NODE, winner.endNanos() - writtenNanos, Long::sum);
            positionNanos = winner.endNanos();
        }
        if (endNanos > positionNanos) {
            nanosByPhase.merge(
                    attempts.isEmpty() ? Phase.QUEUED : winner == null ? Phase.BACKOFF : Phase.RESPONSE,
                    endNanos - positionNanos,
                    Long::sum);
        }
        return nanosByPhase;
    }

    /** The phase that took longest. */
    Phase longestPhase() {
        return phaseNanos().entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(Phase.QUEUED);
    }

    /** The upstream responsible for a phase; empty where it is the sidecar itself. */
    String location(Phase phase) {
        RecordedSpan winner = winner();
        return switch (phase) {
            case SENDING, NODE -> winner == null ? "" : winner.attribute(SpanAttributes.UPSTREAM);
            case FAILED_ATTEMPTS -> attempts.stream()
                    .filter(attempt -> attempt != winner)
                    .max(Comparator.comparingLong(attempt -> attempt.endNanos() - attempt.startNanos()))
                    .map(attempt -> attempt.attribute(SpanAttributes.UPSTREAM) + " ("
                            + attempt.attribute(SpanAttributes.OUTCOME) + ")")
                    .orElse("");
            default -> "";
        };
    }

    double durationMillis() {
        return (request.endNanos() - request.startNanos()) / 1e6;
    }
}
