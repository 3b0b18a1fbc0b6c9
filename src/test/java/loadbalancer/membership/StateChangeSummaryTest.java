package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** The log line about the states that a list changes. */
class StateChangeSummaryTest {
    @Test
    void describesEachNewStateWithTheIdsThatHaveIt() {
        StateChangeSummary summary = new StateChangeSummary();
        summary.add("u1", UpstreamState.READY, UpstreamState.DRAINING);
        summary.add("u2", UpstreamState.READY, UpstreamState.GONE);
        summary.add("u3", UpstreamState.GONE, UpstreamState.READY);
        summary.add("u4", UpstreamState.READY, UpstreamState.DRAINING);
        assertEquals(
                Optional.of("list version 45: 1 removed (u2), 1 ready (u3), 2 draining (u1, u4)"),
                summary.describe(45));
    }

    @Test
    void describesNothingWhereNoStateChanges() {
        StateChangeSummary summary = new StateChangeSummary();
        summary.add("u1", UpstreamState.READY, UpstreamState.READY);
        assertEquals(Optional.empty(), summary.describe(45));
    }

    @Test
    void countsTheIdsThatItDoesNotName() {
        StateChangeSummary summary = new StateChangeSummary();
        for (int i = 1; i <= 6; i++) {
            summary.add("u" + i, UpstreamState.READY, UpstreamState.GONE);
        }
        assertEquals(Optional.of("list version 45: 6 removed (u1, u2, u3, u4, u5, ...)"), summary.describe(45));
    }
}
