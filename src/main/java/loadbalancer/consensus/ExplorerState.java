package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import loadbalancer.consensus.ExplorerEvent.Kind;

/**
 * The state of an explored schedule: all processes, the messages in transit, the clock, and the stages known to be
 * chosen.
 */
final class ExplorerState {
    /** If more messages per process are in transit, the oldest one is lost. */
    private static final int MAX_MESSAGES_PER_PROCESS = 13;

    private static final int MAX_DELIVERIES = 10_000;

    final Participant[] members;
    /** Subscribers are numbered after the members. */
    final Subscriber[] subscribers;

    final List<Envelope> inTransit = new ArrayList<>();
    long nowTicks = 1_000;
    int processCount;
    /** The invariant that was violated and how; null while all hold. */
    String violation;

    private final GroupConfig group;
    private final SafetyRules rules;
    /** The stages known to be chosen, by era and index. */
    private final Map<String, Stage> chosen = new HashMap<>();

    ExplorerState(GroupConfig group, int subscribers, SafetyRules rules) {
        this.group = group;
        this.rules = rules;
        members = new Participant[group.members()];
        for (int member = 0; member < members.length; member++) {
            members[member] = new Participant(group, rules, member, ++processCount, nowTicks);
        }
        this.subscribers = new Subscriber[subscribers];
        for (int index = 0; index < subscribers; index++) {
            this.subscribers[index] = new Subscriber(rules, ++processCount, version -> true);
        }
    }

    /** Copies a state. The copy shares its processes until one of them changes. */
    ExplorerState(ExplorerState other) {
        members = other.members.clone();
        inTransit.addAll(other.inTransit);
        nowTicks = other.nowTicks;
        processCount = other.processCount;
        violation = other.violation;
        group = other.group;
        rules = other.rules;
        subscribers = other.subscribers.clone();
        chosen.putAll(other.chosen);
    }

    /** Returns how many stages are known to be chosen. */
    int chosenStageCount() {
        return chosen.size();
    }

    /** Applies an event and then checks the invariants. */
    void apply(ExplorerEvent event) {
        int process = event.process();
        switch (event.kind()) {
            case DELIVER, DUPLICATE, DROP -> {
                if (!applyToMessage(event)) {
                    return;
                }
            }
            case RENEW -> copyMember(process).renew(nowTicks, outboxOf(process));
            case SUBSCRIBE -> subscribe(process, event.argument());
            case RESTART_SUBSCRIBER -> subscribers[process - members.length] =
                    new Subscriber(rules, ++processCount, version -> true);
            case STEP -> {
                copyMember(process).step(nowTicks, outboxOf(process));
                recordChosenBy(process);
            }
            case LEAD -> lead(process, event.argument(), false);
            case ABORT -> lead(process, Stage.NO_VERSION, true);
            case CRASH -> members[process] = new Participant(group, rules, process, ++processCount, nowTicks);
            case TICK -> nowTicks++;
            default -> throw new IllegalStateException("unknown kind of event: " + event);
        }
        if (violation == null) {
            checkInvariants();
        }
    }

    private boolean applyToMessage(ExplorerEvent event) {
        int position = inTransit.indexOf(event.envelope());
        if (position < 0) {
            return false;
        }
        Envelope envelope = inTransit.get(position);
        if (event.kind() != Kind.DUPLICATE) {
            inTransit.remove(position);
        }
        if (event.kind() != Kind.DROP) {
            deliver(envelope);
        }
        return true;
    }

    private void deliver(Envelope envelope) {
        int to = envelope.to();
        if (to >= members.length) {
            deliverToSubscriber(envelope);
        } else if (envelope.from() >= members.length) {
            copyMember(to).receiveFromSubscriber(nowTicks, envelope.from(), envelope.message(), outboxOf(to));
        } else {
            copyMember(to).receive(nowTicks, envelope.from(), envelope.message(), outboxOf(to));
            recordChosenBy(to);
        }
    }

    private void deliverToSubscriber(Envelope envelope) {
        Subscriber subscriber = copySubscriber(envelope.to());
        if (envelope.message() instanceof Message.SubscriberLease lease) {
            subscriber.receive(nowTicks, lease);
        } else if (envelope.message() instanceof Message.StageChanged) {
            subscribe(envelope.to(), envelope.from());
        }
    }

