package loadbalancer.membership;

/**
 * Decides by a list's age whether it is used, with or without checks, and limits the checks of a stale list. Times in
 * microseconds.
 *
 * @param maxFreshAgeMicros   lists up to this age are used without checks; 0 or more
 * @param maxUsableAgeMicros  lists beyond this age are not used; no less than {@code maxFreshAgeMicros}
 * @param assumedAgeMicros    age assumed for a list without a time; {@link #AGE_UNKNOWN} to treat it as stale
 * @param checksPerSecond     maximum rate of checks, not counting successful ones; above 0
 * @param maxConcurrentChecks maximum number of checks in flight, and the burst size of the rate limit; above 0
 */
public record StalenessPolicy(
        long maxFreshAgeMicros,
        long maxUsableAgeMicros,
        long assumedAgeMicros,
        double checksPerSecond,
        int maxConcurrentChecks) {
    /** Value of {@code assumedAgeMicros} that makes a list without a time stale. */
    public static final long AGE_UNKNOWN = -1;

    /** Uses every list without checks. */
    public static final StalenessPolicy ACCEPT_ALL = new StalenessPolicy(Long.MAX_VALUE, Long.MAX_VALUE, 0, 1, 1);

    enum Staleness {
        /** Not classified, because the policy accepts lists of any age. */
        UNCHECKED,
        /** The list is used without checks. */
        FRESH,
        /** Each endpoint of the list is checked before it is used. */
        STALE,
        /** The list is not used. */
        EXPIRED
    }

    /** @throws IllegalArgumentException if a value is out of its bounds */
    public StalenessPolicy {
        if (maxFreshAgeMicros < 0
                || maxUsableAgeMicros < maxFreshAgeMicros
                || !(checksPerSecond > 0)
                || maxConcurrentChecks <= 0) {
            throw new IllegalArgumentException("staleness policy: maxFreshAgeMicros must be at least 0,"
                    + " maxUsableAgeMicros at least maxFreshAgeMicros,"
                    + " checksPerSecond and maxConcurrentChecks above 0");
        }
    }

    boolean acceptsAll() {
        return maxFreshAgeMicros == Long.MAX_VALUE;
    }

    /**
     * Classifies a list by its time. A time in the future comes from another machine's clock, or this clock was set
     * back; the age is unknown then, so the list is stale.
     */
    Staleness classify(long nowMicros, long asOfMicros) {
        if (acceptsAll()) {
            return Staleness.UNCHECKED;
        }
        long ageMicros = asOfMicros > 0 ? nowMicros - asOfMicros : assumedAgeMicros;
        if (ageMicros < 0) {
            return Staleness.STALE;
        }
        if (ageMicros <= maxFreshAgeMicros) {
            return Staleness.FRESH;
        }
        return ageMicros <= maxUsableAgeMicros ? Staleness.STALE : Staleness.EXPIRED;
    }
}
