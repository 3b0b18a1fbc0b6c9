package loadbalancer.sidecar;

import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.control.ControlClient;
import loadbalancer.control.ControlGroup;
import loadbalancer.control.RendezvousOrder;
import loadbalancer.operator.ControlOptions;

/** Configuration decided by a control tier: this sidecar subscribes to its service's scope and proposes nothing. */
final class ControlTierSource implements ConfigurationSource {
    private static final int SCOPE = 0;
    private static final String DECIDED_BY_CONTROL_TIER = "a control tier decides: call one of its replicas";

    private final ControlClient client;
    private final Network network;

    /** @param sidecarIndex determines the order of replicas, so that sidecars spread over them */
    ControlTierSource(
            ControlOptions options,
            int sidecarIndex,
            long seed,
            long nowMicros,
            Network network,
            Function<byte[], String> check) {
        this.network = network;
        ControlGroup group = options.tier().group();
        int[] replicas = RendezvousOrder.forSidecar(sidecarIndex, group.replicas(), options.nearReplicas());
        client = new ControlClient(group, List.of(SCOPE), replicas, seed, nowMicros, check);
    }

    @Override
    public ActiveStage activeStage(long nowMicros) {
        return client.activeStage(SCOPE, nowMicros);
    }

    @Override
    public boolean hasLearned() {
        return client.isReady();
    }

    @Override
    public long leaseExpiryMicros() {
        return client.leaseExpiryMicros(SCOPE);
    }

    @Override
    public byte[] content(long version) {
        return client.content(SCOPE, version).orElse(null);
    }

    @Override
    public long nextTickMicros() {
        return client.nextTickMicros();
    }

    @Override
    public void tick(long nowMicros) {
        client.tick(nowMicros, network::send);
    }

    @Override
    public void receive(long nowMicros, int from, byte[] datagram) {
        client.receive(nowMicros, from, datagram, network::send);
    }

    @Override
    public String propose(long nowMicros, byte[] content) {
        return DECIDED_BY_CONTROL_TIER;
    }

    @Override
    public String abort(long nowMicros) {
        return DECIDED_BY_CONTROL_TIER;
    }

    @Override
    public boolean isProposalPending() {
        return false;
    }

    @Override
    public String rejectionReason() {
        return null;
    }

    @Override
    public BitSet awaitedMembers() {
        return new BitSet();
    }

    @Override
    public long droppedMessages() {
        return client.droppedMessages();
    }
}
