package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import loadbalancer.core.PieceBuffer;

/**
 * The messages of one call. They are held from the first byte on, so that each attempt gets all of them, until more has
 * been forwarded than is held: from then on they are bound to the attempt that receives them. While no attempt receives
 * them, because none has started yet or the last one has ended, everything is held and the client is not read further.
 */
final class GrpcRequestBody {
    /** Bytes after which the client is not read further while no attempt receives them. */
    private static final int PAUSE_BYTES = GrpcServer.MAX_REQUEST / 4;
    /** Limit without a receiver: what an ended attempt has left, and what was in transit when reading was paused. */
    private static final int MAX_HELD_WITHOUT_RECEIVER = 2 * GrpcServer.MAX_REQUEST;

    private final PieceBuffer held = new PieceBuffer(Unpooled::buffer);
    private boolean complete;
    /** Whether what was held is released, after which no other attempt can start. */
    private boolean released;
    /** The attempt that gets each message as it arrives; null if there is none. */
    private GrpcAttempt receiver;

    /** Holds and forwards a part of the request, which the caller releases. Returns false if it is too large to hold. */
    boolean add(ByteBuf content, boolean last) {
        complete |= last;
        int size = held.readableBytes() + content.readableBytes();
        if (receiver != null && size > GrpcServer.MAX_REQUEST) {
            release();
        }
        if (!released) {
            if (size > MAX_HELD_WITHOUT_RECEIVER) {
                return false;
            }
            held.add(content);
        }
        if (receiver != null) {
            // A duplicate, as writing it consumes the bytes.
            receiver.send(content.retainedDuplicate(), last);
        }
        return true;
    }

    /** Whether the last byte of the request was received. */
    boolean isComplete() {
        return complete;
    }

    /** Bytes held for another attempt. */
    int heldBytes() {
        return held.readableBytes();
    }

    /** Whether a new attempt would get the whole request. */
    boolean canStart() {
        return !released;
    }

    /** Sends the head and all held messages; the attempt gets later ones as they arrive. Requires {@link #canStart}. */
    void start(GrpcAttempt attempt) {
        attempt.sendHead(complete && held.readableBytes() == 0);
        List<ByteBuf> blocks = held.retainedDuplicates();
        for (int i = 0; i < blocks.size(); i++) {
            // An attempt that has ended releases what it gets.
            attempt.send(blocks.get(i), i == blocks.size() - 1 && complete);
        }
        // Only now: a message that is read while the held ones are sent must not overtake them.
        receiver = attempt.hasEnded() ? null : attempt;
    }

    /** Stops forwarding to an attempt that has ended. */
    void attemptEnded(GrpcAttempt attempt) {
        if (receiver == attempt) {
            receiver = null;
        }
    }

    /** Releases what is held, as no other attempt will need it. */
    void release() {
        released = true;
        held.release();
    }

    /** Whether to read more from the client: the receiver accepts it or, without a receiver, it can be held. */
    boolean wantsMore() {
        return receiver != null ? receiver.writable() : released || held.readableBytes() < PAUSE_BYTES;
    }
}
