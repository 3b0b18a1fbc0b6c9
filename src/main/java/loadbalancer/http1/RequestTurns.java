package loadbalancer.http1;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Lets one connection handle its requests in turns of bounded length, so that a client that sends very many does not
 * delay others. Must be used on the event loop only.
 */
final class RequestTurns {
    /** Requests of one connection that are handled before others get their turn. */
    private static final int MAX_HANDLED_AT_ONCE = 32;
    /** Time until the connection's next turn. */
    private static final long TURN_INTERVAL_MICROS = 1_000;
    /** Interval between checks whether all input of a client that sends very fast has been read. */
    private static final long INPUT_RECHECK_MICROS = 10_000;

    private final Channel channel;
    private final Handler handler;
    private boolean running;
    private boolean scheduled;

    RequestTurns(Channel channel, Handler handler) {
        this.channel = channel;
        this.handler = handler;
    }

    /** Handles requests; implemented by the connection. */
    interface Handler {
        /** Whether there is a request that can be handled now. */
        boolean mayHandleNext();

        /** Whether the next request waits until more of its client's input has been read. */
        boolean mustAwaitInput();

        /** Handles the next request. */
        void handleNext();

        /** Called at the end of each turn. */
        void turnEnded();
    }

    /** Takes a turn now, unless one is being taken. */
    void run() {
        if (running) {
            return;
        }
        running = true;
        try {
            handleSome();
        } finally {
            running = false;
        }
        handler.turnEnded();
    }

    private void handleSome() {
        for (int handled = 0; handler.mayHandleNext(); handled++) {
            if (handled == MAX_HANDLED_AT_ONCE) {
                // By a timer, because tasks that are queued meanwhile run before other connections are read.
                schedule(TURN_INTERVAL_MICROS);
                return;
            }
            if (handler.mustAwaitInput()) {
                schedule(INPUT_RECHECK_MICROS);
                return;
            }
            handler.handleNext();
        }
    }

    /** Takes a turn soon. No effect during a turn, which goes on as long as requests can be handled. */
    void scheduleSoon() {
        if (!running) {
            schedule(0);
        }
    }

    private void schedule(long delayMicros) {
        if (scheduled) {
            return;
        }
        scheduled = true;
        Runnable turn = () -> {
            scheduled = false;
            run();
        };
        if (delayMicros == 0) {
            channel.eventLoop().execute(turn);
        } else {
            channel.eventLoop().schedule(turn, delayMicros, TimeUnit.MICROSECONDS);
        }
    }
}
