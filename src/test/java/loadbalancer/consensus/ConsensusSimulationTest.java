package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests groups of real consensus nodes with faults, on virtual time. */
class ConsensusSimulationTest {
    private static final long LEASE_MICROS = 3_000_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final IntPredicate ALL = member -> true;
    /** Index of the policy's number in {@link #content}. */
    private static final int NUMBER_INDEX = 7;

    /** A content of several chunks. */
    private static byte[] content(int policy) {
        return ("policy " + policy + "\n").repeat(100).getBytes(StandardCharsets.UTF_8);
    }

    private static long version(int policy) {
        return ContentStore.versionOf(content(policy));
    }

    private static ConsensusSimulation startedGroup(int voters, int members, long seed) {
        return started(new ConsensusSimulation(voters, members, LEASE_MICROS, seed));
    }

    private static ConsensusSimulation started(ConsensusSimulation simulation) {
        simulation.setNetwork(0.05, 0.05, 5_000);
        assertTrue(adopts(simulation, ALL, 0, 10), "all members adopt the initial stage");
        // Runs for longer than a lease: a change directly after another one would wait for the leases of both if a
        // member is unreachable.
        simulation.run(4 * SECOND_MICROS);
        return simulation;
    }

    private static boolean adopts(ConsensusSimulation simulation, IntPredicate members, long version, int seconds) {
        return simulation.runUntil(() -> simulation.allHaveAdopted(members, version), seconds * SECOND_MICROS) >= 0;
    }

    private static void assertNoViolations(ConsensusSimulation simulation) {
        assertEquals("[]", simulation.violations().toString());
    }

    @Test
    void changeIsAdoptedEverywhereWithinASecond() {
        // given
        ConsensusSimulation simulation = startedGroup(5, 60, 1);
        // when
        simulation.propose(2, content(7));
        // then
        assertTrue(adopts(simulation, member -> member == 2, version(7), 1), "the proposer adopts the change");
        assertTrue(adopts(simulation, ALL, version(7), 1), "all members adopt the change");
        long jointMicros = simulation.longestJointMicros();
        assertTrue(jointMicros <= 500_000, jointMicros + " us of a joint stage");
        assertNoViolations(simulation);
    }

    @Test
    void restartedMemberLearnsTheChangeThatItMissed() {
        // given
        ConsensusSimulation simulation = startedGroup(5, 60, 1);
        simulation.propose(2, content(7));
        assertTrue(adopts(simulation, ALL, version(7), 2), "all members adopt the first change");
        simulation.run(4 * SECOND_MICROS);
        simulation.kill(40);
        simulation.propose(2, content(8));
        assertTrue(
                adopts(simulation, member -> member != 40, version(8), 5),
                "the running members adopt the second change");
        // when
        simulation.start(40);
        // then
        assertFalse(simulation.hasValidLease(40), "the restarted member has no lease before it has learned the stage");
        assertTrue(simulation.runUntil(() -> simulation.hasValidLease(40), 2 * SECOND_MICROS) >= 0);
        assertTrue(simulation.hasAdopted(40, version(8)), "the restarted member adopts the change that it missed");
        assertNoViolations(simulation);
    }

    @Test
    void changeWhoseProposerCrashesIsAdoptedEverywhereOrNowhere() {
        for (long crashMillis = 1; crashMillis < 200; crashMillis += 7) {
            // given
            ConsensusSimulation simulation = startedGroup(5, 12, crashMillis);
            simulation.propose(1, content(7));
            simulation.run(crashMillis * 1_000);
            // when
            simulation.kill(1);
            simulation.run(12 * SECOND_MICROS);
            // then
            IntPredicate others = member -> member != 1;
            boolean everywhere = simulation.allHaveAdopted(others, version(7));
            assertTrue(everywhere || simulation.allHaveAdopted(others, 0), "crash after " + crashMillis + " ms");
            // when
            simulation.start(1);
            simulation.run(2 * SECOND_MICROS);
            // then
            assertTrue(
                    simulation.allHaveAdopted(ALL, everywhere ? version(7) : 0),
                    "restart of the proposer, crash after " + crashMillis + " ms");
            assertNoViolations(simulation);
        }
    }

