package loadbalancer.capacity;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.core.Clock;
import loadbalancer.gossip.InFlightGossip;

/**
 * Generates the gossip of one minimal sidecar: requests start at random times and end a fixed time later, and the
 * requests in flight are gossiped as a real sidecar does. There are as many upstreams as members. Runs on the host's
 * event loop.
 */
final class GossipLoad {
    /** Time for which a request is in flight: the service time and the network round trip. */
    private static final long REQUEST_DURATION_MICROS = 40_000;

    private static final long SECOND_MICROS = 1_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final BiConsumer<Integer, byte[]> sender;
    private final SplittableRandom random;
    private final Settings settings;
    private final List<String> upstreams = new ArrayList<>();
    /** Null before {@link #start}, and if the fleet is too large or too small for gossip. */
    private InFlightGossip gossip;

    /** The upstreams that receive requests of this sidecar. */
    private List<String> subset = List.of();

    private double requestsPerSecond;
    private long requests;
    /** Whether a message is scheduled because the requests in flight have changed since the last one. */
    private boolean messagePending;

    private ScheduledFuture<?> nextMessage;

    GossipLoad(int number, int members, EventLoop loop, Clock clock, long seed, BiConsumer<Integer, byte[]> sender) {
        this.loop = loop;
        this.clock = clock;
        this.sender = sender;
        random = new SplittableRandom(seed);
        settings = settings(number, members);
        for (int upstream = 0; upstream < members; upstream++) {
            upstreams.add("u" + upstream);
        }
    }

    private static Settings settings(int number, int members) {
        RequestClass requestClass = new RequestClass(
                "c", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 300_000, 0, 800_000, 1, 0, false);
        return new Settings(
                number,
                members,
                "z",
                List.of("z"),
                List.of("k"),
                List.of(requestClass),
                List.of(),
                new Limits(2, false, false, false, true, false, SECOND_MICROS, SECOND_MICROS, 0),
                new Rules(500_000, 0.13, 24 * SECOND_MICROS, 3, SECOND_MICROS, 10 * SECOND_MICROS, 5_000, 0),
                LoadReporting.IN_RESPONSES,
                true,
                false,
                0,
                new Prices(0, 0, 0.08, 0, 0),
                1_000);
    }

    /** Generates requests from now on, at this average rate. */
    void start(double averageRequestsPerSecond) {
        requestsPerSecond = averageRequestsPerSecond;
        gossip = InFlightGossip.forSettings(settings).orElse(null);
        if (gossip != null) {
            gossip.onEndpoints(upstreams);
            subset = upstreams.stream()
                    .filter(upstream -> gossip.subsetRank(upstream) < gossip.subsetSize())
                    .toList();
        }
        if (subset.isEmpty()) {
            subset = upstreams;
        }
        scheduleRequest();
    }

    long requests() {
        return requests;
    }

    private void scheduleRequest() {
        double delaySeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        loop.schedule(this::startRequest, (long) (delaySeconds * SECOND_MICROS), TimeUnit.MICROSECONDS);
    }

    private void startRequest() {
        requests++;
        scheduleRequest();
        if (gossip != null) {
            String upstream = subset.get(random.nextInt(subset.size()));
            gossip.attemptStarted(upstream);
            scheduleChangeMessage();
            loop.schedule(() -> endRequest(upstream), REQUEST_DURATION_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    private void endRequest(String upstream) {
        gossip.attemptEnded(upstream);
        scheduleChangeMessage();
    }

    private void scheduleChangeMessage() {
        if (!messagePending) {
            messagePending = true;
            scheduleMessage(gossip.delayMicros(clock.nowMicros()));
        }
    }

    private void scheduleMessage(long delayMicros) {
        if (nextMessage != null) {
            nextMessage.cancel(false);
        }
        nextMessage = loop.schedule(this::sendMessage, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void sendMessage() {
        messagePending = false;
        long nowMicros = clock.nowMicros();
        int[] recipients = gossip.nextRecipients(nowMicros);
        byte[] message = gossip.nextMessage(nowMicros);
        if (recipients == null) {
            for (int peer = 0; peer < settings.sidecarCount(); peer++) {
                sender.accept(peer, message);
            }
        } else {
            for (int peer : recipients) {
                sender.accept(peer, message);
            }
        }
        long refreshDelayMicros = gossip.refreshDelayMicros();
        if (refreshDelayMicros > 0) {
            scheduleMessage(refreshDelayMicros);
        }
    }

    void receive(int peer, byte[] message) {
        if (gossip != null && peer != settings.sidecarIndex()) {
            gossip.receive(clock.nowMicros(), peer, message);
        }
    }
}
