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
import loadbalancer.core.SharedExecutions;
import loadbalancer.membership.OutOfServiceUpstreams;

/**
 * The folder that both processes of an upgrade share, with a state file and two lock files. The serving process holds
 * the first lock. A process that starts meanwhile holds the second, by which the older process detects its successor.
 * Files are accessed on the folder's own thread, except by {@link #open}, {@link #hasSuccessor} and {@link #read}. An
 * unusable state file is logged and ignored.
 */
public final class HandoverFolder implements AutoCloseable {
    /** Interval between polls of the state file and the locks. A change must reach the other process within 1 s. */
    private static final long POLL_MILLIS = 250;
    /** Longest wait for the state file's lock. Callers wait 1 s for a response. */
    private static final long LOCK_TIMEOUT_MILLIS = 500;

    private static final long LOCK_RETRY_NANOS = 1_000_000;
    private static final int NANOS_PER_MILLI = 1_000_000;
    /** Limit on writes that are queued. */
    private static final int MAX_QUEUED_WRITES = 64;

    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final Path folder;
    private final String sidecar;
    private final Path stateFile;
    private final Path servingFile;
    private final Path successorFile;
    private final Path executedFile;
    private final ScheduledThreadPoolExecutor executor;
    /** Null while another process serves. Set on the folder's thread, read on the thread that ends the process. */
    private volatile ProcessLock servingLock;
    /** Null unless this process is the successor of the serving one. */
    private ProcessLock successorLock;

    private FileTime lastModified;
    private long lastSize = -1;
    private OutOfServiceUpstreams.Snapshot lastRead = OutOfServiceUpstreams.Snapshot.EMPTY;

    /**
     * Creates an instance without accessing any file.
     *
     * @param sidecar name of the sidecar, which the file names contain; characters other than A-Z, a-z, 0-9, _ and -
     *                are replaced
     */
    public HandoverFolder(Path folder, String sidecar) {
        this.folder = folder;
        this.sidecar = sidecar;
        String name = "bridgecleat-" + sidecar.replaceAll("[^A-Za-z0-9_-]", "_");
        stateFile = folder.resolve(name + ".handover");
        servingFile = folder.resolve(name + ".serving");
        successorFile = folder.resolve(name + ".next");
        executedFile = folder.resolve(name + ".executed");
        executor = new ScheduledThreadPoolExecutor(1, HandoverFolder::newThread);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "handover");
        thread.setDaemon(true);
        return thread;
    }

    /** Acquires a lock on the caller's thread; called first. Returns whether no other process of the sidecar serves. */
    public boolean open() {
        servingLock = ProcessLock.tryAcquire(servingFile).orElse(null);
        if (servingLock == null) {
            successorLock = ProcessLock.tryAcquire(successorFile).orElse(null);
        }
        return servingLock != null;
    }

    /** Opens the request ids that both processes share. Called once, on the caller's thread. */
    public SharedExecutions openExecutedIds() {
        return ExecutedIdTable.open(executedFile);
    }

    /** Whether this process serves and a newer one has started. May be called on any thread. */
    public boolean hasSuccessor() {
        if (servingLock == null) {
            return false;
        }
        Optional<ProcessLock> free = ProcessLock.tryAcquire(successorFile);
        free.ifPresent(ProcessLock::close);
        return free.isEmpty() && Files.exists(successorFile);
    }

    /**
     * Reads the state file. If it can't be used, returns the last state that was read, so that a damaged file puts no
     * upstream back into service.
     */
    public synchronized OutOfServiceUpstreams.Snapshot read() {
        try {
            if (Files.size(stateFile) > HandoverState.MAX_BYTES) {
                throw new IOException("state file is larger than 4 MiB");
            }
            lastRead =
                    HandoverState.decode(Files.readAllBytes(stateFile), sidecar).outOfService();
        } catch (NoSuchFileException exception) {
            // Nothing has been written yet.
        } catch (IOException exception) {
            Log.event("handover.state.read.failed", "ignoring the handover state file: " + exception.getMessage());
        }
        return lastRead;
    }

    /**
     * Starts to poll the folder. Both callbacks run on the folder's thread.
     *
     * @param onChange            receives the state that another process has written
     * @param onOtherProcessEnded runs once, when the other process has ended
     */
    public void watch(Consumer<OutOfServiceUpstreams.Snapshot> onChange, Runnable onOtherProcessEnded) {
        Runnable poll = () -> {
            try {
                pollStateFile(onChange);
                pollLocks(onOtherProcessEnded);
            } catch (RuntimeException exception) {
                // The executor would not repeat a task that throws.
                Log.fault("polling the handover folder failed", exception);
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

    private void pollLocks(Runnable onOtherProcessEnded) {
        if (servingLock != null) {
            return;
        }
        servingLock = ProcessLock.tryAcquire(servingFile).orElse(null);
        if (servingLock != null) {
            release(successorLock);
            successorLock = null;
            onOtherProcessEnded.run();
        } else if (successorLock == null) {
            // Another successor may have held this lock until it ended.
            successorLock = ProcessLock.tryAcquire(successorFile).orElse(null);
        }
    }

    /**
     * Changes the state file.
     *
     * @param change computes the new state from the state in the file
     * @param done   receives the new state on the folder's thread; on the caller's thread, without a write, if too many
     *               writes are queued or the folder is closed
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
            // The folder is closed, as the process is about to exit.
        }
        done.accept(change.apply(read()));
    }

    private OutOfServiceUpstreams.Snapshot updateFile(UnaryOperator<OutOfServiceUpstreams.Snapshot> change) {
        ProcessLock lock = awaitLock(stateFile.resolveSibling(stateFile.getFileName() + ".lock"));
        try {
            if (lock == null) {
                throw new IOException("the other process holds the lock of the state file");
            }
            OutOfServiceUpstreams.Snapshot snapshot = change.apply(read());
            Path temporary = stateFile.resolveSibling(stateFile.getFileName() + ".new");
            Files.write(temporary, new HandoverState(sidecar, snapshot).encode());
            Files.move(temporary, stateFile, StandardCopyOption.ATOMIC_MOVE);
            return snapshot;
        } catch (IOException exception) {
            Log.event(
                    "handover.state.write.failed",
                    "handover state in " + folder + " not written, the change applies to this process only: "
                            + exception);
            return change.apply(read());
        } finally {
            release(lock);
            if (!executor.getQueue().isEmpty()) {
                // The other process retries every millisecond; without a pause this one would get the lock again first.
                LockSupport.parkNanos(2 * LOCK_RETRY_NANOS);
            }
        }
    }

    /** Acquires a lock that another process holds for the time of a small write; null after a timeout. */
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

    /** Waits up to 5 s after {@link #close} until files are no longer accessed. Returns false on a timeout. */
    public boolean awaitTermination() throws InterruptedException {
        return executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Releases both locks and stops polling. */
    @Override
    public void close() {
        executor.shutdownNow();
        release(servingLock);
        release(successorLock);
    }
}
