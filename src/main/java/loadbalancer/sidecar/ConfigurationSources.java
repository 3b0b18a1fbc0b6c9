package loadbalancer.sidecar;

import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.consensus.ConsensusGroup;
import loadbalancer.core.Clock;
import loadbalancer.operator.ConsensusOptions;
import loadbalancer.operator.OperatorConfiguration;

/** Selects the configuration source that the operator's file configures, without loading the classes of the others. */
final class ConfigurationSources {
    private ConfigurationSources() {}

    /**
     * The factory of the source; null where the operator's file configures none.
     *
     * @param seed differs for each incarnation of the process
     */
    static ConfigurationSource.Factory forOperator(
            OperatorConfiguration operator, Settings settings, long seed, Clock clock, Engine.Network network) {
        int sidecarIndex = settings.sidecarIndex();
        if (operator.control() != null) {
            return check -> new ControlTierSource(
                    operator.control(), sidecarIndex, seed, clock.nowMicros(), network::sendToReplica, check);
        }
        if (operator.consensus() == null) {
            return null;
        }
        ConsensusOptions options = operator.consensus();
        ConsensusGroup group = ConsensusGroup.withoutSubscribers(
                options.fleet().hashCode(), options.voters(), settings.sidecarCount(), options.leaseMicros());
        return check ->
                new FleetConsensusSource(group, sidecarIndex, seed, clock.nowMicros(), network::sendToPeer, check);
    }
}
