package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.List;
import loadbalancer.core.MemoryBudget;
import loadbalancer.core.PieceBuffer;

/**
 * The messages of one call's request. They are held from the first byte on, so that each attempt gets all of them, until
 * more has been forwarded than is held: from then on they are bound to the attempt that receives them. While no attempt
 * receives them, because none has started yet or the last one has ended, everything is held, and the client can send no
 * more than its window allows.
 */
final class GrpcRequestBody implements UploadQueue.Upload {
    /** Limit without a receiver: what an ended attempt has left, and what was in transit. */
    private static final int MAX_HELD_WITHOUT_RECEIVER = 2 * GrpcServer.MAX_REQUEST;

    private final GrpcServer server;
    private final Channel client;
    private final Runnable onRejected;
    private final ReceiveWindow window;
    private final long begunMicros;
    private final PieceBuffer held = new PieceBuffer(Unpooled::buffer);
    /** Held memory of a streaming request, which is counted in the budget for replays. */
    private int countedBytes;

    private boolean streaming;
    private boolean complete;
    /** Whether what was held is released, after which no other attempt can start. */
    private boolean released;

    private long receivedMicros;
    /** Bytes that no attempt has been sent, for which the window was not opened again. */
    private int unconsumedBytes;
    /** The attempt that gets each message as it arrives; null if there is none. */
    private GrpcAttempt receiver;
    /** Forwards the messages that arrive to the receiver; null if there is none. */
    private StreamRelay forwarding;

    /** {@code onRejected} ends the call, as the memory for its request is needed by others. */
    GrpcRequestBody(GrpcServer server, Channel client, Runnable onRejected) {
        this.server = server;
        this.client = client;
        this.onRejected = onRejected;
        begunMicros = server.clock().nowMicros();
        window = new ReceiveWindow(client);
    }

    /** Sets whether messages are forwarded as they arrive, or all at once when the last one has come. */
    void setStreaming(boolean isStreaming) {
        streaming = isStreaming;
    }

    /**
     * Holds and forwards a part of the request, which the caller releases. Returns false if it is too large to hold.
     *
     * @param windowBytes size in the window, with padding
     */
    boolean add(ByteBuf content, int windowBytes, boolean last) {
        complete |= last;
        int size = held.readableBytes() + content.readableBytes();
        if (receiver != null
                && (size > GrpcServer.MAX_REQUEST || !server.memory().replays().hasCapacity())) {
            release();
        }
        if (!released) {
            if (size > MAX_HELD_WITHOUT_RECEIVER) {
                return false;
            }
            held.add(content);
            count();
        }
        if (receiver != null) {
            forwarding.add(content, windowBytes);
        } else {
            unconsumedBytes += content.readableBytes();
            window.consume(windowBytes - content.readableBytes());
        }
        receivedMicros = server.clock().nowMicros();
        return streaming ? !isOverrun() : released || reserve(size);
    }

    /** Whether a client that does not know its window yet has sent more than the memory has room for. */
    private boolean isOverrun() {
        int unconsumed = receiver == null ? unconsumedBytes : forwarding.unconsumedBytes();
        return unconsumed > window.sizeBytes() && !server.memory().responses().hasCapacity();
    }

    /** Reserves memory for a unary request of more than the initial window. Returns false if it must not be held. */
    private boolean reserve(int size) {
        if (size > ReceiveWindow.INITIAL_BYTES) {
            return server.uploads().requestAtOnce(this);
        }
        if (size > ReceiveWindow.INITIAL_BYTES / 2 && !complete) {
            server.uploads().request(this);
        }
        return true;
    }

    /** Lets the client send on after a part that nobody needs. */
    void discard(int windowBytes) {
        window.consume(windowBytes);
    }

    @Override
    public void grant() {
        window.grow(UploadQueue.GRANT_BYTES);
    }

    @Override
    public long receivedMicros() {
        return receivedMicros;
    }

    @Override
    public long begunMicros() {
        return begunMicros;
    }

    @Override
    public void reject() {
        onRejected.run();
    }

    /** Forwards what has arrived since the last call. */
    void forward() {
        if (forwarding == null) {
            return;
        }
        if (complete) {
            GrpcAttempt attempt = receiver;
            forwarding.finish(attempt::sendEnd);
        } else {
            forwarding.write();
        }
    }

    @Override
    public boolean isComplete() {
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
        if (attempt.hasEnded() || complete) {
            return;
        }
        // Only now: a message that is read while the held ones are sent must not overtake them.
        receiver = attempt;
        forwarding =
                new StreamRelay(server.clock(), server.memory(), server.memory().responses(), window, client);
        forwarding.start(attempt.stream());
        int sentBytes = unconsumedBytes;
        unconsumedBytes = 0;
        window.consume(sentBytes);
    }

    /** Stops forwarding to an attempt that has ended. */
    void attemptEnded(GrpcAttempt attempt) {
        if (receiver == attempt) {
            receiver = null;
            unconsumedBytes += forwarding.stop();
            forwarding = null;
        }
    }

    /** Releases what is held, as no other attempt will need it. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        server.memory().replays().add(-countedBytes);
        countedBytes = 0;
        held.release();
        server.uploads().withdraw(this);
    }

    /** Releases everything, as the call is over. */
    void close() {
        release();
        if (forwarding != null) {
            forwarding.release();
        }
        window.release();
    }

    private void count() {
        if (streaming) {
            MemoryBudget replays = server.memory().replays();
            replays.add(held.capacity() - countedBytes);
            countedBytes = held.capacity();
        }
    }
}
