package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.function.LongFunction;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.core.Attempt;
import loadbalancer.core.Clock;
import loadbalancer.grpc.mapping.AttemptEnd;
import loadbalancer.grpc.mapping.GrpcStatus;

/**
 * One attempt of a call at one upstream: one stream. A unary response is held until its status has come, so that the
 * call can be retried, as far as the memory for that reaches; beyond that, and if the method streams, it is forwarded as
 * it arrives, after which this attempt owns the call to its end.
 */
final class GrpcAttempt implements Attempt {
    /** Who made the call, and takes what a stream brings. */
    interface Caller {
        /** Whether a new attempt would get the whole request. */
        boolean canStart();

        /** The request's bytes so far, in order; the attempt writes what is there now and is handed the rest. */
        void replay(GrpcAttempt to);

        /** The response begins to be forwarded: its head, and the relay of its messages, which the caller starts. */
        void headers(GrpcAttempt from, Http2Headers headers, StreamRelay messages);

        /** The end of a forwarded response; {@code trailers} is null where none came. */
        void ended(GrpcAttempt from, AttemptEnd ending, Http2Headers trailers);
    }

    /** The largest unary response that is held until its status has come. */
    private static final int MAX_HELD_RESPONSE_BYTES = 1024 * 1024;

    private final GrpcUpstreams pool;
    private final Clock clock;
    private final String upstream;
    final long untilUs;
    private final boolean streams;
    /** The request's headers, told how long an answer is waited for. */
    private final LongFunction<Http2Headers> head;

    private final Caller caller;
    private final Listener result;
    /** Null where it was never started, or there was no node to start it at. */
    private GrpcUpstreams.Target target;

    private Future<?> timeout;
    private long sentUs;
    private Channel stream;
    private boolean timedOut;
    private boolean begun;
    private long sendBeforeUs = Long.MAX_VALUE;
    /** The whole request is written, or, of a streaming one, its head: it may run. */
    private long writtenUs;

    private boolean dialled;
    private boolean ended;
    private boolean owns;
    private Http2Headers headers;
    private Http2Headers trailers;
    private AttemptEnd ending;
    /** The response's messages; null before its head. */
    private StreamRelay messages;

    GrpcAttempt(
            GrpcUpstreams pool,
            Clock clock,
            String upstream,
            long untilUs,
            boolean streams,
            LongFunction<Http2Headers> head,
            Caller caller,
            Listener result) {
        this.pool = pool;
        this.clock = clock;
        this.upstream = upstream;
        this.untilUs = untilUs;
        this.streams = streams;
        this.head = head;
        this.caller = caller;
        this.result = result;
    }

    @Override
    public void sendBefore(long us) {
        sendBeforeUs = us;
    }

    /** Its time ran out, or that of those who drop its repeats, before its turn came. */
    boolean tooLate(long now) {
        return now >= Math.min(untilUs, sendBeforeUs);
    }

    @Override
    public String upstream() {
        return upstream;
    }

    @Override
    public long sentMicros() {
        return sentUs;
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }

    @Override
    public long writtenMicros() {
        return writtenUs;
    }

    @Override
    public boolean openedConnection() {
        return dialled;
    }

    @Override
    public void start() {
        if (!caller.canStart()) {
            drop();
            return;
        }
        sentUs = clock.nowMicros();
        pool.start(this);
    }

    @Override
    public void drop() {
        sentUs = sentUs == 0 ? clock.nowMicros() : sentUs;
        end(new AttemptEnd(Outcome.NOT_SENT, GrpcStatus.UNAVAILABLE, "it was never sent"));
    }

    @Override
    public void cancelIfUnsent() {
        if (!begun && !ended) {
            drop();
        }
    }

    @Override
    public void cancel() {
        abandon(new AttemptEnd(Outcome.CANCELLED, GrpcStatus.CANCELLED, "cancelled"));
    }

    /** Waits at this node now; {@code runningOut} is its time-out. */
    void sentTo(GrpcUpstreams.Target node, Future<?> runningOut) {
        target = node;
        timeout = runningOut;
        dialled = !node.crowded();
    }

    void timedOut() {
        timedOut = true;
        // One that waited for its turn says nothing of the node's health.
        abandon(
                !begun && target.crowded()
                        ? new AttemptEnd(Outcome.NOT_SENT, GrpcStatus.DEADLINE_EXCEEDED, "no stream was free in time")
                        : AttemptEnd.timedOut(writtenUs > 0));
    }

    /** When it was sent, if its time ran out without an end; before all times otherwise. */
    long silentSince() {
        return timedOut && begun ? sentUs : Long.MIN_VALUE;
    }

    boolean streams() {
        return streams;
    }

    /** Gives it up and says so to the node, which need not stop. */
    private void abandon(AttemptEnd why) {
        if (!ended) {
            reset(Http2Error.CANCEL);
            end(why);
        }
    }

    private void reset(Http2Error code) {
        if (stream != null && stream.isActive()) {
            stream.writeAndFlush(new DefaultHttp2ResetFrame(code));
        }
    }

    /** What the last answer said, for the client where nothing better comes: null before there is one. */
    AttemptEnd ending() {
        return ending;
    }

    Http2Headers headers() {
        return headers;
    }

    Http2Headers trailers() {
        return trailers;
    }

    void end(AttemptEnd how) {
        end(how, null);
    }

    private void end(AttemptEnd how, LoadReport report) {
        if (ended) {
            return;
        }
        ended = true;
        ending = how;
        if (target != null) {
            timeout.cancel(false);
            target.over(this);
        }
        if (owns) {
            caller.ended(this, how, trailers);
        }
        result.onEnd(this, how.outcome(), report, how.outcome() == Outcome.OK && !owns ? Unpooled.EMPTY_BUFFER : null);
        if (!owns && messages != null) {
            messages.release();
        }
    }

