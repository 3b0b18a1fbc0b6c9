package loadbalancer.core;

import io.netty.buffer.ByteBuf;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;

/**
 * One attempt at a request at one upstream, in whatever protocol that upstream speaks. It ends exactly once and then
 * notifies its {@link Listener}; starting it may end it before {@link #start} returns. All times are {@link Clock} time.
 */
public interface Attempt {
    /** Is notified of an attempt's progress. */
    interface Listener {
        /**
         * Called once, at the attempt's end.
         *
         * @param report the upstream's load report; null where its response carried none
         * @param body   the response body, with {@code OK} only and released after the call; else null
         */
        void onEnd(Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body);

        /** Whether the request still waits for this attempt; asked before its first byte is written to a new connection. */
        default boolean isWanted() {
            return true;
        }

        /** The last byte was written: from now on the upstream may execute the request. */
        default void onWritten(Attempt attempt) {}

        /**
         * The response has begun and can be streamed to the client. True: from now on the request belongs to this
         * attempt alone, to its end, and no deadline applies. False: it is too late, and the attempt must be abandoned.
         */
        default boolean beginStreaming(Attempt attempt) {
            return false;
        }
    }

    /** Creates the attempts of one request; supplied by the front end, which knows the request's protocol. */
    interface Factory {
        /** Creates an attempt that is abandoned at {@code untilMicros}. Nothing is sent before {@link Attempt#start}. */
        Attempt create(String upstream, long untilMicros, Listener listener);
    }

    /**
     * Forbids sending at this time or later, however long the connection takes to open: the upstreams' idempotency
     * window may have passed by then. Called before the start.
     */
    void sendBefore(long limitMicros);

    /** Id of the upstream. */
    String upstream();

    /** Time of the start; 0 before it. */
    long sentMicros();

    /** Whether the listener has been notified of its end. */
    boolean hasEnded();

    /** Time at which the last byte was written, from when on it may be executed; 0 before it. */
    long writtenMicros();

    /** Whether it had to wait for a new connection. */
    boolean openedConnection();

    /** Whether nobody listened at the upstream's address: an upstream that listens there later has started since. */
    default boolean isConnectionRefused() {
        return false;
    }

    /** Sends it on an idle connection, or on a new one. Called at most once. */
    void start();

    /** Ends it with {@code NOT_SENT} in place of a start. */
    void drop();

    /** Ends it with {@code NOT_SENT} where nothing of it has been written yet; leaves it alone otherwise. */
    void cancelIfUnsent();

    /** Abandons it; an execution that may have begun goes on. No effect once it has ended. */
    void cancel();
}
