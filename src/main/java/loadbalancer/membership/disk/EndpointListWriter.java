package loadbalancer.membership.disk;

import java.io.IOException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.membership.EndpointList;

/**
 * Writes endpoint lists to an {@link EndpointListStore} on its own thread, at a limited rate. Any thread may submit
 * lists; only the newest one is kept until it is written. Of consecutive failed writes only the first is logged, and
 * then the next success.
 */
public final class EndpointListWriter implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final EndpointListStore store;
    private final WriteRateLimiter rateLimiter;
    private final LongSupplier clockMicros;
    private final Consumer<String> log;
    private final ScheduledThreadPoolExecutor executor;
    private final AtomicReference<EndpointList> pending = new AtomicReference<>();
    /** Whether the last write failed. Only the writer's thread accesses it. */
    private boolean failing;

    /**
     * Creates a writer that owns {@code store} and closes it.
     *
     * @param clockMicros any time in microseconds that moves forward
     * @param log         receives one message when writes begin to fail and one when they succeed again, on the
     *                    writer's thread
     */
    public EndpointListWriter(
            EndpointListStore store, int maxWritesPerMinute, LongSupplier clockMicros, Consumer<String> log) {
        this.store = store;
        this.clockMicros = clockMicros;
        this.log = log;
        rateLimiter = new WriteRateLimiter(maxWritesPerMinute, clockMicros.getAsLong());
        executor = new ScheduledThreadPoolExecutor(1, EndpointListWriter::newThread);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "endpoint-list-writer");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Schedules {@code list} to be written as soon as the rate allows, unless a newer one is submitted before. Does not
     * block.
     */
    public void submit(EndpointList list) {
        if (pending.getAndSet(list) == null && !executor.isShutdown()) {
            executor.execute(this::writeWhenAllowed);
        }
    }

    private void writeWhenAllowed() {
        long waitMicros = rateLimiter.acquireOrWaitMicros(clockMicros.getAsLong());
        if (waitMicros > 0) {
            executor.schedule(this::writeWhenAllowed, waitMicros, TimeUnit.MICROSECONDS);
        } else {
            writePending();
        }
    }

    private void writePending() {
        EndpointList list = pending.getAndSet(null);
        if (list == null) {
            return;
        }
        try {
            store.write(list);
            if (failing) {
                log.accept("the endpoint list can be written to disk again");
            }
            failing = false;
        } catch (IOException | RuntimeException exception) {
            // Requests are served without the disk, so no exception of a write may end this thread.
            if (!failing) {
                log.accept("the endpoint list can't be written to disk, requests are still served: "
                        + EndpointListStore.describe(exception));
            }
            failing = true;
        }
    }

    /** Writes the pending list, waiting for at most a second, and closes the store. */
    @Override
    public void close() {
        try {
            executor.execute(this::writePending);
            executor.shutdown();
            executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            executor.shutdownNow();
            closeStore();
        }
    }

    private void closeStore() {
        try {
            store.close();
        } catch (IOException exception) {
            log.accept("the folder of the endpoint list can't be unlocked: " + EndpointListStore.describe(exception));
        }
    }
}
