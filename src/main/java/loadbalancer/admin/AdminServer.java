package loadbalancer.admin;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.core.ListenSocket;
import loadbalancer.core.Log;
import loadbalancer.json.JsonObject;

/**
 * The HTTP server for operators. A connection carries one request, which is answered as soon as its head is read, since
 * bodies are ignored. If there are too many connections the oldest is closed, so that slow clients can't block others.
 */
public final class AdminServer {
    /** Limit on open connections. The same number of file descriptors is reserved for them. */
    public static final int MAX_CONNECTIONS = 16;

    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final int ACCEPT_BACKLOG = 64;
    private static final int MAX_REQUEST_LINE_BYTES = 2_048;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 4_096;

    private final EventLoop loop;
    private final AdminRequestHandler handler;
    /** Open connections, oldest first. */
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    /** @param handler called on the event loop */
    public AdminServer(EventLoop loop, AdminRequestHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Binds the address and returns the bound address with its port. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        Channel listener =
                ListenSocket.bindTcp(loop, NioServerSocketChannel::new, ACCEPT_BACKLOG, false, address, this::onAccept);
        return (InetSocketAddress) listener.localAddress();
    }

    private void onAccept(Channel channel) {
        connections.add(channel);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.peek().close();
        }
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        Runnable close = channel::close;
        loop.schedule(close, REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                        new HttpResponseEncoder(),
                        new ConnectionHandler());
    }

    private static void respond(ChannelHandlerContext context, int status, Map<String, Object> body) {
        String line = new String(JsonObject.write(body), StandardCharsets.UTF_8) + "\n";
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.UTF_8)));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private final class ConnectionHandler extends SimpleChannelInboundHandler<Object> {
        private boolean requestSeen;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object message) {
            // The body of the request and further requests are ignored.
            if (requestSeen || !(message instanceof HttpRequest request)) {
                return;
            }
            requestSeen = true;
            AdminResponder responder = (status, body) -> respond(context, status, body);
            if (request.decoderResult().isFailure()) {
                boolean tooLarge = request.decoderResult().cause() instanceof TooLongFrameException;
                HttpResponseStatus status =
                        tooLarge ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
                responder.respond(status.code(), "no call that can be read");
            } else {
                handler.handle(AdminRequestParser.parse(request.method().name(), request.uri()), responder);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.fault("handling an admin request failed", cause);
            }
            context.close();
        }
    }
}
