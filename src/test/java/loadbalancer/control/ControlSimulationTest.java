package loadbalancer.control;

import static loadbalancer.control.TestTier.ALL;
import static loadbalancer.control.TestTier.NONE;
import static loadbalancer.control.TestTier.REPLICAS;
import static loadbalancer.control.TestTier.SCOPES;
import static loadbalancer.control.TestTier.SECOND_MICROS;
import static loadbalancer.control.TestTier.SIDECARS;
import static loadbalancer.control.TestTier.TIMED_OUT;
import static loadbalancer.control.TestTier.content;
import static loadbalancer.control.TestTier.version;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The control tier and its sidecars on virtual time, with the faults that occur in a fleet. */
class ControlSimulationTest {
    private static final IntPredicate SECOND_HALF_OF_SIDECARS = number -> number >= REPLICAS + SIDECARS / 2;

    @Test
    void violationCausedByExcessiveClockDriftIsDetected() {
        // given
        ControlSimulation simulation = new ControlSimulation(TestTier.group(1, 2 * SECOND_MICROS), SIDECARS, 1, 0.7, 1);
        simulation.run(10 * SECOND_MICROS);
        simulation.propose(0, 0, content(1));
        long elapsedMicros =
                simulation.runUntil(() -> simulation.allHaveAdopted(ALL, 0, version(1)), 12 * SECOND_MICROS);
        assertTrue(elapsedMicros >= 0);
        simulation.run(5 * SECOND_MICROS);
        // when
        simulation.partition(number -> number == 5 || number == 6 || SECOND_HALF_OF_SIDECARS.test(number));
        simulation.propose(0, 0, content(2));
        simulation.run(10 * SECOND_MICROS);
        // then
        assertFalse(simulation.violations().isEmpty());
        String violation = simulation.violations().get(0);
        assertTrue(violation.startsWith("ONE_POLICY"), violation);
    }

    @Test
    void changeIsAdoptedEverywhereWithinTwoSeconds() {
        // given
        TestTier tier = new TestTier(1);
        for (int number = 1; number <= 10; number++) {
            // when
            long elapsedMicros = tier.change(number % REPLICAS, number % SCOPES, number, ALL);
            // then
            assertTrue(
                    elapsedMicros >= 0 && elapsedMicros < 2 * SECOND_MICROS,
                    "change " + number + " took " + elapsedMicros + " us");
        }
        ControlClient client = tier.simulation.client(tier.firstSubscriber(1));
        assertArrayEquals(content(7), client.content(1, version(7)).orElseThrow());
        tier.assertNoViolations();
    }

    @Test
    void killedSidecarDelaysTheNextChangeByItsLeaseAndNoLaterOne() {
        // given
        TestTier tier = new TestTier(2);
        tier.simulation.kill(tier.firstSubscriber(0));
        // when
        long firstMicros = tier.change(2, 0, 1, ALL);
        long secondMicros = tier.change(2, 0, 2, ALL);
        // then
        assertTrue(firstMicros >= 0 && firstMicros < 3 * SECOND_MICROS, firstMicros + " us");
        assertTrue(secondMicros >= 0 && secondMicros < SECOND_MICROS, secondMicros + " us");
        tier.assertNoViolations();
    }

