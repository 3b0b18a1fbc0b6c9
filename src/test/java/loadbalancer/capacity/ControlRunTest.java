package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.ResourceLock;

/** A small control tier on real sockets and processes, with what the scale run does to it at size. */
@Timeout(120)
@ResourceLock("a fleet of processes")
class ControlRunTest {
    private static final long MOST_US = 40_000_000;
    private static final ControlFleet FLEET = new ControlFleet(4, 3, 24, 6, 2, 2_000_000, 1_200_000);

    @Test
    void changesReachAllThatCanBeReachedThoughASidecarAndAReplicaAreGone() throws Exception {
        try (ControlRun run = new ControlRun(FLEET)) {
            run.startReplicas();
            run.startSidecars();
            for (int scope = 0; scope < 3; scope++) {
                ScaleRun.Change change = run.change(scope, scope, 0, MOST_US);
                assertTrue(change.isComplete(), change::toString);
                assertEquals(FLEET.subscribers(scope), change.expectedMembers());
            }
            int away = run.subscriberOf(4);
            run.silence(away);
            assertTrue(run.change(1, 4, 1, MOST_US).isComplete());
            run.restart(away);
            run.killReplica(0);
            assertTrue(run.change(1, 4, 0, MOST_US).isComplete(), "with it again, and one voter less");
            ResourceUsage before = run.sidecarUsage();
            run.change(2, 5, 0, MOST_US);
            assertTrue(run.sidecarUsage().since(before).datagramsOut() > 0);
        }
    }

    @Test
    void aHostReadsTheFleetThatItIsTold() {
        List<String> arguments = FLEET.arguments();
        assertEquals(FLEET, ControlFleet.parse(arguments));
        assertEquals(2, FLEET.scopesOf(7).size());
        assertEquals(FLEET.scopesOf(7), ControlFleet.parse(arguments).scopesOf(7));
    }
}
