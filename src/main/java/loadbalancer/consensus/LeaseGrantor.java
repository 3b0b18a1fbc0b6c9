package loadbalancer.consensus;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The leases that a member grants to subscribers, each nested in the member's own lease (hierarchical leases after Gray
 * and Cheriton, Leases, SOSP 1989), and the earliest stage that any of them still allows. At most {@link #MAX_LEASES}
 * subscriber processes have a lease. Does no I/O and reads no clock.
 */
final class LeaseGrantor {
    static final int MAX_LEASES = 4_096;

    /**
     * A process of a subscriber. The leases of a restarted subscriber's earlier process stay separate until they
     * expire.
     */
    private record LeaseKey(int subscriber, int processId) {}

    private final GroupConfig group;
    private final SafetyRules rules;
    private final long startedAtMicros;
    /**
     * For each subscriber process, when its lease on each stage expires, by stage index; in microseconds of this
     * member's clock.
     */
    private final Map<LeaseKey, TreeMap<Long, Long>> leases = new LinkedHashMap<>();

    private long era;
    private long cleanedAtMicros;

    /** @param nowMicros time at which the member's process started */
    LeaseGrantor(GroupConfig group, SafetyRules rules, long nowMicros) {
        this.group = group;
        this.rules = rules;
        startedAtMicros = nowMicros;
        cleanedAtMicros = nowMicros;
    }

    private LeaseGrantor(LeaseGrantor other) {
        group = other.group;
        rules = other.rules;
        startedAtMicros = other.startedAtMicros;
        other.leases.forEach((key, granted) -> leases.put(key, new TreeMap<>(granted)));
        era = other.era;
        cleanedAtMicros = other.cleanedAtMicros;
    }

    LeaseGrantor copy() {
        return new LeaseGrantor(this);
    }

    /**
     * Grants a lease nested in the member's own. Returns empty if the member has no valid lease or too little time left
     * on it, knows an earlier stage than the subscriber, or has granted the maximum number of leases.
     */
    Optional<Message.SubscriberLease> grant(
            long nowMicros, int subscriber, Message.SubscriberLeaseRequest request, LeaseHolder ownLease) {
        if (ownLease.lastStage() == null) {
            return Optional.empty();
        }
        enterEra(ownLease.era());
        removeExpired(nowMicros);
        LeaseKey key = new LeaseKey(subscriber, request.processId());
        boolean sameEra = request.era() == era;
        TreeMap<Long, Long> granted = leases.get(key);
        if (granted != null && sameEra) {
            // By sending a later stage in its request, the process has given up its leases on earlier ones.
            granted.headMap(request.index(), false).clear();
        }
        Stage stage = ownLease.leasedStage(nowMicros);
        boolean ahead = stage != null && sameEra && request.index() > stage.index();
        boolean full = granted == null && leases.size() >= MAX_LEASES;
        if (stage == null || ahead || full) {
            return Optional.empty();
        }
        long durationMicros = durationMicros(nowMicros, ownLease);
        long validMicros = durationMicros * group.leaseMicros() / group.leaseExpiryMicros();
        if (validMicros <= 0) {
            return Optional.empty();
        }
        leases.computeIfAbsent(key, absent -> new TreeMap<>())
                .merge(stage.index(), nowMicros + durationMicros, Math::max);
        return Optional.of(new Message.SubscriberLease(era, request.nonce(), stage, validMicros));
    }

    private long durationMicros(long nowMicros, LeaseHolder ownLease) {
        long longestMicros = group.subscriberLeaseMicros();
        return rules.enforces(SafetyRule.NESTED_LEASE)
                ? Math.min(longestMicros, ownLease.expiryMicros() - nowMicros)
                : longestMicros;
    }

    /**
     * Drops all leases on a change of era. A member enters another era only after its own lease has expired, and with
     * it all that were nested in it.
     */
    private void enterEra(long newEra) {
        if (newEra != era) {
            era = newEra;
            leases.clear();
        }
    }

    /** Removes expired leases. Scans all of them, so at most once per {@code subscriberLeaseMicros}. */
    private void removeExpired(long nowMicros) {
        if (nowMicros - cleanedAtMicros >= group.subscriberLeaseMicros()) {
            cleanedAtMicros = nowMicros;
            leases.values().forEach(granted -> granted.values().removeIf(expiryMicros -> expiryMicros <= nowMicros));
            leases.values().removeIf(TreeMap::isEmpty);
        }
    }

    /**
     * Returns the index of the latest stage for which neither the member nor any of its subscribers can still decide by
     * an earlier one.
     *
     * @param ownLease the member's lease, which knows a stage
     * @return {@link Stage#UNKNOWN_INDEX} while leases granted by an earlier process may still be valid
     */
    long adoptedIndex(long nowMicros, LeaseHolder ownLease) {
        enterEra(ownLease.era());
        if (inQuietPeriod(nowMicros) && rules.enforces(SafetyRule.QUIET_START)) {
            return Stage.UNKNOWN_INDEX;
        }
        long index = ownLease.lastStage().index();
        if (rules.enforces(SafetyRule.SUBSCRIBERS_PAST)) {
            for (TreeMap<Long, Long> granted : leases.values()) {
                index = Math.min(index, earliestLeasedIndex(nowMicros, granted));
            }
        }
        return index;
    }

    /** Whether an earlier process of this member that was only paused could still hold a lease and grant from it. */
    private boolean inQuietPeriod(long nowMicros) {
        return group.subscriberLeaseMicros() > 0 && nowMicros - startedAtMicros < group.leaseExpiryMicros();
    }

    private static long earliestLeasedIndex(long nowMicros, TreeMap<Long, Long> granted) {
        for (Map.Entry<Long, Long> lease : granted.entrySet()) {
            if (lease.getValue() > nowMicros) {
                return lease.getKey();
            }
        }
        return Long.MAX_VALUE;
    }

    /** Returns the subscribers with a valid lease on a stage before this index, each once. */
    List<Integer> subscribersBehind(long nowMicros, long index) {
        Set<Integer> behind = new LinkedHashSet<>();
        leases.forEach((key, granted) -> {
            if (earliestLeasedIndex(nowMicros, granted) < index) {
                behind.add(key.subscriber());
            }
        });
        return List.copyOf(behind);
    }

    /** Returns the subscribers with a valid lease. */
    List<Integer> activeSubscribers(long nowMicros) {
        return subscribersBehind(nowMicros, Long.MAX_VALUE);
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        text.append('G').append(inQuietPeriod(nowMicros) ? nowMicros - startedAtMicros : -1);
        leases.entrySet().stream()
                .sorted(Comparator.comparing(entry -> entry.getKey().toString()))
                .forEach(entry -> appendLeases(text, nowMicros, entry.getKey(), entry.getValue()));
    }

    private static void appendLeases(StringBuilder text, long nowMicros, LeaseKey key, TreeMap<Long, Long> granted) {
        granted.forEach((index, expiryMicros) -> {
            if (expiryMicros > nowMicros) {
                text.append(key).append(index).append('<').append(expiryMicros - nowMicros);
            }
        });
    }
}
