package loadbalancer.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import loadbalancer.balancing.Balancer.UpstreamState;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.Membership;
import loadbalancer.membership.PartialEndpointList;
import loadbalancer.membership.StalenessPolicy;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * A watch and the membership behind it, on virtual time, against drawn responses of discovery: complete lists, empty
 * ones, changes, unreadable entries, changes of other versions, errors. Whatever the responses, an upstream that a
 * response has withdrawn is not in use.
 */
class WithdrawalPropertyTest {
    private static final int UPSTREAMS = 6;
    private static final int RESPONSES = 40;
    private static final long POLL_INTERVAL_MICROS = 10_000_000;

    /** An entry of a response: what it says, and whether the rest of it can be read. */
    private record Entry(String id, String lifecycle, boolean readable, boolean hasId) {
        private String json() {
            String idField = hasId ? "\"instanceId\":\"" + id + "\"," : "";
            String address = readable ? "10.0.0.1:80" : "nowhere";
            return "{" + idField + "\"hostPort\":\"" + address + "\",\"lifecycle\":\"" + lifecycle + "\"}";
        }

        private boolean withdraws() {
            return hasId && !lifecycle.equals("Ready");
        }
    }

    private record Response(long generation, boolean complete, List<Entry> entries) {
        private byte[] json() {
            String instances = entries.stream().map(Entry::json).collect(Collectors.joining(","));
            return ("{\"generation\":" + generation + ",\"reset\":" + complete + ",\"instances\":[" + instances + "]}")
                    .getBytes(StandardCharsets.UTF_8);
        }

        private boolean isReadable() {
            return entries.stream().allMatch(entry -> entry.readable() && entry.hasId());
        }
    }

    /** A sidecar's watch and membership, and what discovery has withdrawn. */
    private static final class Sidecar extends WatchHarness {
        /** Time after which the balancer polls again. */
        private static final long POLL_BACKOFF_MICROS = 1_000_000;

        private final Membership membership = new Membership(StalenessPolicy.ACCEPT_ALL, 1, 0);
        private final Set<String> withdrawnIds = new HashSet<>();
        private int answeredCalls;

        Sidecar(boolean agent) {
            super(agent, POLL_INTERVAL_MICROS, 1);
            membership.start(
                    0, List.of(new EndpointList(ListSource.CONFIGURED, INITIAL_GENERATION, true, 0, List.of())));
        }

        @Override
        public void onList(EndpointList list, boolean answersPoll) {
            membership.onDiscoveryList(currentMicros, list);
        }

        @Override
        public void onPartialList(PartialEndpointList list) {
            membership.onPartialList(list);
        }

        @Override
        public void onFailure(Runnable retry) {
            schedule(POLL_BACKOFF_MICROS, watch::poll);
        }

        private DiscoveryCall nextCall() {
            return awaitCall(++answeredCalls);
        }

        private void answer(Response response) {
            DiscoveryCall call = nextCall();
            boolean completeListRequested = !call.uri().contains("?");
            boolean follows = !completeListRequested && response.generation() >= membership.generation();
            recordWithdrawals(response, follows);
            call.listener().onResponse(200, response.json(), true);
        }

        private void recordWithdrawals(Response response, boolean follows) {
            Set<String> namedIds = response.entries().stream().map(Entry::id).collect(Collectors.toSet());
            if (response.complete() && response.entries().stream().allMatch(Entry::hasId)) {
                ids().stream().filter(id -> !namedIds.contains(id)).forEach(withdrawnIds::add);
            }
            for (Entry entry : response.entries()) {
                if (entry.withdraws()) {
                    withdrawnIds.add(entry.id());
                } else if (entry.hasId() && entry.readable() && (response.complete() || follows)) {
                    withdrawnIds.remove(entry.id());
                }
            }
        }

        private Set<String> readyIds() {
            return membership.usableEndpoints().stream()
                    .filter(endpoint -> endpoint.upstream().state() == UpstreamState.READY)
                    .map(endpoint -> endpoint.upstream().id())
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    private static List<String> ids() {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            ids.add("u" + i);
        }
        return ids;
    }

    private static Response draw(Random random, long generation) {
        List<Entry> entries = new ArrayList<>();
        boolean damaged = random.nextInt(3) == 0;
        boolean empty = random.nextInt(6) == 0;
        for (String id : empty ? List.<String>of() : ids()) {
            if (random.nextBoolean()) {
                String lifecycle = new String[] {"Ready", "Ready", "Terminating", "Gone"}[random.nextInt(4)];
                boolean readable = !damaged || random.nextInt(3) > 0;
                boolean hasId = !damaged || random.nextInt(8) > 0;
                entries.add(new Entry(id, lifecycle, readable, hasId));
            }
        }
        return new Response(generation, random.nextBoolean(), entries);
    }

    @Property(seed = "3307", tries = 300)
    void anUpstreamThatAnyResponseHasWithdrawnIsNotInUse(@ForAll long seed, @ForAll boolean agent) {
        Random random = new Random(seed);
        Sidecar sidecar = new Sidecar(agent);
        long generation = WatchHarness.INITIAL_GENERATION;
        for (int i = 0; i < RESPONSES; i++) {
            switch (random.nextInt(8)) {
                case 0 -> sidecar.nextCall().listener().onFailure("the connection broke");
                case 1 -> sidecar.nextCall().listener().onResponse(503, new byte[0], true);
                case 2 -> sidecar.nextCall()
                        .listener()
                        .onResponse(200, "no list".getBytes(StandardCharsets.UTF_8), true);
                case 3 -> sidecar.answer(draw(random, random.nextLong(generation) + 1));
                default -> sidecar.answer(draw(random, ++generation));
            }
            Set<String> readyIds = sidecar.readyIds();
            assertTrue(
                    readyIds.stream().noneMatch(sidecar.withdrawnIds::contains),
                    () -> readyIds + " are in use, " + sidecar.withdrawnIds + " are withdrawn");
        }
        Response last = new Response(
                ++generation,
                true,
                ids().stream().map(id -> new Entry(id, "Ready", true, true)).toList());
        assertTrue(last.isReadable());
        sidecar.answer(last);
        assertEquals(new TreeSet<>(ids()), sidecar.readyIds(), "a readable complete list is taken as it is");
    }
}
