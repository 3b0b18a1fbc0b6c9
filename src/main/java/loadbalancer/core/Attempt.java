package loadbalancer.core;

import io.netty.buffer.ByteBuf;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;

/**
 * One attempt at a request at one upstream, in any protocol. It ends exactly once and then notifies its
 * {@link Listener}; it may end before {@link #start} returns. All times are {@link Clock} time.
 */
public interface Attempt {
    /** Listens to the progress of an attempt. */
    interface Listener {
        /**
         * Called once, at the end of the attempt.
         *
         * @param report the upstream's load report; null if its response had none
         * @param body   the response body, released after the call; null unless the outcome is {@code OK}
         */
        void onEnd(Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body);

        /** Whether the request still needs this attempt; called before it is written to a new connection. */
        default boolean isWanted() {
            return true;
        }

        /** Time by which the request must be answered; an attempt whose response has begun may take until then. */
        default long responseDeadlineMicros() {
            return 0;
        }

        /** Called when the last byte was written; from now on the upstream may execute the request. */
        default void onWritten(Attempt attempt) {}

        /**
         * Called when the response has begun and can be streamed to the client. Returns true if this attempt alone
         * carries the request from now on, without a deadline; false if it is too late and it must be abandoned.
         */
        default boolean beginStreaming(Attempt attempt) {
            return false;
        }
    }

    /** Creates the attempts of one request. Implemented by the front ends, which know the request's protocol. */
    interface Factory {
        /** Creates an attempt that is abandoned at the deadline. Nothing is sent before {@link Attempt#start}. */
        Attempt create(String upstream, long deadlineMicros, Listener listener);
    }

    /**
     * Sets the time from which on nothing may be sent, even if the connection opens only then, because the upstreams'
     * idempotency window may have passed. Called before the start.
     */
    void sendBefore(long limitMicros);

    /** Id of the upstream. */
    String upstream();

    /** Time of the start; 0 before it. */
    long sentMicros();

    /** Whether the attempt has ended and its listener was notified. */
    boolean hasEnded();

    /** Time at which the last byte was written, after which the request may be executed; 0 until then. */
    long writtenMicros();

    /** Whether the attempt needed a new connection. */
    boolean openedConnection();

    /** Whether the connection was refused, so that an upstream which listens there later must have been restarted. */
    default boolean isConnectionRefused() {
        return false;
    }

    /** Sends the attempt on an idle or a new connection. Called at most once. */
    void start();

    /** Ends the attempt with {@code NOT_SENT}; called instead of {@link #start}. */
    void drop();

    /** Ends the attempt with {@code NOT_SENT} if nothing of it has been written yet; otherwise has no effect. */
    void cancelIfUnsent();

    /** Abandons the attempt, without stopping an execution at the upstream. No effect if it has ended. */
    void cancel();
}
