package loadbalancer.consensus;

import java.util.Arrays;
import java.util.BitSet;

/**
 * The proposer of a Paxos ballot. A leader moves the group through the stages of a requested change and then stops, so
 * an idle group has no leader. Any voter can start to lead with a higher ballot. A new leader first completes the stage
 * that a majority may have accepted, so a crashed leader leaves no change unfinished. Does no I/O and reads no clock.
 */
final class Leader {
    /**
     * A ballot consists of a round, the count of the leader's incarnation, and the leader's number, compared in this
     * order.
     */
    private static final long BALLOTS_PER_INCARNATION = 8;

    private static final long INCARNATIONS_PER_ROUND = 8_192;
    private static final long BALLOTS_PER_ROUND = BALLOTS_PER_INCARNATION * INCARNATIONS_PER_ROUND;

    private final GroupConfig group;
    private final SafetyRules rules;
    private final long era;
    private final long ballot;
    private final int requester;
    /**
     * The stage that this voter already knew to be chosen when it started to lead; null if it knew none. If the leader
     * proposes this stage again, the wait for leases on earlier stages counts from {@link #initiallyChosenAtMicros}.
     */
    private final Stage initiallyChosenStage;

    private final long initiallyChosenAtMicros;

    private final Message.Promise[] promises;
    private final VoterAnswers promiseAnswers;
    private final VoterAnswers acceptAnswers;
    private final BitSet adopters = new BitSet();
    private final BitSet validators = new BitSet();

    /** The version to activate; {@link Stage#NO_VERSION} if there is none, or once its validation has begun. */
    private long requestedVersion;

    private boolean abort;
    /** The last proposed stage; null before a majority has promised the ballot. */
    private Stage proposedStage;

    private boolean proposedIsChosen;
    private Stage lastChosen;
    private long chosenAtMicros;
    /** The version that members are validating; {@link Stage#NO_VERSION} while a stage is being proposed. */
    private long versionInValidation = Stage.NO_VERSION;

    private long validationStartMicros;
    private boolean finished;
    private boolean preempted;

    /** @param highestKnownBallot the new leader's ballot is higher than this one */
    Leader(
            GroupConfig group,
            SafetyRules rules,
            int voterId,
            Voter voter,
            long highestKnownBallot,
            ChangeRequest request) {
        this.group = group;
        this.rules = rules;
        era = voter.era();
        // The count distinguishes the ballots of different incarnations, because an incarnation may not know which
        // ballots earlier ones have used.
        long incarnation = voter.incarnations().get(voterId).count() % INCARNATIONS_PER_ROUND;
        long round = highestKnownBallot / BALLOTS_PER_ROUND + 1;
        ballot = round * BALLOTS_PER_ROUND + incarnation * BALLOTS_PER_INCARNATION + voterId;
        requester = request.requester();
        initiallyChosenStage = voter.acceptedIsChosen() ? voter.acceptedStage() : null;
        initiallyChosenAtMicros = voter.chosenAtMicros();
        promises = new Message.Promise[group.voters()];
        promiseAnswers = new VoterAnswers(group, rules);
        acceptAnswers = new VoterAnswers(group, rules);
        requestedVersion = request.version();
        abort = request.abort();
    }

    private Leader(Leader other) {
        group = other.group;
        rules = other.rules;
        era = other.era;
        ballot = other.ballot;
        requester = other.requester;
        initiallyChosenStage = other.initiallyChosenStage;
        initiallyChosenAtMicros = other.initiallyChosenAtMicros;
        promises = other.promises.clone();
        promiseAnswers = other.promiseAnswers.copy();
        acceptAnswers = other.acceptAnswers.copy();
        adopters.or(other.adopters);
        validators.or(other.validators);
        requestedVersion = other.requestedVersion;
        abort = other.abort;
        proposedStage = other.proposedStage;
        proposedIsChosen = other.proposedIsChosen;
        lastChosen = other.lastChosen;
        chosenAtMicros = other.chosenAtMicros;
        versionInValidation = other.versionInValidation;
        validationStartMicros = other.validationStartMicros;
        finished = other.finished;
        preempted = other.preempted;
    }

    /** Returns the number of the voter that leads with a ballot. */
    static int voterOf(long ballot) {
        return (int) (ballot % BALLOTS_PER_INCARNATION);
    }

