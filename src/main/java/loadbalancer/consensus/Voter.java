package loadbalancer.consensus;

import java.util.Arrays;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * A Paxos acceptor: the ballot that one voter has promised and the stage that it has accepted. A voter whose process
 * has just started has no such state and takes part only in {@link VoterRecovery}. Does no I/O and reads no clock.
 */
final class Voter {
    private final GroupConfig group;
    private final SafetyRules rules;
    private final int voterId;
    private final int nonce;
    /** Whether this process has the valid content of a version; stages with other versions are not accepted. */
    private final LongPredicate contentAvailable;

    private final Incarnation[] incarnations;
    private long era;
    private long promisedBallot;
    private long acceptedBallot;
    private Stage acceptedStage = Stage.INITIAL;
    private boolean acceptedIsChosen;
    private long chosenAtMicros;

    /** Null once the voter is active. */
    private VoterRecovery recovery;
    /** Nonces of the bootstrap that this process took part in; null if it recovered its state from other voters. */
    private List<Integer> bootstrapNonces;

    /**
     * Creates a voter that has no state yet.
     *
     * @param nonce identifies this process; not 0
     * @param contentAvailable tells whether this process has the valid content of a version
     */
    Voter(GroupConfig group, SafetyRules rules, int voterId, int nonce, LongPredicate contentAvailable) {
        this.group = group;
        this.rules = rules;
        this.voterId = voterId;
        this.nonce = nonce;
        this.contentAvailable = contentAvailable;
        incarnations = new Incarnation[group.voters()];
        Arrays.fill(incarnations, Incarnation.UNKNOWN);
        if (rules.enforces(SafetyRule.RECOVERY)) {
            recovery = new VoterRecovery(group, rules, voterId, nonce);
        } else {
            incarnations[voterId] = new Incarnation(1, nonce);
        }
    }

    private Voter(Voter other) {
        group = other.group;
        rules = other.rules;
        voterId = other.voterId;
        nonce = other.nonce;
        contentAvailable = other.contentAvailable;
        incarnations = other.incarnations.clone();
        era = other.era;
        promisedBallot = other.promisedBallot;
        acceptedBallot = other.acceptedBallot;
        acceptedStage = other.acceptedStage;
        acceptedIsChosen = other.acceptedIsChosen;
        chosenAtMicros = other.chosenAtMicros;
        recovery = other.recovery == null ? null : other.recovery.copy();
        bootstrapNonces = other.bootstrapNonces;
    }

    Voter copy() {
        return new Voter(this);
    }

    /** Whether the voter may vote, because it has recovered its state or bootstrapped a new era. */
    boolean isActive() {
        return recovery == null;
    }

    long era() {
        return era;
    }

    Stage acceptedStage() {
        return acceptedStage;
    }

    /** Whether the voter knows that its accepted stage is chosen. */
    boolean acceptedIsChosen() {
        return acceptedIsChosen;
    }

    /**
     * Returns when this voter, by its own clock, learned that the accepted stage is chosen; the stage was chosen no
     * later. Only valid if {@link #acceptedIsChosen}.
     */
    long chosenAtMicros() {
        return chosenAtMicros;
    }

    long promisedBallot() {
        return promisedBallot;
    }

    /** Returns the latest known incarnation of each voter, by voter number. */
    List<Incarnation> incarnations() {
        return List.of(incarnations);
    }

    /** Asks the other voters for the state that this voter needs to recover. Does nothing once the voter is active. */
    void recover(long nowMicros, Outbox outbox) {
        if (isActive()) {
            return;
        }
        if (group.voters() == 1) {
            bootstrap(nowMicros, List.of(nonce));
        } else {
            recovery.resend(outbox);
        }
    }

