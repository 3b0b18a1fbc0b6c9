package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.core.Clock;
import loadbalancer.core.EndReasons;
import loadbalancer.core.Log;

/**
 * Logs when the event loop was late, which delays every response, and why requests and connections ended. Causes are too little CPU, a paused process, or a
 * task that blocks the loop.
 */
final class EventLoopMonitor {
    private static final long PERIOD_MILLIS = 50;
    private static final int PERIODS_PER_REPORT = 200;

    /** Minimum lag that is logged: more than the margin by which responses precede their deadlines. */
    private static final long REPORTED_LAG_MICROS = 15_000;

    private final EventLoop loop;
    private final Clock clock;
    private final List<EndReasons> endReasons;
    private long lastRunMicros;
    private long worstLagMicros;
    private long periods;

    EventLoopMonitor(EventLoop loop, Clock clock, List<EndReasons> endReasons) {
        this.loop = loop;
        this.clock = clock;
        this.endReasons = endReasons;
    }

    void start() {
        lastRunMicros = clock.nowMicros();
        loop.scheduleAtFixedRate(this::measure, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void measure() {
        long nowMicros = clock.nowMicros();
        worstLagMicros = Math.max(worstLagMicros, nowMicros - lastRunMicros - PERIOD_MILLIS * 1000);
        lastRunMicros = nowMicros;
        periods++;
        if (periods % PERIODS_PER_REPORT == 0) {
            report();
            endReasons.forEach(reasons -> reasons.report(PERIODS_PER_REPORT * PERIOD_MILLIS / 1000));
            worstLagMicros = 0;
        }
    }

    private void report() {
        if (worstLagMicros >= REPORTED_LAG_MICROS) {
            long worstLagMillis = worstLagMicros / 1000;
            Log.event(
                    "loop.late",
                    "the event loop was late by up to " + worstLagMillis + " ms in "
                            + PERIODS_PER_REPORT * PERIOD_MILLIS / 1000 + " s",
                    "ms",
                    worstLagMillis);
        }
    }
}
