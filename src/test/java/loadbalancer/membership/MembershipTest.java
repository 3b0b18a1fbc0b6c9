package loadbalancer.membership;

import static loadbalancer.membership.EndpointFixtures.DAY;
import static loadbalancer.membership.EndpointFixtures.NOW;
import static loadbalancer.membership.EndpointFixtures.SECOND;
import static loadbalancer.membership.EndpointFixtures.discovered;
import static loadbalancer.membership.EndpointFixtures.endpoint;
import static loadbalancer.membership.EndpointFixtures.ids;
import static loadbalancer.membership.EndpointFixtures.membership;
import static loadbalancer.membership.EndpointFixtures.ready;
import static loadbalancer.membership.EndpointFixtures.sortedIds;
import static loadbalancer.membership.EndpointFixtures.stored;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import loadbalancer.balancing.Balancer.Uncertainty;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** How endpoint lists of any age are merged, with time set by the test. */
class MembershipTest {
    @Test
    void acceptsAnyListWithoutChecksIfThePolicyAcceptsAll() {
        Endpoint old = endpoint("u1", "10.0.0.1:80", NOW - DAY, UpstreamState.READY);
        EndpointChange change = membership(StalenessPolicy.ACCEPT_ALL)
                .start(NOW, List.of(new EndpointList(ListSource.CONFIGURED, 41, true, 0, List.of(old))));
        assertEquals(List.of(old), change.endpoints());
        assertEquals(List.of(), change.logMessages());
    }

    /**
     * The endpoints of a fresh list are in slow start, because any of them may have restarted since the list was made.
     */
    @Test
    void usesAFreshListAtOnceWithItsEndpointsInSlowStart() {
        Membership membership = membership();
        EndpointChange change = membership.start(NOW, List.of(stored(41, 5 * SECOND, ready(1), ready(2))));
        assertEquals(List.of("u1", "u2"), ids(change));
        for (Endpoint endpoint : change.endpoints()) {
            assertEquals(Uncertainty.NONE, endpoint.upstream().uncertainty());
            assertEquals(NOW, endpoint.upstream().latestStartMicros());
        }
        assertEquals(List.of(), membership.beginChecks(NOW));
        assertTrue(
                change.logMessages().get(0).contains("5 s old: used as it is"),
                change.logMessages().toString());
    }

    @Test
    void withholdsEndpointsOfAStaleListUntilACheckVerifiesThem() {
        Membership membership = membership();
        EndpointChange start = membership.start(NOW, List.of(stored(41, 7 * DAY, ready(1), ready(2), ready(3))));
        assertEquals(List.of(), start.endpoints());
        assertTrue(start.complete());
        assertEquals(List.of("u1", "u2", "u3"), sortedIds(membership.beginChecks(NOW)));
        assertEquals(List.of(), membership.beginChecks(NOW), "no endpoint may be checked twice at the same time");
        EndpointChange verified = membership.onCheckResult(NOW + 1000, "u2", EndpointEvidence.RESPONDS_AS_UPSTREAM);
        assertEquals(List.of("u2"), ids(verified));
        assertEquals(
                Uncertainty.IDENTITY, verified.endpoints().get(0).upstream().uncertainty());
        assertEquals(NOW + 1000, verified.endpoints().get(0).upstream().latestStartMicros());
        for (EndpointEvidence evidence :
                List.of(EndpointEvidence.REFUSES_CONNECTIONS, EndpointEvidence.NOT_AN_UPSTREAM)) {
            assertTrue(membership
                    .onCheckResult(NOW + 2000, evidence == EndpointEvidence.REFUSES_CONNECTIONS ? "u1" : "u3", evidence)
                    .isEmpty());
        }
        assertEquals(2, membership.unverifiedCount());
    }

