package loadbalancer.handover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import loadbalancer.core.Log;
import loadbalancer.membership.OutOfServiceUpstreams;

/**
 * The folder that both processes of an upgrade share: a state file, and two locks. The process that serves holds the first lock; one
 * that starts meanwhile holds the second, by which the older one knows of its successor. Files are read and written on a thread of the
 * folder's own, except by {@link #open}, {@link #hasSuccessor} and {@link #read}. A state file that can't be used counts as none, and is
 * logged.
 */
public final class HandoverFolder implements AutoCloseable {
    /** Between polls of the state file and the locks: a change in one process has to be in force in the other within a second. */
    private static final long POLL_MILLIS = 250;
    /** Longest wait for the state file's lock: callers wait 1 s for their answer. */
    private static final long LOCK_TIMEOUT_MILLIS = 500;

    private static final long LOCK_RETRY_NANOS = 1_000_000;
    private static final int NANOS_PER_MILLI = 1_000_000;
    /** Writes that wait for the disk at the same time. */
    private static final int MAX_QUEUED_WRITES = 64;

    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final Path folder;
    private final String sidecar;
    private final Path stateFile;
    private final Path servingFile;
    private final Path successorFile;
    private final ScheduledThreadPoolExecutor executor;
    /** Null while another process serves. Set on this folder's thread, read by the one that ends the program. */
    private volatile ProcessLock servingLock;
    /** Null unless this process is the successor of the one that serves. */
    private ProcessLock successorLock;

    private FileTime lastModified;
    private long lastSize = -1;
    private OutOfServiceUpstreams.Snapshot lastRead = OutOfServiceUpstreams.Snapshot.EMPTY;

