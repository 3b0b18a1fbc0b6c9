package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * Validation of a version by a member's subscribers, one version at a time, before the member reports the version as
 * valid to a leader. Does no I/O and reads no clock.
 */
final class SubscriberValidation {
    private final GroupConfig group;
    private long era;
    private long version = Stage.NO_VERSION;
    private long startedAtMicros;
    private int leaderId;
    private List<Integer> pending = List.of();

    SubscriberValidation(GroupConfig group) {
        this.group = group;
    }

    private SubscriberValidation(SubscriberValidation other) {
        group = other.group;
        era = other.era;
        version = other.version;
        startedAtMicros = other.startedAtMicros;
        leaderId = other.leaderId;
        pending = other.pending;
    }

    SubscriberValidation copy() {
        return new SubscriberValidation(this);
    }

    /** Asks the subscribers that have not answered. Returns true if none is left, or the time for answers is over. */
    boolean request(long nowMicros, int leader, Message.Validate validate, List<Integer> subscribers, Outbox outbox) {
        leaderId = leader;
        if (validate.version() != version || validate.era() != era) {
            era = validate.era();
            version = validate.version();
            startedAtMicros = nowMicros;
            pending = subscribers;
        }
        boolean timedOut = nowMicros - startedAtMicros >= group.subscriberValidationTimeoutMicros();
        if (pending.isEmpty() || timedOut) {
            // A later attempt to activate the same version starts a new validation.
            version = Stage.NO_VERSION;
            return true;
        }
        pending.forEach(subscriber -> outbox.send(subscriber, validate));
        return false;
    }

    /** Records that a subscriber has validated the version. Returns true if it was the last one pending. */
    boolean onValid(int subscriber, Message.Valid valid) {
        if (valid.version() != version || valid.era() != era || !pending.contains(subscriber)) {
            return false;
        }
        List<Integer> remaining = new ArrayList<>(pending);
        remaining.remove((Integer) subscriber);
        pending = List.copyOf(remaining);
        return pending.isEmpty();
    }

    /** Returns the voter that asked for the validation. */
    int leaderId() {
        return leaderId;
    }

    /** Whether subscribers are validating this version now. */
    boolean isValidating(long requestedVersion) {
        return version != Stage.NO_VERSION && version == requestedVersion;
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        if (version != Stage.NO_VERSION) {
            text.append('V')
                    .append(version)
                    .append(pending)
                    .append(leaderId)
                    .append(Math.min(group.subscriberValidationTimeoutMicros(), nowMicros - startedAtMicros));
        }
    }
}
