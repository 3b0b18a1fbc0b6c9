package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.core.Attempt;

/** One message to an upstream, an attempt or a health check, from its connection to its outcome. */
public final class UpstreamCall implements Attempt {
    /** The host name that all upstreams share. */
    static final AsciiString HOST = AsciiString.cached("api.internal");
    /** A timer that fires so late shows that the event loop stood still. */
    private static final long LATE_TIMER_MICROS = 5_000;
    /** Longest extension of a timeout after that. */
    private static final long MAX_EXTENSION_MICROS = 50_000;

    private final Upstreams upstreams;
    private final String upstream;
    /** Makes the message, given how long a response is waited for, microseconds. */
    private final LongFunction<FullHttpRequest> messageFactory;

    private final Listener listener;
    /** Where a large response is streamed to; null: a large response is malformed. */
    private final ResponseBodySink bodySink;
    /** A large body, which is not in the message; null for none. */
    private final RequestBodyForwarder largeBody;
    /** A health check's response body is the load report. */
    private final boolean healthCheck;

    private long untilMicros;
    private long sendBeforeMicros = Long.MAX_VALUE;
    private long sentMicros;
    private long writtenMicros;
    private UpstreamTarget target;
    private Channel channel;
    /** Null before the start, and while a large body comes: its client's time does not count yet. */
    private Future<?> timeout;

    private boolean timeoutExtended;
    private boolean openedConnection;
    private boolean connectionRefused;
    /** A part of the message may be with the kernel. */
    private boolean writeStarted;

    private boolean ended;

    private UpstreamCall(
            Upstreams upstreams,
            String upstream,
            LongFunction<FullHttpRequest> messageFactory,
            Listener listener,
            ResponseBodySink bodySink,
            RequestBodyForwarder largeBody,
            boolean healthCheck) {
        this.upstreams = upstreams;
        this.upstream = upstream;
        this.messageFactory = messageFactory;
        this.listener = listener;
        this.bodySink = bodySink;
        this.largeBody = largeBody;
        this.healthCheck = healthCheck;
    }

    /** An attempt. {@code bodySink} null: a large response is malformed. {@code largeBody} null: the body is in the message. */
    static UpstreamCall attempt(
            Upstreams upstreams,
            String upstream,
            long untilMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Listener listener,
            ResponseBodySink bodySink,
            RequestBodyForwarder largeBody) {
        UpstreamCall call = new UpstreamCall(upstreams, upstream, messageFactory, listener, bodySink, largeBody, false);
        call.untilMicros = untilMicros;
        return call;
    }

    /** A health check, whose response body is the load report. */
    static UpstreamCall healthCheck(
            Upstreams upstreams,
            String upstream,
            long untilMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Listener listener) {
        UpstreamCall call = new UpstreamCall(upstreams, upstream, messageFactory, listener, null, null, true);
        call.untilMicros = untilMicros;
        return call;
    }

    @Override
    public void sendBefore(long limitMicros) {
        sendBeforeMicros = limitMicros;
    }

    @Override
    public String upstream() {
        return upstream;
    }

    /** The time of the start; for a large body that of its last byte, since its client's pace is not the upstream's. */
    @Override
    public long sentMicros() {
        return largeBody != null && isWritten() ? writtenMicros : sentMicros;
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }

    @Override
    public long writtenMicros() {
        return writtenMicros;
    }

    @Override
    public boolean openedConnection() {
        return openedConnection;
    }

    @Override
    public boolean isConnectionRefused() {
        return connectionRefused;
    }

    @Override
    public void start() {
        long nowMicros = upstreams.clock().nowMicros();
        sentMicros = nowMicros;
        target = upstreams.target(upstream);
        if (target == null || !target.isReady() || largeBody != null && !largeBody.canStart()) {
            end(Outcome.NOT_SENT, null, null);
            return;
        }
        // A large body that stands still is given up by its client's connection.
        timeout = largeBody != null && !largeBody.isComplete()
                ? null
                : upstreams.loop().schedule(this::timedOut, untilMicros - nowMicros, TimeUnit.MICROSECONDS);
        Channel idle = upstreams.pool().takeIdle(target, nowMicros);
        if (idle != null) {
            channel = idle;
            write();
        } else {
            connect();
        }
    }

    @Override
    public void drop() {
        end(Outcome.NOT_SENT, null, null);
    }

    @Override
    public void cancelIfUnsent() {
        if (!writeStarted) {
            abandon(Outcome.NOT_SENT);
        }
    }

    @Override
    public void cancel() {
        abandon(Outcome.CANCELLED);
    }

    /** Where a large response is streamed to; null: a large response is malformed. */
    ResponseBodySink bodySink() {
        return bodySink;
    }

    boolean isHealthCheck() {
        return healthCheck;
    }

