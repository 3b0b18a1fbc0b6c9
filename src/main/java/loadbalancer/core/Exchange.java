package loadbalancer.core;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.trace.Trace;

/**
 * One request in flight, from its admission until it has been answered and its last attempt has ended. {@link Requests}
 * owns the state. Times are {@link Clock} time.
 */
public final class Exchange {
    /** Time by which the response must be sent. */
    long deadlineMicros;
    /** Fails the request if it is still open a little after the deadline. */
    Timers.Timer overdueTimer;
    /** Limit on the number of attempts. */
    int maxAttempts;
    /** Whether the response is decided or no client waits for it any more. */
    boolean answered;
    /** Write time of the first ended attempt that may have been executed; {@code MAX_VALUE} if there is none. */
    long mayHaveRunMicros = Long.MAX_VALUE;
    /** The attempt whose response is streamed to the client; null if there is none. */
    Attempt streamingAttempt;

    /** Outcome of the attempt that ended last; null before one has ended. */
    Outcome lastOutcome;

    private final Request request;
    private final Attempt.Factory attemptFactory;
    private final Responder responder;
    /** Null if requests are not traced. */
    private final Trace trace;

    private final List<Attempt> attempts = new ArrayList<>(1);

    /** Creates an exchange that is not admitted yet; {@code trace} is null if requests are not traced. */
    public Exchange(
            Request request, long deadlineMicros, Attempt.Factory attemptFactory, Responder responder, Trace trace) {
        this.request = request;
        this.deadlineMicros = deadlineMicros;
        this.attemptFactory = attemptFactory;
        this.responder = responder;
        this.trace = trace;
    }

    /**
     * Responds to the client. One of the first three methods is called once; none is called if the response is
     * streamed, if the front end itself has responded with an error, or if the client has disconnected.
     */
    public interface Responder {
        /** Responds with the upstream's body and takes ownership of it. */
        void serve(ByteBuf body);

        /** Responds that the request was rejected, unexecuted; {@code retryAfterMicros} is 0 for no Retry-After. */
        void reject(long retryAfterMicros);

        /** Responds that the request failed. */
        void fail();

        /** Time at which the client was last known to be connected. */
        default long clientSeenMicros() {
            return Long.MAX_VALUE;
        }

        /** Whether the client is connected, after another read, as its end may be unread. */
        default ClientPresence clientPresence() {
            return ClientPresence.CONNECTED;
        }
    }

    /** The request as the balancer gets it. */
    public Request request() {
        return request;
    }

    Attempt.Factory attemptFactory() {
        return attemptFactory;
    }

    Responder responder() {
        return responder;
    }

    Trace trace() {
        return trace;
    }

    /** All attempts so far, indexed by the balancer's attempt number. */
    List<Attempt> attempts() {
        return attempts;
    }

    /**
     * End of the idempotency window, counted from the first attempt that may have been executed; {@code MAX_VALUE} if
     * there is no such attempt or window.
     */
    long sendBeforeMicros() {
        RequestClass requestClass = request.classAtAdmission();
        if (requestClass == null || requestClass.idempotency() != Idempotency.WITH_KEY) {
            return Long.MAX_VALUE;
        }
        long earliestMicros = mayHaveRunMicros;
        for (Attempt attempt : attempts) {
            if (!attempt.hasEnded() && attempt.writtenMicros() != 0) {
                earliestMicros = Math.min(earliestMicros, attempt.writtenMicros());
            }
        }
        return earliestMicros == Long.MAX_VALUE
                ? earliestMicros
                : earliestMicros + requestClass.idempotencyWindowMicros();
    }

    /** Whether the request is answered and has no open attempt, after which its state is final. */
    boolean isSettled() {
        return answered && hasNoOpenAttempt();
    }

    boolean hasNoOpenAttempt() {
        for (Attempt attempt : attempts) {
            if (!attempt.hasEnded()) {
                return false;
            }
        }
        return true;
    }
}
