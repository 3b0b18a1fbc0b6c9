package loadbalancer.consensus;

import static loadbalancer.consensus.GroupWithSubscribers.LEASE_STEPS;
import static loadbalancer.consensus.GroupWithSubscribers.SUBSCRIBER_A;
import static loadbalancer.consensus.GroupWithSubscribers.SUBSCRIBER_B;
import static loadbalancer.consensus.GroupWithSubscribers.SUBSCRIBER_LEASE_STEPS;
import static loadbalancer.consensus.GroupWithSubscribers.VALIDATION_TIMEOUT_STEPS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the leases that members grant to subscribers, in schedules that random walks rarely reach. */
class SubscriberLeaseTest {
    private static GroupWithSubscribers groupWithLease(SafetyRules rules, int subscriber, int member) {
        GroupWithSubscribers group = new GroupWithSubscribers(rules);
        group.requestLease(subscriber, member);
        group.deliverAll();
        return group;
    }

    private static long versionOf(Stage stage) {
        return stage == null ? Stage.NO_VERSION : stage.newVersion();
    }

    @Test
    void subscriberAdoptsAChangeAtOnceAndDoesNotDelayIt() {
        // given
        GroupWithSubscribers group = groupWithLease(SafetyRules.ALL, SUBSCRIBER_A, 1);
        assertEquals(1, group.leasedStage(SUBSCRIBER_A).newVersion());
        // when
        long steps = group.change(0, 2, LEASE_STEPS);
        // then
        assertTrue(steps <= 2);
        assertEquals(2, group.leasedStage(SUBSCRIBER_A).newVersion());
    }

    @Test
    void unreachableSubscriberDelaysOnlyOneChangeByItsLease() {
        // given
        GroupWithSubscribers group = groupWithLease(SafetyRules.ALL, SUBSCRIBER_A, 1);
        group.drop(envelope -> envelope.to() == SUBSCRIBER_A || envelope.from() == SUBSCRIBER_A);
        // when
        long firstSteps = group.change(0, 2, 2 * LEASE_STEPS);
        // then
        assertTrue(
                firstSteps >= SUBSCRIBER_LEASE_STEPS - 1 && firstSteps <= SUBSCRIBER_LEASE_STEPS + 2,
                firstSteps + " steps");
        assertNull(group.leasedStage(SUBSCRIBER_A), "its lease has expired");
        // when
        long secondSteps = group.change(0, 3, LEASE_STEPS);
        // then
        assertTrue(secondSteps <= 2, "the second change does not wait for the unreachable subscriber");
        // when
        group.drop(envelope -> false);
        group.requestLease(SUBSCRIBER_A, 2);
        group.deliverAll();
        // then
        assertEquals(3, group.leasedStage(SUBSCRIBER_A).newVersion());
    }

    /**
     * Returns the version that a subscriber decides by if its member was isolated during a change and granted the lease
     * shortly before its own lease expired.
     */
    private static long versionLeasedFromIsolatedMember(SafetyRules rules) {
        GroupWithSubscribers group = new GroupWithSubscribers(rules);
        group.isolate(2);
        group.lead(0, 2);
        group.runUntilActive(0, 2, LEASE_STEPS - 1);
        group.requestLease(SUBSCRIBER_B, 2);
        group.deliverAll();
        assertNotNull(group.leasedStage(SUBSCRIBER_B));
        group.runUntilActive(0, 2, VALIDATION_TIMEOUT_STEPS + 2);
        assertTrue(group.isActive(0, 2));
        return versionOf(group.leasedStage(SUBSCRIBER_B));
    }

    @Test
    void subscriberLeaseExpiresNoLaterThanTheMembersLease() {
        assertEquals(Stage.NO_VERSION, versionLeasedFromIsolatedMember(SafetyRules.ALL));
    }

    @Test
    void twoVersionsAreActiveWithoutNestedLeases() {
        assertEquals(1, versionLeasedFromIsolatedMember(SafetyRules.without(SafetyRule.NESTED_LEASE)));
    }

