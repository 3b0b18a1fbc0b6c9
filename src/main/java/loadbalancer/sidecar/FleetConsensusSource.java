package loadbalancer.sidecar;

import java.util.BitSet;
import java.util.function.Function;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.consensus.ConsensusGroup;
import loadbalancer.consensus.ConsensusNode;

/**
 * Configuration decided by consensus among the sidecars; this sidecar is a member, and a voter if its index is below
 * the number of voters.
 */
final class FleetConsensusSource implements ConfigurationSource {
    private final ConsensusNode node;
    private final Network network;

    FleetConsensusSource(
            ConsensusGroup group,
            int sidecarIndex,
            long seed,
            long nowMicros,
            Network network,
            Function<byte[], String> check) {
        this.network = network;
        node = new ConsensusNode(group, sidecarIndex, seed, nowMicros, check);
    }

    @Override
    public ActiveStage activeStage(long nowMicros) {
        return node.activeStage(nowMicros);
    }

    @Override
    public boolean hasLearned() {
        return node.hasLearnedStage();
    }

    @Override
    public long leaseExpiryMicros() {
        return node.leaseExpiryMicros();
    }

    @Override
    public byte[] content(long version) {
        return node.content(version).orElse(null);
    }

    @Override
    public long nextTickMicros() {
        return node.nextTickMicros();
    }

    @Override
    public void tick(long nowMicros) {
        node.tick(nowMicros, network::send);
    }

    @Override
    public void receive(long nowMicros, int from, byte[] datagram) {
        node.receive(nowMicros, from, datagram, network::send);
    }

    @Override
    public String propose(long nowMicros, byte[] content) {
        return node.propose(nowMicros, content, network::send).orElse(null);
    }

    @Override
    public String abort(long nowMicros) {
        node.abort(nowMicros, network::send);
        return null;
    }

    @Override
    public boolean isProposalPending() {
        return node.isProposalPending();
    }

    @Override
    public String rejectionReason() {
        return node.rejectionReason().orElse(null);
    }

    @Override
    public BitSet awaitedMembers() {
        return node.awaitedMembers();
    }

    @Override
    public long droppedMessages() {
        return node.droppedMessages();
    }
}
