package loadbalancer.consensus;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * A process without a vote that decides by what the members of a group agree on: a {@link Subscriber} with its datagrams and the contents of
 * versions. Its caller decides which member it asks and when. Pure, times are in microseconds of a monotonic clock; not thread-safe.
 */
public final class Subscription {
    private final MessageCodec codec;
    private final ContentStore contents;
    private final Subscriber subscriber;
    private long droppedMessages;

    /**
     * A subscriber without memory.
     *
     * @param seed different for each process
     * @param validator why a content can't be applied here; null if it can
     */
    public Subscription(ConsensusGroup group, long seed, Function<byte[], String> validator) {
        codec = new MessageCodec(group.registerId(), group.voters());
        contents = new ContentStore(validator);
        int processId = new SplittableRandom(seed).nextInt(1, Integer.MAX_VALUE);
        subscriber = new Subscriber(SafetyRules.ALL, processId, contents::hasOrDownload);
    }

    /** The stage to decide by. */
    public ActiveStage activeStage(long nowMicros) {
        return ActiveStage.of(subscriber.era(), subscriber.lastStage(), subscriber.stage(nowMicros) != null);
    }

    /** Whether it has ever learned a stage; before that its process is not ready. */
    public boolean hasLearnedStage() {
        return subscriber.lastStage() != null;
    }

    /** When its last lease expires, or expired; {@link Long#MIN_VALUE} before the first. */
    public long leaseExpiryMicros() {
        return subscriber.expiryMicros();
    }

    /** The content of a version, if it is here. */
    public Optional<byte[]> content(long version) {
        return contents.get(version);
    }

    /** Datagrams that were malformed, of another group, or not meant for a subscriber. */
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

    /** Takes a datagram of a member; from what it was the caller learns whether that member answers. */
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
        contents.announced(version, from);
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

    /** What a datagram was. */
    public enum MessageKind {
        LEASE_GRANTED,
        /** A lease on another stage. By asking again the member learns that no earlier one is decided by here any more. */
        STAGE_ADOPTED,
        /** A hint to ask again, even if the stage is known here: the member does not know that it is. */
        STAGE_CHANGED,
        CHUNK,
        /** Another message for a subscriber. */
        OTHER,
        /** Malformed, of another group, or not meant for a subscriber. */
        UNKNOWN
    }
}