    /** Begins to stream the response; false, and abandoned, where it is too late for that. */
    boolean beginStreaming() {
        if (ended || !listener.beginStreaming(this)) {
            abandon(Outcome.CANCELLED);
            return false;
        }
        stopTimeout();
        return true;
    }

    /** The last byte was written: from now on the upstream may execute the request. */
    void markWritten() {
        writtenMicros = upstreams.clock().nowMicros();
        listener.onWritten(this);
    }

    /** The last byte of the large body has come: a response is waited for until {@code limitMicros}. */
    void bodyComplete(long limitMicros) {
        untilMicros = limitMicros;
        if (!ended && timeout == null) {
            timeout = upstreams
                    .loop()
                    .schedule(this::timedOut, limitMicros - upstreams.clock().nowMicros(), TimeUnit.MICROSECONDS);
        }
    }

    /** Whether a large body is still being forwarded. */
    boolean isSendingBody() {
        return largeBody != null && !isWritten();
    }

    /** The upstream's connection accepts more. */
    void upstreamWritable() {
        if (largeBody != null) {
            largeBody.upstreamWritable();
        }
    }

    /** Gives its connection, which can carry another call, back. */
    void releaseConnection() {
        upstreams.pool().release(target, channel, isWritten());
    }

    /** Ends it. The body is set with {@code OK} only, and stays the caller's. */
    void end(Outcome outcome, LoadReport report, ByteBuf body) {
        if (ended) {
            return;
        }
        ended = true;
        stopTimeout();
        if (largeBody != null) {
            largeBody.attemptEnded(this);
        }
        listener.onEnd(this, outcome, report, body);
    }

    /** Its connection broke. A request whose last byte was not written has never been executed. */
    void failConnection() {
        end(isWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
    }

    /** What came is no response; a request whose last byte was not written has not been executed all the same. */
    void failMalformed() {
        end(isWritten() ? Outcome.MALFORMED : Outcome.CONNECT_FAILED, null, null);
    }

    private boolean isWritten() {
        return writtenMicros > 0;
    }

    private void connect() {
        if (!upstreams.pool().makeCapacity()) {
            end(Outcome.NOT_SENT, null, null);
            return;
        }
        openedConnection = true;
        ChannelFuture connecting = upstreams.pool().open(target);
        channel = connecting.channel();
        connecting.addListener(f -> connected(f));
    }

    private void connected(Future<?> connecting) {
        if (ended) {
            channel.close();
        } else if (!connecting.isSuccess()) {
            Throwable cause = connecting.cause();
            connectionRefused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
            failConnection();
        } else if (!mayStillWrite()) {
            // No failure of the upstream: the connection did come up, perhaps long ago on a loop that stood still.
            abandon(Outcome.NOT_SENT);
        } else {
            write();
        }
    }

    /** Whether it may be written after its connection came up: the list may have changed meanwhile, or time run out. */
    private boolean mayStillWrite() {
        return target.isReady()
                && upstreams.clock().nowMicros() < sendBeforeMicros
                && (healthCheck || isSendingBody() || upstreams.clock().nowMicros() < untilMicros)
                && listener.isWanted();
    }

    private void write() {
        writeStarted = true;
        FullHttpRequest message =
                messageFactory.apply(untilMicros - upstreams.clock().nowMicros());
        message.headers()
                .set(HttpHeaderNames.HOST, HOST)
                .set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
        UpstreamConnection.of(channel).begin(this);
        if (largeBody != null) {
            if (largeBody.canStart()) {
                largeBody.start(this, channel, message);
            } else {
                abandon(Outcome.NOT_SENT);
            }
            return;
        }
        channel.writeAndFlush(message).addListener(f -> {
            if (f.isSuccess()) {
                markWritten();
            } else {
                channel.close();
                // A message that can't be encoded is its client's fault: no upstream has seen it.
                end(f.cause() instanceof EncoderException ? Outcome.INVALID : Outcome.CONNECT_FAILED, null, null);
            }
        });
    }

    /** Ends it without a response, and closes its connection: a late response must not meet another call. */
    private void abandon(Outcome outcome) {
        if (!ended) {
            // In this order: closing a connection that is coming up fails it at once, as the upstream's failure.
            end(outcome, null, null);
            if (channel != null) {
                channel.close();
            }
        }
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    /**
     * Extends the timeout once by the time for which the event loop stood still: the response may lie unread, and the
     * loop's stall would count as the upstream's.
     */
    private void timedOut() {
        long lateMicros = upstreams.clock().nowMicros() - untilMicros;
        if (lateMicros >= LATE_TIMER_MICROS && !timeoutExtended) {
            timeoutExtended = true;
            timeout = upstreams
                    .loop()
                    .schedule(this::timedOut, Math.min(lateMicros, MAX_EXTENSION_MICROS), TimeUnit.MICROSECONDS);
            return;
        }
        abandon(isWritten() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }
}
