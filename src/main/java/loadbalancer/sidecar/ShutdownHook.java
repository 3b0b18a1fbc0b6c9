package loadbalancer.sidecar;

import java.util.concurrent.CountDownLatch;

/**
 * Graceful shutdown on SIGTERM, with exit code 0. Registered before anything else, because an unhandled SIGTERM ends
 * the process with code 143. Before the sidecar exists the process exits at once; during the start it first waits until
 * the start is complete. Then the sidecar serves on while clients may still connect, and answers all requests in flight
 * before the process exits.
 */
final class ShutdownHook {
    private final Thread hook = new Thread(this::stopGracefully, "ending");
    private final CountDownLatch sidecarStarted = new CountDownLatch(1);
    private Sidecar sidecar;

    ShutdownHook() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Called before the start; the sidecar may take requests from now on. */
    synchronized void sidecarStarting(Sidecar starting) {
        sidecar = starting;
    }

    void sidecarStarted() {
        sidecarStarted.countDown();
    }

    /**
     * Called when the start has failed. The process ends with this exit code even if a signal arrives, as no requests
     * are in flight.
     */
    int startFailed(int code) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException exception) {
            // Shutdown is in progress: the hook runs and waits for the start.
            Runtime.getRuntime().halt(code);
        }
        return code;
    }

    private void stopGracefully() {
        Sidecar serving;
        synchronized (this) {
            serving = sidecar;
            if (serving == null) {
                Runtime.getRuntime().halt(0);
                return;
            }
        }
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            sidecarStarted.await();
            serving.stop(stopped::countDown);
            stopped.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        // A completed shutdown is a success, whichever signal requested it.
        Runtime.getRuntime().halt(0);
    }
}
