package loadbalancer.trace;

import java.util.Set;

/**
 * What of the traces is kept.
 *
 * @param faultsPerSecond  refused, failed, left, slow and repeated requests, at most, beside a few of each kind
 * @param notablePerSecond    those with second copies alone, and those that the client's side keeps
 * @param ordinaryPerSecond of all others
 * @param slowObjectiveRatio         of a class's aim, beyond which an answer is slow
 * @param alwaysSampledClasses            classes whose attempts always tell the upstream to keep its part
 * @param maxRememberedRequests        keyed requests that are remembered, so that the client's own retry joins their trace
 * @param retryWindowMicros     for how long they are
 */
public record SamplingOptions(
        double faultsPerSecond,
        double notablePerSecond,
        double ordinaryPerSecond,
        double slowObjectiveRatio,
        Set<String> alwaysSampledClasses,
        int maxRememberedRequests,
        long retryWindowMicros) {}
