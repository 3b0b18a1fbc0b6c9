package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Plays days beside each other, each on one thread; they come back in their order, whoever was done first. */
public final class Runner implements AutoCloseable {
    private final ExecutorService threads;
    private volatile boolean stopped;

    /** @param jobs days at the same time */
    public Runner(int jobs) {
        threads = Executors.newFixedThreadPool(jobs, task -> {
            Thread t = new Thread(task, "lab");
            t.setDaemon(true);
            return t;
        });
    }

    /** Days that are done are kept, those that are being played are broken off, the rest is not begun. Any thread. */
    public void stop() {
        stopped = true;
        threads.shutdownNow();
    }

    public boolean stopped() {
        return stopped;
    }

    /** {@code done} is told each result in its order, as soon as those before it are there. Fewer come back once stopped. */
    public <T> List<T> play(List<Callable<T>> days, Consumer<T> done) throws InterruptedException {
        List<Future<T>> running = new ArrayList<>();
        List<T> results = new ArrayList<>();
        synchronized (this) {
            for (Callable<T> d : days) {
                if (!stopped) {
                    running.add(threads.submit(d));
                }
            }
        }
        for (Future<T> f : running) {
            try {
                if (stopped && !f.isDone()) {
                    break;
                }
                T result = f.get();
                results.add(result);
                done.accept(result);
            } catch (ExecutionException exception) {
                if (exception.getCause() instanceof RunStoppedException) {
                    break;
                }
                throw exception.getCause() instanceof RuntimeException r
                        ? r
                        : new IllegalStateException(exception.getCause());
            } catch (CancellationException exception) {
                break;
            }
        }
        return results;
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
