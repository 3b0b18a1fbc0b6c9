package loadbalancer.consensus;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * One member of a group that agrees on a configuration version: a {@link Participant} with its timers, its datagrams and the contents of
 * versions. No request waits for it: whoever decides reads {@link #activeStage} and goes on. Pure, times are in microseconds of a monotonic
 * clock; not thread-safe.
 */
public final class ConsensusNode {
    private static final int RENEWALS_PER_LEASE = 3;
    private static final long RESEND_INTERVAL_MICROS = 60_000;
    /** Without progress for this time, plus once more for each voter before it, a voter completes an unfinished change. */
    private static final long LEADER_TIMEOUT_MICROS = 700_000;

    private static final long PROPOSAL_TIMEOUT_MICROS = 20_000_000;

    private final GroupConfig group;
    private final int memberId;
    private final MessageCodec codec;
    private final Participant participant;
    private final ContentStore contents;
    private final SplittableRandom random;
    private final long renewalIntervalMicros;
    /** Messages to itself, which go through no datagram. */
    private final ArrayDeque<Message> loopback = new ArrayDeque<>();

    private long renewalAtMicros;
    private long stepAtMicros;
    private Stage lastAccepted;
    private long lastProgressMicros;
    private long droppedMessages;
    /** Proposed here and not active yet. */
    private long pendingVersion = Stage.NO_VERSION;

    private long proposalDeadlineMicros;
    private long proposalRetryMicros;
    /** Why the last proposal was rejected; null if it was not. */
    private String rejectionReason;

    /**
     * A member without memory.
     *
     * @param memberId number of this member; voters have the lowest
     * @param seed different for each process
     * @param validator why a content can't be applied here; null if it can
     */
    public ConsensusNode(
            ConsensusGroup consensusGroup,
            int memberId,
            long seed,
            long nowMicros,
            Function<byte[], String> validator) {
        group = consensusGroup.config();
        this.memberId = memberId;
        codec = new MessageCodec(consensusGroup.registerId(), consensusGroup.voters());
        contents = new ContentStore(validator);
        random = new SplittableRandom(seed);
        int nonce = random.nextInt(1, Integer.MAX_VALUE);
        participant = new Participant(group, SafetyRules.ALL, memberId, nonce, nowMicros, contents::hasOrDownload);
        renewalIntervalMicros = consensusGroup.leaseMicros() / RENEWALS_PER_LEASE;
        renewalAtMicros = nowMicros;
        stepAtMicros = nowMicros;
        lastProgressMicros = nowMicros;
    }

    /** The stage to decide by. */
    public ActiveStage activeStage(long nowMicros) {
        LeaseHolder holder = participant.leaseHolder();
        return ActiveStage.of(holder.era(), holder.lastStage(), holder.stage(nowMicros) != null);
    }

    /** When its last lease expires, or expired; only valid once it {@link #hasLearnedStage}. */
    public long leaseExpiryMicros() {
        return participant.leaseHolder().expiryMicros();
    }

    /** Whether it has ever learned a stage; before that its process is not ready. */
    public boolean hasLearnedStage() {
        return participant.leaseHolder().lastStage() != null;
    }

    /** Whether it has a vote and the memory to use it. */
    public boolean canVote() {
        return participant.canVote();
    }

    /** Datagrams that were malformed, of another group, or not allowed from their sender. */
    public long droppedMessages() {
        return droppedMessages;
    }

    /** The version that names a content. */
    public static long versionOf(byte[] content) {
        return ContentStore.versionOf(content);
    }

    /** The content of a version, if it is here. */
    public Optional<byte[]> content(long version) {
        return contents.get(version);
    }

    /** Proposes a content; why it is rejected, if it can't be applied here. */
    public Optional<String> propose(long nowMicros, byte[] content, DatagramSender sender) {
        OptionalLong version = contents.put(content);
        if (version.isEmpty()) {
            return contents.rejectionReason(versionOf(content));
        }
        rejectionReason = null;
        pendingVersion = version.getAsLong();
        proposalDeadlineMicros = nowMicros + PROPOSAL_TIMEOUT_MICROS;
        proposalRetryMicros = nowMicros + LEADER_TIMEOUT_MICROS;
        requestChange(nowMicros, pendingVersion, false, sender);
        return Optional.empty();
    }

    /** Asks for an unfinished change to be rolled back. */
    public void abort(long nowMicros, DatagramSender sender) {
        pendingVersion = Stage.NO_VERSION;
        requestChange(nowMicros, Stage.NO_VERSION, true, sender);
    }

    private void requestChange(long nowMicros, long version, boolean abort, DatagramSender sender) {
        Outbox outbox = outboxTo(sender);
        Message proposal = new Message.Propose(version, abort);
        if (participant.leader() != null) {
            participant.receive(nowMicros, memberId, proposal, outbox);
        } else if (!participant.lead(nowMicros, new ChangeRequest(memberId, version, abort), outbox)) {
            outbox.send(random.nextInt(group.voters()), proposal);
        }
        drainLoopback(nowMicros, outbox);
        stepAtMicros = Math.min(stepAtMicros, nowMicros + RESEND_INTERVAL_MICROS);
    }

    /** Whether the last proposal made here is neither active, rejected, nor timed out. */
    public boolean isProposalPending() {
        return pendingVersion != Stage.NO_VERSION;
    }

    /** Which process rejected the last proposal made here and why, if one did. */
    public Optional<String> rejectionReason() {
        return Optional.ofNullable(rejectionReason);
    }

    /** Numbers of the members that the change led by this process waits for; empty if it leads none. */
    public BitSet awaitedMembers() {
        return participant.leader() == null
                ? new BitSet()
                : participant.leader().awaitedMembers();
    }

    /** When {@link #tick} is due next. */
    public long nextTickMicros() {
        return Math.min(renewalAtMicros, stepAtMicros);
    }

    /** Does what is due: renews the lease, sends again what is unanswered, and completes abandoned changes. */
    public void tick(long nowMicros, DatagramSender sender) {
        Outbox outbox = outboxTo(sender);
        if (nowMicros >= renewalAtMicros) {
            renew(nowMicros, outbox);
        }
        if (nowMicros >= stepAtMicros) {
            stepAtMicros = nowMicros + RESEND_INTERVAL_MICROS;
            participant.step(nowMicros, outbox);
            completeAbandonedChange(nowMicros, outbox);
            if (contents.isDownloading()) {
                contents.requestChunks(random.nextInt(group.voters()), random.nextInt(4) == 0, outbox);
            }
            retryProposal(nowMicros, sender);
        }
        drainLoopback(nowMicros, outbox);
    }

    /** Renews at random times, so that members that start together do not ask at the same time. */
    private void renew(long nowMicros, Outbox outbox) {
        boolean settledIn = hasLearnedStage() && (participant.voter() == null || participant.canVote());
        long intervalMicros =
                settledIn ? renewalIntervalMicros : Math.min(renewalIntervalMicros, 4 * RESEND_INTERVAL_MICROS);
        renewalAtMicros = nowMicros + intervalMicros / 2 + random.nextLong(intervalMicros / 2 + 1);
        participant.renew(nowMicros, outbox);
    }

    /** Proposes again until the version is active or the deadline passes: the message may be lost, and the leader may crash. */
    private void retryProposal(long nowMicros, DatagramSender sender) {
        if (!isProposalPending()) {
            return;
        }
        boolean active = activeStage(nowMicros).newVersion() == pendingVersion;
        if (active || nowMicros >= proposalDeadlineMicros) {
            pendingVersion = Stage.NO_VERSION;
        } else if (nowMicros >= proposalRetryMicros) {
            proposalRetryMicros = nowMicros + LEADER_TIMEOUT_MICROS;
            requestChange(nowMicros, pendingVersion, false, sender);
        }
    }

    private void completeAbandonedChange(long nowMicros, Outbox outbox) {
        if (!participant.canVote()) {
            return;
        }
        Voter voter = participant.voter();
        Stage accepted = voter.acceptedStage();
        if (!accepted.equals(lastAccepted)) {
            lastAccepted = accepted;
            lastProgressMicros = nowMicros;
        }
        boolean unfinished = accepted.isJoint() || !voter.acceptedIsChosen();
        boolean abandoned = nowMicros - lastProgressMicros >= LEADER_TIMEOUT_MICROS * (1 + memberId);
        if (unfinished && participant.leader() == null && abandoned) {
            lastProgressMicros = nowMicros;
            participant.lead(nowMicros, new ChangeRequest(memberId, Stage.NO_VERSION, false), outbox);
        }
    }

    /**
     * Takes a datagram.
     *
     * @param from number of its sender; members have the lowest, subscribers those above
     */
    public void receive(long nowMicros, int from, byte[] datagram, DatagramSender sender) {
        Optional<Message> decoded = from < 0 ? Optional.empty() : codec.decode(datagram);
        if (decoded.isEmpty()) {
            droppedMessages++;
            return;
        }
        Message message = decoded.get();
        Outbox outbox = outboxTo(sender);
        if (from >= group.members()) {
            receiveFromSubscriber(nowMicros, from, message, outbox);
        } else {
            noteProgress(nowMicros, message);
            receiveFromMember(nowMicros, from, message, outbox);
        }
        drainLoopback(nowMicros, outbox);
    }

    private void noteProgress(long nowMicros, Message message) {
        if (message instanceof Message.Prepare
                || message instanceof Message.Accept
                || message instanceof Message.Chosen) {
            lastProgressMicros = nowMicros;
        }
    }

    private void receiveFromSubscriber(long nowMicros, int from, Message message, Outbox outbox) {
        boolean allowed = message instanceof Message.SubscriberLeaseRequest
                || message instanceof Message.Valid
                || message instanceof Message.Invalid;
        if (group.subscriberLeaseMicros() > 0 && message instanceof Message.ChunkRequest) {
            contents.receive(from, message, outbox);
        } else if (group.subscriberLeaseMicros() > 0 && allowed) {
            participant.receiveFromSubscriber(nowMicros, from, message, outbox);
        } else {
            droppedMessages++;
        }
    }

    private void receiveFromMember(long nowMicros, int from, Message message, Outbox outbox) {
        if (message instanceof Message.ChunkRequest || message instanceof Message.Chunk) {
            contents.receive(from, message, outbox);
            return;
        }
        if (message instanceof Message.Propose propose && from != memberId) {
            contents.announced(propose.version(), from);
        } else if (message instanceof Message.Validate validate && from != memberId) {
            contents.announced(validate.version(), from);
        } else if (message instanceof Message.Invalid invalid
                && invalid.version() == pendingVersion
                && participant.leader() == null) {
            rejectionReason = invalid.reason();
            pendingVersion = Stage.NO_VERSION;
        }
        participant.receive(nowMicros, from, message, outbox);
        if (message instanceof Message.Validate validate) {
            contents.rejectionReason(validate.version())
                    .ifPresent(reason -> outbox.send(from, new Message.Invalid(validate.version(), reason)));
        }
    }

    /** Which register a datagram claims to be for; 0 if it is too short to tell. Not verified. */
    public static int registerIdOf(byte[] datagram) {
        return MessageCodec.registerIdOf(datagram);
    }

    /** Whether a datagram is a message of this package, by its first byte. */
    public static boolean isMessage(byte[] datagram) {
        return MessageCodec.isMessage(datagram);
    }

    private Outbox outboxTo(DatagramSender sender) {
        return (to, message) -> {
            if (to == memberId) {
                loopback.add(message);
            } else {
                sender.send(to, codec.encode(message));
            }
        };
    }

    private void drainLoopback(long nowMicros, Outbox outbox) {
        Message message = loopback.poll();
        while (message != null) {
            receiveFromMember(nowMicros, memberId, message, outbox);
            message = loopback.poll();
        }
    }
}