    /**
     * Returns the version that a subscriber decides by if its member has restarted and so forgotten the lease that it
     * granted.
     */
    private static long versionLeasedFromRestartedMember(SafetyRules rules) {
        GroupWithSubscribers group = groupWithLease(rules, SUBSCRIBER_B, 2);
        group.drop(envelope -> envelope.from() == SUBSCRIBER_B || envelope.to() == SUBSCRIBER_B);
        group.restart(2);
        group.change(0, 2, 3);
        assertTrue(group.isActive(0, 2) == !rules.enforces(SafetyRule.QUIET_START));
        return versionOf(group.leasedStage(SUBSCRIBER_B));
    }

    @Test
    void restartedMemberWaitsForLeasesOfItsEarlierProcess() {
        assertEquals(
                1,
                versionLeasedFromRestartedMember(SafetyRules.ALL),
                "the subscriber still decides by the earlier version");
    }

    @Test
    void twoVersionsAreActiveWithoutQuietStart() {
        assertEquals(1, versionLeasedFromRestartedMember(SafetyRules.without(SafetyRule.QUIET_START)));
    }

    /** If the lease were accepted, its time would be counted from the later request. */
    @Test
    void leaseGrantedOnAnEarlierRequestIsIgnored() {
        // given
        GroupWithSubscribers group = new GroupWithSubscribers(SafetyRules.ALL);
        group.requestLease(SUBSCRIBER_A, 1);
        group.deliver(group.takeOldest());
        Envelope late = group.takeOldest();
        group.advance(SUBSCRIBER_LEASE_STEPS);
        group.subscriber(SUBSCRIBER_A).requestLease(group.nowSteps());
        // when
        group.deliver(late);
        // then
        assertNull(group.leasedStage(SUBSCRIBER_A));
    }

    @Test
    void subscriberThatAsksAMemberWithAnEarlierStageKeepsItsStage() {
        // given
        GroupWithSubscribers group = groupWithLease(SafetyRules.ALL, SUBSCRIBER_A, 1);
        group.isolate(2);
        group.lead(0, 2);
        group.runUntilActive(0, 2, VALIDATION_TIMEOUT_STEPS + 1);
        Stage joint = group.leasedStage(SUBSCRIBER_A);
        assertTrue(joint.isJoint());
        long isolatedVersion =
                group.member(2).leaseHolder().leasedStage(group.nowSteps()).newVersion();
        assertEquals(1, isolatedVersion, "the isolated member's lease on the previous stage is still valid");
        // when
        group.requestLease(SUBSCRIBER_A, 2);
        group.deliverAll();
        // then
        assertEquals(joint, group.leasedStage(SUBSCRIBER_A));
    }

    @Test
    void versionRejectedByOneSubscriberIsNotActivatedAndTheReasonIsReported() {
        // given
        GroupWithSubscribers group = new GroupWithSubscribers(SafetyRules.ALL);
        group.requestLease(SUBSCRIBER_A, 1);
        group.requestLease(SUBSCRIBER_B, 2);
        group.deliverAll();
        group.reject(SUBSCRIBER_B, "no such zone: 'z'");
        List<String> reasons = new ArrayList<>();
        group.drop(envelope -> {
            if (envelope.to() == 0 && envelope.message() instanceof Message.Invalid invalid) {
                reasons.add(invalid.reason());
            }
            return false;
        });
        // when
        group.change(0, 2, VALIDATION_TIMEOUT_STEPS);
        // then
        assertEquals(1, group.member(0).leaseHolder().lastStage().newVersion());
        assertEquals("subscriber 4: no such zone: 'z'", reasons.get(0));
        // when
        group.acceptAll();
        long steps = group.change(0, 3, LEASE_STEPS);
        // then
        assertTrue(steps <= 2, "another version is adopted");
    }

    @Test
    void memberGrantsAtMostMaxLeases() {
        // given
        GroupWithSubscribers group = new GroupWithSubscribers(SafetyRules.ALL);
        // when
        for (int index = 0; index < LeaseGrantor.MAX_LEASES + 1; index++) {
            int number = 1_000 + index;
            Subscriber subscriber = new Subscriber(SafetyRules.ALL, number, version -> true);
            Message request = subscriber.requestLease(group.nowSteps());
            group.member(1).receiveFromSubscriber(group.nowSteps(), number, request, group.outboxOf(1));
        }
        // then
        assertEquals(LeaseGrantor.MAX_LEASES, group.inTransit());
    }
}
