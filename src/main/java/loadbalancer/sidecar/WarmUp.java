package loadbalancer.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.core.Log;
import loadbalancer.http1.HeaderNames;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.operator.OperatorConfiguration;

/**
 * Warm-up before a sidecar reports ready: a second sidecar in this process serves requests on loopback, with its
 * upstreams, discovery and clients played by {@link LoopbackPeers}. Without it the first requests would run interpreted
 * code, be late, and make every upstream look slow. A real request ends the warm-up at once.
 *
 * <p>The warm-up delays service, so only the sidecar is real: the loopback peers replay messages that were encoded
 * once.
 */
final class WarmUp {
    /** Enough requests for their code to be compiled at the thresholds of {@code run} in the deploy file. */
    private static final int REQUESTS = 130;
    /** Kept low, because a newly started sidecar gets mostly new connections. */
    private static final int REQUESTS_PER_CONNECTION = 4;
    /** One of this many responses closes its connection, so that connecting to upstreams warms up too. */
    private static final int RESPONSES_PER_CLOSE = 8;
    /** Concurrent clients: enough to keep the event loop busy without overloading an upstream. */
    private static final int CLIENTS = 3;

    private static final int UPSTREAMS = 6;
    private static final long MAX_DURATION_MILLIS = 1_000;
    private static final String LOAD_REPORT = "TEXT inflight=0, queue=0, util=0.1";

    private final SidecarConfig config;
    private final Engine.BalancerFactory balancerFactory;
    private volatile boolean interrupted;

    WarmUp(SidecarConfig config, Engine.BalancerFactory balancerFactory) {
        this.config = config;
        this.balancerFactory = balancerFactory;
    }

    /** Ends the warm-up; callable from any thread, even before it has started. */
    void interrupt() {
        interrupted = true;
    }

    /** Returns after enough requests, or early on a failure: without warm-up a sidecar only starts slower. */
    void run() {
        Sidecar warmUpSidecar = null;
        try (LoopbackPeers peers = new LoopbackPeers()) {
            warmUpSidecar = new Sidecar(
                    config.forWarmUp(peers.bindAddress, peers.address(), endpointList(peers.address())),
                    OperatorConfiguration.NONE,
                    balancerFactory);
            warmUpSidecar.start();
            peers.run(warmUpSidecar.listenAddress());
        } catch (Exception exception) {
            Log.fault("warm-up failed", exception);
        } finally {
            if (warmUpSidecar != null) {
                warmUpSidecar.shutdownNow();
            }
        }
    }

