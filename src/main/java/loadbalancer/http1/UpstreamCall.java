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

/** One request to an upstream, for an attempt or a health check, from the choice of a connection to the outcome. */
public final class UpstreamCall implements Attempt {
    /** Host header for all upstreams. */
    static final AsciiString HOST = AsciiString.cached("api.internal");
    /** A timeout that fires this late or later shows that the event loop was stalled. */
    private static final long LATE_TIMER_MICROS = 5_000;
    /** Longest extension of a timeout after a stall of the event loop. */
    private static final long MAX_EXTENSION_MICROS = 50_000;

    private final Upstreams upstreams;
    private final String upstream;
    /** Creates the message, given the time until the deadline in microseconds. */
    private final LongFunction<FullHttpRequest> messageFactory;

    private final Listener listener;
    /** Receives a large response; if null, a large response is malformed. */
    private final ResponseBodySink bodySink;
    /** The large body, which is not in the message; null if there is none. */
    private final RequestBodyForwarder largeBody;
    /** Whether this is a health check, whose response body is the load report. */
    private final boolean healthCheck;

    private long deadlineMicros;
    private long sendBeforeMicros = Long.MAX_VALUE;
    private long sentMicros;
    private long writtenMicros;
    private UpstreamTarget target;
    private Channel channel;
    /** Null before the start, and while a large body is received, during which the client's timeout does not run. */
    private Future<?> timeout;

    private boolean timeoutExtended;
    private boolean openedConnection;
    private boolean connectionRefused;
    /** Whether a part of the message may have been written. */
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

    /** An attempt. {@code bodySink} may be null for no large response, {@code largeBody} for a body in the message. */
    static UpstreamCall attempt(
            Upstreams upstreams,
            String upstream,
            long deadlineMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Listener listener,
            ResponseBodySink bodySink,
            RequestBodyForwarder largeBody) {
        UpstreamCall call = new UpstreamCall(upstreams, upstream, messageFactory, listener, bodySink, largeBody, false);
        call.deadlineMicros = deadlineMicros;
        return call;
    }

    /** A health check, whose response body is the load report. */
    static UpstreamCall healthCheck(
            Upstreams upstreams,
            String upstream,
            long deadlineMicros,
            LongFunction<FullHttpRequest> messageFactory,
            Listener listener) {
        UpstreamCall call = new UpstreamCall(upstreams, upstream, messageFactory, listener, null, null, true);
        call.deadlineMicros = deadlineMicros;
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

    /** Time of the start, or of writing a large body's last byte, as a slow client is not the upstream's fault. */
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
        // The client's connection detects a large body that stalls.
        timeout = largeBody != null && !largeBody.isComplete()
                ? null
                : upstreams.loop().schedule(this::timedOut, deadlineMicros - nowMicros, TimeUnit.MICROSECONDS);
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

    /** Receives a large response; if null, a large response is malformed. */
    ResponseBodySink bodySink() {
        return bodySink;
    }

    boolean isHealthCheck() {
        return healthCheck;
    }

    /** Starts to stream the response. Returns false and abandons the call if it is too late for that. */
    boolean beginStreaming() {
        if (ended || !listener.beginStreaming(this)) {
            abandon(Outcome.CANCELLED);
            return false;
        }
        stopTimeout();
        return true;
    }

    /** Records that the last byte was written; from now on the upstream may execute the request. */
    void markWritten() {
        writtenMicros = upstreams.clock().nowMicros();
        listener.onWritten(this);
    }

    /** Sets the deadline of the response, now that the last byte of the large body was received. */
    void bodyComplete(long limitMicros) {
        deadlineMicros = limitMicros;
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

    /** Continues a large body, now that the upstream's connection is writable again. */
    void upstreamWritable() {
        if (largeBody != null) {
            largeBody.upstreamWritable();
        }
    }

    /** Returns the connection, which can carry another call, to the pool. */
    void releaseConnection() {
        upstreams.pool().release(target, channel, isWritten());
    }

    /** Ends the call. {@code body} is null unless the outcome is {@code OK}; the caller releases it. */
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

    /** Ends the call after its connection failed. A request without its last byte written was not executed. */
    void failConnection() {
        end(isWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
    }

    /** Ends the call after a malformed response. A request without its last byte written was not executed. */
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
            // Not the upstream's failure: the connection was established, perhaps long before a stalled loop noticed.
            abandon(Outcome.NOT_SENT);
        } else {
            write();
        }
    }

    /** Whether to write on a new connection: the endpoint list may have changed meanwhile, or the deadline passed. */
    private boolean mayStillWrite() {
        return target.isReady()
                && upstreams.clock().nowMicros() < sendBeforeMicros
                && (healthCheck || isSendingBody() || upstreams.clock().nowMicros() < deadlineMicros)
                && listener.isWanted();
    }

    private void write() {
        writeStarted = true;
        FullHttpRequest message =
                messageFactory.apply(deadlineMicros - upstreams.clock().nowMicros());
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
                // A message that can't be encoded is the client's fault and never reached the upstream.
                end(f.cause() instanceof EncoderException ? Outcome.INVALID : Outcome.CONNECT_FAILED, null, null);
            }
        });
    }

    /** Ends the call without a response and closes its connection, so that no other call gets a late response. */
    private void abandon(Outcome outcome) {
        if (!ended) {
            // End first: closing a connection that is being opened reports a connect failure of the upstream at once.
            end(outcome, null, null);
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** Waits for the rest of a response until the request's own deadline. Returns false if that has come. */
    private boolean extendToResponseDeadline() {
        long nowMicros = upstreams.clock().nowMicros();
        long limitMicros = listener.responseDeadlineMicros();
        if (limitMicros <= Math.max(deadlineMicros, nowMicros)) {
            return false;
        }
        deadlineMicros = limitMicros;
        timeoutExtended = false;
        timeout = upstreams.loop().schedule(this::timedOut, limitMicros - nowMicros, TimeUnit.MICROSECONDS);
        return true;
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    /**
     * Extends the timeout once if the event loop was stalled: the response may still be unread, and the upstream must
     * not be blamed for the stall.
     */
    private void timedOut() {
        long lateMicros = upstreams.clock().nowMicros() - deadlineMicros;
        if (lateMicros >= LATE_TIMER_MICROS && !timeoutExtended) {
            timeoutExtended = true;
            timeout = upstreams
                    .loop()
                    .schedule(this::timedOut, Math.min(lateMicros, MAX_EXTENSION_MICROS), TimeUnit.MICROSECONDS);
            return;
        }
        if (!ended && channel != null && UpstreamConnection.of(channel).isReceivingResponse(this)) {
            if (extendToResponseDeadline() || UpstreamConnection.of(channel).streamIfPossible()) {
                return;
            }
        }
        abandon(isWritten() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }
}
