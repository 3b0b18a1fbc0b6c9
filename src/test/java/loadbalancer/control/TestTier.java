package loadbalancer.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntPredicate;
import loadbalancer.consensus.ConsensusNode;

/** A simulated tier of seven replicas and forty sidecars, with helper methods to make changes and check them. */
final class TestTier {
    static final long SECOND_MICROS = 1_000_000;
    static final int REPLICAS = 7;
    static final int VOTERS = 5;
    static final int SCOPES = 6;
    static final int SIDECARS = 40;
    static final IntPredicate ALL = number -> true;
    static final IntPredicate NONE = number -> false;
    /** Returned as the elapsed time of a change that was not adopted within the timeout. */
    static final long TIMED_OUT = -1;

    private static final int SCOPES_PER_SIDECAR = 3;
    private static final long CHANGE_TIMEOUT_MICROS = 12 * SECOND_MICROS;

    final ControlSimulation simulation;

    /** Creates a tier and waits until all processes are ready. */
    TestTier(long seed) {
        simulation = new ControlSimulation(group(SCOPES, 1_200_000), SIDECARS, SCOPES_PER_SIDECAR, seed);
        simulation.setNetwork(new ControlSimulation.Network(0.02, 0.02, 2_000));
        assertTrue(
                simulation.runUntil(this::isReady, 10 * SECOND_MICROS) >= 0,
                "not all processes are ready after 10 s, seed " + seed);
        simulation.run(3 * SECOND_MICROS);
    }

    static ControlGroup group(int scopes, long subscriberLeaseMicros) {
        return new ControlGroup(
                "test",
                ControlGroup.numberedScopes(scopes),
                VOTERS,
                REPLICAS,
                2 * SECOND_MICROS,
                subscriberLeaseMicros);
    }

    static byte[] content(int number) {
        return ("limit = " + number + "\n").repeat(60).getBytes(StandardCharsets.UTF_8);
    }

    static long version(int number) {
        return ConsensusNode.versionOf(content(number));
    }

    boolean isReady() {
        for (int number = 0; number < simulation.processCount(); number++) {
            if (!isReady(number)) {
                return false;
            }
        }
        return true;
    }

    private boolean isReady(int number) {
        if (number < REPLICAS) {
            ControlReplica replica = simulation.replica(number);
            return replica != null && replica.isReady(simulation.nowMicros());
        }
        ControlClient client = simulation.client(number);
        return client != null && client.isReady();
    }

    void runSeconds(int seconds) {
        simulation.run(seconds * SECOND_MICROS);
    }

    void propose(int replica, int scope, int number) {
        simulation.propose(replica, scope, content(number));
    }

    /**
     * Proposes a content and runs until all reachable subscribers have adopted it; returns the elapsed time in
     * microseconds.
     */
    long change(int replica, int scope, int number, IntPredicate reachable) {
        propose(replica, scope, number);
        return simulation.runUntil(
                () -> simulation.allHaveAdopted(reachable, scope, version(number)), CHANGE_TIMEOUT_MICROS);
    }

    /** Runs until all subscribers have adopted a content; returns false if some have not after {@code seconds}. */
    boolean adoptWithin(int scope, int number, int seconds) {
        return simulation.runUntil(() -> allHaveAdopted(scope, number), seconds * SECOND_MICROS) >= 0;
    }

    boolean allHaveAdopted(int scope, int number) {
        return simulation.allHaveAdopted(ALL, scope, version(number));
    }

    int firstSubscriber(int scope) {
        return simulation.subscribers(scope).get(0);
    }

    void assertNoViolations() {
        assertEquals(List.of(), simulation.violations());
    }
}
