package loadbalancer.core;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Stops a front end without losing calls that its clients have sent: it serves on while clients may still connect, then
 * closes the listener once none has connected for a while, and connections as they become idle. Must be used on the
 * event loop only.
 */
public final class GracefulStop {
    /** A connection that was active within this time may have a request in transit and is not closed. */
    public static final long QUIET_PERIOD_MICROS = 150_000;
    /** Time after a stop request during which clients may still open connections. */
    public static final long GRACE_MICROS = 600_000;

    /**
     * Time beyond {@link #GRACE_MICROS} after which the listener is closed even if connections still arrive, because a
     * client that still opens connections does not know of the stop.
     */
    private static final long MAX_LISTEN_OVERRUN_MICROS = 1_000_000;

    private static final long CHECK_MILLIS = 20;

    private final EventLoop loop;
    private final Clock clock;
    private final Connections connections;
    private final ShutdownDeadline deadline = new ShutdownDeadline();
    /** Null until the front end listens. */
    private DrainingListener listener;

    private long lastAcceptMicros;
    /** Time until which new connections are expected; 0 before the start. */
    private long graceEndMicros;

    /** Creates a stop that has not begun. */
    public GracefulStop(EventLoop loop, Clock clock, Connections connections) {
        this.loop = loop;
        this.clock = clock;
        this.connections = connections;
    }

    /** The connections of a front end's clients. */
    public interface Connections {
        /** Whether none is open. */
        boolean isEmpty();

        /** Closes those that no call needs any more. Called again and again once the grace time is over. */
        void closeIdle(long nowMicros);
    }

    /** Sets the listen socket that the stop closes. */
    public void listenerOpened(DrainingListener opened) {
        listener = opened;
    }

    /** Records that a client has connected. */
    public void connectionAccepted() {
        lastAcceptMicros = clock.nowMicros();
    }

    /**
     * Begins; {@code onStopped} runs when the listener and all connections are closed.
     *
     * @param longestDeadlineMicros longest deadline of a request
     */
    public void start(long longestDeadlineMicros, Runnable onStopped) {
        graceEndMicros = clock.nowMicros() + GRACE_MICROS;
        deadline.begin(clock.nowMicros(), longestDeadlineMicros);
        proceed(onStopped);
    }

    /** The latest time for responses, which is unlimited before the start. */
    public ShutdownDeadline deadline() {
        return deadline;
    }

    /** Whether the stop has begun. */
    public boolean isStarted() {
        return graceEndMicros > 0;
    }

    private void proceed(Runnable onStopped) {
        long nowMicros = clock.nowMicros();
        if (nowMicros >= graceEndMicros) {
            if (isListening() && mayCloseListener(nowMicros)) {
                listener.drainAndClose();
            }
            connections.closeIdle(nowMicros);
            if (connections.isEmpty() && !isListening()) {
                onStopped.run();
                return;
            }
        }
        loop.schedule(() -> proceed(onStopped), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean isListening() {
        return listener != null && listener.isOpen();
    }

    /** Closing the listener resets clients that are connecting, so none may have connected for a while. */
    private boolean mayCloseListener(long nowMicros) {
        return nowMicros - lastAcceptMicros >= QUIET_PERIOD_MICROS
                || nowMicros >= graceEndMicros + MAX_LISTEN_OVERRUN_MICROS;
    }
}
