package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Three members and two subscribers whose messages are delivered in order, except for those that a test drops. Time is
 * in steps.
 */
final class GroupWithSubscribers {
    static final int MEMBERS = 3;
    static final long LEASE_STEPS = 48;
    static final long SUBSCRIBER_LEASE_STEPS = 36;
    /** How long a leader waits for members to validate a version. */
    static final long VALIDATION_TIMEOUT_STEPS = LEASE_STEPS / 3;

    static final int SUBSCRIBER_A = 3;
    static final int SUBSCRIBER_B = 4;

    private static final int STARTUP_ROUNDS = 3;

    private final SafetyRules rules;
    private final List<Envelope> inTransit = new ArrayList<>();
    private final Participant[] members = new Participant[MEMBERS];
    private final Map<Integer, Subscriber> subscribers = new HashMap<>();
    private final Map<Integer, String> rejections = new HashMap<>();
    private Predicate<Envelope> dropped = envelope -> false;
    private long nowSteps;
    private int processes;

    /** Creates a group in which version 1 is active at all members and no subscriber has requested a lease. */
    GroupWithSubscribers(SafetyRules rules) {
        this.rules = rules;
        for (int member = 0; member < MEMBERS; member++) {
            restart(member);
        }
        for (int round = 0; round < STARTUP_ROUNDS; round++) {
            renewAll();
            deliverAll();
        }
        nowSteps += LEASE_STEPS;
        change(0, 1, LEASE_STEPS);
        // Runs for longer than a lease: a change directly after another one would wait for the leases of both if a
        // member is unreachable.
        runUntilActive(0, 2, LEASE_STEPS);
        subscribers.put(SUBSCRIBER_A, new Subscriber(rules, ++processes, version -> true));
        subscribers.put(SUBSCRIBER_B, new Subscriber(rules, ++processes, version -> true));
    }

    /** Replaces a member's process by one without state. */
    void restart(int member) {
        GroupConfig group = new GroupConfig(MEMBERS, MEMBERS, LEASE_STEPS, LEASE_STEPS, SUBSCRIBER_LEASE_STEPS);
        members[member] = new Participant(group, rules, member, ++processes, nowSteps);
    }

    Participant member(int member) {
        return members[member];
    }

    Subscriber subscriber(int subscriber) {
        return subscribers.get(subscriber);
    }

    long nowSteps() {
        return nowSteps;
    }

    void advance(long steps) {
        nowSteps += steps;
    }

    /** Drops the messages that the predicate selects, in place of those selected before. */
    void drop(Predicate<Envelope> envelopes) {
        dropped = envelopes;
    }

    /** Cuts a member off from the other members. */
    void isolate(int member) {
        drop(envelope -> envelope.from() < MEMBERS
                && envelope.to() < MEMBERS
                && (envelope.from() == member) != (envelope.to() == member));
    }

    /** Lets a subscriber reject every version from now on. */
    void reject(int subscriber, String reason) {
        rejections.put(subscriber, reason);
    }

    void acceptAll() {
        rejections.clear();
    }

    void requestLease(int subscriber, int member) {
        outboxOf(subscriber).send(member, subscribers.get(subscriber).requestLease(nowSteps));
    }

    Envelope takeOldest() {
        return inTransit.remove(0);
    }

    int inTransit() {
        return inTransit.size();
    }

    Outbox outboxOf(int from) {
        return (to, message) -> inTransit.add(new Envelope(from, to, message));
    }

    void deliverAll() {
        while (!inTransit.isEmpty()) {
            Envelope envelope = inTransit.remove(0);
            if (!dropped.test(envelope)) {
                deliver(envelope);
            }
        }
    }

    void deliver(Envelope envelope) {
        int from = envelope.from();
        int to = envelope.to();
        Message message = envelope.message();
        if (to < MEMBERS && from < MEMBERS) {
            members[to].receive(nowSteps, from, message, outboxOf(to));
        } else if (to < MEMBERS) {
            members[to].receiveFromSubscriber(nowSteps, from, message, outboxOf(to));
        } else if (message instanceof Message.SubscriberLease lease) {
            subscribers.get(to).receive(nowSteps, lease);
        } else if (message instanceof Message.StageChanged) {
            requestLease(to, from);
        } else if (message instanceof Message.Validate validate) {
            outboxOf(to).send(from, answer(to, validate));
        }
    }

    private Message answer(int subscriber, Message.Validate validate) {
        String reason = rejections.get(subscriber);
        return reason == null
                ? new Message.Valid(validate.era(), validate.version())
                : new Message.Invalid(validate.version(), reason);
    }

    void lead(int leader, long version) {
        members[leader].lead(nowSteps, new ChangeRequest(leader, version, false), outboxOf(leader));
        deliverAll();
    }

    /** Runs until a version alone is active at a member, or for {@code maxSteps}. Returns the elapsed steps. */
    long runUntilActive(int member, long version, long maxSteps) {
        long startSteps = nowSteps;
        while (!isActive(member, version) && nowSteps - startSteps < maxSteps) {
            nowSteps++;
            for (int index = 0; index < MEMBERS; index++) {
                members[index].renew(nowSteps, outboxOf(index));
                members[index].step(nowSteps, outboxOf(index));
            }
            deliverAll();
        }
        return nowSteps - startSteps;
    }

    /**
     * Leads a change to a version and runs until the version is active at the leader, or for {@code maxSteps}. Returns
     * the elapsed steps.
     */
    long change(int leader, long version, long maxSteps) {
        lead(leader, version);
        return runUntilActive(leader, version, maxSteps);
    }

    boolean isActive(int member, long version) {
        Stage stage = members[member].leaseHolder().leasedStage(nowSteps);
        return stage != null && !stage.isJoint() && stage.newVersion() == version;
    }

    /** Returns the stage that a subscriber decides by; null without a valid lease. */
    Stage leasedStage(int subscriber) {
        return subscribers.get(subscriber).leasedStage(nowSteps);
    }

    private void renewAll() {
        for (int member = 0; member < MEMBERS; member++) {
            members[member].renew(nowSteps, outboxOf(member));
        }
    }
}
