package rushproxy.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.http1.Upstreams.Call;

/**
 * One connection to an upstream: one call at a time, and what comes back told as its outcome. It is believed as long
 * as all that comes on it belongs to a call; a byte more, and it is closed.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    static final AttributeKey<UpstreamConnection> KEY = AttributeKey.valueOf(UpstreamConnection.class, "connection");

    private final AnswerDecoder decoder = new AnswerDecoder();
    private final Answers answers = new Answers(Headers.MAX_ANSWER);
    long idleSinceUs;
    private Call call;
    private BiConsumer<Call, Channel> release;
    /** The answer to the call, kept until all that came with it has been looked at. */
    private FullHttpResponse answer;
    private Future<?> stall;
    /** When a part of an answer came last. */
    private long readNanos;
    private boolean spoilt;
    /** An answer that has begun and then stops for this long does not end any more. */
    private final long stallUs;

    private UpstreamConnection(long stallUs) {
        this.stallUs = stallUs;
    }

    static void on(Channel channel, long stallUs) {
        UpstreamConnection connection = new UpstreamConnection(stallUs);
        channel.attr(KEY).set(connection);
        ChannelPipeline p = channel.pipeline();
        p.addLast(new HttpRequestEncoder(), connection.decoder, connection.answers, connection);
    }

    void begin(Call next, BiConsumer<Call, Channel> whenFree) {
        call = next;
        release = whenFree;
    }

    /** Nothing has come since the last answer: what comes next on it can only be meant for the next call. */
    boolean clean() {
        return !spoilt && answer == null && !partial();
    }

    private boolean partial() {
        return decoder.leftOver() || answers.open();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (call == null || answer != null || !response.decoderResult().isSuccess()) {
            // Nobody asked, as for a second copy, or no HTTP: it must not become the answer to any request.
            spoilt = true;
        } else if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            answer = response.retain();
        }
    }

    /** Only with all of a read seen is it known whether something came behind the answer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (answer != null) {
            deliver(ctx);
        } else if (spoilt || call == null && partial()) {
            spoil(ctx);
        } else if (partial()) {
            readNanos = System.nanoTime();
            if (stall == null) {
                watch(ctx, stallUs);
            }
        }
        ctx.fireChannelReadComplete();
    }

    private void watch(ChannelHandlerContext ctx, long us) {
        stall = ctx.executor().schedule(() -> look(ctx), us, TimeUnit.MICROSECONDS);
    }

    /** An answer that comes slowly, piece by piece, is an answer all the same: only one that stands still is none. */
    private void look(ChannelHandlerContext ctx) {
        stall = null;
        long restUs = stallUs - (System.nanoTime() - readNanos) / 1000;
        if (partial() && restUs <= 0) {
            spoil(ctx);
        } else if (partial()) {
            watch(ctx, restUs);
        }
    }

    private void deliver(ChannelHandlerContext ctx) {
        FullHttpResponse response = answer;
        Call current = call;
        answer = null;
        call = null;
        calm();
        try {
            if (HttpUtil.isKeepAlive(response) && clean() && ctx.channel().isActive()) {
                release.accept(current, ctx.channel());
            } else {
                ctx.close();
            }
            tell(current, response);
        } finally {
            response.release();
        }
    }

    private static void tell(Call current, FullHttpResponse response) {
        Outcome outcome = outcome(response);
        LoadReport report = LoadReports.read(current.reportInBody()
                ? response.content().toString(StandardCharsets.UTF_8) : response.headers().get(Headers.LOAD));
        if (current.reportInBody() && outcome == Outcome.OK && report == null) {
            // A probe whose report can't be read tells neither of load nor of a server without reports.
            outcome = Outcome.SPOILT;
        }
        current.end(outcome, report, outcome == Outcome.OK ? response.content() : null);
    }

    private static Outcome outcome(FullHttpResponse response) {
        HttpHeaders headers = response.headers();
        int code = response.status().code();
        return switch (code) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(headers.get(Headers.TURNED_AWAY)) ? Outcome.REJECTED : Outcome.ERROR;
            // What the client sent was no good: that is not the upstream's fault, and no other would like it better.
            default -> code >= 400 && code < 500 ? Outcome.INVALID : Outcome.ERROR;
        };
    }

    private void calm() {
        if (stall != null) {
            stall.cancel(false);
            stall = null;
        }
    }

    /** No answer that can be told from noise. The request may have run, and the connection is of no more use. */
    private void spoil(ChannelHandlerContext ctx) {
        Call current = call;
        call = null;
        calm();
        ctx.close();
        if (current != null) {
            current.spoilt();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (answer != null) {
            deliver(ctx);
        }
        Call current = call;
        call = null;
        calm();
        if (current != null) {
            current.broke();
        }
    }

    /** A connection that broke, or what is no answer: in each case the call is over. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (answer != null) {
            spoilt = true;
        } else if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            ctx.close();
        } else {
            spoil(ctx);
        }
    }
}