    Leader copy() {
        return new Leader(this);
    }

    /**
     * Returns the members that this leader waits for: those that have not validated the version in validation or, if no
     * version is in validation, those that have not adopted the proposed stage.
     */
    BitSet awaitedMembers() {
        BitSet awaited = new BitSet();
        awaited.set(0, group.members());
        awaited.andNot(isValidating() ? validators : adopters);
        return awaited;
    }

    /** Whether this leader has completed its change, given it up, or been preempted. */
    boolean isFinished() {
        return finished;
    }

    /** Whether a voter has rejected this leader's ballot because of a higher one. */
    boolean isPreempted() {
        return preempted;
    }

    long ballot() {
        return ballot;
    }

    /** Returns the last stage that this leader knows a majority to have accepted; null before the first. */
    Stage lastChosen() {
        return lastChosen;
    }

    private boolean isValidating() {
        return versionInValidation != Stage.NO_VERSION;
    }

    /**
     * Moves to the next stage or validation if the current one is complete, otherwise resends the unanswered messages.
     */
    void step(long nowMicros, Outbox outbox) {
        if (finished || advance(nowMicros, outbox)) {
            return;
        }
        if (isValidating()) {
            sendValidate(outbox);
        } else if (proposedStage == null) {
            sendToVoters(outbox, new Message.Prepare(era, ballot));
        } else if (!proposedIsChosen) {
            sendToVoters(outbox, new Message.Accept(era, ballot, proposedStage));
        } else {
            for (int member = 0; member < group.members(); member++) {
                if (!adopters.get(member)) {
                    outbox.send(member, new Message.Chosen(era, ballot, proposedStage));
                }
            }
        }
    }

    /**
     * Starts the next stage or validation, or finishes if nothing is left to do. Returns false if the current stage or
     * validation is not complete.
     */
    boolean advance(long nowMicros, Outbox outbox) {
        if (isValidating()) {
            return endValidation(nowMicros, outbox);
        }
        boolean due = !finished && proposedIsChosen && areEarlierStagesUnused(nowMicros);
        if (due) {
            proposeNext(nowMicros, outbox);
        }
        return due;
    }

    private boolean endValidation(long nowMicros, Outbox outbox) {
        boolean timedOut = nowMicros - validationStartMicros >= group.validationTimeoutMicros();
        boolean votersAgree = validators.get(0, group.voters()).cardinality() >= group.majority();
        boolean complete = validators.cardinality() == group.members() || timedOut && votersAgree;
        if (complete) {
            long version = versionInValidation;
            versionInValidation = Stage.NO_VERSION;
            boolean joint = rules.enforces(SafetyRule.JOINT_STAGE);
            propose(joint ? proposedStage.jointWith(version) : proposedStage.settledOn(version), outbox);
        }
        return complete;
    }

    /** Whether no process can still decide by a stage before the proposed one. */
    private boolean areEarlierStagesUnused(long nowMicros) {
        return !rules.enforces(SafetyRule.WAITING)
                || adopters.cardinality() == group.members()
                || nowMicros - chosenAtMicros >= group.leaseExpiryMicros();
    }

    private void proposeNext(long nowMicros, Outbox outbox) {
        if (proposedStage.isJoint()) {
            propose(proposedStage.settledOn(abort ? proposedStage.oldVersion() : proposedStage.newVersion()), outbox);
            abort = false;
        } else if (requestedVersion != Stage.NO_VERSION && requestedVersion != proposedStage.newVersion()) {
            versionInValidation = requestedVersion;
            validationStartMicros = nowMicros;
            requestedVersion = Stage.NO_VERSION;
            sendValidate(outbox);
        } else {
            finished = true;
        }
    }

    private void propose(Stage next, Outbox outbox) {
        proposedStage = next;
        acceptAnswers.clear();
        proposedIsChosen = false;
        adopters.clear();
        sendToVoters(outbox, new Message.Accept(era, ballot, proposedStage));
    }

    private void sendValidate(Outbox outbox) {
        for (int member = 0; member < group.members(); member++) {
            if (!validators.get(member)) {
                outbox.send(member, new Message.Validate(era, versionInValidation));
            }
        }
    }

    private void sendToVoters(Outbox outbox, Message message) {
        for (int voter = 0; voter < group.voters(); voter++) {
            outbox.send(voter, message);
        }
    }

