package loadbalancer.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.membership.EndpointEvidence;

/**
 * Checks what listens at an address that discovery has not confirmed. Each check opens a connection of its own and
 * closes it afterwards, so that an unconfirmed process never gets a client's request or a pooled connection.
 */
public final class HealthCheck {
    /** Path of an upstream's load report. */
    static final String LOAD_REPORT_PATH = "/stats";
    /** Path of an upstream's liveness check, which reports no load. */
    static final String LIVENESS_PATH = "/health/live";

    private static final int MAX_BODY_BYTES = 4096;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EventLoop loop;
    private final Mode mode;
    private final long timeoutMillis;
    private final Bootstrap bootstrap;

    /** Creates a health check; each check takes up to {@code timeoutMillis}. */
    public HealthCheck(EventLoop loop, Mode mode, long timeoutMillis) {
        this.loop = loop;
        this.mode = mode;
        this.timeoutMillis = timeoutMillis;
        bootstrap = Connector.httpBootstrap(loop, (int) timeoutMillis, MAX_BODY_BYTES, Handler::new);
    }

    /** The request that a check makes. */
    public enum Mode {
        /** Requests the load report. */
        LOAD_REPORT,
        /** Requests the liveness path. */
        LIVENESS,
        /** Only opens a connection, for sites that allow no health checks. */
        CONNECT
    }

    /** Checks an address; {@code onResult} runs once, on the event loop, within the timeout. */
    public void check(InetSocketAddress address, Consumer<EndpointEvidence> onResult) {
        ChannelFuture connecting = bootstrap.connect(address);
        Channel channel = connecting.channel();
        PendingResult pending = new PendingResult(channel, onResult);
        loop.schedule(() -> pending.complete(EndpointEvidence.NO_RESPONSE), timeoutMillis, TimeUnit.MILLISECONDS);
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                pending.complete(
                        f.cause() instanceof ConnectTimeoutException
                                ? EndpointEvidence.NO_RESPONSE
                                : EndpointEvidence.REFUSES_CONNECTIONS);
            } else if (mode == Mode.CONNECT) {
                pending.complete(EndpointEvidence.ACCEPTS_CONNECTIONS);
            } else {
                channel.pipeline().get(Handler.class).pending = pending;
                channel.writeAndFlush(request());
            }
        });
    }

    private DefaultFullHttpRequest request() {
        String path = mode == Mode.LOAD_REPORT ? LOAD_REPORT_PATH : LIVENESS_PATH;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set(HttpHeaderNames.HOST, UpstreamCall.HOST).set(HttpHeaderNames.CONNECTION, "close");
        return request;
    }

    /** Reports the result once and closes the connection. */
    private static final class PendingResult {
        private final Channel channel;
        private final Consumer<EndpointEvidence> onResult;
        private boolean completed;

        PendingResult(Channel channel, Consumer<EndpointEvidence> onResult) {
            this.channel = channel;
            this.onResult = onResult;
        }

        void complete(EndpointEvidence evidence) {
            if (!completed) {
                completed = true;
                channel.close();
                onResult.accept(evidence);
            }
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** Null until the connection is established. */
        private PendingResult pending;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (pending == null) {
                context.close();
                return;
            }
            pending.complete(
                    isUpstreamResponse(response)
                            ? EndpointEvidence.RESPONDS_AS_UPSTREAM
                            : EndpointEvidence.NOT_AN_UPSTREAM);
        }

        /** Whether the response is an upstream's. One that is draining or overloaded responds with 503. */
        private boolean isUpstreamResponse(FullHttpResponse response) {
            int code = response.decoderResult().isSuccess() ? response.status().code() : 0;
            boolean reported = mode != Mode.LOAD_REPORT
                    || code == SERVICE_UNAVAILABLE
                    || LoadReportParser.parse(response.content().toString(StandardCharsets.UTF_8)) != null;
            return (code == OK || code == SERVICE_UNAVAILABLE) && reported;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(context);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(context);
        }

        private void fail(ChannelHandlerContext context) {
            if (pending != null) {
                pending.complete(EndpointEvidence.NOT_AN_UPSTREAM);
            }
            context.close();
        }
    }
}
