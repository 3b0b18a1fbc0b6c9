package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ParticipantTest {
    private static boolean isAcceptOfStage(Envelope envelope, long index) {
        return envelope.message() instanceof Message.Accept accept
                && accept.stage().index() == index;
    }

    private static boolean isAccept(Envelope envelope) {
        return envelope.message() instanceof Message.Accept;
    }

    private static boolean isAcceptedToLeader(Envelope envelope) {
        return envelope.to() == 0 && envelope.message() instanceof Message.Accepted;
    }

    /**
     * Returns the last stage that leader 0 considers chosen. Member 2 has accepted stage 1, lost its state and
     * recovered before any other member accepted, and its answer from before the restart arrives afterwards.
     */
    private static Stage lastChosenAfterLateAnswer(ManualNetwork network) {
        network.lead(0, 1, false);
        network.deliver(envelope -> !isAcceptOfStage(envelope, 1));
        network.deliver(envelope -> envelope.to() == 2 && isAccept(envelope) || isAcceptedToLeader(envelope));
        network.restart(2);
        for (int round = 0; round < 2; round++) {
            network.member(2).voter().recover(0, network.outboxOf(2));
            network.deliver(envelope -> !isAccept(envelope));
        }
        assertTrue(network.member(2).voter().isActive());
        assertEquals(
                0,
                network.member(2).voter().acceptedStage().index(),
                "the restarted voter has lost its accepted stage");
        network.deliver(envelope -> envelope.to() == 0 && isAccept(envelope) || isAcceptedToLeader(envelope));
        return network.member(0).leader().lastChosen();
    }

    @Test
    void answerOfAnEarlierIncarnationDoesNotCountTowardsAQuorum() {
        // given
        ManualNetwork network = new ManualNetwork(SafetyRules.ALL);
        // when
        Stage lastChosen = lastChosenAfterLateAnswer(network);
        // then
        assertEquals(0, lastChosen.index());
    }

    @Test
    void answerOfAnEarlierIncarnationCountsWithoutTheIncarnationsRule() {
        // given
        ManualNetwork network = new ManualNetwork(SafetyRules.without(SafetyRule.INCARNATIONS));
        // when
        Stage lastChosen = lastChosenAfterLateAnswer(network);
        // then
        assertEquals(1, lastChosen.index());
    }

    @Test
    void restartedVoterNeitherLeadsNorVotesNorDecides() {
        // given
        ManualNetwork network = new ManualNetwork(SafetyRules.ALL);
        network.restart(1);
        Participant restarted = network.member(1);
        long era = network.member(0).voter().era();
        // when
        boolean leads = network.lead(1, 1, false);
        restarted.receive(0, 0, new Message.Prepare(era, 99), network.outboxOf(1));
        // then
        assertFalse(leads);
        assertTrue(network.isIdle());
        assertNull(restarted.leaseHolder().leasedStage(0));
    }

    @Test
    void leaseExpiresByTheClockAlone() {
        // given
        LeaseHolder holder = new ManualNetwork(SafetyRules.ALL).member(2).leaseHolder();
        // then
        assertEquals(Stage.INITIAL, holder.leasedStage(ManualNetwork.LEASE_MICROS - 1));
        assertNull(holder.leasedStage(ManualNetwork.LEASE_MICROS));
        assertEquals(Stage.INITIAL, holder.lastStage());
    }

    @Test
    void unfinishedChangeIsRolledBackByAnAbort() {
        // given
        ManualNetwork network = new ManualNetwork(SafetyRules.ALL);
        network.lead(0, 1, false);
        network.deliver(envelope -> !(envelope.message() instanceof Message.Adopted adopted && adopted.index() == 1));
        assertTrue(network.member(1).leaseHolder().lastStage().isJoint());
        network.dropAll();
        // when
        network.lead(1, Stage.NO_VERSION, true);
        network.deliver(envelope -> true);
        // then
        for (int member = 0; member < ManualNetwork.MEMBERS; member++) {
            assertEquals(
                    new Stage(2, 0, 0), network.member(member).leaseHolder().leasedStage(0));
        }
    }
}
