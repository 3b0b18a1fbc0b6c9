package loadbalancer.control;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.zip.CRC32C;
import loadbalancer.consensus.ConsensusGroup;

/**
 * The configuration that has to be the same at all processes of a control tier.
 *
 * @param fleet distinguishes this tier's datagrams from those of others
 * @param scopes unique names of the services whose configuration is agreed on; 1 to {@link #MAX_SCOPES}
 * @param voters number of voters, which are the replicas with the lowest numbers: 1, 3, 5 or 7
 * @param replicas number of replicas; they are numbered from 0, and sidecars have the numbers after them
 * @param leaseMicros length of a replica's lease
 * @param subscriberLeaseMicros length of a sidecar's lease, at most {@code leaseMicros}; bounds how long a lost sidecar
 *     delays a change
 */
public record ControlGroup(
        String fleet, List<String> scopes, int voters, int replicas, long leaseMicros, long subscriberLeaseMicros) {
    public static final int MAX_SCOPES = 1_024;

    /**
     * @throws IllegalArgumentException if the number of scopes or the subscriber lease is out of bounds, or two scopes
     *     have the same register id
     */
    public ControlGroup {
        scopes = List.copyOf(scopes);
        if (scopes.isEmpty() || scopes.size() > MAX_SCOPES) {
            throw new IllegalArgumentException(scopes.size() + " scopes, expected 1 to " + MAX_SCOPES);
        }
        if (subscriberLeaseMicros <= 0 || subscriberLeaseMicros > leaseMicros) {
            throw new IllegalArgumentException(
                    "subscriber lease of " + subscriberLeaseMicros + " us, expected 1 to " + leaseMicros);
        }
        Set<Integer> seen = new HashSet<>();
        for (String scope : scopes) {
            if (!seen.add(registerId(fleet, scope, voters, replicas, leaseMicros, subscriberLeaseMicros))) {
                throw new IllegalArgumentException("scope '" + scope + "' has the same register id as another scope");
            }
        }
    }

    /** Generated scope names, for simulations and tests in which only the number of scopes matters. */
    static List<String> numberedScopes(int scopes) {
        return IntStream.range(0, scopes).mapToObj(scope -> "scope-" + scope).toList();
    }

    /**
     * The register of a scope, by index. Its id is a checksum of the scope's name and of this configuration, so
     * messages of processes with another configuration are not accepted.
     */
    public ConsensusGroup register(int scope) {
        int registerId = registerId(fleet, scopes.get(scope), voters, replicas, leaseMicros, subscriberLeaseMicros);
        return new ConsensusGroup(registerId, voters, replicas, leaseMicros, subscriberLeaseMicros);
    }

    private static int registerId(
            String fleet, String scope, int voters, int replicas, long leaseMicros, long subscriberLeaseMicros) {
        String identity = fleet + "\0" + scope + "\0" + voters + "\0" + replicas + "\0" + leaseMicros + "\0"
                + subscriberLeaseMicros + "\0";
        CRC32C crc = new CRC32C();
        crc.update(identity.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }
}
