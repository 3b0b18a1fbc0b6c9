package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Three members whose messages a test selects for delivery. The clock does not advance. */
final class ManualNetwork {
    static final int MEMBERS = 3;
    static final long LEASE_MICROS = 4;

    private static final int STARTUP_ROUNDS = 3;

    private final SafetyRules rules;
    private final List<Envelope> inTransit = new ArrayList<>();
    private final Participant[] members = new Participant[MEMBERS];
    private int processes;

    /** Creates members that have started together and know the initial stage. */
    ManualNetwork(SafetyRules rules) {
        this.rules = rules;
        for (int member = 0; member < MEMBERS; member++) {
            restart(member);
        }
        for (int round = 0; round < STARTUP_ROUNDS; round++) {
            for (int member = 0; member < MEMBERS; member++) {
                members[member].renew(0, outboxOf(member));
            }
            deliver(envelope -> true);
        }
    }

    Participant member(int member) {
        return members[member];
    }

    /** Replaces a member's process by one without state. */
    void restart(int member) {
        GroupConfig group = new GroupConfig(MEMBERS, MEMBERS, LEASE_MICROS, LEASE_MICROS);
        members[member] = new Participant(group, rules, member, ++processes, 0);
    }

    boolean lead(int member, long version, boolean abort) {
        return members[member].lead(0, new ChangeRequest(member, version, abort), outboxOf(member));
    }

    Outbox outboxOf(int from) {
        return (to, message) -> inTransit.add(new Envelope(from, to, message));
    }

    /** Delivers the selected messages and those that are sent in response; the others stay in transit. */
    void deliver(Predicate<Envelope> selected) {
        int next = 0;
        while (next < inTransit.size()) {
            if (selected.test(inTransit.get(next))) {
                Envelope envelope = inTransit.remove(next);
                int to = envelope.to();
                members[to].receive(0, envelope.from(), envelope.message(), outboxOf(to));
                next = 0;
            } else {
                next++;
            }
        }
    }

    void dropAll() {
        inTransit.clear();
    }

    boolean isIdle() {
        return inTransit.isEmpty();
    }
}
