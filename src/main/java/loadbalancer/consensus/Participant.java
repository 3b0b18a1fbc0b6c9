package loadbalancer.consensus;

import java.util.function.LongPredicate;

/**
 * The protocol state of one member's process: its {@link Voter} if it has a vote, its {@link Leader} while it leads,
 * its own lease, and the leases that it grants to subscribers. A participant also sends messages to itself. Does no
 * I/O; times are by the process's own monotonic clock.
 */
final class Participant {
    private final GroupConfig group;
    private final SafetyRules rules;
    private final int memberId;
    private final LongPredicate contentAvailable;
    /** Null if this member has no vote. */
    private final Voter voter;

    private final LeaseHolder leaseHolder;
    private final LeaseGrantor leaseGrantor;
    private final SubscriberValidation subscriberValidation;

    /** Null while this member does not lead. */
    private Leader leader;
    /** The last proposal that arrived while this member led; null if there is none. */
    private Message.Propose queuedProposal;

    private int queuedProposer;
    /** Index of the last adopted stage that was reported to a leader. */
    private long reportedIndex = Stage.UNKNOWN_INDEX;

    private long reportedEra;

    /** Creates a participant that has the content of every version. */
    Participant(GroupConfig group, SafetyRules rules, int memberId, int nonce, long nowMicros) {
        this(group, rules, memberId, nonce, nowMicros, version -> true);
    }

    /**
     * Creates a participant whose process has just started and has no state yet.
     *
     * @param nonce identifies this process; not 0
     * @param nowMicros time at which the process started
     * @param contentAvailable tells whether this process has the valid content of a version; starts its download if it
     *     is missing
     */
    Participant(
            GroupConfig group,
            SafetyRules rules,
            int memberId,
            int nonce,
            long nowMicros,
            LongPredicate contentAvailable) {
        this.group = group;
        this.rules = rules;
        this.memberId = memberId;
        this.contentAvailable = contentAvailable;
        voter = memberId < group.voters() ? new Voter(group, rules, memberId, nonce, contentAvailable) : null;
        leaseHolder = new LeaseHolder(group, rules, nonce * 31, contentAvailable);
        leaseGrantor = new LeaseGrantor(group, rules, nowMicros);
        subscriberValidation = new SubscriberValidation(group);
    }

    private Participant(Participant other) {
        group = other.group;
        rules = other.rules;
        memberId = other.memberId;
        contentAvailable = other.contentAvailable;
        voter = other.voter == null ? null : other.voter.copy();
        leaseHolder = other.leaseHolder.copy();
        leaseGrantor = other.leaseGrantor.copy();
        subscriberValidation = other.subscriberValidation.copy();
        leader = other.leader == null ? null : other.leader.copy();
        queuedProposal = other.queuedProposal;
        queuedProposer = other.queuedProposer;
        reportedIndex = other.reportedIndex;
        reportedEra = other.reportedEra;
    }

    Participant copy() {
        return new Participant(this);
    }

    /** Returns this member's voter; null if it has no vote. */
    Voter voter() {
        return voter;
    }

    /** Returns this member's leader; null while it does not lead. */
    Leader leader() {
        return leader;
    }

    LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    /** Whether this member has a vote and its voter is active. */
    boolean canVote() {
        return voter != null && voter.isActive();
    }

    /** Requests a lease, and the voter's state if it has not been recovered yet. */
    void renew(long nowMicros, Outbox outbox) {
        if (voter != null) {
            voter.recover(nowMicros, outbox);
        }
        leaseHolder.requestLease(nowMicros, outbox);
    }

    /** Starts to lead a change, in place of the one that this member leads, if any. Returns false if it can't vote. */
    boolean lead(long nowMicros, ChangeRequest request, Outbox outbox) {
        if (!canVote()) {
            return false;
        }
        long highestKnownBallot = Math.max(voter.promisedBallot(), leader == null ? 0 : leader.ballot());
        leader = new Leader(group, rules, memberId, voter, highestKnownBallot, request);
        leader.step(nowMicros, outbox);
        return true;
    }

    /** Advances the change that this member leads, or resends its unanswered messages. */
    void step(long nowMicros, Outbox outbox) {
        if (leader != null) {
            leader.step(nowMicros, outbox);
            endLeadership(nowMicros, outbox);
        }
    }

    /** Handles a message from a member, possibly from this one. */
    void receive(long nowMicros, int from, Message message, Outbox outbox) {
        if (message instanceof Message.Propose proposal) {
            onPropose(nowMicros, from, proposal, outbox);
            return;
        }
        if (voter != null) {
            voter.receive(nowMicros, from, message, outbox);
        }
        if (leader != null) {
            leader.receive(nowMicros, from, message, outbox);
            leader.advance(nowMicros, outbox);
            endLeadership(nowMicros, outbox);
        }
        if (message instanceof Message.Validate validate) {
            onValidate(nowMicros, from, validate, outbox);
        } else if (message instanceof Message.Chosen chosen) {
            onChosen(nowMicros, from, chosen, outbox);
        } else if (leaseHolder.receive(nowMicros, from, message)) {
            notifySubscribers(nowMicros, outbox);
            reportAdopted(nowMicros, leaseHolder.leaderId(), outbox);
        }
    }

