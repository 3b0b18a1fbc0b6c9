package loadbalancer.operator;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import loadbalancer.zones.ZoneOptions;

/**
 * Reads a zone policy that applies to a whole fleet: the part of {@code [zones]} that may change while requests are
 * served. Reading is as strict as for the operator's file. Zones that the platform does not know are rejected, so that
 * no sidecar accepts a policy that another one can't apply.
 */
public final class PolicyFile {
    /**
     * A zone policy.
     *
     * @param drainedZones zones that get no new requests
     * @param tiers        zones grouped into tiers, in the order of preference; empty if no zone is preferred
     */
    public record ZonePolicy(Set<String> drainedZones, List<List<String>> tiers) {
        /**
         * Returns the policy in force while some sidecars have this policy and others already have {@code next}: the
         * drained zones of both and the tiers of this one.
         */
        public ZonePolicy strictestWith(ZonePolicy next) {
            Set<String> drainedInEither = new LinkedHashSet<>(drainedZones);
            drainedInEither.addAll(next.drainedZones);
            return new ZonePolicy(drainedInEither, tiers);
        }

        /** Returns the configured zone options with their drained zones and tiers replaced by those of this policy. */
        public ZoneOptions applyTo(ZoneOptions configured) {
            return new ZoneOptions(
                    tiers,
                    Set.copyOf(drainedZones),
                    configured.overprovisioningFactor(),
                    configured.panicThreshold(),
                    configured.minRequestsPerSecond(),
                    configured.rateDoublingMicros(),
                    configured.trialIntervalMicros(),
                    configured.penaltyHalfLifeMicros(),
                    configured.maxIdempotencyKeys(),
                    configured.idempotencyKeyRetentionMicros());
        }
    }

    private PolicyFile() {}

    /**
     * Reads a policy.
     *
     * @param knownZones the zones that the platform knows; empty if it names none, then any zone is accepted
     * @throws ConfigurationException if the policy is invalid
     */
    public static ZonePolicy read(byte[] content, List<String> knownZones) throws ConfigurationException {
        ConfigurationTable root =
                ConfigurationTable.parse("policy", new String(content, StandardCharsets.UTF_8), Map.of());
        ConfigurationTable table = root.table("zones");
        if (table == null) {
            throw new ConfigurationException("policy: expected a table [zones]");
        }
        ZonePolicy policy = new ZonePolicy(new LinkedHashSet<>(table.strings("away")), OperatorFile.tiers(table));
        Set<String> namedZones = new LinkedHashSet<>(policy.drainedZones);
        policy.tiers.forEach(namedZones::addAll);
        for (String zone : namedZones) {
            if (!knownZones.isEmpty() && !knownZones.contains(zone)) {
                throw new ConfigurationException(
                        "policy: [zones]: there is no zone '" + zone + "'; there are " + String.join(", ", knownZones));
            }
        }
        table.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return policy;
    }
}
