package loadbalancer.core;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.core.EndReasons.Subject;
import loadbalancer.metrics.Metrics;
import loadbalancer.metrics.Metrics.RequestOutcome;
import loadbalancer.trace.Trace.RequestResult;
import loadbalancer.trace.Tracer;

/**
 * The requests in flight. Each is passed to the balancer, forwarded in the attempts that the balancer decides on, and
 * answered exactly once. Must be used on the event loop only.
 */
public final class Requests {
    /**
     * Time after the deadline at which an unanswered request fails. The balancer normally answers at the deadline, when
     * the attempts time out.
     */
    private static final long OVERDUE_MICROS = 2_000;
    /** Time after which the client's connection is checked for a disconnect before an attempt is sent. */
    public static final long CLIENT_CHECK_MICROS = 100_000;

    private final Timers timers;
    private final Clock clock;
    private final BalancerDispatcher dispatcher;
    private final AttemptListener attemptListener;
    private final Metrics metrics;
    private final EndReasons endReasons = new EndReasons();
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final ExecutedRequests executedRequests = new ExecutedRequests();
    /** Limit on attempts for each request that is admitted from now on. */
    private int maxAttempts;
    /** Null if requests are not traced. */
    private Tracer tracer;
    /** Null if requests are not traced. */
    private LoopLatency latency;

    /** Starts without requests; each admitted request may have up to {@code maxAttempts} attempts. */
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

    /** Listens to the creation and the end of each attempt. */
    public interface AttemptListener {
        /** Called when the attempt was created, before it is started or dropped. */
        void attemptStarted(Request request, Attempt attempt);

        /** Called when the attempt has ended; {@code report} is null if the response had no load report. */
        void attemptEnded(Request request, Attempt attempt, Outcome outcome, LoadReport report);
    }

    /**
     * Sets the tracer of requests that are admitted from now on; null ends tracing. {@code latencyConsumer} receives
     * the latency measure that the event loop has to update, or null.
     */
    public void setTracer(Tracer newTracer, Consumer<LoopLatency> latencyConsumer) {
        tracer = newTracer;
        latency = newTracer == null ? null : new LoopLatency();
        latencyConsumer.accept(latency);
    }

    /** The measure of the event loop's latency; null if requests are not traced. */
    public LoopLatency latency() {
        return latency;
    }

    /** Records that the event loop handles an event, for the latency measure. */
    public void eventHandled() {
        if (latency != null) {
            latency.eventHandled(System.nanoTime());
        }
    }

    /** Upper bound on the time for which data that is read now was in the kernel's buffer, in microseconds. */
    public long maxUnreadMicros() {
        return latency == null ? 0 : latency.maxUnreadNanos(System.nanoTime()) / 1_000;
    }

    /** The tracer, for front ends, which know the trace context of their clients; null if requests are not traced. */
    public Tracer tracer() {
        return tracer;
    }

    /** Shares ids that may have been executed with another process of this sidecar from now on. */
    public void shareExecutions(SharedExecutions executions) {
        executedRequests.share(executions);
    }

    /** Number of requests that are unanswered or have an open attempt. */
    public int inFlight() {
        return exchanges.size();
    }

    /** Whether a request with this id is in flight. */
    public boolean contains(String id) {
        return exchanges.containsKey(id);
    }

    /** Sets the limit on attempts of each request that is admitted from now on. */
    public void setMaxAttempts(int maxAttemptsPerRequest) {
        maxAttempts = maxAttemptsPerRequest;
    }

    /** Why requests, attempts and connections ended, for the log. */
    public EndReasons endReasons() {
        return endReasons;
    }

    /** The metrics, for front ends, which answer some requests without admitting them. */
    public Metrics metrics() {
        return metrics;
    }

