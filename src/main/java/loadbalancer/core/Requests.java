package loadbalancer.core;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.metrics.Metrics;
import loadbalancer.metrics.Metrics.RequestOutcome;
import loadbalancer.trace.Trace.RequestResult;
import loadbalancer.trace.Tracer;

/**
 * The requests in flight. Each is given to the balancer, carried through the attempts that the balancer decides on, and
 * answered exactly once. Event loop only.
 */
public final class Requests {
    /** The balancer answers at the deadline, when attempts time out; a request still open so much later is failed here. */
    private static final long OVERDUE_MICROS = 2_000;
    /** A client that has waited for so long may have left unseen: its connection is checked before anything more is sent. */
    private static final long CLIENT_CHECK_MICROS = 100_000;

    private final Timers timers;
    private final Clock clock;
    private final BalancerDispatcher dispatcher;
    private final AttemptListener attemptListener;
    private final Metrics metrics;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    /** For requests that are admitted from now on. */
    private int maxAttempts;
    /** Null where requests are not traced. */
    private Tracer tracer;
    /** Null where requests are not traced. */
    private LoopLatency latency;

    /** No requests yet; each admitted one may have up to {@code maxAttempts} attempts. */
    public Requests(
            Timers timers,
            Clock clock,
            BalancerDispatcher dispatcher,
            int maxAttempts,
            AttemptListener attemptListener,
            Metrics metrics) {
        this.timers = timers;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.maxAttempts = maxAttempts;
        this.attemptListener = attemptListener;
        this.metrics = metrics;
    }

    /** Is notified of each attempt, when it is made and when it has ended. */
    public interface AttemptListener {
        /** The attempt was made; it is not started yet. */
        void attemptStarted(Request request, Attempt attempt);

        /** The attempt ended; {@code report} is the upstream's load report, null where its response carried none. */
        void attemptEnded(Request request, Attempt attempt, Outcome outcome, LoadReport report);
    }

    /**
     * Traces requests that are admitted from now on with {@code newTracer}, or none where it is null. {@code
     * latencyConsumer} gets the latency measure that the event loop is to feed, or null.
     */
    public void setTracer(Tracer newTracer, Consumer<LoopLatency> latencyConsumer) {
        tracer = newTracer;
        latency = newTracer == null ? null : new LoopLatency();
        latencyConsumer.accept(latency);
    }

    /** The measure of the loop's latency; null where requests are not traced. */
    public LoopLatency latency() {
        return latency;
    }

    /** Notes that data which was read is being handled. */
    public void eventHandled() {
        if (latency != null) {
            latency.eventHandled(System.nanoTime());
        }
    }

    /** Upper bound on the time for which a request that is being read may have waited unread, in microseconds. */
    public long maxUnreadMicros() {
        return latency == null ? 0 : latency.maxUnreadNanos(System.nanoTime()) / 1_000;
    }

    /** For the front ends, which know their clients' trace context; null where requests are not traced. */
    public Tracer tracer() {
        return tracer;
    }

    /** Number of requests that are not answered yet or have an open attempt. */
    public int inFlight() {
        return exchanges.size();
    }

    /** Whether a request of this id is in flight. */
    public boolean contains(String id) {
        return exchanges.containsKey(id);
    }

    /** Sets the attempts that a request may have, for requests that are admitted from now on. */
    public void setMaxAttempts(int maxAttemptsPerRequest) {
        maxAttempts = maxAttemptsPerRequest;
    }

    /** For the front ends, which answer some requests without admitting them. */
    public Metrics metrics() {
        return metrics;
    }

    /** Admits a request whose id is not in flight; the balancer decides about it, perhaps before this returns. */
    public void admit(Exchange exchange) {
        metrics.requestAdmitted();
        exchange.maxAttempts = maxAttempts;
        exchange.acceptedMicros = clock.nowMicros();
        exchanges.put(exchange.request().id(), exchange);
        exchange.overdueTimer = timers.schedule(
                exchange.deadlineMicros + OVERDUE_MICROS - clock.nowMicros(), () -> failOverdue(exchange));
        dispatcher.call(balancer -> balancer.onRequest(clock.nowMicros(), exchange.request()), () -> fail(exchange));
    }

