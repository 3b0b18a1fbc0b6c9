package loadbalancer.sidecar;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.core.Attempt;
import loadbalancer.http1.HealthCheck;
import loadbalancer.http1.Upstreams;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointEvidence;

/** The engine's network on real sockets. */
final class SidecarNetwork implements Engine.Network {
    private final Upstreams upstreams;
    private final HealthCheck endpointCheck;
    private GossipSocket peers;
    private GossipSocket replicas;

    SidecarNetwork(Upstreams upstreams, HealthCheck endpointCheck) {
        this.upstreams = upstreams;
        this.endpointCheck = endpointCheck;
    }

    /** Called before the engine's start. {@code replicaSocket} is null without a control tier. */
    void connect(GossipSocket peerSocket, GossipSocket replicaSocket) {
        peers = peerSocket;
        replicas = replicaSocket;
    }

    @Override
    public void update(boolean complete, List<Endpoint> endpoints) {
        upstreams.update(complete, endpoints);
    }

    @Override
    public void checkEndpoint(InetSocketAddress address, Consumer<EndpointEvidence> result) {
        endpointCheck.check(address, result);
    }

    @Override
    public void checkHealth(String upstreamId, long untilMicros, Attempt.Listener result) {
        upstreams.newHealthCheck(upstreamId, untilMicros, result).start();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        peers.send(peer, message);
    }

    @Override
    public void sendToReplica(int replica, byte[] datagram) {
        replicas.send(replica, datagram);
    }

    @Override
    public void closeIdleConnections(String upstreamId) {
        upstreams.closeIdleConnections(upstreamId);
    }
}
