package loadbalancer.consensus;

import java.util.Arrays;
import java.util.List;

/**
 * A message between processes of a group, which may be lost, delayed, duplicated or reordered. Messages that concern
 * one era carry its number.
 */
sealed interface Message {
    // ---- Ballots (Lamport, Paxos Made Simple, 2001): a register whose value moves through the stages in order ----

    /** A leader asks voters to promise a ballot. */
    record Prepare(long era, long ballot) implements Message {}

    /**
     * Answers {@link Prepare}.
     *
     * @param incarnations of all voters by number, as far as the sender knows them, its own included
     * @param chosen whether the sender knows that its accepted stage is chosen
     */
    record Promise(
            long era,
            long ballot,
            List<Incarnation> incarnations,
            long acceptedBallot,
            Stage acceptedStage,
            boolean chosen)
            implements Message {}

    /** A leader asks voters to accept a stage. */
    record Accept(long era, long ballot, Stage stage) implements Message {}

    /**
     * Answers {@link Accept}.
     *
     * @param incarnations of all voters by number, as far as the sender knows them, its own included
     */
    record Accepted(long era, long ballot, long index, List<Incarnation> incarnations) implements Message {}

    /** Answers {@link Prepare} or {@link Accept}: the sender has promised a higher ballot. */
    record Rejected(long era, long ballot, long promisedBallot) implements Message {}

    /** A leader announces that a majority has accepted the stage, so that it is final. */
    record Chosen(long era, long ballot, Stage stage) implements Message {}

    /** A member reports that neither it nor any of its subscribers can still decide by an earlier stage. */
    record Adopted(long era, long index) implements Message {}

    /** Asks a voter to lead a change to a version, or to abort the unfinished one. */
    record Propose(long version, boolean abort) implements Message {}

    // ---- contents of versions ----

    /** Asks for the chunks of a content from an index on. */
    record ChunkRequest(long version, int firstChunk) implements Message {}

    /**
     * Answers {@link ChunkRequest}.
     *
     * @param contentBytes length of the whole content
     */
    record Chunk(long version, int chunkIndex, int contentBytes, byte[] data) implements Message {
        @Override
        public boolean equals(Object other) {
            return other instanceof Chunk chunk
                    && chunk.version == version
                    && chunk.chunkIndex == chunkIndex
                    && chunk.contentBytes == contentBytes
                    && Arrays.equals(chunk.data, data);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(data) * 31 + chunkIndex;
        }
    }

    /** A leader asks whether the receiver has the version's content and can apply it. */
    record Validate(long era, long version) implements Message {}

    /** Answers {@link Validate}. */
    record Valid(long era, long version) implements Message {}

    /** Reports that a process can't apply the version, which is therefore not activated. */
    record Invalid(long version, String reason) implements Message {}

    // ---- leases of members ----

    /** A member asks a voter which stage it has accepted. */
    record LeaseRequest(int nonce) implements Message {}

    /**
     * Answers {@link LeaseRequest}.
     *
     * @param chosen whether the sender knows that its accepted stage is chosen
     */
    record LeaseReply(long era, int nonce, long acceptedBallot, Stage acceptedStage, boolean chosen)
            implements Message {}

    // ---- leases of subscribers, which are not members and have no vote ----

    /**
     * A subscriber asks a member for a lease.
     *
     * @param processId distinguishes the subscriber's processes
     * @param era of the stage that it decides by
     * @param index of that stage, since the subscriber never returns to an earlier one; {@link Stage#UNKNOWN_INDEX} if
     *     it has none
     */
    record SubscriberLeaseRequest(int processId, int nonce, long era, long index) implements Message {}

    /**
     * Answers {@link SubscriberLeaseRequest}.
     *
     * @param validMicros how long the subscriber may decide by this stage, counted from its request
     */
    record SubscriberLease(long era, int nonce, Stage stage, long validMicros) implements Message {}

    /** Hints that a subscriber should ask for a lease again. */
    record StageChanged(long era, long index) implements Message {}

    // ---- recovery of voters ----

    /** A voter's process without state asks for the last known incarnation of its voter. */
    record RecoveryRequest(int nonce) implements Message {}

    /** Answers {@link RecoveryRequest} with the count of the last known incarnation; 0 if none is known. */
    record KnownIncarnation(int nonce, int count) implements Message {}

    /** Answers {@link RecoveryRequest} if the sender has no state either. */
    record NoState(int nonce, int responderNonce) implements Message {}

    /** A process announces its incarnation and asks for the voters' state. */
    record Rejoin(Incarnation incarnation) implements Message {}

    /**
     * Answers {@link Rejoin}.
     *
     * @param recipient incarnation that asked for the state
     */
    record VoterState(
            long era,
            Incarnation recipient,
            List<Incarnation> incarnations,
            long promisedBallot,
            long acceptedBallot,
            Stage acceptedStage,
            boolean chosen)
            implements Message {}

    /**
     * Proposes a new era, because all voters were without state at once and so no promise exists that could be broken.
     * Nonces are by voter.
     */
    record Bootstrap(List<Integer> nonces) implements Message {}

    /** Answers {@link Bootstrap}. */
    record BootstrapAck(List<Integer> nonces) implements Message {}

    /** Notifies a voter that missed an acknowledgement that the other voters have completed this bootstrap. */
    record Bootstrapped(List<Integer> nonces) implements Message {}
}