    /** The last byte of its body has come after its admission: its time runs from there. */
    public void bodyComplete(Exchange exchange, long deadlineMicros) {
        if (!exchange.answered) {
            exchange.deadlineMicros = deadlineMicros;
            exchange.overdueTimer.cancel();
            exchange.overdueTimer =
                    timers.schedule(deadlineMicros + OVERDUE_MICROS - clock.nowMicros(), () -> failOverdue(exchange));
        }
    }

    /** The client has left: there is no response, no further attempt, and open attempts end by themselves. */
    public void clientLeft(Exchange exchange) {
        endWithoutResponse(exchange, RequestResult.LEFT);
    }

    /** The front end itself has responded that the request failed. */
    public void failedByFrontEnd(Exchange exchange) {
        endWithoutResponse(exchange, RequestResult.FAILED);
    }

    private void endWithoutResponse(Exchange exchange, RequestResult ending) {
        if (!exchange.answered) {
            finish(exchange, ending, 0);
            notifyExpired(exchange);
            withdrawAttempts(exchange);
        }
    }

    /** An attempt that waits for its connection must not be written once its request is answered. */
    private void withdrawAttempts(Exchange exchange) {
        for (Attempt attempt : List.copyOf(exchange.attempts())) {
            if (!attempt.hasEnded()) {
                attempt.cancelIfUnsent();
            }
        }
    }

    private void failOverdue(Exchange exchange) {
        if (!exchange.answered) {
            fail(exchange);
            notifyExpired(exchange);
        }
    }

    private void notifyExpired(Exchange exchange) {
        dispatcher.call(
                balancer ->
                        balancer.onExpired(clock.nowMicros(), exchange.request().id()),
                () -> {});
    }

