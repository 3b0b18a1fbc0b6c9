package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A peer that reads steadily is never taken for one that has stopped, and one that has stopped is noticed. */
class WriteStallTest {
    private static final long GRACE_MICROS = 10_000_000;
    private static final long CHECK_MICROS = 500_000;
    private static final int SLOWEST_BYTES_PER_SECOND = 64_000;
    private static final int PIECE_BYTES = 32_000;
    /** The largest response, 64 MiB, is more than the largest receive buffer. */
    private static final long RESPONSE_BYTES = 64L * 1024 * 1024;

    /** Guards against cutting off a client whose kernel takes more only in steps of a sixteenth of its buffer. */
    @Property(tries = 200)
    void steadyPeerIsNeverStalled(
            @ForAll @IntRange(min = 128 * 1024, max = 32 * 1024 * 1024) int receiveBufferBytes,
            @ForAll @IntRange(min = SLOWEST_BYTES_PER_SECOND, max = 4_000_000) int bytesPerSecond) {
        WriteStall stall = new WriteStall(GRACE_MICROS, 0);
        long takenBytes = receiveBufferBytes;
        long stepBytes = receiveBufferBytes / 16;
        stall.add(takenBytes + PIECE_BYTES);
        double freeBytes = 0;
        for (long now = CHECK_MICROS; takenBytes < RESPONSE_BYTES; now += CHECK_MICROS) {
            freeBytes += bytesPerSecond * (CHECK_MICROS / 1e6);
            long stepsTaken = (long) (freeBytes / stepBytes);
            freeBytes -= stepsTaken * stepBytes;
            takenBytes += stepsTaken * stepBytes;
            stall.add(stepsTaken * stepBytes);
            // The sender refills as soon as something was taken; what is left shows the step in the same check.
            stall.observe(now, stepsTaken > 0 ? PIECE_BYTES / 2 : PIECE_BYTES);
            assertFalse(stall.isStalled(now), "at " + now + " after " + takenBytes);
            stall.observe(now, PIECE_BYTES);
        }
    }

    @Test
    void peerThatTakesNothingIsNoticed() {
        WriteStall stall = new WriteStall(GRACE_MICROS, 0);
        stall.add(PIECE_BYTES);
        stall.observe(0, PIECE_BYTES);
        stall.observe(GRACE_MICROS, PIECE_BYTES);
        assertFalse(stall.isStalled(GRACE_MICROS));
        stall.observe(GRACE_MICROS + CHECK_MICROS, PIECE_BYTES);
        assertTrue(stall.isStalled(GRACE_MICROS + CHECK_MICROS));
    }

    /** Time in which nothing waits to be sent, because the upstream is slow, does not count. */
    @Test
    void timeWithNothingToSendDoesNotCount() {
        WriteStall stall = new WriteStall(GRACE_MICROS, 0);
        stall.add(PIECE_BYTES);
        stall.observe(GRACE_MICROS, 0);
        stall.observe(GRACE_MICROS + CHECK_MICROS, PIECE_BYTES);
        assertFalse(stall.isStalled(GRACE_MICROS + CHECK_MICROS));
    }
}
