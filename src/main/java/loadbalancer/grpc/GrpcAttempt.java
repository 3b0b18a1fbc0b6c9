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
import loadbalancer.core.PieceBuffer;
import loadbalancer.grpc.mapping.AttemptEnd;
import loadbalancer.grpc.mapping.GrpcStatus;

/**
 * One try of a call at one node: one stream. A unary answer is put together here and told whole; a streaming one is handed on
 * from its first byte, after which this attempt owns the call to its end.
 */
final class GrpcAttempt implements Attempt {
    /** Who made the call, and takes what a stream brings. */
    interface Caller {
        /** Whether a new attempt would get the whole request. */
        boolean canStart();

        /** The request's bytes so far, in order; the attempt writes what is there now and is handed the rest. */
        void replay(GrpcAttempt to);

        /** The first of the answer. From now on all of it comes through here, to its end. */
        void headers(GrpcAttempt from, Http2Headers headers);

        /** Takes over {@code data}. */
        void data(GrpcAttempt from, ByteBuf data);

        /** All of the stream's read so far has been handed on. */
        void readComplete(GrpcAttempt from);

        /** The stream's end; {@code trailers} is null where none came. */
        void ended(GrpcAttempt from, AttemptEnd ending, Http2Headers trailers);

        /** The upstream takes bytes again, or does not for now. */
        void writabilityChanged();
    }

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
    /** What has come of a unary answer; null before its first bytes. */
    private PieceBuffer body;

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
        ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body.take();
        try {
            if (owns) {
                caller.ended(this, how, trailers);
            }
            result.onEnd(this, how.outcome(), report, how.outcome() == Outcome.OK && !owns ? whole : null);
        } finally {
            whole.release();
        }
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
        if (streams) {
            stream.config().setAutoRead(false);
            stream.read();
        }
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

    boolean writable() {
        return stream == null || stream.isWritable();
    }

    boolean begun() {
        return begun;
    }

    /** Reads on, when the client has taken what came. */
    void read() {
        if (stream != null && !ended) {
            stream.read();
        }
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
                if (streams) {
                    owns = result.beginStreaming(GrpcAttempt.this);
                    if (owns) {
                        timeout.cancel(false);
                        caller.headers(GrpcAttempt.this, h);
                    } else {
                        cancel();
                    }
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
            if (owns) {
                caller.data(GrpcAttempt.this, frame.content().retain());
            } else if (!hold(frame.content())) {
                reset(Http2Error.CANCEL);
                end(new AttemptEnd(
                        Outcome.MALFORMED,
                        GrpcStatus.RESOURCE_EXHAUSTED,
                        "the answer is larger than " + GrpcServer.MAX_ANSWER + " bytes"));
                return;
            }
            if (frame.isEndStream()) {
                end(AttemptEnd.withoutStatus());
            }
        }

        /** Holds a part of a unary answer; false if that makes it too large. */
        private boolean hold(ByteBuf part) {
            if (body == null) {
                body = new PieceBuffer(stream.alloc()::buffer);
            }
            if (body.readableBytes() + part.readableBytes() > GrpcServer.MAX_ANSWER) {
                return false;
            }
            body.add(part);
            return true;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (owns && !ended) {
                caller.readComplete(GrpcAttempt.this);
            } else if (streams && !ended) {
                read();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            caller.writabilityChanged();
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
