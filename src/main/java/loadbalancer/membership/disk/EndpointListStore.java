package loadbalancer.membership.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.membership.EndpointList;

/**
 * Keeps the endpoint list in a folder, so that it survives restarts. Two files alternate, so that the previous list
 * stays intact if a write of the newest fails: each write goes to a temporary file, which is synced and renamed over
 * the older of the two files, and then the folder is synced. Of the intact files ({@link EndpointListFile}) the one
 * with the highest sequence number is read.
 *
 * <p>All methods block on I/O and must not be called on the event loop. One sidecar locks the folder and writes it; any
 * other sidecar that is configured with the same folder only reads it. Not thread-safe.
 */
public final class EndpointListStore implements AutoCloseable {
    private static final int FILE_COUNT = 2;

    private final Path folder;
    private final String fleet;
    private final int maxFileBytes;
    private FileChannel lockFile;
    private FileLock lock;
    /** Sequence number of the last list read or written; the next list is written to the other file. */
    private long sequence;

    /**
     * Creates a store, without any access to files.
     *
     * @param fleet        lists of any other fleet are not read
     * @param maxFileBytes maximum size of a file that is read or written; ten thousand endpoints need 2 MiB
     */
    public EndpointListStore(Path folder, String fleet, int maxFileBytes) {
        this.folder = folder;
        this.fleet = fleet;
        this.maxFileBytes = maxFileBytes;
    }

    /**
     * Reads the newest intact list of this fleet; empty if there is none or the folder does not exist.
     *
     * @param log receives one message for each file that can't be used
     */
    public Optional<EndpointList> read(Consumer<String> log) {
        EndpointListFile newest = null;
        for (int slot = 0; slot < FILE_COUNT; slot++) {
            Path file = slotFile(slot);
            try {
                EndpointListFile found = EndpointListFile.decode(readFile(file), fleet);
                if (newest == null || found.sequence() > newest.sequence()) {
                    newest = found;
                }
            } catch (NoSuchFileException exception) {
                // The file has not been written yet.
            } catch (IOException | RuntimeException exception) {
                // No exception that a damaged file causes may prevent the sidecar from starting.
                log.accept("the list in " + file + " can't be used: " + describe(exception));
            }
        }
        if (newest == null) {
            return Optional.empty();
        }
        sequence = Math.max(sequence, newest.sequence());
        return Optional.of(newest.list());
    }

    private byte[] readFile(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            if (channel.size() > maxFileBytes) {
                throw new IOException("the file has " + channel.size() + " bytes, more than " + maxFileBytes);
            }
            ByteBuffer buffer = ByteBuffer.allocate((int) channel.size());
            int count = 0;
            while (buffer.hasRemaining() && count >= 0) {
                count = channel.read(buffer);
            }
            return Arrays.copyOf(buffer.array(), buffer.position());
        }
    }

    /**
     * Locks the folder for this sidecar, and creates it if it does not exist. No effect while the lock is held and the
     * lock file exists.
     *
     * @throws IOException if the folder can't be created, or another sidecar holds the lock
     */
    public void lockFolder() throws IOException {
        if (lock != null && lock.isValid() && Files.exists(lockPath())) {
            return;
        }
        close();
        Files.createDirectories(folder);
        lockFile = FileChannel.open(lockPath(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException exception) {
            lock = null;
        }
        if (lock == null) {
            close();
            throw new IOException("another sidecar keeps its list in " + folder);
        }
        // Updates the sequence number, which decides which of the two files is overwritten next.
        read(line -> {});
    }

    /**
     * Overwrites the older of the two files with the list. Locks the folder first, again if it was deleted since the
     * last write.
     *
     * @throws IOException if the folder can't be locked or written, or the list needs more bytes than a file may have
     */
    public void write(EndpointList list) throws IOException {
        lockFolder();
        long next = sequence + 1;
        byte[] file = new EndpointListFile(next, list).encode(fleet);
        if (file.length > maxFileBytes) {
            throw new IOException(
                    "the list takes " + file.length + " bytes, too long for a file of at most " + maxFileBytes);
        }
        Path temporary = folder.resolve("list.new");
        writeSynced(temporary, file);
        Files.move(
                temporary,
                slotFile((int) (next % FILE_COUNT)),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
        sequence = next;
    }

    private static void writeSynced(Path path, byte[] bytes) throws IOException {
        try (FileChannel channel = FileChannel.open(
                path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                channel.write(remaining);
            }
            channel.force(true);
        }
    }

    private Path slotFile(int slot) {
        return folder.resolve("list." + slot);
    }

    private Path lockPath() {
        return folder.resolve("list.lock");
    }

    /**
     * Describes an exception in one line. Messages of file system exceptions contain only the path, so their type is
     * added.
     */
    static String describe(Exception exception) {
        String type = exception.getClass().getSimpleName();
        String message = exception.getMessage() == null ? type : exception.getMessage();
        return exception instanceof FileSystemException ? type + " " + message : message;
    }

    /** Unlocks the folder. */
    @Override
    public void close() throws IOException {
        lock = null;
        if (lockFile != null) {
            // Closing the file releases the lock too.
            lockFile.close();
            lockFile = null;
        }
    }
}
