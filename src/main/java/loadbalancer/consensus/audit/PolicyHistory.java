package loadbalancer.consensus.audit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The stages that a fleet decided by, from the log events of all its sidecars, and checks on them: each index has one
 * stage, each stage follows the one before, no sidecar goes back, and no two sidecars have valid leases on incompatible
 * stages. Times are by the machines' wall clocks, so the last check allows for their skew. Does no I/O.
 */
public final class PolicyHistory {
    /** Events of each log, in the order of the log. */
    private final Map<String, List<Event>> logs = new LinkedHashMap<>();

    private final Map<String, Long> lastSeenMillis = new LinkedHashMap<>();

    /** Adds the next event of a log. */
    public void add(Event event) {
        logs.computeIfAbsent(event.log, log -> new ArrayList<>()).add(event);
        recordAlive(event.log, event.atMillis);
    }

    /** Records that a log's process was alive at a time. */
    public void recordAlive(String log, long atMillis) {
        lastSeenMillis.merge(log, atMillis, Math::max);
    }

    /** Records that a log's process started, without the state of an earlier process. */
    public void recordRestart(String log, long atMillis) {
        add(new Event(log, atMillis, "", Event.NO_STAGE, "", ""));
    }

    /** Returns the logs that name each stage, by position in the sequence of stages. */
    private Map<Position, Map<Stage, Set<String>>> stages() {
        Map<Position, Map<Stage, Set<String>>> stages = new LinkedHashMap<>();
        logs.forEach((log, events) -> {
            for (Event event : events) {
                if (event.hasStage()) {
                    stages.computeIfAbsent(event.position(), position -> new LinkedHashMap<>())
                            .computeIfAbsent(event.stage(), stage -> new LinkedHashSet<>())
                            .add(log);
                }
            }
        });
        return stages;
    }

    private List<LeaseInterval> leaseIntervals() {
        List<LeaseInterval> intervals = new ArrayList<>();
        logs.forEach((log, events) -> {
            for (int index = 0; index < events.size(); index++) {
                Event event = events.get(index);
                if (event.hasStage()) {
                    boolean last = index + 1 == events.size();
                    long untilMillis = last ? lastSeenMillis.get(log) : events.get(index + 1).atMillis;
                    intervals.add(new LeaseInterval(log, event.position(), event.atMillis, untilMillis));
                }
            }
        });
        return intervals;
    }

    /**
     * Returns a description of each violated invariant.
     *
     * @param maxClockSkewMillis largest difference between the wall clocks of two machines
     */
    public List<String> violations(long maxClockSkewMillis) {
        List<String> violations = new ArrayList<>();
        Map<Position, Map<Stage, Set<String>>> stages = stages();
        stages.forEach((position, logsByStage) -> {
            checkUnique(position, logsByStage, violations);
            Map<Stage, Set<String>> previous = stages.get(position.previous());
            if (previous != null) {
                checkOrder(position, previous.keySet(), logsByStage.keySet(), violations);
            }
        });
        logs.forEach((log, events) -> checkMonotonic(log, events, violations));
        checkCompatible(leaseIntervals(), maxClockSkewMillis, violations);
        return violations;
    }

    private static void checkUnique(Position position, Map<Stage, Set<String>> logsByStage, List<String> violations) {
        if (logsByStage.size() > 1) {
            violations.add("EVERYWHERE_OR_NOWHERE: " + position + " is " + logsByStage);
        }
    }

    private static void checkOrder(Position position, Set<Stage> previous, Set<Stage> stages, List<String> violations) {
        boolean unique = previous.size() == 1 && stages.size() == 1;
        if (unique && !stages.iterator().next().follows(previous.iterator().next())) {
            violations.add("ORDER: " + position + ", " + stages + ", does not follow " + previous);
        }
    }

    private static void checkMonotonic(String log, List<Event> events, List<String> violations) {
        Event previous = null;
        for (Event event : events) {
            if (event.era.isEmpty()) {
                previous = null;
            } else if (event.hasStage()) {
                if (previous != null && previous.era.equals(event.era) && event.index < previous.index) {
                    violations.add("ORDER: " + log + " went from stage " + previous.index + " back to " + event.index);
                }
                previous = event;
            }
        }
    }