    private void subscribe(int process, int member) {
        outboxOf(process).send(member, copySubscriber(process).requestLease(nowTicks));
    }

    private void lead(int process, long version, boolean abort) {
        copyMember(process).lead(nowTicks, new ChangeRequest(process, version, abort), outboxOf(process));
    }

    /** Replaces a member by a copy, which can be changed without affecting other states that share the member. */
    private Participant copyMember(int member) {
        members[member] = members[member].copy();
        return members[member];
    }

    private Subscriber copySubscriber(int process) {
        int index = process - members.length;
        subscribers[index] = subscribers[index].copy();
        return subscribers[index];
    }

    private Outbox outboxOf(int from) {
        return (to, message) -> {
            inTransit.add(new Envelope(from, to, message));
            if (inTransit.size() > MAX_MESSAGES_PER_PROCESS * (members.length + subscribers.length)) {
                inTransit.remove(0);
            }
        };
    }

    private void recordChosenBy(int member) {
        Leader leader = members[member].leader();
        if (leader != null && leader.lastChosen() != null) {
            recordChosen(members[member].voter().era(), leader.lastChosen(), "leader " + member);
        }
    }

    private void recordChosen(long era, Stage stage, String processName) {
        Stage other = chosen.putIfAbsent(era + ":" + stage.index(), stage);
        if (other != null && !other.equals(stage)) {
            violation = "EVERYWHERE_OR_NOWHERE: " + processName + " has stage " + stage + ", but the chosen stage is "
                    + other;
        }
    }

    private void checkInvariants() {
        for (int process = 0; process < members.length + subscribers.length; process++) {
            Stage stage = stageOf(process);
            if (stage == null) {
                continue;
            }
            recordChosen(eraOf(process), stage, nameOf(process));
            for (int earlier = 0; earlier < process; earlier++) {
                Stage other = stageOf(earlier);
                boolean sameEra = eraOf(process) == eraOf(earlier);
                if (other != null && !stage.isCompatibleWith(other, sameEra)) {
                    violation = "ONE_POLICY: " + nameOf(process) + " decides by " + stage + ", " + nameOf(earlier)
                            + " by " + other;
                }
            }
        }
    }

    private Stage stageOf(int process) {
        return process < members.length
                ? members[process].leaseHolder().leasedStage(nowTicks)
                : subscribers[process - members.length].leasedStage(nowTicks);
    }

    private long eraOf(int process) {
        return process < members.length
                ? members[process].leaseHolder().era()
                : subscribers[process - members.length].era();
    }

    private String nameOf(int process) {
        return (process < members.length ? "sidecar " : "subscriber ") + process;
    }

    /** Delivers the messages that processes have sent to themselves, and merges equal messages. */
    void deliverLoopback() {
        Optional<Envelope> loopback = nextLoopback();
        while (loopback.isPresent()) {
            apply(ExplorerEvent.on(Kind.DELIVER, loopback.get()));
            loopback = nextLoopback();
        }
        Set<Envelope> distinct = new LinkedHashSet<>(inTransit);
        inTransit.clear();
        inTransit.addAll(distinct);
    }

    private Optional<Envelope> nextLoopback() {
        return inTransit.stream()
                .filter(envelope -> envelope.from() == envelope.to())
                .findFirst();
    }

    /** Delivers all messages in order until none is in transit. */
    void deliverAll() {
        for (int count = 0; count < MAX_DELIVERIES && !inTransit.isEmpty(); count++) {
            apply(ExplorerEvent.on(Kind.DELIVER, inTransit.get(0)));
        }
    }

    /** Returns a text that is the same for equal states only, with times relative to now. */
    String describe() {
        StringBuilder text = new StringBuilder();
        for (Participant member : members) {
            member.appendState(text, nowTicks);
            text.append('\n');
        }
        for (Subscriber subscriber : subscribers) {
            subscriber.appendState(text, nowTicks);
            text.append('\n');
        }
        inTransit.stream().map(Envelope::toString).sorted().forEach(envelope -> text.append(envelope)
                .append('\n'));
        return text.toString();
    }
}
