package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Pieces of any size come out as the same bytes, in few buffers. */
class PieceBufferTest {
    /** Unused memory of the last block. */
    private static final int SLACK_BYTES = 16 * 1024;

    private final PieceBuffer buffer = new PieceBuffer(Unpooled::buffer);

    @Property(tries = 200)
    void piecesComeOutInOrder(@ForAll @Size(max = 60) List<@IntRange(max = 40_000) Integer> sizes, @ForAll long seed) {
        Random random = new Random(seed);
        ByteBuf expected = Unpooled.buffer();
        PieceBuffer pieces = new PieceBuffer(Unpooled::buffer);
        for (int size : sizes) {
            byte[] piece = new byte[size];
            random.nextBytes(piece);
            expected.writeBytes(piece);
            pieces.add(Unpooled.wrappedBuffer(piece));
            assertEquals(expected.readableBytes(), pieces.readableBytes());
            assertTrue(pieces.capacity() <= 2 * expected.readableBytes() + SLACK_BYTES);
        }
        ByteBuf taken = pieces.take();
        assertEquals(expected, taken);
        assertEquals(0, pieces.readableBytes());
        taken.release();
    }

    /** Guards against review case 9: as many buffers as pieces, one around the other. */
    @Test
    void smallPiecesAreHeldInFewBuffers() {
        int pieces = 1024 * 1024;
        for (int i = 0; i < pieces; i++) {
            buffer.add(Unpooled.wrappedBuffer(new byte[] {(byte) i}));
        }
        ByteBuf taken = buffer.take();
        assertEquals(pieces, taken.readableBytes());
        assertTrue(taken.nioBufferCount() <= pieces / SLACK_BYTES);
        taken.release();
    }

    @Test
    void isEmptyBeforeTheFirstPieceAndAfterTheLastWasTaken() {
        assertEquals(0, buffer.take().readableBytes());
        buffer.add(Unpooled.wrappedBuffer(new byte[3]));
        buffer.take().release();
        assertEquals(0, buffer.take().readableBytes());
        assertEquals(0, buffer.capacity());
    }
}
