package loadbalancer.membership;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.balancing.Balancer.UpstreamState;

/** Collects the upstreams whose state one endpoint list changes, and describes them in one line of the log. */
final class StateChangeSummary {
    /** Ids named for each state; the rest is only counted, so that a large list is still one line. */
    private static final int MAX_NAMED_IDS = 5;

    private final Map<UpstreamState, List<String>> idsByNewState = new EnumMap<>(UpstreamState.class);

    /** Records the state of an upstream before and after the list; an upstream that is not listed is gone. */
    void add(String id, UpstreamState before, UpstreamState after) {
        if (before != after) {
            idsByNewState.computeIfAbsent(after, state -> new ArrayList<>()).add(id);
        }
    }

    /** The changes as text, such as {@code "list version 45: 2 draining (u1, u2)"}; empty if there are none. */
    Optional<String> describe(long generation) {
        if (idsByNewState.isEmpty()) {
            return Optional.empty();
        }
        List<String> parts = new ArrayList<>();
        idsByNewState.forEach((state, ids) -> parts.add(describe(state, ids)));
        return Optional.of("list version " + generation + ": " + String.join(", ", parts));
    }

    private static String describe(UpstreamState state, List<String> ids) {
        boolean named = ids.size() <= MAX_NAMED_IDS;
        String names = String.join(", ", named ? ids : ids.subList(0, MAX_NAMED_IDS));
        return ids.size() + " " + name(state) + " (" + names + (named ? ")" : ", ...)");
    }

    private static String name(UpstreamState state) {
        return switch (state) {
            case READY -> "ready";
            case DRAINING -> "draining";
            case GONE -> "removed";
        };
    }
}