    /** Admits a request whose id is not in flight. The balancer may decide on it before this method returns. */
    public void admit(Exchange exchange) {
        metrics.requestAdmitted();
        exchange.maxAttempts = maxAttempts;
        exchanges.put(exchange.request().id(), exchange);
        exchange.overdueTimer = timers.schedule(
                exchange.deadlineMicros + OVERDUE_MICROS - clock.nowMicros(), () -> deadlinePassed(exchange));
        String id = exchange.request().id();
        switch (executedRequests.repetition(id, exchange.request().classAtAdmission(), clock.nowMicros())) {
            case FORBIDDEN:
                fail(exchange, "the id may have run before");
                return;
            case DISCARDED_BY_UPSTREAMS:
                exchange.mayHaveRunMicros = executedRequests.sinceMicros(id);
                break;
            default:
                break;
        }
        dispatcher.call(
                balancer -> balancer.onRequest(clock.nowMicros(), exchange.request()),
                () -> fail(exchange, "balancer failed"));
    }

    /**
     * Sets the new deadline of a request whose body became complete after its admission, since the time for the
     * response counts from the last byte of the body.
     */
    public void bodyComplete(Exchange exchange, long deadlineMicros) {
        if (!exchange.answered) {
            exchange.deadlineMicros = deadlineMicros;
            exchange.overdueTimer.cancel();
            exchange.overdueTimer = timers.schedule(
                    deadlineMicros + OVERDUE_MICROS - clock.nowMicros(), () -> deadlinePassed(exchange));
        }
    }

    /** Ends a request whose client has disconnected: no response, no new attempts; attempts already sent run on. */
    public void clientLeft(Exchange exchange) {
        if (!exchange.answered) {
            endReasons.record(
                    Subject.REQUEST_ABANDONED,
                    describeLastAttempt(exchange),
                    exchange.request().id());
        }
        endWithoutResponse(exchange, RequestResult.LEFT);
    }

    /** Ends a request to which the front end itself has responded with an error. */
    public void failedByFrontEnd(Exchange exchange) {
        endWithoutResponse(exchange, RequestResult.FAILED);
    }

    /** Rejects a request of which nothing can have run, for a reason that only the front end knows. */
    public void rejectedByFrontEnd(Exchange exchange, String reason) {
        if (!exchange.answered) {
            endReasons.record(
                    Subject.REQUEST_REJECTED, reason, exchange.request().id());
            finish(exchange, RequestResult.REFUSED, 0);
            exchange.responder().reject(0);
            notifyExpired(exchange);
            cancelUnsentAttempts(exchange);
        }
    }

    private void endWithoutResponse(Exchange exchange, RequestResult result) {
        if (!exchange.answered) {
            finish(exchange, result, 0);
            notifyExpired(exchange);
            cancelUnsentAttempts(exchange);
        }
    }

    /** Cancels attempts that still wait for a connection, as nothing must be sent for an answered request. */
    private void cancelUnsentAttempts(Exchange exchange) {
        for (Attempt attempt : List.copyOf(exchange.attempts())) {
            if (!attempt.hasEnded()) {
                attempt.cancelIfUnsent();
            }
        }
    }

    /** Fails a request whose deadline has passed, by the clock or by what the front end knows of its client. */
    public void deadlinePassed(Exchange exchange) {
        if (!exchange.answered) {
            fail(exchange, "deadline passed");
            notifyExpired(exchange);
        }
    }

    private void notifyExpired(Exchange exchange) {
        dispatcher.call(
                balancer ->
                        balancer.onExpired(clock.nowMicros(), exchange.request().id()),
                () -> {});
    }