    @Test
    void partitionedMembersDelayAChangeNoLongerThanTheirLease() {
        // given
        ConsensusSimulation simulation = startedGroup(5, 30, 3);
        IntPredicate isolated = member -> member >= 20;
        simulation.partition(isolated);
        // when
        simulation.propose(0, content(7));
        long elapsedMicros =
                simulation.runUntil(() -> simulation.allHaveAdopted(isolated.negate(), version(7)), 10 * SECOND_MICROS);
        // then
        assertTrue(elapsedMicros >= 0 && elapsedMicros < LEASE_MICROS + 2 * SECOND_MICROS, elapsedMicros + " us");
        assertFalse(simulation.hasValidLease(25));
        // when
        simulation.partition(member -> false);
        // then
        assertTrue(adopts(simulation, ALL, version(7), 3), "all members adopt the change after the partition");
        assertNoViolations(simulation);
    }

    @Test
    void withoutAMajorityNothingIsAdoptedAndLeasesExpire() {
        // given
        ConsensusSimulation simulation = startedGroup(5, 20, 4);
        for (int voter = 0; voter < 3; voter++) {
            simulation.kill(voter);
        }
        // when
        simulation.propose(3, content(7));
        simulation.run(6 * SECOND_MICROS);
        // then
        assertFalse(simulation.hasValidLease(10));
        assertFalse(simulation.hasAdopted(10, version(7)));
        assertNoViolations(simulation);
    }

    @Test
    void groupWhoseMembersHaveAllRestartedBootstrapsANewEra() {
        // given
        ConsensusSimulation simulation = startedGroup(3, 10, 5);
        simulation.propose(0, content(7));
        assertTrue(adopts(simulation, ALL, version(7), 3));
        // when
        for (int member = 0; member < 10; member++) {
            simulation.kill(member);
        }
        simulation.run(SECOND_MICROS);
        for (int member = 0; member < 10; member++) {
            simulation.start(member);
        }
        // then
        assertTrue(adopts(simulation, ALL, 0, 10));
        simulation.propose(1, content(8));
        assertTrue(adopts(simulation, ALL, version(8), 5));
        assertNoViolations(simulation);
    }

    @Test
    void randomFaultsViolateNoInvariantAndAllMembersAgreeAfterwards() {
        for (long seed = 1; seed <= 60; seed++) {
            assertEquals(List.of(), ConsensusSoak.run(5, 16, LEASE_MICROS, seed), "seed " + seed);
        }
    }

    /** Member 1 is a voter, member 8 is not. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8})
    void contentThatOneMemberRejectsIsNotAdopted(int rejecting) {
        // given
        ConsensusSimulation simulation = started(new ConsensusSimulation(
                3,
                10,
                LEASE_MICROS,
                6,
                member -> content -> member == rejecting && content[NUMBER_INDEX] == '9' ? "no such zone: 'z'" : null));
        // when
        simulation.propose(5, content(9));
        // then
        assertTrue(
                simulation.runUntil(() -> simulation.node(5).rejectionReason().isPresent(), 5 * SECOND_MICROS) >= 0);
        assertEquals(
                Optional.of("sidecar " + rejecting + ": no such zone: 'z'"),
                simulation.node(5).rejectionReason());
        simulation.run(10 * SECOND_MICROS);
        assertTrue(simulation.allHaveAdopted(ALL, 0));
        // when
        simulation.propose(5, content(7));
        // then
        assertTrue(adopts(simulation, ALL, version(7), 5), "another content is adopted");
        assertArrayEquals(content(7), simulation.node(9).content(version(7)).orElseThrow());
        assertNoViolations(simulation);
    }

    @Test
    void contentThatIsInvalidOrTooLongIsRejectedByItsProposer() {
        // given
        ConsensusSimulation simulation = new ConsensusSimulation(1, 1, LEASE_MICROS, 6, member -> content -> "broken");
        simulation.run(SECOND_MICROS);
        byte[] tooLong = new byte[ContentStore.MAX_CONTENT_BYTES + 1];
        // when
        simulation.propose(0, content(1));
        // then
        assertFalse(simulation.node(0).isProposalPending());
        String reason = simulation
                .node(0)
                .propose(SECOND_MICROS, tooLong, (to, datagram) -> {})
                .orElseThrow();
        assertTrue(reason.contains("16385 bytes"), reason);
    }
}
