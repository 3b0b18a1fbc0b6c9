package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import loadbalancer.core.Clock;
import loadbalancer.core.MemoryBudget;
import loadbalancer.core.PieceBuffer;

/**
 * Carries the messages of one HTTP/2 stream to another stream. It holds them until it is started, and then writes one
 * block at a time. The sender's window opens again by what the receiver has taken, so that the flow control of one end
 * drives that of the other, and what is held stays within the window.
 */
final class StreamRelay {
    /** A larger window saves round trips of a stream with long messages. */
    private static final int WINDOW_GROWTH_BYTES = 28 * 1024;

    private final Clock clock;
    private final GrpcMemory memory;
    private final MemoryBudget budget;
    private final ReceiveWindow window;
    private final PieceBuffer held;
    /** Memory of what is held that is counted in the budget; a block that is being written is counted beside it. */
    private int countedBytes;
    /** Received bytes for which the window was not opened again: the last ones of those held and being written. */
    private int unconsumedBytes;

    private long receivedBytes;
    /** Null until the start. */
    private Channel receiver;

    private int writingBytes;
    private boolean released;
    private boolean finished;
    /** Writes what follows the last block; null until {@link #finish}. */
    private Runnable end;

    private long progressMicros;

    /** Messages that arrive in this window, and count in this budget of the memory until they are written. */
    StreamRelay(Clock clock, GrpcMemory memory, MemoryBudget budget, ReceiveWindow window, Channel sender) {
        this.clock = clock;
        this.memory = memory;
        this.budget = budget;
        this.window = window;
        held = new PieceBuffer(sender.alloc()::buffer);
    }

    /** Holds a copy of the piece; {@code windowBytes} is its size in the sender's window, with padding. */
    void add(ByteBuf piece, int windowBytes) {
        if (released) {
            return;
        }
        receivedBytes += piece.readableBytes();
        unconsumedBytes += piece.readableBytes();
        held.add(piece);
        count();
        window.consume(windowBytes - piece.readableBytes());
        if (receivedBytes > ReceiveWindow.INITIAL_BYTES / 2) {
            window.grow(WINDOW_GROWTH_BYTES, memory.windows());
        }
    }

    /** Bytes for which the window was not opened again. */
    int unconsumedBytes() {
        return unconsumedBytes;
    }

    /** Bytes that are held and not being written. */
    int heldBytes() {
        return held.readableBytes();
    }

    /** Opens the window for all that is held, which thereby is not limited by the window any more. */
    void openWindow() {
        int bytes = unconsumedBytes;
        unconsumedBytes = 0;
        window.consume(bytes);
    }

    /** Writes what is held, and all that is added later, to this stream. */
    void start(Channel stream) {
        receiver = stream;
        progressMicros = clock.nowMicros();
        write();
    }

    /** Writes what was added, if nothing is being written. */
    void write() {
        if (receiver == null || writingBytes > 0 || released) {
            return;
        }
        ByteBuf block = held.poll();
        if (block != null) {
            writeBlock(block);
        }
        if (end != null && held.readableBytes() == 0) {
            Runnable last = end;
            end = null;
            last.run();
        }
    }

    private void writeBlock(ByteBuf block) {
        int capacity = block.capacity();
        countedBytes -= capacity;
        writingBytes = block.readableBytes();
        boolean flushedByEnd = end != null && held.readableBytes() == 0;
        DefaultHttp2DataFrame frame = new DefaultHttp2DataFrame(block, false);
        (flushedByEnd ? receiver.write(frame) : receiver.writeAndFlush(frame))
                .addListener(done -> written(capacity, done.isSuccess()));
    }

    private void written(int capacity, boolean success) {
        writingBytes = 0;
        budget.add(-capacity);
        progressMicros = clock.nowMicros();
        if (!success) {
            release();
            return;
        }
        int taken = Math.max(0, unconsumedBytes - held.readableBytes());
        unconsumedBytes -= taken;
        window.consume(taken);
        write();
    }

    /** Runs {@code last} behind the write of the last block; nothing may be added any more. Only the first call counts. */
    void finish(Runnable last) {
        if (!finished) {
            finished = true;
            end = last;
            window.release();
            write();
        }
    }

    /** Whether the receiver has not taken everything that it was sent. */
    boolean isBehind() {
        return receiver != null && (writingBytes > 0 || held.readableBytes() > 0);
    }

    /** Time at which the receiver last took something, or the relay was started. */
    long progressMicros() {
        return progressMicros;
    }

    /** Drops what is held and everything that is added later. What is being written is not recalled. */
    void release() {
        drop();
        window.release();
    }

    /** As {@link #release}, but the window stays in use. Returns the bytes for which it was not opened again. */
    int stop() {
        int bytes = unconsumedBytes;
        unconsumedBytes = 0;
        drop();
        return bytes;
    }

    private void drop() {
        if (!released) {
            released = true;
            end = null;
            budget.add(-countedBytes);
            countedBytes = 0;
            held.release();
        }
    }

    private void count() {
        budget.add(held.capacity() - countedBytes);
        countedBytes = held.capacity();
    }
}