    /**
     * A folder of which no file is touched yet.
     *
     * @param sidecar name of the sidecar; its files' names have it, with other characters than letters and digits replaced
     */
    public HandoverFolder(Path folder, String sidecar) {
        this.folder = folder;
        this.sidecar = sidecar;
        String name = "bridgecleat-" + sidecar.replaceAll("[^A-Za-z0-9_-]", "_");
        stateFile = folder.resolve(name + ".handover");
        servingFile = folder.resolve(name + ".serving");
        successorFile = folder.resolve(name + ".next");
        executor = new ScheduledThreadPoolExecutor(1, HandoverFolder::newThread);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "handover");
        thread.setDaemon(true);
        return thread;
    }

    /** Takes a lock, on the caller's thread, before any other call; true where no other process of the sidecar serves. */
    public boolean open() {
        servingLock = ProcessLock.tryAcquire(servingFile).orElse(null);
        if (servingLock == null) {
            successorLock = ProcessLock.tryAcquire(successorFile).orElse(null);
        }
        return servingLock != null;
    }

    /** Whether this process serves and a newer one has started. Any thread. */
    public boolean hasSuccessor() {
        if (servingLock == null) {
            return false;
        }
        Optional<ProcessLock> free = ProcessLock.tryAcquire(successorFile);
        free.ifPresent(ProcessLock::close);
        return free.isEmpty() && Files.exists(successorFile);
    }

    /** The upstreams that the state file has; those that were read last where it can't be used, so that no damage returns one. */
    public synchronized OutOfServiceUpstreams.Snapshot read() {
        try {
            if (Files.size(stateFile) > HandoverState.MAX_BYTES) {
                throw new IOException("it is too large");
            }
            lastRead =
                    HandoverState.decode(Files.readAllBytes(stateFile), sidecar).outOfService();
        } catch (NoSuchFileException exception) {
            // Nothing has been written yet.
        } catch (IOException exception) {
            Log.event(
                    "handover.state.read.failed",
                    "handover state of another process ignored: " + exception.getMessage());
        }
        return lastRead;
    }

    /**
     * Watches the folder from now on. Both callbacks run on this folder's thread.
     *
     * @param onChange       receives what another process has written
     * @param onOnlyProcess runs once, when the other process has ended
     */
    public void watch(Consumer<OutOfServiceUpstreams.Snapshot> onChange, Runnable onOnlyProcess) {
        Runnable poll = () -> {
            try {
                pollStateFile(onChange);
                pollLocks(onOnlyProcess);
            } catch (RuntimeException exception) {
                // A periodic task that throws is not run again.
                Log.fault("the handover failed", exception);
            }
        };
        executor.scheduleWithFixedDelay(poll, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void pollStateFile(Consumer<OutOfServiceUpstreams.Snapshot> onChange) {
        try {
            FileTime modified = Files.getLastModifiedTime(stateFile);
            long size = Files.size(stateFile);
            if (!modified.equals(lastModified) || size != lastSize) {
                lastModified = modified;
                lastSize = size;
                onChange.accept(read());
            }
        } catch (IOException exception) {
            // Nothing has been written yet.
        }
    }

    private void pollLocks(Runnable onOnlyProcess) {
        if (servingLock != null) {
            return;
        }
        servingLock = ProcessLock.tryAcquire(servingFile).orElse(null);
        if (servingLock != null) {
            release(successorLock);
            successorLock = null;
            onOnlyProcess.run();
        } else if (successorLock == null) {
            // Another newer process may have stood between the oldest and this one, and have ended.
            successorLock = ProcessLock.tryAcquire(successorFile).orElse(null);
        }
    }

    /**
     * Changes the state file.
     *
     * @param change what becomes of the state in the file
     * @param done   receives the new state on this folder's thread; on the caller's, without a write, where too many wait or the folder
     *               is closed
     */
    public void write(
            UnaryOperator<OutOfServiceUpstreams.Snapshot> change, Consumer<OutOfServiceUpstreams.Snapshot> done) {
        Runnable task = () -> done.accept(updateFile(change));
        try {
            if (executor.getQueue().size() < MAX_QUEUED_WRITES) {
                executor.execute(task);
                return;
            }
        } catch (RejectedExecutionException exception) {
            // Closed: the program is about to end.
        }
        done.accept(change.apply(read()));
    }

    private OutOfServiceUpstreams.Snapshot updateFile(UnaryOperator<OutOfServiceUpstreams.Snapshot> change) {
        ProcessLock lock = awaitLock(stateFile.resolveSibling(stateFile.getFileName() + ".lock"));
        try {
            if (lock == null) {
                throw new IOException("the other process does not release it");
            }
            OutOfServiceUpstreams.Snapshot snapshot = change.apply(read());
            Path temporary = stateFile.resolveSibling(stateFile.getFileName() + ".new");
            Files.write(temporary, new HandoverState(sidecar, snapshot).encode());
            Files.move(temporary, stateFile, StandardCopyOption.ATOMIC_MOVE);
            return snapshot;
        } catch (IOException exception) {
            Log.event(
                    "handover.state.write.failed",
                    "handover state in " + folder + " not written, the change holds for this process alone: "
                            + exception);
            return change.apply(read());
        } finally {
            release(lock);
            if (!executor.getQueue().isEmpty()) {
                // The other process retries each millisecond; without a pause this one would take the lock again first.
                LockSupport.parkNanos(2 * LOCK_RETRY_NANOS);
            }
        }
    }

    /** Null where the lock is not to be had; another process holds it for as long as a small write takes. */
    private static ProcessLock awaitLock(Path file) {
        long deadlineNanos = System.nanoTime() + LOCK_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        Optional<ProcessLock> lock = ProcessLock.tryAcquire(file);
        while (lock.isEmpty() && System.nanoTime() < deadlineNanos) {
            LockSupport.parkNanos(LOCK_RETRY_NANOS);
            lock = ProcessLock.tryAcquire(file);
        }
        return lock.orElse(null);
    }

    private static void release(ProcessLock lock) {
        if (lock != null) {
            lock.close();
        }
    }

    /** Waits after {@link #close}, for 5 s at most, until no file is touched any more; false where that takes longer. */
    public boolean awaitTermination() throws InterruptedException {
        return executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Releases both locks and ends the watch. */
    @Override
    public void close() {
        executor.shutdownNow();
        release(servingLock);
        release(successorLock);
    }
}
