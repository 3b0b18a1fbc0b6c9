package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import loadbalancer.core.Log;
import loadbalancer.grpc.GrpcServer;
import loadbalancer.http1.HttpServer;
import loadbalancer.operator.ControlOptions;

/** The sockets that a sidecar listens on for clients, peers and the control tier. */
final class Listeners {
    private final EventLoop loop;
    private final SidecarConfig config;
    private final HttpServer http;

    /** Null where gRPC is off, so that no HTTP/2 class is loaded. */
    private final GrpcServer grpc;

    private final GossipSocket peers;

    /** Null without a control tier. */
    private final GossipSocket replicas;

    /** Whether another process of this sidecar may listen on the same addresses. */
    private final boolean shared;

    private InetSocketAddress httpAddress;
    private InetSocketAddress grpcAddress;

    Listeners(
            EventLoop loop,
            SidecarConfig config,
            HttpServer http,
            GrpcServer grpc,
            GossipSocket peers,
            GossipSocket replicas,
            boolean shared) {
        this.loop = loop;
        this.config = config;
        this.http = http;
        this.grpc = grpc;
        this.peers = peers;
        this.replicas = replicas;
        this.shared = shared;
    }

    /** Receives messages of peers and of the control tier; {@code control} is null without one. */
    void listenForGossip(ControlOptions control) throws InterruptedException {
        if (config.peerListen() != null) {
            peers.listen(loop, config.peerListen(), shared);
        }
        if (replicas != null) {
            replicas.listen(loop, control.listen(), false);
        }
    }

    void listenForHttp() throws InterruptedException {
        httpAddress = http.listen(config.listen(), shared);
    }

    void listenForGrpc() throws InterruptedException {
        if (grpc != null) {
            grpcAddress = grpc.listen(shared);
            Log.event("grpc.serves", "takes gRPC on " + grpcAddress, "address", grpcAddress);
        }
    }

    /** Null before {@link #listenForHttp}. */
    InetSocketAddress httpAddress() {
        return httpAddress;
    }

    /** Null before {@link #listenForGrpc}, and where gRPC is off. */
    InetSocketAddress grpcAddress() {
        return grpcAddress;
    }

    /**
     * Stops both protocols gracefully; requests in progress are answered. HTTP still accepts connections for as long as
     * clients may open them, unless another process has taken over. Event loop only.
     *
     * @param handedOver whether another process of this sidecar serves already
     * @param onDone     runs when both protocols have answered all requests
     */
    void stop(boolean handedOver, Runnable onDone) {
        int[] openProtocols = {grpc == null ? 1 : 2};
        Runnable stopped = () -> {
            openProtocols[0]--;
            if (openProtocols[0] == 0) {
                onDone.run();
            }
        };
        if (handedOver) {
            http.handOver(stopped);
        } else {
            http.stop(stopped);
        }
        if (grpc != null) {
            grpc.stop(stopped);
        }
    }
}
