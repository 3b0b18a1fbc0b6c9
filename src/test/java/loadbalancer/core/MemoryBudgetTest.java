package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private final AtomicInteger exceeded = new AtomicInteger();
    private final MemoryBudget budget = new MemoryBudget(100, exceeded::incrementAndGet);

    @Test
    void whatIsHeldMayExceedTheLimitAndIsReportedOnce() {
        budget.add(100);
        assertTrue(budget.hasCapacity());
        budget.add(1);
        budget.add(1);
        assertFalse(budget.hasCapacity());
        assertEquals(1, exceeded.get());
        budget.add(-2);
        assertTrue(budget.hasCapacity());
        assertEquals(100, budget.heldBytes());
    }

    @Test
    void reservationsStayWithinTheLimit() {
        assertTrue(budget.tryReserve(60));
        assertFalse(budget.tryReserve(60));
        assertFalse(budget.tryReserve(60));
        assertEquals(1, exceeded.get());
        assertEquals(60, budget.heldBytes());
        budget.add(-60);
        assertTrue(budget.tryReserve(100));
        assertFalse(budget.tryReserve(1));
        assertEquals(2, exceeded.get());
    }
}
