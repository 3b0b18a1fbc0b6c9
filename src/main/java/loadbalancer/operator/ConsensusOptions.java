package loadbalancer.operator;

import java.nio.file.Path;

/**
 * Options of the agreement on zone policies within a fleet of sidecars.
 *
 * @param fleet       name of the fleet; equal on all sidecars that take part in the agreement
 * @param voters      number of voters, the sidecars with the lowest numbers; odd
 * @param leaseMicros how long a sidecar that receives no messages keeps applying the last policy it received
 * @param file        the policy file that this sidecar proposes; read when an operator requests the proposal
 */
public record ConsensusOptions(String fleet, int voters, long leaseMicros, Path file) {}
