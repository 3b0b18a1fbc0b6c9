package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.ResourceLock;

/** A small control tier on real sockets and processes, with the faults that the scale run injects at full size. */
@Timeout(120)
@ResourceLock("a fleet of processes")
class ControlRunTest {
    private static final long TIMEOUT_MICROS = 40_000_000;
    private static final ControlFleet FLEET = new ControlFleet(4, 3, 24, 6, 2, 2_000_000, 1_200_000);

    @Test
    void allReachableSubscribersAdoptChangesDespiteALostSidecarAndReplica() throws Exception {
        try (ControlRun run = new ControlRun(FLEET)) {
            run.startReplicas();
            run.startSidecars();
            for (int scope = 0; scope < 3; scope++) {
                ScaleRun.Change change = run.change(scope, scope, 0, TIMEOUT_MICROS);
                assertTrue(change.isComplete(), change::toString);
                assertEquals(FLEET.subscribers(scope), change.expectedMembers());
            }
            int unreachable = run.subscriberOf(4);
            run.silence(unreachable);
            assertTrue(run.change(1, 4, 1, TIMEOUT_MICROS).isComplete());
            run.restart(unreachable);
            run.killReplica(0);
            assertTrue(run.change(1, 4, 0, TIMEOUT_MICROS).isComplete(), "sidecar restarted, one voter killed");
            ResourceUsage before = run.sidecarUsage();
            run.change(2, 5, 0, TIMEOUT_MICROS);
            assertTrue(run.sidecarUsage().since(before).datagramsOut() > 0);
        }
    }

    @Test
    void fleetIsParsedFromItsArguments() {
        List<String> arguments = FLEET.arguments();
        assertEquals(FLEET, ControlFleet.parse(arguments));
        assertEquals(2, FLEET.scopesOf(7).size());
        assertEquals(FLEET.scopesOf(7), ControlFleet.parse(arguments).scopesOf(7));
    }
}
