package loadbalancer.consensus;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * A process that is not a member of a group but decides by the stages that its members agree on: a {@link Subscriber}
 * with the encoding of its messages and the contents of versions. The caller decides which member is asked, and when.
 * Does no I/O; times are in microseconds of a monotonic clock. Not thread-safe.
 */
public final class Subscription {
    private final MessageCodec codec;
    private final ContentStore contents;
    private final Subscriber subscriber;
    private long droppedMessages;

    /**
     * Creates a subscription whose process has just started and knows no stage yet.
     *
     * @param seed different for each process
     * @param validator returns why this process can't apply a content, or null if it can
     */
    public Subscription(ConsensusGroup group, long seed, Function<byte[], String> validator) {
        codec = new MessageCodec(group.registerId(), group.voters());
        contents = new ContentStore(validator);
        int processId = new SplittableRandom(seed).nextInt(1, Integer.MAX_VALUE);
        subscriber = new Subscriber(SafetyRules.ALL, processId, contents::hasOrDownload);
    }

    /** Returns the stage that this subscriber decides by. */
    public ActiveStage activeStage(long nowMicros) {
        return ActiveStage.of(subscriber.era(), subscriber.lastStage(), subscriber.leasedStage(nowMicros) != null);
    }

    /** Whether this subscriber has ever adopted a stage; until then its process is not ready. */
    public boolean hasLearnedStage() {
        return subscriber.lastStage() != null;
    }

    /** Returns when the last lease expires or expired; {@link Long#MIN_VALUE} before the first. */
    public long leaseExpiryMicros() {
        return subscriber.expiryMicros();
    }

    /** Returns the content of a version, if this process has it. */
    public Optional<byte[]> content(long version) {
        return contents.get(version);
    }

    /** Returns how many datagrams were dropped as malformed, of another group, or not meant for a subscriber. */
    public long droppedMessages() {
        return droppedMessages;
    }

    /** Asks a member for a lease. */
    public void requestLease(long nowMicros, int member, DatagramSender sender) {
        sender.send(member, codec.encode(subscriber.requestLease(nowMicros)));
    }

    /** Whether chunks of any content are missing. */
    public boolean isDownloading() {
        return contents.isDownloading();
    }

    /** Asks a member for the next missing chunks. */
    public void requestChunks(int member, DatagramSender sender) {
        contents.requestChunks(member, true, outboxTo(sender));
    }

    /**
     * Handles a datagram from a member. The caller learns from the returned kind whether the member granted a lease,
     * and whether to ask again.
     */
    public MessageKind receive(long nowMicros, int from, byte[] datagram, DatagramSender sender) {
        Message message = codec.decode(datagram).orElse(null);
        if (message instanceof Message.SubscriberLease lease) {
            return subscriber.receive(nowMicros, lease) ? MessageKind.STAGE_ADOPTED : MessageKind.LEASE_GRANTED;
        }
        if (message instanceof Message.StageChanged) {
            return MessageKind.STAGE_CHANGED;
        }
        if (message instanceof Message.Validate validate) {
            onValidate(from, validate, sender);
            return MessageKind.OTHER;
        }
        if (message instanceof Message.Chunk) {
            contents.receive(from, message, outboxTo(sender));
            return MessageKind.CHUNK;
        }
        droppedMessages++;
        return MessageKind.UNKNOWN;
    }

    private void onValidate(int from, Message.Validate validate, DatagramSender sender) {
        long version = validate.version();
        contents.recordAnnouncement(version, from);
        if (contents.hasOrDownload(version)) {
            sender.send(from, codec.encode(new Message.Valid(validate.era(), version)));
        } else {
            contents.rejectionReason(version)
                    .ifPresent(reason -> sender.send(from, codec.encode(new Message.Invalid(version, reason))));
        }
    }

    private Outbox outboxTo(DatagramSender sender) {
        return (to, message) -> sender.send(to, codec.encode(message));
    }

    /** The kind of message in a received datagram. */
    public enum MessageKind {
        LEASE_GRANTED,
        /**
         * A lease on another stage. When this process asks again, the member learns that the process no longer decides
         * by an earlier stage.
         */
        STAGE_ADOPTED,
        /**
         * A hint to ask again, even if this process has already adopted the stage, because the member has not learned
         * of that.
         */
        STAGE_CHANGED,
        CHUNK,
        /** Another message for a subscriber. */
        OTHER,
        /** Malformed, of another group, or not meant for a subscriber. */
        UNKNOWN
    }
}
