package loadbalancer.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.zones.IdempotencyLedger.LedgerAttempt;
import org.junit.jupiter.api.Test;

class IdempotencyLedgerTest {
    private static final long SECOND = 1_000_000;
    private static final Upstream A1 = upstream("a1", "a", 1);
    private static final Upstream A2 = upstream("a2", "a", 2);
    private static final Upstream B1 = upstream("b1", "b", 1);
    private static final RequestClass BY_ZONE = confirmation(IdempotencyScope.ZONE);
    private static final RequestClass BY_CELL = confirmation(IdempotencyScope.CELL);
    private static final RequestClass BY_ALL = confirmation(IdempotencyScope.ALL);

    private static Upstream upstream(String upstreamId, String zone, int cell) {
        return new Upstream(upstreamId, zone, "k", cell, 0, 1, UpstreamState.READY);
    }

    private static RequestClass confirmation(IdempotencyScope scope) {
        return new RequestClass("confirm", Idempotency.WITH_KEY, scope, 4 * SECOND, 300_000, 0, 800_000, 9, 0, false);
    }

    private static IdempotencyLedger ledgerOf(int maxKeys) {
        return new IdempotencyLedger(maxKeys, 60 * SECOND);
    }

    @Test
    void keyThatMayHaveRunIsAllowedOnlyInItsZone() {
        // given
        IdempotencyLedger ledger = ledgerOf(10);
        LedgerAttempt attempt = ledger.attemptSent(0, BY_ZONE, "k", A1);
        // then, first while the attempt is in flight, and then after it has ended and may have run
        for (int round = 0; round < 2; round++) {
            assertTrue(ledger.allows(SECOND, BY_ZONE, "k", A2));
            assertFalse(ledger.allows(SECOND, BY_ZONE, "k", B1));
            assertTrue(ledger.mayHaveRun(BY_ZONE, "k"));
            assertFalse(ledger.isUnservable(SECOND, BY_ZONE, "k"));
            ledger.attemptEnded(attempt);
        }
        // No upstream deduplicates the key once the idempotency window is over.
        assertFalse(ledger.allows(4 * SECOND, BY_ZONE, "k", A1));
        assertFalse(ledger.allows(4 * SECOND, BY_ZONE, "k", B1));
        assertTrue(ledger.isUnservable(4 * SECOND, BY_ZONE, "k"));
        // Other keys, and the same key of another request class, are not affected.
        assertTrue(ledger.allows(SECOND, BY_ZONE, "other", B1));
        assertFalse(ledger.mayHaveRun(
                new RequestClass("x", Idempotency.WITH_KEY, IdempotencyScope.ZONE, SECOND, 1, 0, 1, 1, 0, false), "k"));
    }

    @Test
    void attemptThatNeverRanIsRemoved() {
        // given
        IdempotencyLedger ledger = ledgerOf(10);
        LedgerAttempt attempt = ledger.attemptSent(0, BY_ZONE, "k", A1);
        assertFalse(ledger.allows(SECOND, BY_ZONE, "k", B1));
        // when
        ledger.attemptNeverRan(BY_ZONE, "k", attempt);
        // then
        assertTrue(ledger.allows(SECOND, BY_ZONE, "k", B1));
        assertFalse(ledger.mayHaveRun(BY_ZONE, "k"));
        assertEquals(0, ledger.size());
        // Removing one of two attempts keeps the other one.
        LedgerAttempt first = ledger.attemptSent(0, BY_ZONE, "k", A1);
        ledger.attemptSent(0, BY_ZONE, "k", A2);
        ledger.attemptNeverRan(BY_ZONE, "k", first);
        assertFalse(ledger.allows(SECOND, BY_ZONE, "k", B1));
    }

    @Test
    void idempotencyScopeIsThatOfTheRequestClass() {
        // given
        IdempotencyLedger byCell = ledgerOf(10);
        byCell.attemptSent(0, BY_CELL, "k", A1);
        IdempotencyLedger byAll = ledgerOf(10);
        byAll.attemptSent(0, BY_ALL, "k", A1);
        // then
        assertFalse(byCell.allows(SECOND, BY_CELL, "k", A2));
        assertTrue(byCell.allows(SECOND, BY_CELL, "k", B1));
        assertTrue(byAll.allows(SECOND, BY_ALL, "k", B1));
        assertFalse(byAll.allows(4 * SECOND, BY_ALL, "k", B1));
    }

    @Test
    void fullLedgerAllowsNoNewKeyAndEvictsNoneEarly() {
        // given
        IdempotencyLedger ledger = ledgerOf(100);
        // when
        int allowedCount = 0;
        for (int i = 0; i < 1_000; i++) {
            if (ledger.allows(i, BY_ZONE, "k" + i, A1)) {
                ledger.attemptSent(i, BY_ZONE, "k" + i, A1);
                allowedCount++;
            }
        }
        // then
        assertEquals(100, allowedCount);
        assertEquals(100, ledger.size());
        assertTrue(ledger.refusedWhenFullCount() >= 900);
        assertFalse(ledger.allows(SECOND, BY_ZONE, "k0", B1));
        // A new attempt extends the retention of its key; the other keys expire.
        ledger.attemptSent(30 * SECOND, BY_ZONE, "k0", A1);
        assertTrue(ledger.allows(61 * SECOND, BY_ZONE, "new", A1));
        ledger.attemptSent(61 * SECOND, BY_ZONE, "new", A1);
        assertEquals(2, ledger.size());
        assertTrue(ledger.mayHaveRun(BY_ZONE, "k0"));
    }

    @Test
    void attemptsPerKeyAreBounded() {
        // given
        IdempotencyLedger ledger = ledgerOf(100);
        // when
        int sentCount = 0;
        while (sentCount < 1_000 && ledger.allows(sentCount, BY_ZONE, "k", A1)) {
            ledger.attemptSent(sentCount++, BY_ZONE, "k", A1);
        }
        // then
        assertEquals(16, sentCount);
        assertTrue(ledger.isUnservable(20, BY_ZONE, "k"));
    }
}
