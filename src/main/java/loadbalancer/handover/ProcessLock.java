package loadbalancer.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/** An exclusive lock on a file. The operating system releases it when the process ends, even by a crash. */
final class ProcessLock implements AutoCloseable {
    private final FileChannel channel;

    private ProcessLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Locks the file and creates it if it is missing. Empty if it is already locked or can't be locked. */
    static Optional<ProcessLock> tryAcquire(Path file) {
        FileChannel channel = null;
        try {
            channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (channel.tryLock() != null) {
                return Optional.of(new ProcessLock(channel));
            }
        } catch (IOException | OverlappingFileLockException exception) {
            // Handled like a lock that another process holds.
        }
        close(channel);
        return Optional.empty();
    }

    /** Releases the lock. */
    @Override
    public void close() {
        close(channel);
    }

    private static void close(FileChannel channel) {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException exception) {
                // The lock is released anyway.
            }
        }
    }
}