    /** Handles a member's message. Messages that are not meant for a voter are ignored. */
    void receive(long nowMicros, int from, Message message, Outbox outbox) {
        if (message instanceof Message.LeaseRequest request) {
            onLeaseRequest(from, request, outbox);
        } else if (from >= group.voters()) {
            return;
        } else if (message instanceof Message.Prepare prepare) {
            onPrepare(from, prepare, outbox);
        } else if (message instanceof Message.Accept accept) {
            onAccept(from, accept, outbox);
        } else if (message instanceof Message.Chosen chosen) {
            onChosen(nowMicros, chosen);
        } else if (message instanceof Message.RecoveryRequest request) {
            onRecoveryRequest(from, request, outbox);
        } else if (message instanceof Message.Rejoin rejoin) {
            onRejoin(from, rejoin, outbox);
        } else if (message instanceof Message.Bootstrap bootstrap) {
            onBootstrap(from, bootstrap, outbox);
        } else if (!isActive()) {
            receiveInRecovery(nowMicros, from, message, outbox);
        }
    }

    private void receiveInRecovery(long nowMicros, int from, Message message, Outbox outbox) {
        if (message instanceof Message.KnownIncarnation answer) {
            recovery.onKnownIncarnation(from, answer, outbox);
        } else if (message instanceof Message.NoState answer) {
            recovery.onNoState(from, answer, outbox);
        } else if (message instanceof Message.VoterState state) {
            recovery.onVoterState(from, state).ifPresent(states -> restoreState(nowMicros, states));
        } else if (message instanceof Message.BootstrapAck ack) {
            if (recovery.onBootstrapAck(from, ack)) {
                bootstrap(nowMicros, recovery.bootstrapNonces());
            }
        } else if (message instanceof Message.Bootstrapped bootstrapped
                && bootstrapped.nonces().get(voterId) == nonce) {
            // This incarnation has never voted, so it may join the bootstrap that the other voters have completed.
            bootstrap(nowMicros, bootstrapped.nonces());
        }
    }

    private void onLeaseRequest(int from, Message.LeaseRequest request, Outbox outbox) {
        if (isActive()) {
            outbox.send(
                    from,
                    new Message.LeaseReply(era, request.nonce(), acceptedBallot, acceptedStage, acceptedIsChosen));
        }
    }

    private void onPrepare(int from, Message.Prepare prepare, Outbox outbox) {
        if (!isActive() || prepare.era() != era) {
            return;
        }
        // An equal ballot is promised again, because the first promise may have been lost.
        if (prepare.ballot() >= promisedBallot) {
            promisedBallot = prepare.ballot();
            outbox.send(
                    from,
                    new Message.Promise(
                            era, promisedBallot, incarnations(), acceptedBallot, acceptedStage, acceptedIsChosen));
        } else {
            outbox.send(from, new Message.Rejected(era, prepare.ballot(), promisedBallot));
        }
    }

    private void onAccept(int from, Message.Accept accept, Outbox outbox) {
        if (!isActive() || accept.era() != era) {
            return;
        }
        if (accept.ballot() < promisedBallot) {
            outbox.send(from, new Message.Rejected(era, accept.ballot(), promisedBallot));
            return;
        }
        Stage stage = accept.stage();
        // Not short-circuited, because each test starts the download of a missing content.
        if (!contentAvailable.test(stage.oldVersion()) | !contentAvailable.test(stage.newVersion())) {
            return;
        }
        boolean newer = accept.ballot() > acceptedBallot || stage.index() > acceptedStage.index();
        if (newer) {
            acceptedIsChosen = acceptedIsChosen && stage.equals(acceptedStage);
            promisedBallot = accept.ballot();
            acceptedBallot = accept.ballot();
            acceptedStage = stage;
        }
        if (stage.equals(acceptedStage)) {
            outbox.send(from, new Message.Accepted(era, accept.ballot(), stage.index(), incarnations()));
        }
    }

    private void onChosen(long nowMicros, Message.Chosen chosen) {
        if (isActive() && chosen.era() == era && chosen.stage().equals(acceptedStage) && !acceptedIsChosen) {
            acceptedIsChosen = true;
            chosenAtMicros = nowMicros;
        }
    }