    /** A leader completes its current change first, and then starts the last proposal that arrived meanwhile. */
    private void onPropose(long nowMicros, int from, Message.Propose proposal, Outbox outbox) {
        if (leader == null) {
            lead(nowMicros, new ChangeRequest(from, proposal.version(), proposal.abort()), outbox);
        } else {
            queuedProposal = proposal;
            queuedProposer = from;
        }
    }

    private void endLeadership(long nowMicros, Outbox outbox) {
        if (!leader.isFinished()) {
            return;
        }
        boolean preempted = leader.isPreempted();
        leader = null;
        Message.Propose proposal = queuedProposal;
        queuedProposal = null;
        if (proposal != null && !preempted) {
            lead(nowMicros, new ChangeRequest(queuedProposer, proposal.version(), proposal.abort()), outbox);
        }
    }

    /** Handles a message from a subscriber, whose number is not that of a member. */
    void receiveFromSubscriber(long nowMicros, int subscriber, Message message, Outbox outbox) {
        if (message instanceof Message.SubscriberLeaseRequest request) {
            onSubscriberLeaseRequest(nowMicros, subscriber, request, outbox);
        } else if (message instanceof Message.Valid valid) {
            if (subscriberValidation.onValid(subscriber, valid)) {
                outbox.send(subscriberValidation.leaderId(), valid);
            }
        } else if (message instanceof Message.Invalid invalid && subscriberValidation.isValidating(invalid.version())) {
            String reason = "subscriber " + subscriber + ": " + invalid.reason();
            outbox.send(subscriberValidation.leaderId(), new Message.Invalid(invalid.version(), reason));
        }
    }

    private void onSubscriberLeaseRequest(
            long nowMicros, int subscriber, Message.SubscriberLeaseRequest request, Outbox outbox) {
        leaseGrantor
                .grant(nowMicros, subscriber, request, leaseHolder)
                .ifPresent(lease -> outbox.send(subscriber, lease));
        if (leaseHolder.lastStage() != null) {
            reportAdopted(nowMicros, leaseHolder.leaderId(), outbox);
        }
    }

    private void onValidate(long nowMicros, int from, Message.Validate validate, Outbox outbox) {
        boolean valid = contentAvailable.test(validate.version())
                && subscriberValidation.request(
                        nowMicros, from, validate, leaseGrantor.activeSubscribers(nowMicros), outbox);
        if (valid) {
            outbox.send(from, new Message.Valid(validate.era(), validate.version()));
        }
    }

    /**
     * Treats the message as a hint, because a member adopts a stage only by a majority's replies. The leader resends
     * the message until this member has adopted the stage.
     */
    private void onChosen(long nowMicros, int from, Message.Chosen chosen, Outbox outbox) {
        Stage last = leaseHolder.lastStage();
        boolean known = last != null
                && leaseHolder.era() == chosen.era()
                && last.index() >= chosen.stage().index();
        if (!known) {
            leaseHolder.requestLease(nowMicros, outbox);
            return;
        }
        long adoptedIndex = leaseGrantor.adoptedIndex(nowMicros, leaseHolder);
        if (adoptedIndex >= chosen.stage().index()) {
            outbox.send(from, new Message.Adopted(chosen.era(), adoptedIndex));
        } else {
            notifySubscribers(nowMicros, outbox);
        }
    }

    private void notifySubscribers(long nowMicros, Outbox outbox) {
        long index = leaseHolder.lastStage().index();
        Message hint = new Message.StageChanged(leaseHolder.era(), index);
        leaseGrantor.subscribersBehind(nowMicros, index).forEach(subscriber -> outbox.send(subscriber, hint));
    }

    /**
     * Reports each adopted stage once. If the report is lost, this member answers the leader's next
     * {@link Message.Chosen}.
     */
    private void reportAdopted(long nowMicros, int leaderId, Outbox outbox) {
        long adoptedIndex = leaseGrantor.adoptedIndex(nowMicros, leaseHolder);
        boolean changed = adoptedIndex > reportedIndex || leaseHolder.era() != reportedEra;
        if (adoptedIndex != Stage.UNKNOWN_INDEX && changed) {
            reportedEra = leaseHolder.era();
            reportedIndex = adoptedIndex;
            outbox.send(leaderId, new Message.Adopted(reportedEra, adoptedIndex));
        }
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        if (voter != null) {
            voter.appendState(text, nowMicros);
        }
        if (leader != null) {
            leader.appendState(text, nowMicros);
        }
        text.append(queuedProposal);
        leaseHolder.appendState(text, nowMicros);
        leaseGrantor.appendState(text, nowMicros);
        subscriberValidation.appendState(text, nowMicros);
    }
}
