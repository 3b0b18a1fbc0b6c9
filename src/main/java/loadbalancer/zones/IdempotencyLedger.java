package loadbalancer.zones;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Upstream;

/**
 * Records the attempts of requests with an idempotency key, including the client's own retries under new request ids.
 * While an attempt is in flight or may have run, another attempt is allowed only to upstreams in the scope that
 * deduplicates it, and only within the idempotency window. An attempt that provably never ran is removed. When the
 * ledger is full, no new key is allowed: rejecting its request is safe, whereas a request whose key was evicted too
 * early could run twice.
 */
final class IdempotencyLedger {
    /**
     * Safety margin at the end of the idempotency window, because a repeat must arrive before the upstreams forget the
     * key.
     */
    private static final long WINDOW_MARGIN_MICROS = 250_000;

    /** Limits the memory that a key takes if its client never stops retrying. */
    private static final int MAX_ATTEMPTS_PER_KEY = 16;

    private final int maxKeys;
    private final long retentionMicros;

    /** In order of the last attempt, so that the eldest entry expires first. */
    private final Map<String, KeyAttempts> attemptsByKey = new LinkedHashMap<>();

    private long refusedWhenFullCount;

    /**
     * @param maxKeys         maximum number of keys
     * @param retentionMicros how long a key is kept after its last attempt
     */
    IdempotencyLedger(int maxKeys, long retentionMicros) {
        this.maxKeys = maxKeys;
        this.retentionMicros = retentionMicros;
    }

    private static final class KeyAttempts {
        private final List<LedgerAttempt> attempts = new ArrayList<>(1);
        private long lastSentMicros;
    }

    /** One attempt that is in flight or may have run. */
    static final class LedgerAttempt {
        private final KeyAttempts keyAttempts;
        private final Upstream upstream;
        private final long sentMicros;
        private boolean ended;

        private LedgerAttempt(KeyAttempts keyAttempts, Upstream upstream, long sentMicros) {
            this.keyAttempts = keyAttempts;
            this.upstream = upstream;
            this.sentMicros = sentMicros;
        }
    }

    /** Whether an attempt with this key may be sent to {@code upstream} now. */
    boolean allows(long nowMicros, RequestClass requestClass, String idempotencyKey, Upstream upstream) {
        KeyAttempts keyAttempts = attemptsByKey.get(entryKey(requestClass, idempotencyKey));
        if (keyAttempts == null) {
            return attemptsByKey.size() < maxKeys || canEvictEldest(nowMicros);
        }
        if (keyAttempts.attempts.size() >= MAX_ATTEMPTS_PER_KEY) {
            return false;
        }
        for (LedgerAttempt attempt : keyAttempts.attempts) {
            if (!isDeduplicatedBy(upstream, attempt, nowMicros, requestClass)) {
                return false;
            }
        }
        return true;
    }

    /** Whether an attempt with this key is in flight or may have run. */
    boolean mayHaveRun(RequestClass requestClass, String idempotencyKey) {
        KeyAttempts keyAttempts = attemptsByKey.get(entryKey(requestClass, idempotencyKey));
        return keyAttempts != null && !keyAttempts.attempts.isEmpty();
    }

    /** Whether no upstream will be allowed again for this key, regardless of how the attempts in flight end. */
    boolean isUnservable(long nowMicros, RequestClass requestClass, String idempotencyKey) {
        KeyAttempts keyAttempts = attemptsByKey.get(entryKey(requestClass, idempotencyKey));
        if (keyAttempts == null) {
            return false;
        }
        for (LedgerAttempt attempt : keyAttempts.attempts) {
            Upstream first = keyAttempts.attempts.get(0).upstream;
            if (attempt.ended && !isDeduplicatedBy(first, attempt, nowMicros, requestClass)) {
                return true;
            }
        }
        return keyAttempts.attempts.size() >= MAX_ATTEMPTS_PER_KEY;
    }

    /** Records an attempt that is being sent, and returns the record to pass to later calls. */
    LedgerAttempt attemptSent(long nowMicros, RequestClass requestClass, String idempotencyKey, Upstream upstream) {
        evictExpired(nowMicros);
        String entryKey = entryKey(requestClass, idempotencyKey);
        KeyAttempts existing = attemptsByKey.remove(entryKey);
        KeyAttempts keyAttempts = existing == null ? new KeyAttempts() : existing;
        attemptsByKey.put(entryKey, keyAttempts);
        keyAttempts.lastSentMicros = nowMicros;
        LedgerAttempt attempt = new LedgerAttempt(keyAttempts, upstream, nowMicros);
        keyAttempts.attempts.add(attempt);
        return attempt;
    }

    /** Records that an attempt has ended and may have run. */
    void attemptEnded(LedgerAttempt attempt) {
        attempt.ended = true;
    }

    /** Removes an attempt that provably never ran. */
    void attemptNeverRan(RequestClass requestClass, String idempotencyKey, LedgerAttempt attempt) {
        attempt.keyAttempts.attempts.remove(attempt);
        if (attempt.keyAttempts.attempts.isEmpty()) {
            attemptsByKey.remove(entryKey(requestClass, idempotencyKey), attempt.keyAttempts);
        }
    }

    /** Number of keys in the ledger. */
    int size() {
        return attemptsByKey.size();
    }

    /** Number of calls of {@link #allows} that refused a new key because the ledger was full. */
    long refusedWhenFullCount() {
        return refusedWhenFullCount;
    }

    private static String entryKey(RequestClass requestClass, String idempotencyKey) {
        return requestClass.name() + ' ' + idempotencyKey;
    }

    /** Whether {@code upstream} would deduplicate a repeat of the earlier attempt now. */
    private static boolean isDeduplicatedBy(
            Upstream upstream, LedgerAttempt earlier, long nowMicros, RequestClass requestClass) {
        return nowMicros - earlier.sentMicros < requestClass.idempotencyWindowMicros() - WINDOW_MARGIN_MICROS
                && isSameScope(requestClass.idempotencyScope(), earlier.upstream, upstream);
    }

    private static boolean isSameScope(IdempotencyScope scope, Upstream first, Upstream second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case CELL -> first.cell() == second.cell();
        };
    }

    private boolean canEvictEldest(long nowMicros) {
        Iterator<KeyAttempts> eldest = attemptsByKey.values().iterator();
        boolean evictable = eldest.hasNext() && nowMicros - eldest.next().lastSentMicros >= retentionMicros;
        refusedWhenFullCount += evictable ? 0 : 1;
        return evictable;
    }

    private void evictExpired(long nowMicros) {
        Iterator<KeyAttempts> eldestFirst = attemptsByKey.values().iterator();
        while (eldestFirst.hasNext() && nowMicros - eldestFirst.next().lastSentMicros >= retentionMicros) {
            eldestFirst.remove();
        }
    }
}