    private void onRecoveryRequest(int from, Message.RecoveryRequest request, Outbox outbox) {
        if (!isActive()) {
            outbox.send(from, new Message.NoState(request.nonce(), nonce));
        } else if (bootstrapNonces != null && bootstrapNonces.get(from) == request.nonce()) {
            outbox.send(from, new Message.Bootstrapped(bootstrapNonces));
        } else {
            outbox.send(from, new Message.KnownIncarnation(request.nonce(), incarnations[from].count()));
        }
    }

    private void onRejoin(int from, Message.Rejoin rejoin, Outbox outbox) {
        if (!isActive()) {
            return;
        }
        Incarnation rejoined = rejoin.incarnation();
        incarnations[from] = Incarnation.latest(incarnations[from], rejoined);
        if (incarnations[from].equals(rejoined)) {
            outbox.send(
                    from,
                    new Message.VoterState(
                            era,
                            rejoined,
                            incarnations(),
                            promisedBallot,
                            acceptedBallot,
                            acceptedStage,
                            acceptedIsChosen));
        }
    }

    private void onBootstrap(int from, Message.Bootstrap bootstrap, Outbox outbox) {
        boolean hasNoState = !isActive() && bootstrap.nonces().get(voterId) == nonce;
        boolean completed = isActive() && era == eraOf(bootstrap.nonces());
        if (hasNoState || completed) {
            outbox.send(from, new Message.BootstrapAck(bootstrap.nonces()));
        }
    }

    /** Restores the highest promise and the latest accepted stage of a majority. */
    private void restoreState(long nowMicros, List<Message.VoterState> states) {
        incarnations[voterId] = recovery.announcedIncarnation();
        for (Message.VoterState state : states) {
            era = state.era();
            promisedBallot = Math.max(promisedBallot, state.promisedBallot());
            for (int voter = 0; voter < incarnations.length; voter++) {
                incarnations[voter] = Incarnation.latest(
                        incarnations[voter], state.incarnations().get(voter));
            }
            boolean newer = state.acceptedBallot() > acceptedBallot
                    || state.acceptedBallot() == acceptedBallot
                            && state.acceptedStage().index() > acceptedStage.index();
            if (newer) {
                acceptedBallot = state.acceptedBallot();
                acceptedStage = state.acceptedStage();
                acceptedIsChosen = state.chosen();
            } else if (state.acceptedStage().equals(acceptedStage)) {
                acceptedIsChosen |= state.chosen();
            }
        }
        chosenAtMicros = nowMicros;
        recovery = null;
    }

    /**
     * Begins a new era. Between the last answer to {@link Message.RecoveryRequest} and the first answer to
     * {@link Message.Bootstrap} all voters were without state at the same time, so no promise is remembered anywhere.
     */
    private void bootstrap(long nowMicros, List<Integer> nonces) {
        era = eraOf(nonces);
        bootstrapNonces = nonces;
        for (int voter = 0; voter < incarnations.length; voter++) {
            incarnations[voter] = new Incarnation(1, nonces.get(voter));
        }
        acceptedIsChosen = true;
        chosenAtMicros = nowMicros;
        recovery = null;
    }

    /** Returns a hash of the nonces, which are new in each bootstrap. */
    private static long eraOf(List<Integer> nonces) {
        long era = 1;
        for (int nonce : nonces) {
            era = (era ^ nonce) * 0x9e3779b97f4a7c15L;
            era ^= era >>> 29;
        }
        return era;
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        text.append(isActive() ? 'A' : 'b')
                .append(nonce)
                .append(' ')
                .append(era & 0xffff)
                .append(' ')
                .append(promisedBallot)
                .append(' ')
                .append(acceptedBallot)
                .append(' ')
                .append(acceptedStage)
                .append(
                        acceptedIsChosen
                                ? String.valueOf(Math.min(group.leaseExpiryMicros(), nowMicros - chosenAtMicros))
                                : "?")
                .append(Arrays.toString(incarnations));
        if (!isActive()) {
            recovery.appendState(text);
        }
    }
}
