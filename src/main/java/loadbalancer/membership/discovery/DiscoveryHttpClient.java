package loadbalancer.membership.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import loadbalancer.core.Log;
import loadbalancer.http1.Connector;

/** Calls discovery over HTTP/1.1 on one connection, which is kept alive between calls if discovery allows it. */
public final class DiscoveryHttpClient implements DiscoveryClient {
    /** Enough for 10,000 endpoints, indented by a few spaces for each level. */
    private static final int MAX_RESPONSE_BYTES = 4 << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private Channel channel;
    /** Listener of the open call; null if no call is open. */
    private ResponseListener pending;

    /** Creates a client on {@code loop}, which connects at its first call. */
    public DiscoveryHttpClient(EventLoop loop, InetSocketAddress address) {
        this.address = address;
        bootstrap = Connector.httpBootstrap(loop, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, ResponseHandler::new);
    }

    /** Opens new connections to {@code newAddress} from now on. Returns false if the address is unchanged. */
    public boolean setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return false;
        }
        Log.event("discovery.address.changed", "discovery is now at " + newAddress, "address", newAddress);
        address = newAddress;
        return true;
    }

    @Override
    public void get(String uri, ResponseListener listener) {
        pending = listener;
        if (channel != null && channel.isActive()) {
            write(uri, listener);
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(future -> {
            if (future.isSuccess() && pending == listener) {
                write(uri, listener);
            } else if (!future.isSuccess()) {
                fail(listener, "could not connect");
            }
        });
    }

    private void write(String uri, ResponseListener listener) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request).addListener(future -> {
            if (!future.isSuccess()) {
                fail(listener, "the connection broke while the request was sent");
            }
        });
    }

    private void fail(ResponseListener listener, String reason) {
        if (pending == listener && listener != null) {
            pending = null;
            listener.onFailure(reason);
        }
    }

    @Override
    public void disconnect() {
        pending = null;
        Channel previous = channel;
        channel = null;
        if (previous != null) {
            previous.close();
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (pending == null || context.channel() != channel) {
                context.close();
                return;
            }
            ResponseListener listener = pending;
            pending = null;
            boolean readable = response.decoderResult().isSuccess();
            listener.onResponse(
                    readable ? response.status().code() : 0,
                    ByteBufUtil.getBytes(response.content()),
                    HttpUtil.isKeepAlive(response));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                fail(pending, "the connection was closed before the response");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
