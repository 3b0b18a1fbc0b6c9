package rushproxy.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;
import rushproxy.sidecar.Upstreams.Call;

/** One connection to an upstream: one call at a time, and what comes back told as its outcome. */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    long idleSinceUs;
    private Call call;
    private BiConsumer<Call, Channel> release;

    void begin(Call next, BiConsumer<Call, Channel> whenFree) {
        call = next;
        release = whenFree;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL && response.decoderResult().isSuccess()) {
            return;
        }
        Call current = call;
        call = null;
        if (current == null || !response.decoderResult().isSuccess()) {
            // Nobody asked, or no HTTP: what else comes on this connection can't be told apart.
            ctx.close();
            if (current != null) {
                current.broke();
            }
            return;
        }
        if (HttpUtil.isKeepAlive(response)) {
            release.accept(current, ctx.channel());
        } else {
            ctx.close();
        }
        Outcome outcome = outcome(response);
        LoadReport report = LoadReports.read(current.reportInBody()
                ? response.content().toString(StandardCharsets.UTF_8) : response.headers().get(Headers.LOAD));
        current.end(outcome, report, outcome == Outcome.OK ? response.content() : null);
    }

    private static Outcome outcome(FullHttpResponse response) {
        HttpHeaders headers = response.headers();
        return switch (response.status().code()) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(headers.get(Headers.TURNED_AWAY)) ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Call current = call;
        call = null;
        if (current != null) {
            current.broke();
        }
    }

    /** Too long an answer, no HTTP, or a connection that broke: in each case the call is over. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