    @Test
    void changeOfOneScopeDoesNotWaitForAnother() {
        // given
        TestTier tier = new TestTier(3);
        int paused = tier.firstSubscriber(0);
        tier.simulation.pause(paused, 5 * SECOND_MICROS);
        tier.propose(1, 0, 1);
        int otherScope = 1;
        while (tier.simulation.subscribers(otherScope).contains(paused)) {
            otherScope++;
        }
        // when
        long elapsedMicros = tier.change(1, otherScope, 2, ALL);
        // then
        assertTrue(elapsedMicros >= 0 && elapsedMicros < SECOND_MICROS, elapsedMicros + " us");
        assertFalse(tier.allHaveAdopted(0, 1), "the change of the other scope still waits for the paused sidecar");
        tier.assertNoViolations();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 6})
    void changeInterruptedByAReplicaCrashIsAdoptedEverywhereOrNowhere(int crashed) {
        for (long afterMicros = 1_000; afterMicros < 200_000; afterMicros += 23_000) {
            // given
            TestTier tier = new TestTier(afterMicros + crashed);
            tier.propose(crashed, 0, 1);
            tier.simulation.run(afterMicros);
            // when
            tier.simulation.kill(crashed);
            tier.runSeconds(9);
            // then
            boolean everywhere = tier.allHaveAdopted(0, 1);
            boolean nowhere = tier.simulation.allHaveAdopted(ALL, 0, 0);
            assertTrue(everywhere || nowhere, "adopted by some only, crash after " + afterMicros + " us");
            long nextMicros = tier.change((crashed + 1) % REPLICAS, 0, 2, ALL);
            assertTrue(nextMicros >= 0, "next change timed out, crash after " + afterMicros + " us");
            tier.assertNoViolations();
        }
    }

    /** The sidecars of a lost replica migrate to other replicas before their leases expire. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void sidecarsOfALostReplicaKeepValidLeases(boolean paused) {
        // given
        TestTier tier = new TestTier(paused ? 5 : 6);
        // when
        if (paused) {
            tier.simulation.pause(6, 20 * SECOND_MICROS);
        } else {
            tier.simulation.kill(6);
        }
        // then
        for (int step = 0; step < 100; step++) {
            tier.simulation.run(50_000);
            for (int sidecar : tier.simulation.subscribers(0)) {
                assertTrue(
                        tier.simulation.activeStage(sidecar, 0).leaseValid(), "sidecar " + sidecar + " has no lease");
            }
        }
        long elapsedMicros = tier.change(1, 0, 1, ALL);
        assertTrue(
                elapsedMicros < 6 * SECOND_MICROS,
                "a change waits for the lost leases to expire and no longer, took " + elapsedMicros + " us");
        tier.assertNoViolations();
    }

    @Test
    void leaderPausedBeyondItsLeaseCausesNoViolation() {
        for (long afterMicros = 5_000; afterMicros < 400_000; afterMicros += 45_000) {
            // given
            TestTier tier = new TestTier(afterMicros);
            tier.propose(0, 0, 1);
            tier.simulation.run(afterMicros);
            // when
            tier.simulation.pause(0, 4 * SECOND_MICROS);
            tier.runSeconds(1);
            tier.propose(1, 0, 2);
            tier.runSeconds(15);
            // then
            assertTrue(tier.allHaveAdopted(0, 1) || tier.allHaveAdopted(0, 2), "pause after " + afterMicros + " us");
            tier.assertNoViolations();
        }
    }

    @Test
    void changesContinueWithThreeOfFiveVotersAndStopWithTwo() {
        // given
        TestTier tier = new TestTier(8);
        int sidecar = tier.firstSubscriber(0);
        // when
        tier.simulation.kill(0);
        tier.simulation.kill(1);
        // then
        assertTrue(tier.change(5, 0, 1, ALL) < 6 * SECOND_MICROS);
        // when
        tier.simulation.partition(number -> number == 2);
        // then
        assertEquals(TIMED_OUT, tier.change(5, 0, 2, ALL));
        assertFalse(tier.simulation.activeStage(sidecar, 0).leaseValid());
        long lastVersion = tier.simulation.activeStage(sidecar, 0).newVersion();
        assertEquals(version(1), lastVersion, "the sidecar keeps the last known version");
        // when
        tier.simulation.partition(NONE);
        // then
        assertTrue(tier.adoptWithin(0, 2, 9), "the change is adopted once the third voter is reachable again");
        tier.assertNoViolations();
    }

    @Test
    void restartedReplicaRecoversAndGrantsLeasesAgain() {
        // given
        TestTier tier = new TestTier(9);
        assertTrue(tier.change(0, 0, 1, ALL) >= 0);
        // when
        tier.simulation.kill(3);
        tier.simulation.run(300_000);
        tier.simulation.start(3);
        // then
        assertTrue(tier.change(3, 0, 2, ALL) >= 0 || tier.change(1, 0, 3, ALL) >= 0);
        long readyMicros = tier.simulation.runUntil(
                () -> tier.simulation.replica(3).isReady(tier.simulation.nowMicros()), 10 * SECOND_MICROS);
        assertTrue(readyMicros >= 0);
        tier.assertNoViolations();
    }

    /** Three of the five voters and half of the sidecars are on the majority side, the others on the minority side. */
    @Test
    void changeContinuesOnTheMajoritySideOfAPartitionAndReachesAllAfterIt() {
        for (long afterMicros = 0; afterMicros < 300_000; afterMicros += 60_000) {
            // given
            TestTier tier = new TestTier(10 + afterMicros);
            IntPredicate minoritySide =
                    number -> number == 3 || number == 4 || number == 6 || SECOND_HALF_OF_SIDECARS.test(number);
            tier.propose(0, 0, 1);
            tier.simulation.run(afterMicros);
            // when
            tier.simulation.partition(minoritySide);
            // then
            long elapsedMicros = tier.simulation.runUntil(
                    () -> tier.simulation.allHaveAdopted(minoritySide.negate(), 0, version(1)), 9 * SECOND_MICROS);
            assertTrue(elapsedMicros >= 0, "partition after " + afterMicros + " us");
            long nextMicros = tier.change(1, 0, 2, minoritySide.negate());
            assertTrue(
                    nextMicros >= 0 && nextMicros < 9 * SECOND_MICROS,
                    "next change on the majority side: " + nextMicros + " us");
            // when
            tier.simulation.partition(NONE);
            // then
            assertTrue(tier.adoptWithin(0, 2, 9), "the change is adopted everywhere after the partition");
            tier.assertNoViolations();
        }
    }

    @Test
    void sidecarsThatAllRestartWithinASecondAreReadyWithinTen() {
        // given
        TestTier tier = new TestTier(11);
        assertTrue(tier.change(0, 0, 1, ALL) >= 0);
        // when
        for (int number = REPLICAS; number < tier.simulation.processCount(); number++) {
            int restarted = number;
            tier.simulation.kill(restarted);
            tier.simulation.schedule(SECOND_MICROS, () -> tier.simulation.start(restarted));
        }
        tier.runSeconds(1);
        // then
        assertTrue(tier.simulation.runUntil(tier::isReady, 9 * SECOND_MICROS) >= 0);
        assertTrue(tier.allHaveAdopted(0, 1));
        tier.assertNoViolations();
    }

    @Test
    void onlyOneOfTwoConcurrentChangesOfAScopeIsAdopted() {
        for (long seed = 20; seed < 30; seed++) {
            // given
            TestTier tier = new TestTier(seed);
            // when
            tier.propose(0, 0, 1);
            tier.propose(3, 0, 2);
            tier.runSeconds(12);
            // then
            assertTrue(tier.allHaveAdopted(0, 1) || tier.allHaveAdopted(0, 2), "seed " + seed);
            tier.assertNoViolations();
        }
    }

    @Test
    void contentThatOneSidecarRejectsIsAdoptedNowhere() {
        // given
        TestTier tier = new TestTier(12);
        ControlSimulation simulation = tier.simulation;
        int rejecting = tier.firstSubscriber(0);
        simulation.kill(rejecting);
        simulation.setValidators(
                number -> content -> number == rejecting && content[8] == '9' ? "no such limit" : null);
        simulation.start(rejecting);
        tier.runSeconds(3);
        // when
        tier.propose(1, 0, 9);
        // then
        assertTrue(simulation.runUntil(
                        () -> simulation.replica(1).rejectionReason(0).isPresent(), 3 * SECOND_MICROS)
                >= 0);
        String reason = simulation.replica(1).rejectionReason(0).orElseThrow();
        assertTrue(reason.endsWith("subscriber " + rejecting + ": no such limit"), reason);
        tier.runSeconds(5);
        for (int subscriber : simulation.subscribers(0)) {
            assertTrue(
                    simulation.hasAdopted(subscriber, 0, 0),
                    subscriber + " decides by " + simulation.activeStage(subscriber, 0));
        }
        // when
        long nextMicros = tier.change(1, 0, 1, ALL);
        // then
        assertTrue(nextMicros >= 0);
        assertEquals(Optional.empty(), simulation.replica(1).rejectionReason(0));
        tier.assertNoViolations();
    }
}