    private static void checkCompatible(
            List<LeaseInterval> intervals, long maxClockSkewMillis, List<String> violations) {
        for (int later = 0; later < intervals.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                LeaseInterval first = intervals.get(later);
                LeaseInterval second = intervals.get(earlier);
                long overlapMillis = first.overlapMillis(second);
                boolean adjacent = Math.abs(first.position.index - second.position.index) <= 1;
                boolean sameEra = first.position.era.equals(second.position.era);
                if (sameEra && !adjacent && overlapMillis > maxClockSkewMillis) {
                    violations.add("ONE_POLICY: " + first.log + " had a lease on stage " + first.position.index
                            + " and " + second.log + " on stage " + second.position.index + " for " + overlapMillis
                            + " ms");
                }
            }
        }
    }

    /**
     * Returns a line for each stage, in the order in which the stages were first seen, with the logs that do not name
     * the stage.
     */
    public List<String> describe() {
        Map<Position, Long> firstMillis = new LinkedHashMap<>();
        Map<Position, Long> lastMillis = new LinkedHashMap<>();
        for (LeaseInterval interval : leaseIntervals()) {
            firstMillis.merge(interval.position, interval.fromMillis, Math::min);
            lastMillis.merge(interval.position, interval.fromMillis, Math::max);
        }
        Map<Long, List<String>> linesByTime = new TreeMap<>();
        stages().forEach((position, logsByStage) -> logsByStage.forEach((stage, adopters) -> {
            long from = firstMillis.get(position);
            String line = describe(position, stage, adopters, from, lastMillis.get(position));
            linesByTime.computeIfAbsent(from, time -> new ArrayList<>()).add(line);
        }));
        return linesByTime.values().stream().flatMap(List::stream).toList();
    }

    private String describe(Position position, Stage stage, Set<String> adopters, long firstMillis, long lastMillis) {
        Set<String> missing = new LinkedHashSet<>(logs.keySet());
        missing.removeAll(adopters);
        return String.format(
                Locale.ROOT,
                "%d  era %s  stage %d  %s  at %d of %d sidecars within %d ms%s",
                firstMillis,
                position.era,
                position.index,
                stage,
                adopters.size(),
                logs.size(),
                lastMillis - firstMillis,
                missing.isEmpty() ? "" : "; not at " + missing);
    }

    /**
     * An event after which a log's process decides by another stage, or by none.
     *
     * @param log name of the sidecar's log
     * @param atMillis Unix time
     * @param era empty at the start of a process
     * @param index index of the stage; {@link #NO_STAGE} without a valid lease
     * @param oldVersion as the log names it; equal to {@code newVersion} in a settled stage
     */
    public record Event(String log, long atMillis, String era, long index, String oldVersion, String newVersion) {
        /** Index of an event without a stage. */
        public static final long NO_STAGE = -1;

        private boolean hasStage() {
            return index > NO_STAGE;
        }

        private Position position() {
            return new Position(era, index);
        }

        private Stage stage() {
            return new Stage(oldVersion, newVersion);
        }
    }

    private record Position(String era, long index) {
        Position previous() {
            return new Position(era, index - 1);
        }

        @Override
        public String toString() {
            return "stage " + index + " of era " + era;
        }
    }

    private record Stage(String oldVersion, String newVersion) {
        boolean isJoint() {
            return !oldVersion.equals(newVersion);
        }

        boolean follows(Stage previous) {
            return previous.isJoint()
                    ? !isJoint() && (newVersion.equals(previous.oldVersion) || newVersion.equals(previous.newVersion))
                    : isJoint() && oldVersion.equals(previous.newVersion);
        }

        @Override
        public String toString() {
            return isJoint() ? oldVersion + " and " + newVersion : newVersion;
        }
    }

    /** The time for which a log's process had a valid lease on a stage. */
    private record LeaseInterval(String log, Position position, long fromMillis, long toMillis) {
        long overlapMillis(LeaseInterval other) {
            return Math.min(toMillis, other.toMillis) - Math.max(fromMillis, other.fromMillis);
        }
    }
}
