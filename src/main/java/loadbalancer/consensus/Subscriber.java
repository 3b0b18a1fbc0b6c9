package loadbalancer.consensus;

import java.util.function.LongPredicate;

/**
 * A subscriber's lease on the stage that it decides by. The subscriber asks any one member, counts the granted time
 * from its request by its own monotonic clock, and never goes back to an earlier stage. Does no I/O and reads no clock.
 */
final class Subscriber {
    private final SafetyRules rules;
    private final int processId;
    private final LongPredicate contentAvailable;

    private int nonce;
    private long requestedAtMicros;
    private Stage lastStage;
    private long era;
    private long expiryMicros = Long.MIN_VALUE;

    /**
     * Creates a subscriber that knows no stage yet.
     *
     * @param processId identifies this process, so that a member distinguishes its leases from those of an earlier
     *     process
     * @param contentAvailable tells whether this process has the valid content of a version; stages with other versions
     *     are not adopted
     */
    Subscriber(SafetyRules rules, int processId, LongPredicate contentAvailable) {
        this.rules = rules;
        this.processId = processId;
        this.contentAvailable = contentAvailable;
        nonce = processId * 31;
    }

    private Subscriber(Subscriber other) {
        rules = other.rules;
        processId = other.processId;
        contentAvailable = other.contentAvailable;
        nonce = other.nonce;
        requestedAtMicros = other.requestedAtMicros;
        lastStage = other.lastStage;
        era = other.era;
        expiryMicros = other.expiryMicros;
    }

    Subscriber copy() {
        return new Subscriber(this);
    }

    /** Creates a new lease request. From now on only a lease granted on this request counts. */
    Message.SubscriberLeaseRequest requestLease(long nowMicros) {
        nonce++;
        requestedAtMicros = nowMicros;
        long index = lastStage == null ? Stage.UNKNOWN_INDEX : lastStage.index();
        return new Message.SubscriberLeaseRequest(processId, nonce, era, index);
    }

    /** Handles a granted lease. Returns true if the subscriber adopts another stage. */
    boolean receive(long nowMicros, Message.SubscriberLease lease) {
        if (lease.nonce() != nonce) {
            return false;
        }
        boolean sameEra = lastStage != null && lease.era() == era;
        boolean stillLeased = lastStage != null && nowMicros < expiryMicros;
        boolean earlier = sameEra && lease.stage().index() < lastStage.index();
        if (earlier || !sameEra && stillLeased) {
            return false;
        }
        // Not short-circuited, because each test starts the download of a missing content.
        if (!contentAvailable.test(lease.stage().oldVersion())
                | !contentAvailable.test(lease.stage().newVersion())) {
            return false;
        }
        boolean sameStage = sameEra && lease.stage().equals(lastStage);
        long grantedUntilMicros = requestedAtMicros + lease.validMicros();
        expiryMicros = sameStage ? Math.max(expiryMicros, grantedUntilMicros) : grantedUntilMicros;
        lastStage = lease.stage();
        era = lease.era();
        return !sameStage;
    }

    /** Returns the stage to decide by now; null without a valid lease. */
    Stage leasedStage(long nowMicros) {
        return lastStage != null && (!rules.enforces(SafetyRule.LEASE_END) || nowMicros < expiryMicros)
                ? lastStage
                : null;
    }

    /** Returns the last known stage, with or without a valid lease; null before any is known. */
    Stage lastStage() {
        return lastStage;
    }

    /** Returns when the last lease expires; {@link Long#MIN_VALUE} before the first. */
    long expiryMicros() {
        return expiryMicros;
    }

    long era() {
        return era;
    }

    /** Appends a description that differs between different states, with times relative to now. */
    void appendState(StringBuilder text, long nowMicros) {
        text.append('S')
                .append(lastStage)
                .append(' ')
                .append(era & 0xffff)
                .append(' ')
                .append(nonce)
                .append(' ')
                .append(expiryMicros == Long.MIN_VALUE ? -1 : Math.max(0, expiryMicros - nowMicros))
                .append(' ')
                .append(nowMicros - requestedAtMicros);
    }
}
