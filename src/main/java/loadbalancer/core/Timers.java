package loadbalancer.core;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on a sidecar's single thread: its event loop, or the simulation's in virtual time. */
public interface Timers {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; no effect if it has run. */
        void cancel();
    }

    /** Runs the task after the delay. With a delay of 0 or less it runs soon, but never within this call. */
    Timer schedule(long delayMicros, Runnable task);

    /** Timers that run on {@code loop}. */
    static Timers onEventLoop(EventLoop loop) {
        return (delayMicros, task) -> {
            Future<?> future = loop.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
            return () -> future.cancel(false);
        };
    }
}
