package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** Effect of taking upstreams out of service, tested through {@link Membership}. */
class OutOfServiceUpstreamsTest {
    private static final long NOW = 1_700_000_000_000_000L;
    private static final long SECOND = 1_000_000;

    private static Endpoint endpoint(String id, UpstreamState state, long startedMicros, int port) {
        return new Endpoint(new Upstream(id, "z", "k", 1, startedMicros, 1, state), "127.0.0.1:" + port);
    }

    private static EndpointList discovered(long generation, boolean complete, Endpoint... endpoints) {
        return new EndpointList(ListSource.DISCOVERY, generation, complete, 0, List.of(endpoints));
    }

    private static Membership startedMembership() {
        Membership membership = new Membership(StalenessPolicy.ACCEPT_ALL, 7, NOW);
        membership.start(
                NOW,
                List.of(new EndpointList(
                        ListSource.CONFIGURED,
                        1,
                        true,
                        0,
                        List.of(endpoint("a", UpstreamState.READY, 0, 1), endpoint("b", UpstreamState.READY, 0, 2)))));
        return membership;
    }

    private static Upstream usableUpstream(Membership membership, String id) {
        return membership.usableEndpoints().stream()
                .map(Endpoint::upstream)
                .filter(upstream -> upstream.id().equals(id))
                .findFirst()
                .orElse(null);
    }

    @Test
    void drainsWhileOutOfServiceRegardlessOfListsAndReturnsInSlowStart() {
        Membership membership = startedMembership();
        assertTrue(membership.setOutOfService(NOW, "a", true).complete());
        assertEquals(UpstreamState.DRAINING, usableUpstream(membership, "a").state());
        assertEquals(UpstreamState.READY, usableUpstream(membership, "b").state());
        // It stays out of service when it is confirmed, removed, listed again with another address and start, and in a
        // complete list.
        membership.onDiscoveryList(NOW + SECOND, discovered(2, false, endpoint("a", UpstreamState.READY, 0, 1)));
        membership.onDiscoveryList(NOW + SECOND, discovered(3, false, endpoint("a", UpstreamState.GONE, 0, 1)));
        assertTrue(membership.isKnown("a"));
        EndpointChange listedAgain = membership.onDiscoveryList(
                NOW + SECOND, discovered(4, false, endpoint("a", UpstreamState.READY, NOW, 9)));
        assertEquals(
                UpstreamState.DRAINING,
                listedAgain.endpoints().get(0).upstream().state());
        membership.onDiscoveryList(
                NOW + SECOND,
                discovered(
                        5, true, endpoint("a", UpstreamState.READY, NOW, 9), endpoint("b", UpstreamState.READY, 0, 2)));
        assertEquals(UpstreamState.DRAINING, usableUpstream(membership, "a").state());
        long returnMicros = NOW + 10 * SECOND;
        assertTrue(membership.setOutOfService(returnMicros, "a", false).complete());
        assertEquals(UpstreamState.READY, usableUpstream(membership, "a").state());
        long slowStartFromMicros = usableUpstream(membership, "a").latestStartMicros();
        assertTrue(
                slowStartFromMicros >= returnMicros && slowStartFromMicros <= returnMicros + SECOND / 2,
                "slow start begins " + (slowStartFromMicros - returnMicros) + " us after the return");
        // An earlier start that discovery reports does not end the slow start.
        membership.onDiscoveryList(
                returnMicros + SECOND, discovered(6, true, endpoint("a", UpstreamState.READY, NOW + 5 * SECOND, 9)));
        assertEquals(slowStartFromMicros, usableUpstream(membership, "a").latestStartMicros());
    }

    @Test
    void ignoresRepeatedCalls() {
        Membership membership = startedMembership();
        membership.setOutOfService(NOW, "a", true);
        assertTrue(membership.setOutOfService(NOW, "a", true).isEmpty());
        assertFalse(membership.setOutOfService(NOW, "a", false).isEmpty());
        assertTrue(membership.setOutOfService(NOW, "a", false).isEmpty());
        assertEquals(UpstreamState.READY, usableUpstream(membership, "a").state());
    }

    @Test
    void knowsOnlyListedUpstreamsAndKeepsTheDrainingStateOfDiscovery() {
        Membership membership = startedMembership();
        assertFalse(membership.isKnown("c"));
        membership.onDiscoveryList(NOW, discovered(2, false, endpoint("b", UpstreamState.DRAINING, 0, 2)));
        membership.setOutOfService(NOW, "b", true);
        membership.setOutOfService(NOW, "b", false);
        assertEquals(UpstreamState.DRAINING, usableUpstream(membership, "b").state());
    }

    @Test
    void forgetsAnUpstreamADayAfterItWasLastListed() {
        Membership membership = startedMembership();
        membership.setOutOfService(NOW, "a", true);
        membership.onDiscoveryList(NOW + SECOND, discovered(2, true, endpoint("b", UpstreamState.READY, 0, 2)));
        membership.onDiscoveryList(
                NOW + OutOfServiceUpstreams.EXPIRY_MICROS,
                discovered(3, true, endpoint("b", UpstreamState.READY, 0, 2)));
        assertTrue(membership.isKnown("a"));
        membership.onDiscoveryList(
                NOW + OutOfServiceUpstreams.EXPIRY_MICROS + SECOND,
                discovered(4, true, endpoint("b", UpstreamState.READY, 0, 2)));
        assertFalse(membership.isKnown("a"));
    }

    /**
     * Applies random sequences of lists and operator actions: an upstream that is out of service must never be ready.
     */
    @Test
    void staysOutOfServiceInAnySequenceOfLists() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Membership membership = startedMembership();
            List<String> outOfService = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                long nowMicros = NOW + i * SECOND;
                String id = random.nextBoolean() ? "a" : "b";
                switch (random.nextInt(4)) {
                    case 0 -> {
                        if (membership.isKnown(id)) {
                            membership.setOutOfService(nowMicros, id, true);
                            outOfService.remove(id);
                            outOfService.add(id);
                        }
                    }
                    case 1 -> {
                        membership.setOutOfService(nowMicros, id, false);
                        outOfService.remove(id);
                    }
                    case 2 -> membership.onDiscoveryList(
                            nowMicros,
                            discovered(
                                    2 + i,
                                    false,
                                    endpoint(
                                            id,
                                            UpstreamState.values()[random.nextInt(3)],
                                            random.nextInt(2) * nowMicros,
                                            3)));
                    default -> membership.onDiscoveryList(
                            nowMicros, discovered(2 + i, true, endpoint(id, UpstreamState.READY, 0, 4)));
                }
                for (Endpoint endpoint : membership.usableEndpoints()) {
                    boolean ready = endpoint.upstream().state() == UpstreamState.READY;
                    assertFalse(
                            ready && outOfService.contains(endpoint.upstream().id()), "seed " + seed + ", step " + i);
                }
                assertEquals(
                        outOfService.contains("a"),
                        membership.outOfServiceUpstreams().outOfService().containsKey("a"));
            }
        }
    }
}
