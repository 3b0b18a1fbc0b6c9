package loadbalancer.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import loadbalancer.core.Log;
import loadbalancer.core.SharedExecutions;

/**
 * A hash table of request ids in a file that both processes of an upgrade have mapped, so that each sees at once what
 * the other has sent. A slot is an id's hash and the time of its entry. A slot that a killed process left half written
 * matches no id. Must be used on one thread of each process.
 */
public final class ExecutedIdTable implements SharedExecutions {
    /** Time for which an entry counts. Clients that send a request once more do so within seconds. */
    private static final long RETENTION_NANOS = 30_000_000_000L;

    private static final int BUCKETS = 1_024;
    private static final int SLOTS_PER_BUCKET = 8;
    private static final int SLOT_BYTES = 2 * Long.BYTES;
    private static final int BUCKET_BYTES = SLOTS_PER_BUCKET * SLOT_BYTES;
    private static final int FILE_BYTES = BUCKETS * BUCKET_BYTES;

    private final MappedByteBuffer table;

    private ExecutedIdTable(MappedByteBuffer table) {
        this.table = table;
    }

    /** Maps the file, and creates it if it is missing. Where that fails, ids are not shared. */
    static SharedExecutions open(Path file) {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            allocate(channel);
            return new ExecutedIdTable(channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES));
        } catch (IOException exception) {
            Log.event("handover.ids.failed", "request ids are not shared with another process: " + exception);
            return SharedExecutions.NONE;
        }
    }

    /** Writes all bytes that are missing, as a store into a mapped file without space would end the process. */
    private static void allocate(FileChannel channel) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate(BUCKET_BYTES);
        while (channel.size() < FILE_BYTES) {
            zeros.clear().limit((int) Math.min(BUCKET_BYTES, FILE_BYTES - channel.size()));
            channel.write(zeros, channel.size());
        }
    }

    @Override
    public void add(String id) {
        long hash = hashOf(id);
        int slot = slotOf(hash);
        if (slot < 0) {
            slot = oldestSlot(hash);
        }
        table.putLong(slot, 0);
        table.putLong(slot + Long.BYTES, System.nanoTime());
        table.putLong(slot, hash);
    }

    @Override
    public void remove(String id) {
        int slot = slotOf(hashOf(id));
        if (slot >= 0) {
            table.putLong(slot, 0);
        }
    }

    @Override
    public boolean contains(String id) {
        int slot = slotOf(hashOf(id));
        return slot >= 0 && ageNanos(slot) < RETENTION_NANOS;
    }

    /** Offset of the slot with this hash; -1 if there is none. */
    private int slotOf(long hash) {
        int bucket = bucketOf(hash);
        for (int slot = bucket; slot < bucket + BUCKET_BYTES; slot += SLOT_BYTES) {
            if (table.getLong(slot) == hash) {
                return slot;
            }
        }
        return -1;
    }

    private int oldestSlot(long hash) {
        int oldest = bucketOf(hash);
        for (int slot = oldest; slot < bucketOf(hash) + BUCKET_BYTES; slot += SLOT_BYTES) {
            if (ageNanos(slot) > ageNanos(oldest)) {
                oldest = slot;
            }
        }
        return oldest;
    }

    /** Age of an entry by the monotonic clock, which both processes share; an entry of before a reboot is old. */
    private long ageNanos(int slot) {
        long ageNanos = System.nanoTime() - table.getLong(slot + Long.BYTES);
        boolean isUnused = table.getLong(slot) == 0;
        return isUnused || ageNanos < 0 ? Long.MAX_VALUE : ageNanos;
    }

    private static int bucketOf(long hash) {
        return (int) Long.remainderUnsigned(hash, BUCKETS) * BUCKET_BYTES;
    }

    /** FNV-1a with 64 bits, mixed; never 0, which marks an unused slot. */
    private static long hashOf(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }
}
