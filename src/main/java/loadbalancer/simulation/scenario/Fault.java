package loadbalancer.simulation.scenario;

import java.util.List;
import java.util.Locale;

/**
 * One thing that goes wrong, or is done, at a time. Times are microseconds from the scenario's start.
 *
 * @param zone   only nodes, or sidecars, of this zone; empty for all
 * @param nodes  only these nodes, by number; empty for all
 * @param part   of those that are meant, from above 0 to 1; drawn by the seed, at least one
 * @param forUs  how long it lasts; 0 for as long as the scenario
 * @param withinUs over which it is spread: nodes and sidecars are met one after the other
 * @param size   how much, by its kind
 */
public record Fault(
        long atUs, Kind kind, String zone, List<Integer> nodes, double part, long forUs, long withinUs, double size) {
    /** What happens. {@code scale}: what {@code size} means, with its least, its usual and its greatest. */
    public enum Kind {
        /** Processes die; they come back, cold, when it is over. */
        CRASH,
        /** Processes stand still: what they hold waits, connections stay open. */
        STALL,
        /** Another program takes a part of the machine. */
        SLOW("what is left of the speed", 0.05, 0.5, 1),
        /** Nothing comes through in either direction, and nobody says so. */
        CUT,
        /** What is sent arrives and runs; answers are lost. */
        ANSWERS_LOST,
        /** All connections to them are reset. */
        RESET,
        /** Told to drain, gone when it is over, and a successor starts cold under another name. */
        DEPLOY,
        /** Told to drain; nobody comes after it. */
        DRAIN,
        /** Answers are errors, quickly. */
        ERRORS("part of the answers", 0, 1, 1),
        /** Discovery does not answer. */
        REGISTRY_DOWN,
        /** Discovery tells what it has later than usual. */
        REGISTRY_LATE("seconds", 0, 5, 60),
        /** Discovery is put back to what it knew so long ago, under the version of then. */
        REGISTRY_RESTORED("seconds ago", 1, 10, 3_600),
        /** Sidecars cannot reach discovery. */
        REGISTRY_CUT,
        /** Sidecars are killed, and start again when it is over. */
        RESTART,
        /** Of sidecars that start from now on the clock is ahead by so much. */
        CLOCK("seconds ahead", -60, 1, 60),
        /** What sidecars keep on disk is torn from now on: the newest file is cut. */
        DISK_TORN,
        /** The disk forgets the last write of each sidecar. */
        DISK_FORGETS,
        /** A part of the requests of all classes costs so many times as much. */
        HEAVY("times the work, for one request in fifty", 1, 10, 50),
        /** Clients, those of the zone's sidecars alone where it is named, ask for so many times as much. */
        LOAD("times the load", 0, 2, 20),
        /** No word between sidecars arrives. */
        PEERS_LOST,
        /** Words between sidecars arrive with their bytes changed. */
        PEERS_GARBLED,
        /** Words between sidecars arrive so much later. */
        PEERS_LATE("seconds", 0.001, 1, 60),
        /** Sidecars say what is not so, in words that look like any. */
        PEERS_FALSE("0: that they hold nothing, 1: everything, 2: what they held at its begin", 0, 1, 2);

        public final String scale;
        public final double least;
        public final double usual;
        public final double most;

        Kind() {
            this("", 0, 0, 0);
        }

        Kind(String scale, double least, double usual, double most) {
            this.scale = scale;
            this.least = least;
            this.usual = usual;
            this.most = most;
        }

        /** Its name in a scenario file. */
        public String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Null where no kind has this name. */
        public static Kind of(String word) {
            for (Kind k : values()) {
                if (k.word().equals(word)) {
                    return k;
                }
            }
            return null;
        }

        /** Whether it meets nodes, of which some are drawn. */
        public boolean meetsNodes() {
            return switch (this) {
                case CRASH, STALL, SLOW, CUT, ANSWERS_LOST, RESET, DEPLOY, DRAIN, ERRORS -> true;
                default -> false;
            };
        }

        /** Whether it meets sidecars, of which some are drawn. */
        public boolean meetsSidecars() {
            return this == RESTART || this == REGISTRY_CUT || this == PEERS_FALSE;
        }
    }

    public Fault {
        nodes = List.copyOf(nodes);
    }

    /** The same at another time, for as long, over as much, of as many. */
    public Fault with(long at, double ofThem, long lasts, long within) {
        return new Fault(at, kind, zone, nodes, ofThem, lasts, within, size);
    }

    @Override
    public String toString() {
        StringBuilder t = new StringBuilder(kind.word());
        if (kind.meetsNodes() || kind.meetsSidecars()) {
            t.append(" of ")
                    .append(!nodes.isEmpty() ? "nodes " + nodes : part >= 1 ? "all" : Math.round(part * 100) + " %")
                    .append(zone.isEmpty() ? "" : " in " + zone);
        }
        t.append(" at ").append(atUs / 1e6).append(" s");
        if (forUs > 0) {
            t.append(" for ").append(forUs / 1e6).append(" s");
        }
        if (withinUs > 0) {
            t.append(", spread over ").append(withinUs / 1e6).append(" s");
        }
        return kind.scale.isEmpty()
                ? t.toString()
                : t.append(", ").append(size).append(' ').append(kind.scale).toString();
    }

    /** As it stands in a scenario file. */
    public String toml() {
        StringBuilder t = new StringBuilder("[[event]]\nat = \"")
                .append(atUs / 1000)
                .append("ms\"\ndo = \"")
                .append(kind.word())
                .append("\"\n");
        if (!zone.isEmpty()) {
            t.append("zone = \"").append(zone).append("\"\n");
        }
        if (!nodes.isEmpty()) {
            t.append("nodes = ").append(nodes).append('\n');
        }
        if (part < 1) {
            t.append("part = ").append(part).append('\n');
        }
        if (forUs > 0) {
            t.append("for = \"").append(forUs / 1000).append("ms\"\n");
        }
        if (withinUs > 0) {
            t.append("within = \"").append(withinUs / 1000).append("ms\"\n");
        }
        if (!kind.scale.isEmpty()) {
            t.append("size = ").append(size).append('\n');
        }
        return t.toString();
    }
}
