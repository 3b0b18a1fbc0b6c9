package loadbalancer.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * How many members of one host have adopted each version, and when the last one did. Used on the host's event loop
 * only.
 */
final class AdoptionLog {
    /**
     * Adoptions of one version.
     *
     * @param adoptions number of adoptions; a member that restarts and adopts the version again counts each time
     * @param lastMicros Unix time of the last adoption; 0 without any
     */
    record Progress(int adoptions, long lastMicros) {}

    private static final Progress NONE = new Progress(0, 0);

    private final Map<Long, Progress> byVersion = new HashMap<>();

    void recordAdoption(long version, long nowMicros) {
        byVersion.merge(
                version,
                new Progress(1, nowMicros),
                (a, b) -> new Progress(a.adoptions + b.adoptions, Math.max(a.lastMicros, b.lastMicros)));
    }

    Progress progress(long version) {
        return byVersion.getOrDefault(version, NONE);
    }
}
