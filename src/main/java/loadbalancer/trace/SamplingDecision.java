package loadbalancer.trace;

import java.util.Set;

/**
 * What became of a trace that is over.
 *
 * @param weight for how many such traces it stands; 0 where it is not kept
 * @param pool   whose rate it came under
 */
public record SamplingDecision(Set<SamplingReason> reasons, SamplingReason.Pool pool, double weight) {
    public boolean sampled() {
        return weight > 0;
    }
}