    /** Handles a member's answer. Messages that are not meant for a leader are ignored. */
    void receive(long nowMicros, int from, Message message, Outbox outbox) {
        if (finished) {
            return;
        }
        if (message instanceof Message.Promise promise) {
            onPromise(from, promise, outbox);
        } else if (message instanceof Message.Accepted accepted) {
            onAccepted(nowMicros, from, accepted, outbox);
        } else if (message instanceof Message.Valid valid) {
            onValid(from, valid);
        } else if (message instanceof Message.Invalid invalid) {
            onInvalid(from, invalid, outbox);
        } else if (message instanceof Message.Rejected rejected) {
            onRejected(rejected);
        } else if (message instanceof Message.Adopted adopted) {
            onAdopted(from, adopted);
        }
    }

    private void onPromise(int from, Message.Promise promise, Outbox outbox) {
        boolean current = promise.era() == era && promise.ballot() == ballot && proposedStage == null;
        if (!current || from >= group.voters()) {
            return;
        }
        promises[from] = promise;
        promiseAnswers.add(from, promise.incarnations());
        if (promiseAnswers.isQuorum()) {
            // A stage that a majority may have accepted is completed under this ballot before any other is proposed.
            propose(latestAccepted(), outbox);
        }
    }

    private Stage latestAccepted() {
        Message.Promise latest = null;
        for (Message.Promise promise : promises) {
            boolean newer = promise != null
                    && (latest == null
                            || promise.acceptedBallot() > latest.acceptedBallot()
                            || promise.acceptedBallot() == latest.acceptedBallot()
                                    && promise.acceptedStage().index()
                                            > latest.acceptedStage().index());
            latest = newer ? promise : latest;
        }
        return latest.acceptedStage();
    }

    private void onAccepted(long nowMicros, int from, Message.Accepted accepted, Outbox outbox) {
        boolean current = accepted.era() == era
                && accepted.ballot() == ballot
                && proposedStage != null
                && accepted.index() == proposedStage.index();
        if (!current || proposedIsChosen || from >= group.voters()) {
            return;
        }
        acceptAnswers.add(from, accepted.incarnations());
        if (acceptAnswers.isQuorum()) {
            proposedIsChosen = true;
            lastChosen = proposedStage;
            chosenAtMicros = proposedStage.equals(initiallyChosenStage) ? initiallyChosenAtMicros : nowMicros;
            for (int member = 0; member < group.members(); member++) {
                outbox.send(member, new Message.Chosen(era, ballot, proposedStage));
            }
        }
    }

    private void onValid(int from, Message.Valid valid) {
        if (isValidating() && valid.era() == era && valid.version() == versionInValidation) {
            validators.set(from);
        }
    }

    /** Gives up the change. No stage with the version has been proposed, so nothing has to be rolled back. */
    private void onInvalid(int from, Message.Invalid invalid, Outbox outbox) {
        if (isValidating() && invalid.version() == versionInValidation) {
            finished = true;
            String reason = "sidecar " + from + ": " + invalid.reason();
            outbox.send(requester, new Message.Invalid(versionInValidation, reason));
        }
    }

    private void onRejected(Message.Rejected rejected) {
        if (rejected.era() == era && rejected.ballot() == ballot && rejected.promisedBallot() > ballot) {
            finished = true;
            preempted = true;
        }
    }

    private void onAdopted(int from, Message.Adopted adopted) {
        if (adopted.era() == era && proposedIsChosen && adopted.index() >= proposedStage.index()) {
            adopters.set(from);
        }
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        text.append('L')
                .append(ballot)
                .append(' ')
                .append(requestedVersion)
                .append(abort)
                .append(Arrays.toString(promises))
                .append(proposedStage)
                .append(acceptAnswers)
                .append(
                        proposedIsChosen
                                ? String.valueOf(Math.min(group.leaseExpiryMicros(), nowMicros - chosenAtMicros))
                                : "-")
                .append(adopters)
                .append(finished)
                .append(initiallyChosenStage)
                .append(versionInValidation)
                .append(validators)
                .append(
                        isValidating()
                                ? Math.min(group.validationTimeoutMicros(), nowMicros - validationStartMicros)
                                : 0);
    }
}
