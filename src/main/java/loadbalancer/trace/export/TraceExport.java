package loadbalancer.trace.export;

import io.opentelemetry.sdk.trace.data.SpanData;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import loadbalancer.core.Clock;
import loadbalancer.operator.OperatorConfiguration.TraceOptions;
import loadbalancer.trace.SamplingDecision;
import loadbalancer.trace.Trace;

/**
 * Exports sampled traces to a file or a collector from a thread of its own. The event loop adds them to a bounded buffer and
 * never blocks on the receiver; a slow or failed receiver costs only spans, which are counted as dropped.
 */
public final class TraceExport implements AutoCloseable {
    /** Traces that were sent, and traces dropped for good. */
    public record Counts(long sent, long dropped) {}

    private record SampledTrace(Trace trace, SamplingDecision decision) {}

    /** Traces in a batch. */
    private static final int BATCH_TRACES = 64;
    /** How long a batch may collect traces before it is sent. */
    private static final long LINGER_MILLIS = 200;

    private static final long INITIAL_BACKOFF_MICROS = 500_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final SpanBuffer<SampledTrace> buffer;
    private final SpanConversion conversion;
    private final SpanSink sink;
    private final String receiver;
    private final DeliverySchedule delivery;
    private final Clock clock;
    private final Consumer<String> log;
    private final Thread thread;
    private boolean closing;
    private volatile long sent;
    private volatile long abandoned;

    private TraceExport(
            SpanSink sink,
            String receiver,
            TraceOptions options,
            String instance,
            Clock clock,
            long seed,
            Consumer<String> log) {
        this.sink = sink;
        this.receiver = receiver;
        this.clock = clock;
        this.log = log;
        buffer = new SpanBuffer<>(options.maxPendingTraces());
        conversion = new SpanConversion(options.service(), instance);
        delivery = new DeliverySchedule(INITIAL_BACKOFF_MICROS, options.deliveryTimeoutMicros(), seed);
        thread = new Thread(this::run, "traces to " + receiver);
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts one export for each receiver in the operator's file. */
    public static List<TraceExport> of(
            TraceOptions options, String instance, Clock clock, long seed, Consumer<String> log) {
        List<TraceExport> exports = new ArrayList<>();
        if (options.file() != null) {
            exports.add(new TraceExport(
                    new FileSink(options.file(), instance), "file", options, instance, clock, seed, log));
        }
        if (options.collector() != null) {
            exports.add(new TraceExport(
                    new CollectorSink(options.collector()), "collector", options, instance, clock, seed, log));
        }
        return exports;
    }

    /** Queues a trace; called on the event loop, holds a lock only briefly. */
    public void enqueue(Trace trace, SamplingDecision decision) {
        lock.lock();
        try {
            buffer.add(decision.pool(), new SampledTrace(trace, decision));
            if (buffer.size() == 1 || buffer.size() >= BATCH_TRACES) {
                changed.signal();
            }
        } finally {
            lock.unlock();
        }
    }

    private void run() {
        try {
            for (List<SampledTrace> batch; (batch = awaitBatch()) != null; ) {
                deliver(batch);
            }
        } catch (InterruptedException exception) {
            // Interrupted by join: the time for a graceful shutdown is over.
        } finally {
            sink.close();
        }
    }

    /** Waits for the next batch; null when closing and nothing is buffered. */
    private List<SampledTrace> awaitBatch() throws InterruptedException {
        lock.lock();
        try {
            while (buffer.size() == 0) {
                if (closing) {
                    return null;
                }
                changed.await();
            }
            long nanos = TimeUnit.MILLISECONDS.toNanos(LINGER_MILLIS);
            while (nanos > 0 && buffer.size() < BATCH_TRACES && !closing) {
                nanos = changed.awaitNanos(nanos);
            }
            return buffer.take(BATCH_TRACES);
        } finally {
            lock.unlock();
        }
    }

    private void deliver(List<SampledTrace> batch) throws InterruptedException {
        List<SpanData> spans = new ArrayList<>(batch.size() * 2);
        batch.forEach(k -> conversion.add(k.trace, k.decision, spans));
        delivery.batchStarted(clock.nowMicros());
        while (true) {
            awaitDue();
            SpanSink.SendResult sendResult = sink.send(spans);
            boolean wasFailing = delivery.failing();
            DeliverySchedule.NextStep next =
                    delivery.sendEnded(clock.nowMicros(), sendResult.result(), sendResult.retryAfterMicros());
            if (wasFailing != delivery.failing()) {
                log.accept(
                        wasFailing
                                ? "the " + receiver + " takes traces again; " + dropped() + " were lost so far"
                                : "the " + receiver + " takes no traces, service goes on: " + sendResult.reason());
            }
            if (next == DeliverySchedule.NextStep.DONE) {
                sent += batch.size();
                return;
            }
            if (next == DeliverySchedule.NextStep.GIVE_UP || closing()) {
                abandoned += batch.size();
                return;
            }
        }
    }

    private void awaitDue() throws InterruptedException {
        lock.lock();
        try {
            // New traces signal this condition too, so the time is checked again.
            for (long left; (left = delivery.dueMicros() - clock.nowMicros()) > 0 && !closing; ) {
                changed.await(left, TimeUnit.MICROSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean closing() {
        lock.lock();
        try {
            return closing;
        } finally {
            lock.unlock();
        }
    }

    private long dropped() {
        lock.lock();
        try {
            return buffer.dropped() + abandoned;
        } finally {
            lock.unlock();
        }
    }

    /** Totals since the start; may be read from any thread. */
    public Counts counts() {
        return new Counts(sent, dropped());
    }

    /** Begins the shutdown: buffered traces are tried once, for as long as {@link #join} waits. */
    @Override
    public void close() {
        lock.lock();
        try {
            closing = true;
            changed.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Waits up to {@code timeoutMillis} for the export thread to end, then interrupts it. Never called on the event loop. */
    public void join(long timeoutMillis) throws InterruptedException {
        thread.join(timeoutMillis);
        thread.interrupt();
    }
}