    /** Without health checks only a response to a request shows that an upstream listens at the address. */
    @Test
    void serviceOfAnEndpointThatAcceptsConnectionsIsUncertainUntilItResponds() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, DAY, ready(1))));
        membership.beginChecks(NOW);
        assertEquals(
                Uncertainty.SERVICE,
                membership
                        .onCheckResult(NOW, "u1", EndpointEvidence.ACCEPTS_CONNECTIONS)
                        .endpoints()
                        .get(0)
                        .upstream()
                        .uncertainty());
        assertEquals(
                Uncertainty.IDENTITY,
                membership.onResponse("u1").endpoints().get(0).upstream().uncertainty());
        assertTrue(membership.onResponse("u1").isEmpty());
        assertTrue(membership.onResponse("unlisted").isEmpty());
    }

    @Test
    void ignoresAnExpiredListAndUsesTheNextOne() {
        Membership membership = membership();
        EndpointChange change = membership.start(
                NOW,
                List.of(
                        stored(90, 31 * DAY, ready(1)),
                        new EndpointList(ListSource.CONFIGURED, 41, true, NOW - SECOND, List.of(ready(2)))));
        assertEquals(List.of("u2"), ids(change));
        assertEquals(41, membership.generation());
        assertTrue(
                change.logMessages().get(0).contains("31 days old, which is too old"),
                change.logMessages().toString());
    }

    /** Without a usable list the sidecar has no endpoints until discovery responds. */
    @Test
    void startsEmptyWithoutAUsableList() {
        Membership membership = membership();
        EndpointChange change = membership.start(NOW, List.of(stored(90, 31 * DAY, ready(1))));
        assertEquals(List.of(), change.endpoints());
        assertEquals(0, membership.generation());
        assertEquals(List.of("u5"), ids(membership.onDiscoveryList(NOW, discovered(3, true, ready(5)))));
    }

    @Test
    void startsFromTheHighestGenerationAndThenFromTheLatestTime() {
        Membership membership = membership();
        EndpointList configured = new EndpointList(ListSource.CONFIGURED, 42, true, 0, List.of(ready(1)));
        membership.start(NOW, List.of(configured, stored(41, SECOND, ready(2))));
        assertEquals(42, membership.generation());
        Membership other = membership();
        assertEquals(
                List.of("u2"),
                ids(other.start(
                        NOW,
                        List.of(
                                new EndpointList(ListSource.CONFIGURED, 41, true, 0, List.of(ready(1))),
                                stored(41, SECOND, ready(2))))));
    }

    /** A list with an endpoint that started three seconds ago can't be older than that. */
    @Test
    void limitsTheAgeOfAListWithoutATimeByItsLatestStart() {
        Endpoint started = endpoint("u1", "10.0.0.1:80", NOW - 3 * SECOND, UpstreamState.READY);
        EndpointChange change = membership()
                .start(NOW, List.of(new EndpointList(ListSource.CONFIGURED, 1, true, 0, List.of(started, ready(2)))));
        assertEquals(List.of("u1", "u2"), ids(change));
        assertEquals(
                List.of(),
                membership()
                        .start(NOW, List.of(new EndpointList(ListSource.CONFIGURED, 1, true, 0, List.of(ready(2)))))
                        .endpoints(),
                "a list of unknown age must not be used as a fresh one");
    }

    /** The clock was set back, or the clock of the machine that wrote the list was ahead. */
    @Test
    void treatsAListFromTheFutureAsStale() {
        Membership membership = membership();
        EndpointChange change = membership.start(NOW, List.of(stored(41, -DAY, ready(1))));
        assertEquals(List.of(), change.endpoints());
        assertEquals(1, membership.unverifiedCount());
        assertTrue(
                change.logMessages().get(0).contains("unknown age"),
                change.logMessages().toString());
    }

    /** A new upstream may have taken over the address of an earlier one. */
    @Test
    void checksOnlyTheLatestStartedOfTwoEndpointsWithTheSameAddress() {
        Membership membership = membership();
        membership.start(
                NOW,
                List.of(stored(
                        41,
                        DAY,
                        endpoint("old", "10.0.0.1:80", NOW - 9 * DAY, UpstreamState.READY),
                        endpoint("new", "10.0.0.1:80", NOW - 2 * DAY, UpstreamState.READY))));
        assertEquals(List.of("new"), sortedIds(membership.beginChecks(NOW)));
    }

    @Test
    void doesNotCheckDrainingEndpoints() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, DAY, endpoint("u1", "10.0.0.1:80", 0, UpstreamState.DRAINING))));
        assertEquals(List.of(), membership.beginChecks(NOW));
    }

    @Test
    void confirmsEndpointsThatChangesFromDiscoveryDoNotContain() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, 7 * DAY, ready(1), ready(2))));
        EndpointChange change = membership.onDiscoveryList(
                NOW + SECOND, discovered(43, false, endpoint("u2", "10.0.0.2:80", 0, UpstreamState.GONE)));
        assertTrue(change.complete());
        assertEquals(List.of("u1"), ids(change));
        assertEquals(Uncertainty.NONE, change.endpoints().get(0).upstream().uncertainty());
        assertEquals(0, change.endpoints().get(0).upstream().latestStartMicros());
        assertTrue(membership.isConfirmedByDiscovery());
        assertEquals(0, membership.unverifiedCount());
        assertEquals(43, membership.generation());
    }

    /** None of the endpoints in the list on disk exists any more. */
    @Test
    void replacesAllEndpointsByACompleteListAndIgnoresLaterCheckResults() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, DAY, ready(1), ready(2))));
        membership.beginChecks(NOW);
        membership.onCheckResult(NOW, "u1", EndpointEvidence.RESPONDS_AS_UPSTREAM);
        EndpointChange change = membership.onDiscoveryList(NOW, discovered(50, true, ready(3)));
        assertTrue(change.complete());
        assertEquals(List.of("u3"), ids(change));
        assertTrue(membership
                .onCheckResult(NOW, "u2", EndpointEvidence.RESPONDS_AS_UPSTREAM)
                .isEmpty());
        assertEquals(List.of(), membership.beginChecks(NOW + DAY));
        assertTrue(
                change.logMessages().get(0).contains("1 upstreams confirmed"),
                change.logMessages().toString());
    }

    /** Guards against incident 3e0307. */
    @Test
    void removesAllEndpointsByAnEmptyCompleteListAndAddsThemAgain() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, SECOND, ready(1), ready(2))));
        EndpointChange removed = membership.onDiscoveryList(NOW, discovered(60, true));
        assertTrue(removed.complete());
        assertEquals(List.of(), ids(removed));
        assertFalse(removed.isEmpty(), "the balancer and the connection pools must get the removal");
        assertEquals(0, membership.size());
        assertTrue(membership.isConfirmedByDiscovery());
        assertEquals(60, membership.generation());
        assertEquals(
                "list version 60: 2 removed (u1, u2)",
                removed.logMessages().get(removed.logMessages().size() - 1));
        EndpointChange added = membership.onDiscoveryList(NOW, discovered(61, false, ready(1)));
        assertEquals(List.of("u1"), ids(added));
        assertEquals(1, membership.size());
    }

    /** Discovery may list the upstream again before it has noticed that its process was restarted. */
    @Test
    void removalDoesNotEndTheSlowStartAfterARefusedConnection() {
        for (boolean byCompleteList : new boolean[] {true, false}) {
            Membership membership = membership();
            membership.start(NOW, List.of(stored(41, SECOND, ready(1))));
            membership.onDiscoveryList(NOW, discovered(42, true, ready(1)));
            membership.onConnectFailure(NOW + SECOND, "u1", true);
            long slowStartMicros = Membership.nextGridMicros(NOW + SECOND);
            membership.onDiscoveryList(
                    NOW + 2 * SECOND,
                    byCompleteList
                            ? discovered(43, true)
                            : discovered(43, false, endpoint("u1", "10.0.0.1:80", 0, UpstreamState.GONE)));
            EndpointChange change = membership.onDiscoveryList(NOW + 3 * SECOND, discovered(44, false, ready(1)));
            assertEquals(slowStartMicros, change.endpoints().get(0).upstream().latestStartMicros());
        }
    }

    @Test
    void appliesAPartialListButKeepsWhatItCannotRead() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, SECOND, ready(1), ready(2), ready(3))));
        EndpointList readable =
                discovered(60, true, endpoint("u1", "10.0.0.1:80", 0, UpstreamState.DRAINING), ready(4));
        EndpointChange change = membership.onPartialList(new PartialEndpointList(readable, Set.of("u2")));
        assertTrue(change.complete());
        assertEquals(List.of("u1", "u2", "u4"), ids(change));
        assertEquals(
                UpstreamState.DRAINING, change.endpoints().get(0).upstream().state());
        assertEquals(41, membership.generation(), "the version of a partial list is not reached");
        assertFalse(membership.isConfirmedByDiscovery());
    }

    @Test
    void partialChangesRemoveOnlyWhatTheyName() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, SECOND, ready(1), ready(2))));
        EndpointList withdrawal = discovered(60, false, endpoint("u1", "", 0, UpstreamState.GONE));
        assertEquals(List.of("u2"), ids(membership.onPartialList(new PartialEndpointList(withdrawal, Set.of()))));
    }

    /** The result of the check must not count against the limit on checks in flight either. */
    @Test
    void forgetsTheCheckOfAnEndpointThatAPartialListRemoves() {
        Membership membership = membership();
        Endpoint[] stale =
                IntStream.rangeClosed(1, 9).mapToObj(EndpointFixtures::ready).toArray(Endpoint[]::new);
        membership.start(NOW, List.of(stored(41, 7 * DAY, stale)));
        assertEquals(8, membership.beginChecks(NOW).size());
        membership.onPartialList(new PartialEndpointList(discovered(60, true, ready(9)), Set.of()));
        assertEquals(1, membership.beginChecks(NOW + 10 * SECOND).size());
        assertEquals(EndpointChange.NONE, membership.onCheckResult(NOW, "u1", EndpointEvidence.RESPONDS_AS_UPSTREAM));
    }

    /** A discovery service that was restored from a backup continues from an earlier generation. */
    @Test
    void appliesAnOlderListFromDiscoveryAndLogsIt() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(90, SECOND, ready(1), ready(2))));
        EndpointChange change = membership.onDiscoveryList(NOW, discovered(5, true, ready(2)));
        assertEquals(List.of("u2"), ids(change));
        assertEquals(5, membership.generation());
        assertTrue(
                change.logMessages().get(0).contains("older (5)"),
                change.logMessages().toString());
    }

    /** Only the changed endpoints are passed on, not the complete list each time. */
    @Test
    void passesOnOnlyChangesOnceConfirmed() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, SECOND, ready(1), ready(2))));
        membership.onDiscoveryList(NOW, discovered(41, false));
        EndpointChange change = membership.onDiscoveryList(
                NOW, discovered(42, false, endpoint("u1", "10.0.0.1:80", 0, UpstreamState.DRAINING)));
        assertFalse(change.complete());
        assertEquals(List.of("u1"), ids(change));
        assertTrue(membership.onDiscoveryList(NOW, discovered(42, false)).isEmpty());
        membership.onDiscoveryList(NOW, discovered(43, false, endpoint("u1", "10.0.0.1:80", 0, UpstreamState.GONE)));
        assertEquals(1, membership.size(), "a removed endpoint must not be listed");
    }

    /** The failed connection may be due to a restart, which nothing reports while discovery does not respond. */
    @Test
    void restartsSlowStartAfterAFailedConnectionWhileDiscoveryDoesNotRespond() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, SECOND, ready(1), ready(2))));
        assertEquals(
                NOW + 9 * SECOND,
                membership
                        .onConnectFailure(NOW + 9 * SECOND, "u1", false)
                        .endpoints()
                        .get(0)
                        .upstream()
                        .latestStartMicros());
        assertTrue(membership
                .onConnectFailure(NOW + 9 * SECOND + 50_000, "u1", false)
                .isEmpty());
        membership.onDiscoveryList(NOW + 10 * SECOND, discovered(41, false));
        assertTrue(
                membership.onConnectFailure(NOW + 11 * SECOND, "u1", false).isEmpty(),
                "discovery responds, so it would have reported a restart");
        membership.onDiscoveryFailure();
        assertEquals(
                NOW + 12 * SECOND,
                membership
                        .onConnectFailure(NOW + 12 * SECOND, "u2", false)
                        .endpoints()
                        .get(1)
                        .upstream()
                        .latestStartMicros());
        assertEquals(
                0,
                membership
                        .onDiscoveryList(NOW + 13 * SECOND, discovered(42, true, ready(2)))
                        .endpoints()
                        .get(0)
                        .upstream()
                        .latestStartMicros());
        Membership unchecked = membership(StalenessPolicy.ACCEPT_ALL);
        unchecked.start(NOW, List.of(stored(41, SECOND, ready(1))));
        assertTrue(unchecked.onConnectFailure(NOW, "u1", false).isEmpty());
    }

    /**
     * Guards against a failure that the fault search found: a process exited and restarted before discovery noticed,
     * and until then the fleet sent it the load of a warm upstream, 3.3 times its capacity.
     */
    @Test
    void restartsSlowStartAfterARefusedConnectionBeforeDiscoveryNoticesTheRestart() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, SECOND, ready(1), ready(2))));
        membership.onDiscoveryList(NOW, discovered(41, false));
        assertEquals(
                NOW + 1_500_000,
                membership
                        .onConnectFailure(NOW + SECOND + 7, "u1", true)
                        .endpoints()
                        .get(0)
                        .upstream()
                        .latestStartMicros(),
                "slow start must begin at the same time as at other sidecars");
        assertTrue(
                membership.onConnectFailure(NOW + SECOND + 400_000, "u1", true).isEmpty(),
                "one restart must cause only one change");
        membership.onDiscoveryList(NOW + 2 * SECOND, discovered(42, false, ready(3)));
        EndpointChange outdated = membership.onDiscoveryList(NOW + 3 * SECOND, discovered(43, false, ready(1)));
        assertEquals(
                NOW + 1_500_000,
                outdated.endpoints().get(0).upstream().latestStartMicros(),
                "a list from before the restart must not end the slow start");
        EndpointChange complete = membership.onDiscoveryList(
                NOW + 4 * SECOND,
                discovered(44, true, endpoint("u1", "10.0.0.1:80", NOW + 2 * SECOND, UpstreamState.READY)));
        assertEquals(
                NOW + 2 * SECOND,
                complete.endpoints().get(0).upstream().latestStartMicros(),
                "slow start must begin at the start time that discovery reports");
    }
}
