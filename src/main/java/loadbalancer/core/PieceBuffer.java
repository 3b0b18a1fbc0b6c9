package loadbalancer.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Holds bytes that arrive in pieces of any size, in few buffers of about the same size in all. The pieces are copied,
 * because a piece of any size keeps the whole buffer that it was read into, and because a buffer for each small piece
 * would take many times the piece's memory. Must be used on the event loop only.
 */
public final class PieceBuffer {
    /** Largest block, which is the largest size that the event loop's pooled memory serves without an allocation of its own. */
    public static final int MAX_BLOCK_BYTES = 16 * 1024;

    private static final int INITIAL_BLOCK_BYTES = 256;

    private final BlockAllocator allocator;
    private final ArrayDeque<ByteBuf> blocks = new ArrayDeque<>();
    private int readableBytes;
    private int capacity;

    /** Allocates a block of memory. */
    public interface BlockAllocator {
        /** Returns an empty buffer of this size, which may grow to that one. */
        ByteBuf allocate(int initialBytes, int maxBytes);
    }

    /** Creates an empty buffer, whose memory comes from this allocator. */
    public PieceBuffer(BlockAllocator allocator) {
        this.allocator = allocator;
    }

    /** Appends a copy of the piece, which the caller still releases. */
    public void add(ByteBuf piece) {
        int from = piece.readerIndex();
        int left = piece.readableBytes();
        readableBytes += left;
        while (left > 0) {
            ByteBuf block = blocks.peekLast();
            if (block == null || block.maxWritableBytes() == 0) {
                block = allocator.allocate(
                        Math.min(MAX_BLOCK_BYTES, Math.max(INITIAL_BLOCK_BYTES, left)), MAX_BLOCK_BYTES);
                blocks.add(block);
            }
            int copied = Math.min(left, block.maxWritableBytes());
            int capacityBefore = block.writerIndex() == 0 ? 0 : block.capacity();
            block.writeBytes(piece, from, copied);
            capacity += block.capacity() - capacityBefore;
            from += copied;
            left -= copied;
        }
    }

    /** Number of bytes that are held. */
    public int readableBytes() {
        return readableBytes;
    }

    /** Size of the memory that is held. */
    public int capacity() {
        return capacity;
    }

    /** Duplicates of the blocks, in order, each of which the caller releases. The bytes stay here too. */
    public List<ByteBuf> retainedDuplicates() {
        return blocks.stream().map(ByteBuf::retainedDuplicate).toList();
    }

    /** Releases all bytes, and is empty from then on. */
    public void release() {
        take().release();
    }

    /** Removes the first block and returns it, which the caller releases; null if there is none. */
    public ByteBuf poll() {
        ByteBuf block = blocks.poll();
        if (block != null) {
            readableBytes -= block.readableBytes();
            capacity -= block.capacity();
        }
        return block;
    }

    /** Returns all bytes as one buffer, which the caller releases, and is empty from then on. */
    public ByteBuf take() {
        readableBytes = 0;
        capacity = 0;
        if (blocks.size() <= 1) {
            return blocks.isEmpty() ? Unpooled.EMPTY_BUFFER : blocks.poll();
        }
        CompositeByteBuf all = Unpooled.compositeBuffer(blocks.size());
        for (ByteBuf block; (block = blocks.poll()) != null; ) {
            all.addComponent(true, block);
        }
        return all;
    }
}