    private static EndpointList endpointList(InetSocketAddress peers) {
        String address = peers.getAddress().getHostAddress() + ":" + peers.getPort();
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            members.add(new Endpoint(new Upstream("stage-" + i, "", "", -1, 0, 1, UpstreamState.READY), address));
        }
        return new EndpointList(ListSource.CONFIGURED, 1, true, 0, members);
    }

    /** A request of the class, with an id that {@link EncodedRequest} overwrites. */
    private static FullHttpRequest request(RequestClass requestClass) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                requestClass.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST,
                "/api");
        request.headers()
                .set(HttpHeaderNames.HOST, "api.internal")
                .set(HeaderNames.REQUEST_ID, EncodedRequest.ID)
                .set(HeaderNames.REQUEST_CLASS, requestClass.name())
                .set(HeaderNames.REMAINING_MILLIS, Math.max(1, requestClass.deadlineMicros() / 1000))
                .set(HttpHeaderNames.COOKIE, HeaderNames.KEY_COOKIE + "=" + EncodedRequest.ID)
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (requestClass.idempotency() == Idempotency.WITH_KEY) {
            request.headers().set(HeaderNames.IDEMPOTENCY_KEY, EncodedRequest.ID);
        }
        return request;
    }

    private static FullHttpResponse response(boolean closesConnection) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK,
                Unpooled.copiedBuffer(LOAD_REPORT, StandardCharsets.US_ASCII));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, LOAD_REPORT.length())
                .set(HeaderNames.LOAD_REPORT, LOAD_REPORT);
        if (closesConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    /** A request that is encoded once; before each send only its id is overwritten, which saves encoding it again. */
    private static final class EncodedRequest {
        static final String ID = "rehearsal-000000";
        private static final int DIGITS = 6;
        private final byte[] bytes;
        private final int digitsAt;

        EncodedRequest(RequestClass requestClass) {
            bytes = encoded(new HttpRequestEncoder(), request(requestClass)).array();
            digitsAt = new String(bytes, StandardCharsets.ISO_8859_1).indexOf(ID) + ID.length() - DIGITS;
        }

        ByteBuffer withNumber(int number) {
            for (int i = DIGITS - 1, rest = number; i >= 0; i--, rest /= 10) {
                bytes[digitsAt + i] = (byte) ('0' + rest % 10);
            }
            return ByteBuffer.wrap(bytes);
        }
    }

    /** Encodes the message with Netty's encoder. */
    private static ByteBuffer encoded(ChannelHandler encoder, Object message) {
        EmbeddedChannel channel = new EmbeddedChannel(encoder);
        channel.writeOutbound(message);
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf part; (part = channel.readOutbound()) != null; part.release()) {
            all.writeBytes(part);
        }
        return ByteBuffer.wrap(ByteBufUtil.getBytes(all));
    }

    /**
     * Upstreams, discovery and clients on one thread. Messages are recognised by their start and the end of their head,
     * and not parsed. A discovery watch gets no response, as if the list did not change. A selection key's attachment is
     * true for a client's connection and false for one that the sidecar opened.
     */
    private final class LoopbackPeers implements AutoCloseable {
        private final Selector selector = Selector.open();
        private final ServerSocketChannel listener = ServerSocketChannel.open();
        private final InetSocketAddress bindAddress =
                new InetSocketAddress(config.listen().getAddress(), 0);
        private final ByteBuffer in = ByteBuffer.allocate(4096);
        private final ByteBuffer encodedResponse = encoded(new HttpResponseEncoder(), response(false));
        private final ByteBuffer encodedLastResponse = encoded(new HttpResponseEncoder(), response(true));
        private final List<EncodedRequest> requests = new ArrayList<>();
        private InetSocketAddress sidecar;
        private int sentRequests;
        private int receivedResponses;
        private int sentResponses;

        LoopbackPeers() throws IOException {
            listener.bind(bindAddress).configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT);
            for (RequestClass requestClass : config.settings().classes()) {
                requests.add(new EncodedRequest(requestClass));
            }
        }

        InetSocketAddress address() throws IOException {
            return (InetSocketAddress) listener.getLocalAddress();
        }

        void run(InetSocketAddress sidecarAddress) throws IOException {
            sidecar = sidecarAddress;
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
            long endNanos = System.nanoTime() + MAX_DURATION_MILLIS * 1_000_000;
            for (long remainingNanos;
                    !interrupted
                            && receivedResponses < REQUESTS
                            && (remainingNanos = endNanos - System.nanoTime()) > 0; ) {
                selector.select(
                        key -> {
                            try {
                                handleReady(key);
                            } catch (IOException exception) {
                                key.cancel();
                            }
                        },
                        Math.min(20, remainingNanos / 1_000_000 + 1));
            }
        }

        private void handleReady(SelectionKey key) throws IOException {
            if (key.isAcceptable()) {
                SocketChannel upstream = listener.accept();
                upstream.configureBlocking(false);
                upstream.register(selector, SelectionKey.OP_READ, Boolean.FALSE);
                return;
            }
            SocketChannel channel = (SocketChannel) key.channel();
            in.clear();
            if (channel.read(in) < 0) {
                channel.close();
                return;
            }
            String text = new String(in.array(), 0, in.position(), StandardCharsets.ISO_8859_1);
            for (int at = 0; (at = text.indexOf("\r\n\r\n", at)) >= 0; at += 4) {
                if (key.attachment() == Boolean.TRUE) {
                    if (++receivedResponses % REQUESTS_PER_CONNECTION == 0) {
                        channel.close();
                        connect();
                        return;
                    }
                    sendRequest(channel);
                } else if (!text.startsWith("GET /registry/")) {
                    channel.write(
                            ++sentResponses % RESPONSES_PER_CLOSE == 0
                                    ? encodedLastResponse.duplicate()
                                    : encodedResponse.duplicate());
                }
            }
        }

        private void connect() throws IOException {
            SocketChannel client = SocketChannel.open(sidecar);
            client.configureBlocking(false);
            client.register(selector, SelectionKey.OP_READ, Boolean.TRUE);
            sendRequest(client);
        }

        private void sendRequest(SocketChannel client) throws IOException {
            if (sentRequests < REQUESTS) {
                client.write(requests.get(sentRequests % requests.size()).withNumber(sentRequests));
                sentRequests++;
            }
        }

        @Override
        public void close() throws IOException {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        }
    }
}
