package loadbalancer.consensus;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Recovers the state of a voter whose process has started without it. The process learns the last known incarnation of
 * its voter from a majority, announces the next one, and takes over the state of a majority that knows of it
 * (Viewstamped Replication Revisited, 2012, with incarnations). If all voters are without state, confirmed in a second
 * round, they bootstrap a new era instead. Does no I/O and reads no clock.
 */
final class VoterRecovery {
    private final GroupConfig group;
    private final SafetyRules rules;
    private final int voterId;
    private final int nonce;

    /** Last known counts of this voter's incarnations, by the voter that answered; -1 without an answer. */
    private final int[] reportedCounts;
    /** Nonces of the voters that have no state either, by voter; 0 without such an answer. */
    private final int[] noStateNonces;
    /** States of other voters, by voter; null without an answer. */
    private final Message.VoterState[] receivedStates;

    /** The incarnation that this process announced to the others; null before a majority has answered. */
    private Incarnation announcedIncarnation;
    /** The nonces of the bootstrap that this process proposed; null while any voter may have its state. */
    private List<Integer> bootstrapNonces;
    /** Bit mask of the voters that have acknowledged the bootstrap. */
    private int bootstrapAcks;

    /** @param nonce identifies this process; not 0 */
    VoterRecovery(GroupConfig group, SafetyRules rules, int voterId, int nonce) {
        this.group = group;
        this.rules = rules;
        this.voterId = voterId;
        this.nonce = nonce;
        reportedCounts = new int[group.voters()];
        Arrays.fill(reportedCounts, -1);
        noStateNonces = new int[group.voters()];
        receivedStates = new Message.VoterState[group.voters()];
    }

    private VoterRecovery(VoterRecovery other) {
        group = other.group;
        rules = other.rules;
        voterId = other.voterId;
        nonce = other.nonce;
        reportedCounts = other.reportedCounts.clone();
        noStateNonces = other.noStateNonces.clone();
        receivedStates = other.receivedStates.clone();
        announcedIncarnation = other.announcedIncarnation;
        bootstrapNonces = other.bootstrapNonces;
        bootstrapAcks = other.bootstrapAcks;
    }

    VoterRecovery copy() {
        return new VoterRecovery(this);
    }

    /**
     * Returns the incarnation that this process announced; only valid once {@link #onVoterState} has found a majority.
     */
    Incarnation announcedIncarnation() {
        return announcedIncarnation;
    }

    /** Returns the nonces of the bootstrap that {@link #onBootstrapAck} has completed. */
    List<Integer> bootstrapNonces() {
        return bootstrapNonces;
    }

    /** Resends the messages that have not been answered. */
    void resend(Outbox outbox) {
        if (announcedIncarnation != null) {
            sendToOthers(outbox, new Message.Rejoin(announcedIncarnation));
        } else if (bootstrapNonces != null) {
            sendToOthers(outbox, new Message.Bootstrap(bootstrapNonces));
        }
        // Sent in every case, because a voter without state may have recovered since, and one that sent its state may
        // have restarted.
        sendToOthers(outbox, new Message.RecoveryRequest(nonce));
    }

    private void sendToOthers(Outbox outbox, Message message) {
        for (int voter = 0; voter < group.voters(); voter++) {
            if (voter != voterId) {
                outbox.send(voter, message);
            }
        }
    }

    void onKnownIncarnation(int from, Message.KnownIncarnation answer, Outbox outbox) {
        if (announcedIncarnation != null || answer.nonce() != nonce) {
            return;
        }
        reportedCounts[from] = answer.count();
        int highestCount = Arrays.stream(reportedCounts).max().orElse(-1);
        if (Arrays.stream(reportedCounts).filter(count -> count >= 0).count() >= group.majority()) {
            announcedIncarnation = new Incarnation(highestCount + 1, nonce);
            sendToOthers(outbox, new Message.Rejoin(announcedIncarnation));
        }
    }

    /** Returns the states to take over, once a majority has sent consistent ones. */
    Optional<List<Message.VoterState>> onVoterState(int from, Message.VoterState state) {
        if (announcedIncarnation == null || !announcedIncarnation.equals(state.recipient())) {
            return Optional.empty();
        }
        receivedStates[from] = state;
        List<Message.VoterState> states =
                Arrays.stream(receivedStates).filter(Objects::nonNull).toList();
        boolean usable = states.size() >= group.majority()
                && (!rules.enforces(SafetyRule.INCARNATIONS) || areConsistent(states));
        return usable ? Optional.of(states) : Optional.empty();
    }

    /**
     * Whether all states are of one era, and no sender has restarted after it sent its state and so may have lost what
     * it knew.
     */
    private boolean areConsistent(List<Message.VoterState> states) {
        for (int voter = 0; voter < receivedStates.length; voter++) {
            Message.VoterState received = receivedStates[voter];
            if (received == null) {
                continue;
            }
            Incarnation sender = received.incarnations().get(voter);
            for (Message.VoterState state : states) {
                boolean restarted = sender.isBefore(state.incarnations().get(voter));
                if (restarted || received.era() != state.era()) {
                    return false;
                }
            }
        }
        return true;
    }

    void onNoState(int from, Message.NoState answer, Outbox outbox) {
        if (answer.nonce() != nonce) {
            return;
        }
        noStateNonces[from] = answer.responderNonce();
        noStateNonces[voterId] = nonce;
        if (Arrays.stream(noStateNonces).anyMatch(noStateNonce -> noStateNonce == 0)) {
            return;
        }
        List<Integer> nonces = Arrays.stream(noStateNonces).boxed().toList();
        if (!nonces.equals(bootstrapNonces)) {
            bootstrapNonces = nonces;
            bootstrapAcks = 0;
            sendToOthers(outbox, new Message.Bootstrap(nonces));
        }
    }

    /** Returns true once all other voters have acknowledged the bootstrap. */
    boolean onBootstrapAck(int from, Message.BootstrapAck ack) {
        if (!ack.nonces().equals(bootstrapNonces)) {
            return false;
        }
        bootstrapAcks |= 1 << from;
        return Integer.bitCount(bootstrapAcks) == group.voters() - 1;
    }

    /** Appends a description that differs between different states. */
    void appendState(StringBuilder text) {
        text.append(Arrays.toString(reportedCounts))
                .append(Arrays.toString(noStateNonces))
                .append(announcedIncarnation)
                .append(Arrays.toString(receivedStates))
                .append(bootstrapNonces)
                .append(bootstrapAcks);
    }
}
