package loadbalancer.consensus;

import java.util.Arrays;
import java.util.function.LongPredicate;

/**
 * A member's lease on the stage that it decides by. The member asks all voters, and from the replies of a majority
 * adopts the latest stage that is known to be chosen. The lease is counted from the member's request, by its own
 * monotonic clock. Does no I/O and reads no clock.
 */
final class LeaseHolder {
    private final GroupConfig group;
    private final SafetyRules rules;
    private final LongPredicate contentAvailable;
    /** Replies to the last request, by voter; null without a reply. */
    private final Message.LeaseReply[] replies;

    private int nonce;
    private long requestedAtMicros;
    private Stage lastStage;
    private long era;
    /** A ballot under which the last known stage was accepted. */
    private long ballot;

    private long expiryMicros = Long.MIN_VALUE;

    /**
     * Creates the lease holder of a member that knows no stage yet.
     *
     * @param nonce first nonce, different for each process, so that replies to an earlier process are ignored
     * @param contentAvailable tells whether this process has the valid content of a version; stages with other versions
     *     are not adopted
     */
    LeaseHolder(GroupConfig group, SafetyRules rules, int nonce, LongPredicate contentAvailable) {
        this.group = group;
        this.rules = rules;
        this.contentAvailable = contentAvailable;
        this.nonce = nonce;
        replies = new Message.LeaseReply[group.voters()];
    }

    private LeaseHolder(LeaseHolder other) {
        group = other.group;
        rules = other.rules;
        contentAvailable = other.contentAvailable;
        replies = other.replies.clone();
        nonce = other.nonce;
        requestedAtMicros = other.requestedAtMicros;
        lastStage = other.lastStage;
        era = other.era;
        ballot = other.ballot;
        expiryMicros = other.expiryMicros;
    }

    LeaseHolder copy() {
        return new LeaseHolder(this);
    }

    /** Sends a lease request to all voters. From now on only replies to this request count. */
    void requestLease(long nowMicros, Outbox outbox) {
        nonce++;
        requestedAtMicros = nowMicros;
        Arrays.fill(replies, null);
        for (int voter = 0; voter < group.voters(); voter++) {
            outbox.send(voter, new Message.LeaseRequest(nonce));
        }
    }

    /** Returns the stage to decide by now; null without a valid lease. */
    Stage leasedStage(long nowMicros) {
        return lastStage != null && (!rules.enforces(SafetyRule.LEASE_END) || nowMicros < expiryMicros)
                ? lastStage
                : null;
    }

    /** Returns when the last lease expires; {@link Long#MIN_VALUE} before the first. */
    long expiryMicros() {
        return expiryMicros;
    }

    /** Returns the last known stage, with or without a valid lease; null before any is known. */
    Stage lastStage() {
        return lastStage;
    }

    /** Returns the voter that proposed the last known stage, as far as this member knows. */
    int leaderId() {
        return Leader.voterOf(ballot);
    }

    long era() {
        return era;
    }

    /** Handles a reply. Returns true if the member adopts another stage, which the leader has to be notified of. */
    boolean receive(long nowMicros, int from, Message message) {
        if (!(message instanceof Message.LeaseReply reply) || reply.nonce() != nonce || from >= group.voters()) {
            return false;
        }
        replies[from] = reply;
        boolean sameEra = reply.era() == era;
        // Another era begins only when all voters have lost their state. The member stays in its era until its lease
        // expires.
        if (lastStage != null && !sameEra && nowMicros < expiryMicros) {
            return false;
        }
        Stage chosen = chosenStage(reply.era());
        boolean earlier = chosen != null && lastStage != null && sameEra && chosen.index() < lastStage.index();
        if (chosen == null || earlier) {
            return false;
        }
        // Not short-circuited, because each test starts the download of a missing content.
        if (!contentAvailable.test(chosen.oldVersion()) | !contentAvailable.test(chosen.newVersion())) {
            return false;
        }
        boolean changed = !chosen.equals(lastStage) || !sameEra;
        lastStage = chosen;
        updateBallot(changed);
        era = reply.era();
        expiryMicros = requestedAtMicros + group.leaseMicros();
        return changed;
    }

    /**
     * If the stage is unchanged, keeps the highest ballot seen; otherwise takes the ballot of the last voter whose
     * reply has the new stage.
     */
    private void updateBallot(boolean changed) {
        for (Message.LeaseReply reply : replies) {
            if (reply != null && reply.acceptedStage().equals(lastStage)) {
                ballot = Math.max(changed ? 0 : ballot, reply.acceptedBallot());
            }
        }
    }

    /** Returns the latest stage that is known to be chosen, if a majority has accepted no later one, otherwise null. */
    private Stage chosenStage(long replyEra) {
        Stage latest = era == replyEra ? lastStage : null;
        for (Message.LeaseReply reply : replies) {
            boolean later = reply != null
                    && reply.era() == replyEra
                    && (latest == null || reply.acceptedStage().index() > latest.index());
            if (later && isChosen(reply)) {
                latest = reply.acceptedStage();
            }
        }
        if (latest == null) {
            return null;
        }
        int upToLatest = 0;
        for (Message.LeaseReply reply : replies) {
            boolean counts = reply != null
                    && reply.era() == replyEra
                    && reply.acceptedStage().index() <= latest.index();
            upToLatest += counts ? 1 : 0;
        }
        int needed = rules.enforces(SafetyRule.MAJORITY) ? group.majority() : 1;
        return upToLatest >= needed ? latest : null;
    }

    private boolean isChosen(Message.LeaseReply reply) {
        return reply.chosen() || !rules.enforces(SafetyRule.MAJORITY) || countEqual(reply) >= group.majority();
    }

    private int countEqual(Message.LeaseReply expected) {
        int count = 0;
        for (Message.LeaseReply reply : replies) {
            boolean equal = reply != null
                    && reply.era() == expected.era()
                    && reply.acceptedStage().equals(expected.acceptedStage())
                    && reply.acceptedBallot() == expected.acceptedBallot();
            count += equal ? 1 : 0;
        }
        return count;
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        text.append('H')
                .append(lastStage)
                .append(' ')
                .append(era & 0xffff)
                .append(' ')
                .append(expiryMicros == Long.MIN_VALUE ? -1 : Math.max(0, expiryMicros - nowMicros))
                .append(' ')
                .append(Math.min(group.leaseMicros(), nowMicros - requestedAtMicros))
                .append(Arrays.toString(replies));
    }
}
