package loadbalancer.membership;

import static loadbalancer.membership.EndpointFixtures.DAY;
import static loadbalancer.membership.EndpointFixtures.NOW;
import static loadbalancer.membership.EndpointFixtures.SECOND;
import static loadbalancer.membership.EndpointFixtures.STALENESS;
import static loadbalancer.membership.EndpointFixtures.discovered;
import static loadbalancer.membership.EndpointFixtures.endpoint;
import static loadbalancer.membership.EndpointFixtures.membership;
import static loadbalancer.membership.EndpointFixtures.ready;
import static loadbalancer.membership.EndpointFixtures.sortedIds;
import static loadbalancer.membership.EndpointFixtures.stored;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import loadbalancer.balancing.Balancer.UpstreamState;
import org.junit.jupiter.api.Test;

/** Rate, order and effect of the checks of unverified endpoints, with time set by the test. */
class EndpointChecksTest {
    /** Checks a list of a thousand dead endpoints for a minute. */
    @Test
    void limitsTheRateOfFailingChecks() {
        Membership membership = membership();
        membership.start(
                NOW,
                List.of(new EndpointList(
                        ListSource.DISK,
                        41,
                        true,
                        NOW - DAY,
                        IntStream.range(0, 1000)
                                .mapToObj(i -> endpoint(
                                        "u" + i, "10.0." + i / 250 + "." + i % 250 + ":80", 0, UpstreamState.READY))
                                .toList())));
        int checkCount = 0;
        for (long elapsedMicros = 0; elapsedMicros < 60 * SECOND; elapsedMicros += 50_000) {
            List<Endpoint> begun = membership.beginChecks(NOW + elapsedMicros);
            checkCount += begun.size();
            assertTrue(begun.size() <= 8, begun.size() + " checks at once");
            for (Endpoint endpoint : begun) {
                membership.onCheckResult(
                        NOW + elapsedMicros + 10_000, endpoint.id(), EndpointEvidence.REFUSES_CONNECTIONS);
            }
        }
        assertTrue(checkCount <= 8 + 60 * 4 && checkCount > 60 * 3, checkCount + " checks");
    }

    /** A stale list that is still correct comes into use as fast as its endpoints respond. */
    @Test
    void doesNotLimitTheRateOfSuccessfulChecks() {
        Membership membership = membership();
        membership.start(
                NOW,
                List.of(new EndpointList(
                        ListSource.DISK,
                        41,
                        true,
                        NOW - DAY,
                        IntStream.range(0, 200)
                                .mapToObj(i -> endpoint("u" + i, "10.0.0." + i + ":80", 0, UpstreamState.READY))
                                .toList())));
        int rounds = 0;
        for (List<Endpoint> due; !(due = membership.beginChecks(NOW)).isEmpty(); rounds++) {
            due.forEach(
                    endpoint -> membership.onCheckResult(NOW, endpoint.id(), EndpointEvidence.RESPONDS_AS_UPSTREAM));
        }
        assertEquals(0, membership.unverifiedCount());
        assertEquals(25, rounds);
    }

    /** Checks of an endpoint never end, because its machine may come back. */
    @Test
    void repeatsFailedChecksAfterGrowingDelays() {
        Membership membership = membership();
        membership.start(NOW, List.of(stored(41, DAY, ready(1))));
        List<Long> checkTimes = new ArrayList<>();
        for (long elapsedMicros = 0; elapsedMicros < 300 * SECOND; elapsedMicros += 100_000) {
            if (!membership.beginChecks(NOW + elapsedMicros).isEmpty()) {
                checkTimes.add(elapsedMicros);
                membership.onCheckResult(NOW + elapsedMicros, "u1", EndpointEvidence.NO_RESPONSE);
            }
        }
        assertTrue(checkTimes.size() >= 10 && checkTimes.size() <= 30, checkTimes.toString());
        assertTrue(checkTimes.get(1) < 2 * SECOND, checkTimes.toString());
        for (int i = 1; i < checkTimes.size(); i++) {
            assertTrue(checkTimes.get(i) - checkTimes.get(i - 1) <= 46 * SECOND, checkTimes.toString());
        }
    }

    /** The sidecars of a fleet must not all check the endpoints of a list in the same order. */
    @Test
    void checksInADifferentOrderForEachSeed() {
        List<String> orders = new ArrayList<>();
        for (long seed = 0; seed < 4; seed++) {
            Membership membership =
                    new Membership(new StalenessPolicy(0, DAY, StalenessPolicy.AGE_UNKNOWN, 4, 3), seed, NOW);
            membership.start(
                    NOW,
                    List.of(stored(
                            41,
                            SECOND,
                            IntStream.range(0, 9)
                                    .mapToObj(EndpointFixtures::ready)
                                    .toArray(Endpoint[]::new))));
            orders.add(membership.beginChecks(NOW).stream().map(Endpoint::id).collect(Collectors.joining()));
        }
        assertTrue(orders.stream().distinct().count() > 1, orders.toString());
    }

    /** Applies random sequences of check results and lists from discovery to a stale list. */
    @Test
    void usesOnlyEndpointsThatAreVerifiedOrListedByDiscovery() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Membership membership = new Membership(STALENESS, seed, NOW);
            List<String> verified = new ArrayList<>();
            List<String> listed = new ArrayList<>();
            boolean confirmed = false;
            EndpointChange lastChange = membership.start(
                    NOW,
                    List.of(stored(
                            41,
                            DAY,
                            IntStream.range(0, 12)
                                    .mapToObj(EndpointFixtures::ready)
                                    .toArray(Endpoint[]::new))));
            long nowMicros = NOW;
            for (int step = 0; step < 60; step++) {
                nowMicros += random.nextLong(SECOND);
                switch (random.nextInt(8)) {
                    case 0 -> {
                        int[] numbers =
                                random.ints(random.nextInt(5), 0, 20).distinct().toArray();
                        EndpointChange change = membership.onDiscoveryList(
                                nowMicros,
                                discovered(
                                        50 + step,
                                        true,
                                        Arrays.stream(numbers)
                                                .mapToObj(EndpointFixtures::ready)
                                                .toArray(Endpoint[]::new)));
                        if (numbers.length > 0) {
                            confirmed = true;
                            listed = Arrays.stream(numbers)
                                    .mapToObj(i -> "u" + i)
                                    .toList();
                            lastChange = change;
                        }
                    }
                    default -> {
                        for (Endpoint endpoint : membership.beginChecks(nowMicros)) {
                            EndpointEvidence evidence =
                                    EndpointEvidence.values()[random.nextInt(EndpointEvidence.values().length)];
                            EndpointChange change = membership.onCheckResult(nowMicros, endpoint.id(), evidence);
                            if (evidence == EndpointEvidence.RESPONDS_AS_UPSTREAM
                                    || evidence == EndpointEvidence.ACCEPTS_CONNECTIONS) {
                                verified.add(endpoint.id());
                                lastChange = change;
                            }
                        }
                    }
                }
                List<String> usable = confirmed ? listed : verified;
                assertEquals(
                        usable.stream().sorted().toList(),
                        sortedIds(lastChange.endpoints()),
                        "seed " + seed + " step " + step);
            }
        }
    }
}
