package loadbalancer.operator;

import java.nio.file.Path;

/**
 * Options of the agreement on zone policies within a fleet of sidecars.
 *
 * @param fleet       name of the fleet; equal on all sidecars that take part in the agreement
 * @param voters      number of voters, the sidecars with the lowest numbers; odd
 * @param leaseMicros length of a lease; a sidecar whose lease has expired may have missed a change, and keeps the
 *                    last policy
 * @param file        the policy file that this sidecar proposes; read when an operator requests the proposal
 */
public record ConsensusOptions(String fleet, int voters, long leaseMicros, Path file) {}
