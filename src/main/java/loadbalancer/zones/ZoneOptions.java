package loadbalancer.zones;

import java.util.List;
import java.util.Set;

/**
 * The operator's settings for zones.
 *
 * @param tiers                         zones in order of preference; zones that no tier names form the last one; empty
 *                                      for no preference
 * @param drainedZones                  zones that get no new requests
 * @param overprovisioningFactor        a tier keeps all of the load until its available fraction falls below the
 *                                      inverse of this
 * @param panicThreshold                available fraction of all upstreams below which no zone is excluded
 * @param minRequestsPerSecond          rate that one sidecar may always send to a zone that is not excluded
 * @param rateDoublingMicros            shortest time in which the rate to a zone may double, after another zone was
 *                                      lost or when the zone returns
 * @param trialIntervalMicros           mean time between one sidecar's trial requests to an excluded zone
 * @param penaltyHalfLifeMicros         half-life of a flapping zone's penalty
 * @param maxIdempotencyKeys            maximum number of idempotency keys that are kept
 * @param idempotencyKeyRetentionMicros how long an idempotency key is kept; longer than any client retries
 */
public record ZoneOptions(
        List<List<String>> tiers,
        Set<String> drainedZones,
        double overprovisioningFactor,
        double panicThreshold,
        double minRequestsPerSecond,
        long rateDoublingMicros,
        long trialIntervalMicros,
        long penaltyHalfLifeMicros,
        int maxIdempotencyKeys,
        long idempotencyKeyRetentionMicros) {

    /**
     * Returns these options with the tiers and drained zones of {@code reloaded}; all others need a restart to change.
     */
    ZoneOptions reloadedFrom(ZoneOptions reloaded) {
        return new ZoneOptions(
                reloaded.tiers,
                reloaded.drainedZones,
                overprovisioningFactor,
                panicThreshold,
                minRequestsPerSecond,
                rateDoublingMicros,
                trialIntervalMicros,
                penaltyHalfLifeMicros,
                maxIdempotencyKeys,
                idempotencyKeyRetentionMicros);
    }
}