    /** Fails all requests without an open attempt. Called after a defect of the balancer, which may have lost them. */
    public void failRequestsWithoutOpenAttempt() {
        for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (exchange.hasNoOpenAttempt()) {
                deadlinePassed(exchange);
            }
        }
    }

    /**
     * Sends an attempt to an upstream. It is abandoned at {@code untilMicros}, or at the request's deadline if
     * {@code untilMicros} is 0 or later than that. No effect if the request is not in flight.
     */
    public void send(String id, String upstream, long untilMicros) {
        Exchange exchange = exchanges.get(id);
        if (exchange == null) {
            return;
        }
        int attemptNumber = exchange.attempts().size();
        long attemptDeadlineMicros =
                untilMicros <= 0 ? exchange.deadlineMicros : Math.min(untilMicros, exchange.deadlineMicros);
        if (exchange.trace() != null) {
            exchange.trace().attemptStarted(upstream);
        }
        boolean dropped = attemptNumber >= exchange.maxAttempts
                || attemptDeadlineMicros <= clock.nowMicros()
                || !isWanted(exchange);
        Attempt attempt = exchange.attemptFactory()
                .create(upstream, attemptDeadlineMicros, new AttemptObserver(exchange, attemptNumber));
        attempt.sendBefore(exchange.sendBeforeMicros());
        if (attemptNumber > 0) {
            endReasons.record(Subject.ATTEMPT_RETRIED, describeLastAttempt(exchange), id);
        }
        exchange.attempts().add(attempt);
        attemptListener.attemptStarted(exchange.request(), attempt);
        if (dropped) {
            attempt.drop();
        } else {
            attempt.start();
        }
    }

    private boolean isWanted(Exchange exchange) {
        if (exchange.answered || clock.nowMicros() - exchange.responder().clientSeenMicros() < CLIENT_CHECK_MICROS) {
            return !exchange.answered;
        }
        ClientPresence presence = exchange.responder().clientPresence();
        if (presence == ClientPresence.GONE) {
            clientLeft(exchange);
        }
        return presence == ClientPresence.CONNECTED && !exchange.answered;
    }

    private static String describeLastAttempt(Exchange exchange) {
        if (exchange.attempts().isEmpty()) {
            return "not attempted";
        }
        return exchange.lastOutcome == null ? "attempt in flight" : "after " + exchange.lastOutcome;
    }

    private void attemptEnded(
            Exchange exchange, int attemptNumber, Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body) {
        eventHandled();
        exchange.lastOutcome = outcome;
        if (outcome.mayHaveRun && attempt.writtenMicros() > 0) {
            exchange.mayHaveRunMicros = Math.min(exchange.mayHaveRunMicros, attempt.writtenMicros());
        }
        if (exchange.trace() != null) {
            exchange.trace()
                    .attemptEnded(attemptNumber, outcome, attempt.writtenMicros(), attempt.openedConnection(), report);
        }
        if (exchange.streamingAttempt == attempt && !exchange.answered) {
            // The response was streamed to the client and has ended.
            finish(exchange, outcome == Outcome.OK ? RequestResult.SERVED : RequestResult.FAILED, 0);
        } else if (outcome == Outcome.OK && !exchange.answered) {
            finish(exchange, RequestResult.SERVED, 0);
            exchange.responder().serve(body.retain());
            cancelUnsentAttempts(exchange);
        }
        attemptListener.attemptEnded(exchange.request(), attempt, outcome, report);
        removeIfSettled(exchange);
        long nowMicros = clock.nowMicros();
        dispatcher.call(
                balancer -> balancer.onOutcome(
                        nowMicros,
                        exchange.request().id(),
                        attemptNumber,
                        attempt.upstream(),
                        outcome,
                        nowMicros - attempt.sentMicros(),
                        exchange.answered,
                        report),
                () -> failIfNoOpenAttempt(exchange));
    }

    private boolean beginStreaming(Exchange exchange, int attemptNumber, Attempt attempt) {
        if (exchange.answered || exchange.streamingAttempt != null) {
            return false;
        }
        exchange.streamingAttempt = attempt;
        if (exchange.trace() != null) {
            exchange.trace().attemptStreaming(attemptNumber);
        }
        exchange.overdueTimer.cancel();
        long nowMicros = clock.nowMicros();
        dispatcher.call(
                balancer -> balancer.onStreamStart(
                        nowMicros,
                        exchange.request().id(),
                        attemptNumber,
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
            fail(exchange, "balancer failed");
        }
    }

    /** Rejects a request; {@code retryAfterMicros} is 0 for no Retry-After. No effect if it is already answered. */
    public void reject(String id, long retryAfterMicros) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.answered) {
            endReasons.record(Subject.REQUEST_REJECTED, describeLastAttempt(exchange), id);
            finish(exchange, RequestResult.REFUSED, retryAfterMicros);
            exchange.responder().reject(retryAfterMicros);
            cancelUnsentAttempts(exchange);
        }
    }

    /** Fails a request. No effect if it is already answered. */
    public void fail(String id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            fail(exchange, describeLastAttempt(exchange));
        }
    }

    private void fail(Exchange exchange, String reason) {
        if (!exchange.answered) {
            endReasons.record(Subject.REQUEST_FAILED, reason, exchange.request().id());
            finish(exchange, RequestResult.FAILED, 0);
            exchange.responder().fail();
            cancelUnsentAttempts(exchange);
        }
    }

    /** Abandons an attempt, by its number from 0 on. No effect if it has ended. */
    public void cancel(String id, int attemptNumber) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null
                && attemptNumber >= 0
                && attemptNumber < exchange.attempts().size()) {
            if (exchange.trace() != null) {
                exchange.trace().attemptCancelled(attemptNumber);
            }
            exchange.attempts().get(attemptNumber).cancel();
        }
    }

    private void finish(Exchange exchange, RequestResult result, long retryAfterMicros) {
        exchange.answered = true;
        metrics.requestCompleted(
                exchange.request().requestClass(),
                switch (result) {
                    case SERVED -> RequestOutcome.SERVED;
                    case REFUSED -> RequestOutcome.REJECTED;
                    case FAILED -> RequestOutcome.FAILED;
                    case LEFT -> RequestOutcome.CANCELLED;
                });
        if (exchange.trace() != null) {
            exchange.trace().answered(result, retryAfterMicros);
        }
        exchange.overdueTimer.cancel();
        removeIfSettled(exchange);
    }

    private void removeIfSettled(Exchange exchange) {
        if (exchange.isSettled()) {
            exchanges.remove(exchange.request().id());
            if (exchange.mayHaveRunMicros != Long.MAX_VALUE) {
                executedRequests.add(
                        exchange.request().id(),
                        exchange.request().classAtAdmission(),
                        exchange.mayHaveRunMicros,
                        clock.nowMicros());
            } else if (!exchange.attempts().isEmpty()) {
                executedRequests.notExecuted(
                        exchange.request().id(), exchange.request().classAtAdmission());
            }
            if (exchange.trace() != null) {
                exchange.trace().settled();
            }
        }
    }

    /** Listens to one attempt of an exchange. */
    private final class AttemptObserver implements Attempt.Listener {
        private final Exchange exchange;
        private final int attemptNumber;

        AttemptObserver(Exchange exchange, int attemptNumber) {
            this.exchange = exchange;
            this.attemptNumber = attemptNumber;
        }

        @Override
        public void onEnd(Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body) {
            attemptEnded(exchange, attemptNumber, attempt, outcome, report, body);
        }

        @Override
        public boolean isWanted() {
            return Requests.this.isWanted(exchange);
        }

        @Override
        public long responseDeadlineMicros() {
            return exchange.deadlineMicros;
        }

        @Override
        public void onWritten(Attempt attempt) {
            metrics.attemptSent();
            executedRequests.attemptWritten(
                    exchange.request().id(), exchange.request().classAtAdmission());
        }

        @Override
        public boolean beginStreaming(Attempt attempt) {
            return Requests.this.beginStreaming(exchange, attemptNumber, attempt);
        }
    }
}