    /** Hands over the messages of a unary response that was served; null if it has none. */
    StreamRelay takeMessages() {
        StreamRelay taken = messages;
        messages = null;
        return taken;
    }

    ChannelHandler handler() {
        return new Handler();
    }

    /** Its stream is there: the head goes out, and what has come of the request. */
    void opened(Channel channel) {
        stream = channel;
        if (ended || !result.isWanted()) {
            // Where nobody waits any more it has been withdrawn by now.
            channel.close();
            return;
        }
        begun = true;
        caller.replay(this);
    }

    /** The request's head; {@code last} where it has no message. */
    void sendHead(boolean last) {
        Object frame = new DefaultHttp2HeadersFrame(head.apply(untilUs - clock.nowMicros()), last);
        if (last || streams) {
            write(frame, true);
        } else {
            // The message follows at once: both go out in one write.
            stream.write(frame);
        }
    }

    /** More of the request; {@code data} is taken over. */
    void send(ByteBuf data, boolean last) {
        if (ended || !begun || !stream.isActive()) {
            data.release();
            return;
        }
        write(new DefaultHttp2DataFrame(data, last), last);
    }

    /** Ends a request whose messages were all written. */
    void sendEnd() {
        send(Unpooled.EMPTY_BUFFER, true);
    }

    /** The stream on which requests are sent; null before it is open. */
    Channel stream() {
        return stream;
    }

    boolean begun() {
        return begun;
    }

    private void write(Object frame, boolean mayRunThen) {
        stream.writeAndFlush(frame).addListener(f -> {
            if (f.isSuccess()) {
                if (writtenUs == 0 && mayRunThen) {
                    writtenUs = clock.nowMicros();
                    result.onWritten(this);
                }
            }
        });
    }

    private boolean isGrpc(Http2Headers h) {
        CharSequence type = h.get("content-type");
        return "200".contentEquals(h.status() == null ? "" : h.status())
                && type != null
                && type.toString().startsWith("application/grpc");
    }

    private static boolean turnedAway(Http2Headers h) {
        CharSequence value = h.get("x-turned-away");
        return value != null && "1".contentEquals(value);
    }

    private static int httpStatus(Http2Headers h) {
        CharSequence status = h.status();
        return status != null && status.length() == 3 && status.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Integer.parseInt(status.toString())
                : 0;
    }

    private final class Handler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            try {
                if (ended) {
                    return;
                }
                if (frame instanceof Http2HeadersFrame h) {
                    headers(h);
                } else if (frame instanceof Http2DataFrame d) {
                    data(d);
                } else if (frame instanceof Http2ResetFrame r) {
                    end(AttemptEnd.ofReset(r.errorCode()));
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private void headers(Http2HeadersFrame frame) {
            Http2Headers h = frame.headers();
            if (headers == null && !frame.isEndStream()) {
                if (!isGrpc(h)) {
                    reset(Http2Error.CANCEL);
                    end(AttemptEnd.ofHttp(httpStatus(h), turnedAway(h)));
                    return;
                }
                headers = h;
                messages = pool.relay(stream);
                if (streams) {
                    forward();
                }
                return;
            }
            if (!frame.isEndStream()) {
                // Headers in the middle of an answer are none that HTTP/2 knows.
                reset(Http2Error.PROTOCOL_ERROR);
                end(AttemptEnd.withoutStatus());
                return;
            }
            trailers = h;
            GrpcStatus code = GrpcStatus.of(h.get("grpc-status"));
            boolean alone = headers == null;
            LoadReport report = GrpcLoad.read(h);
            if (code == null) {
                end(
                        alone && !isGrpc(h)
                                ? AttemptEnd.ofHttp(httpStatus(h), turnedAway(h))
                                : AttemptEnd.withoutStatus(),
                        report);
            } else if (code == GrpcStatus.OK && alone && !streams) {
                // A unary call that succeeds has a message.
                end(AttemptEnd.withoutStatus(), report);
            } else {
                CharSequence message = h.get("grpc-message");
                end(AttemptEnd.ofStatus(code, message == null ? "" : message.toString(), turnedAway(h)), report);
            }
        }

        private void data(Http2DataFrame frame) {
            if (headers == null) {
                reset(Http2Error.PROTOCOL_ERROR);
                end(AttemptEnd.withoutStatus());
                return;
            }
            messages.add(frame.content(), frame.initialFlowControlledBytes());
            if (!owns) {
                hold();
            }
            if (!ended && frame.isEndStream()) {
                end(AttemptEnd.withoutStatus());
            }
        }

        /** Holds a unary response until its status comes, unless it is too large for that. */
        private void hold() {
            int heldBytes = messages.heldBytes();
            if (heldBytes <= ReceiveWindow.INITIAL_BYTES
                    || heldBytes <= MAX_HELD_RESPONSE_BYTES && pool.mayHoldResponses()) {
                messages.openWindow();
            } else {
                forward();
            }
        }

        /** Forwards the response from now on, as it arrives; the call can't be retried after that. */
        private void forward() {
            owns = result.beginStreaming(GrpcAttempt.this);
            if (owns) {
                timeout.cancel(false);
                caller.headers(GrpcAttempt.this, headers, messages);
            } else {
                cancel();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (owns && !ended) {
                messages.write();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2ResetFrame r) {
                end(AttemptEnd.ofReset(r.errorCode()));
            } else if (event instanceof Http2GoAwayFrame) {
                end(AttemptEnd.aboveLastStream());
            }
            ReferenceCountUtil.release(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(AttemptEnd.connectionLost(writtenUs > 0));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset(Http2Error.INTERNAL_ERROR);
            end(AttemptEnd.connectionLost(writtenUs > 0));
        }
    }
}
