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
 * Reads a zone policy that a whole fleet goes by: the part of {@code [zones]} that may change while requests are served. It is read as
 * strictly as the operator's file; zones that the platform does not know are an error, so that no sidecar accepts what another one can't.
 */
public final class PolicyFile {
    /**
     * A zone policy.
     *
     * @param drainedZones zones that get no new requests
     * @param tiers        zones in the order of preference; empty where none is preferred
     */
    public record ZonePolicy(Set<String> drainedZones, List<List<String>> tiers) {
        /** What is in force while some sidecars have this policy and some the next: the drained zones of both, the tiers of this one. */
        public ZonePolicy strictestWith(ZonePolicy next) {
            Set<String> both = new LinkedHashSet<>(drainedZones);
            both.addAll(next.drainedZones);
            return new ZonePolicy(both, tiers);
        }

        /** The operator's own options with this policy in place of theirs. */
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
     * @param known the zones that the platform names; empty where it names none
     * @throws ConfigurationException where anything in it is wrong
     */
    public static ZonePolicy read(byte[] content, List<String> known) throws ConfigurationException {
        ConfigurationTable root =
                ConfigurationTable.parse("policy", new String(content, StandardCharsets.UTF_8), Map.of());
        ConfigurationTable table = root.table("zones");
        if (table == null) {
            throw new ConfigurationException("policy: expected a table [zones]");
        }
        ZonePolicy policy = new ZonePolicy(new LinkedHashSet<>(table.strings("away")), OperatorFile.tiers(table));
        Set<String> named = new LinkedHashSet<>(policy.drainedZones);
        policy.tiers.forEach(named::addAll);
        for (String zone : named) {
            if (!known.isEmpty() && !known.contains(zone)) {
                throw new ConfigurationException(
                        "policy: [zones]: there is no zone '" + zone + "'; there are " + String.join(", ", known));
            }
        }
        table.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return policy;
    }
}