    /** After the balancer failed it may have forgotten requests without an open attempt: fails all of these. */
    public void failRequestsWithoutOpenAttempt() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (exchange.hasNoOpenAttempt()) {
                failOverdue(exchange);
            }
        }
    }

    /** Sends an attempt to an upstream, to be abandoned at {@code untilMicros} or, with 0, at the deadline. No effect for an unknown id. */
    public void send(String id, String upstream, long untilMicros) {
        Exchange exchange = exchanges.get(id);
        if (exchange == null) {
            return;
        }
        int number = exchange.attempts().size();
        long giveUpMicros = untilMicros <= 0 ? exchange.deadlineMicros : Math.min(untilMicros, exchange.deadlineMicros);
        if (exchange.trace() != null) {
            exchange.trace().attemptStarted(upstream);
        }
        boolean moot = number >= exchange.maxAttempts || giveUpMicros <= clock.nowMicros() || !isWanted(exchange);
        Attempt attempt =
                exchange.attemptFactory().create(upstream, giveUpMicros, new AttemptProgress(exchange, number));
        attempt.sendBefore(exchange.sendBeforeMicros());
        exchange.attempts().add(attempt);
        attemptListener.attemptStarted(exchange.request(), attempt);
        if (moot) {
            attempt.drop();
        } else {
            attempt.start();
        }
    }

    private boolean isWanted(Exchange exchange) {
        if (!exchange.answered
                && clock.nowMicros() - exchange.acceptedMicros >= CLIENT_CHECK_MICROS
                && exchange.responder().isClientGone()) {
            clientLeft(exchange);
        }
        return !exchange.answered;
    }

    private void attemptEnded(
            Exchange exchange, int number, Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body) {
        eventHandled();
        if (outcome.mayHaveRun && attempt.writtenMicros() > 0) {
            exchange.mayHaveRunMicros = Math.min(exchange.mayHaveRunMicros, attempt.writtenMicros());
        }
        if (exchange.trace() != null) {
            exchange.trace().attemptEnded(number, outcome, attempt.writtenMicros(), attempt.openedConnection(), report);
        }
        if (exchange.streamingAttempt == attempt && !exchange.answered) {
            // The end of the stream was the response.
            finish(exchange, outcome == Outcome.OK ? RequestResult.SERVED : RequestResult.FAILED, 0);
        } else if (outcome == Outcome.OK && !exchange.answered) {
            finish(exchange, RequestResult.SERVED, 0);
            exchange.responder().serve(body.retain());
            withdrawAttempts(exchange);
        }
        attemptListener.attemptEnded(exchange.request(), attempt, outcome, report);
        removeIfSettled(exchange);
        long nowMicros = clock.nowMicros();
        dispatcher.call(
                balancer -> balancer.onOutcome(
                        nowMicros,
                        exchange.request().id(),
                        number,
                        attempt.upstream(),
                        outcome,
                        nowMicros - attempt.sentMicros(),
                        exchange.answered,
                        report),
                () -> failIfNoOpenAttempt(exchange));
    }

    private boolean beginStreaming(Exchange exchange, int number, Attempt attempt) {
        if (exchange.answered || exchange.streamingAttempt != null) {
            return false;
        }
        exchange.streamingAttempt = attempt;
        if (exchange.trace() != null) {
            exchange.trace().attemptStreaming(number);
        }
        exchange.overdueTimer.cancel();
        long nowMicros = clock.nowMicros();
        dispatcher.call(
                balancer -> balancer.onStreamStart(
                        nowMicros,
                        exchange.request().id(),
                        number,
                        attempt.upstream(),
                        nowMicros - attempt.sentMicros()),
                () -> {});
        for (Attempt other : List.copyOf(exchange.attempts())) {
            if (other != attempt) {
                other.cancel();
            }
        }
        return true;
    }

    private void failIfNoOpenAttempt(Exchange exchange) {
        if (exchange.hasNoOpenAttempt()) {
            fail(exchange);
        }
    }

    /** Answers that the request was rejected, with a Retry-After in microseconds, 0 for none. No effect once it is answered. */
    public void reject(String id, long retryAfterMicros) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.answered) {
            finish(exchange, RequestResult.REFUSED, retryAfterMicros);
            exchange.responder().reject(retryAfterMicros);
            withdrawAttempts(exchange);
        }
    }

    /** Answers that the request failed. No effect once it is answered. */
    public void fail(String id) {
        if (exchanges.containsKey(id)) {
            fail(exchanges.get(id));
        }
    }

    private void fail(Exchange exchange) {
        if (!exchange.answered) {
            finish(exchange, RequestResult.FAILED, 0);
            exchange.responder().fail();
            withdrawAttempts(exchange);
        }
    }

    /** Abandons an attempt, which is numbered from 0. No effect once it has ended. */
    public void cancel(String id, int attempt) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && attempt >= 0 && attempt < exchange.attempts().size()) {
            if (exchange.trace() != null) {
                exchange.trace().attemptCancelled(attempt);
            }
            exchange.attempts().get(attempt).cancel();
        }
    }

    private void finish(Exchange exchange, RequestResult ending, long retryAfterMicros) {
        exchange.answered = true;
        metrics.requestCompleted(
                exchange.request().requestClass(),
                switch (ending) {
                    case SERVED -> RequestOutcome.SERVED;
                    case REFUSED -> RequestOutcome.REJECTED;
                    case FAILED -> RequestOutcome.FAILED;
                    case LEFT -> RequestOutcome.CANCELLED;
                });
        if (exchange.trace() != null) {
            exchange.trace().answered(ending, retryAfterMicros);
        }
        exchange.overdueTimer.cancel();
        removeIfSettled(exchange);
    }

    private void removeIfSettled(Exchange exchange) {
        if (exchange.isSettled()) {
            exchanges.remove(exchange.request().id());
            if (exchange.trace() != null) {
                exchange.trace().settled();
            }
        }
    }

    /** Follows one attempt of an exchange. */
    private final class AttemptProgress implements Attempt.Listener {
        private final Exchange exchange;
        private final int number;

        AttemptProgress(Exchange exchange, int number) {
            this.exchange = exchange;
            this.number = number;
        }

        @Override
        public void onEnd(Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body) {
            attemptEnded(exchange, number, attempt, outcome, report, body);
        }

        @Override
        public boolean isWanted() {
            return Requests.this.isWanted(exchange);
        }

        @Override
        public void onWritten(Attempt attempt) {
            metrics.attemptSent();
        }

        @Override
        public boolean beginStreaming(Attempt attempt) {
            return Requests.this.beginStreaming(exchange, number, attempt);
        }
    }
}
