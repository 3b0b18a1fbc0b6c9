package loadbalancer.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.balancing.Balancer.Actions;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.balancing.Balancer.IdempotencyScope;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.HaloBalancer;
import loadbalancer.balancing.PeerLoad;
import loadbalancer.balancing.RoutingConstraints;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.PartialEndpointList;
import loadbalancer.membership.discovery.DiscoveryClient;
import loadbalancer.membership.discovery.DiscoveryWatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A change counts as told 6 s after discovery had it and could be reached, whatever calls failed before: the watch and the
 * module's own pauses together, on virtual time, against drawn sequences of outages.
 */
class DiscoveryDelayTest {
    private static final long SECOND_US = 1_000_000;
    private static final long TOLD_US = 6 * SECOND_US;
    /** Discovery's own queue after an outage, for which the bound has to leave room. */
    private static final long MOST_QUEUE_US = SECOND_US;
    /** An agent on the sidecar's own machine answers at once. */
    private static final long MOST_AGENT_US = 20_000;
    /** A call that waits for a change and fell silent binds so long after its wait is over. */
    private static final long SILENT_TOLD_US = 2 * SECOND_US;

    /** How discovery treats a call while it is down. */
    private enum Failure {
        REFUSED,
        NO_CONNECTION,
        SILENT,
        QUEUE_FULL,
        GARBLED
    }

    private record Outage(long fromUs, long untilUs) {}

    /** One sidecar's watch and module against a discovery that goes down and comes back. */
    private static final class Play implements DiscoveryClient, DiscoveryWatch.Listener, Actions {
        final SplittableRandom draws;
        final VirtualTimeline time = new VirtualTimeline(0);
        final List<Outage> outages = new ArrayList<>();
        final List<String> story = new ArrayList<>();
        final long changeUs;
        final boolean pushed;
        HaloBalancer module;
        DiscoveryWatch watch;
        long calls;
        long outNumber;
        /** The last call failed, and none was answered since. */
        boolean failed;

        /** Discovery can be reached for good from then on. */
        long upUs;

        long dueUs;
        long toldUs = -1;

        Play(long seed, boolean pushed, boolean unconfirmed, long askEveryUs) {
            this.pushed = pushed;
            draws = new SplittableRandom(seed);
            long at = draws.nextLong(3 * SECOND_US);
            for (int i = draws.nextInt(1, 5); i > 0; i--) {
                long until = at + 200_000 + draws.nextLong(draws.nextBoolean() ? 3 * SECOND_US : 25 * SECOND_US);
                outages.add(new Outage(at, until));
                at = until + 50_000 + draws.nextLong(3 * SECOND_US);
            }
            upUs = outages.get(outages.size() - 1).untilUs;
            changeUs = upUs - SECOND_US + draws.nextLong(4 * SECOND_US);
            dueUs = Math.max(changeUs, upUs) + TOLD_US;
            Clock clock = new Clock() {
                @Override
                public long nowMicros() {
                    return time.now();
                }
            };
            watch = new DiscoveryWatch(
                    time, clock, this, this, new DiscoveryWatch.Options(41, askEveryUs, pushed, unconfirmed, seed));
            module = new HaloBalancer(
                    settings(askEveryUs, pushed), RoutingConstraints.NONE, PeerLoad.NONE, seed, 0, this);
            watch.start();
        }

        private static Settings settings(long askEveryUs, boolean pushed) {
            RequestClass c = new RequestClass(
                    "c", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 0, 300_000, 0, 800_000, 1, 0, false);
            return new Settings(
                    0,
                    2,
                    "za",
                    List.of("za"),
                    List.of("k"),
                    List.of(c),
                    List.of(),
                    new Limits(2, false, false, false, false, false, SECOND_US, SECOND_US, 0),
                    new Rules(500_000, 0.13, 24_000_000, 3, SECOND_US, askEveryUs, 5_000, 0),
                    LoadReporting.NONE,
                    !pushed,
                    false,
                    0,
                    new Prices(0, 0, 0, 0, 0),
                    1000);
        }

        private Outage outageAt(long us) {
            return outages.stream()
                    .filter(o -> us >= o.fromUs && us < o.untilUs)
                    .findFirst()
                    .orElse(null);
        }

        @Override
        public void get(String uri, ResponseListener result) {
            long number = ++calls;
            outNumber = number;
            story.add(time.now() / 1000 + " " + uri);
            long waitUs = uri.contains("&wait=") ? 1000 * Long.parseLong(uri.substring(uri.indexOf("&wait=") + 6)) : 0;
            assertTrue(!failed || pushed || waitUs == 0, "waits for a change behind a failed call: " + story);
            if (outageAt(time.now()) != null) {
                Failure how = Failure.values()[draws.nextInt(Failure.values().length)];
                if (how == Failure.SILENT) {
                    fellSilent(time.now() + waitUs, waitUs);
                }
                fail(number, result, how);
                return;
            }
            boolean whole = !uri.contains("index=");
            long index = whole ? 0 : Long.parseLong(uri.replaceAll(".*index=(\\d+).*", "$1"));
            long newsUs =
                    whole || index < 42 && changeUs <= time.now() ? time.now() : index < 42 ? changeUs : Long.MAX_VALUE;
            long answerUs =
                    Math.min(time.now() + waitUs, newsUs) + draws.nextLong(pushed ? MOST_AGENT_US : MOST_QUEUE_US);
            long callUs = time.now();
            Outage next =
                    outages.stream().filter(o -> o.fromUs > callUs).findFirst().orElse(null);
            if (next != null && next.fromUs <= answerUs) {
                boolean silent = draws.nextInt(4) == 0;
                if (silent) {
                    fellSilent(callUs + waitUs, waitUs);
                }
                time.at(next.fromUs, () -> fail(number, result, silent ? Failure.SILENT : Failure.REFUSED));
                return;
            }
            time.at(answerUs, () -> answer(number, result, whole));
        }

        /** A watch that fell silent has a clock of its own, which may bind later than 6 s after the return. */
        private void fellSilent(long waitOverUs, long waitUs) {
            if (waitUs > 0) {
                dueUs = Math.max(dueUs, waitOverUs + SILENT_TOLD_US);
            }
        }

        private void answer(long number, ResponseListener result, boolean whole) {
            if (outNumber != number) {
                return;
            }
            outNumber = 0;
            failed = false;
            int generation = time.now() >= changeUs ? 42 : 41;
            String entry =
                    "{\"instanceId\":\"s-1\",\"hostPort\":\"10.1.0.18:8081\",\"zone\":\"za\",\"machineType\":\"k\",\"cell\":0,\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}";
            String text = "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":["
                    + (whole || generation == 42 ? entry : "") + "]}";
            story.add(time.now() / 1000 + " answered " + generation);
            result.onResponse(200, text.getBytes(StandardCharsets.UTF_8), true);
        }

        private void fail(long number, ResponseListener result, Failure how) {
            if (outNumber != number) {
                return;
            }
            story.add(time.now() / 1000 + " " + how);
            long afterUs =
                    switch (how) {
                        case REFUSED, GARBLED -> 1_000;
                        case NO_CONNECTION -> SECOND_US;
                        case QUEUE_FULL -> 3 * SECOND_US;
                        case SILENT -> -1;
                    };
            if (afterUs >= 0) {
                time.schedule(afterUs, () -> {
                    if (outNumber == number) {
                        outNumber = 0;
                        switch (how) {
                            case QUEUE_FULL -> result.onResponse(503, new byte[0], true);
                            case GARBLED -> result.onResponse(200, "{\"gen".getBytes(StandardCharsets.UTF_8), true);
                            default -> result.onFailure("failed");
                        }
                    }
                });
            }
        }

        @Override
        public void disconnect() {
            outNumber = 0;
        }

        @Override
        public void onPartialList(PartialEndpointList list) {
            throw new AssertionError("this discovery sends no list of which only a part can be used");
        }

        @Override
        public void onList(EndpointList list, boolean answersAsk) {
            if (toldUs < 0 && list.generation() >= 42) {
                toldUs = time.now();
            }
            module.onEndpointList(
                    time.now(), list.complete() ? EndpointListKind.FULL : EndpointListKind.DELTA, List.of());
        }

        @Override
        public void onFailure(Runnable goOn) {
            failed = true;
            module.onEndpointList(time.now(), EndpointListKind.FAILED, List.of());
        }

        @Override
        public void pollDiscovery() {
            // The module is being made where it asks first, as in a sidecar: on the next turn of the loop.
            time.schedule(0, () -> watch.poll());
        }

        @Override
        public void startTimer(String mark, long delayUs) {
            time.schedule(delayUs, () -> module.onTimer(time.now(), mark));
        }

        @Override
        public void send(String request, String upstream, long untilUs) {}

        @Override
        public void reject(String request, long retryAfterUs) {}

        @Override
        public void fail(String request) {}

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void checkHealth(String upstream) {}

        @Override
        public void gossip(int peer, byte[] message) {}

        @Override
        public void closeIdleConnections(String upstream) {}

        @Override
        public void log(String text) {}

        void play() {
            time.play(upUs + 40 * SECOND_US);
        }
    }

    @BeforeEach
    void divertTheLog() {
        Log.setThreadSink(event -> {});
    }

    @AfterEach
    void restoreTheLog() {
        Log.setThreadSink(null);
    }

    private static void toldInTime(boolean pushed, boolean unconfirmed, long askEveryS) {
        for (long seed = 1; seed <= 400; seed++) {
            Play play = new Play(seed, pushed, unconfirmed, askEveryS * SECOND_US);
            play.play();
            assertTrue(
                    play.toldUs >= 0 && play.toldUs <= play.dueUs,
                    "seed " + seed + ", asked every " + askEveryS + " s: change at " + play.changeUs / 1000
                            + " ms, reached for good from " + play.upUs / 1000 + ", due at " + play.dueUs / 1000
                            + ", told at " + play.toldUs / 1000 + ": " + play.story);
        }
    }

    @Test
    void whereDiscoveryIsAskedAChangeIsToldWithinSixSecondsWhateverCallsFailed() {
        for (long askEveryS : new long[] {1, 4, 10, 20, 60}) {
            toldInTime(false, false, askEveryS);
        }
    }

    @Test
    void aNewProcessIsToldWithinSixSecondsWhateverCallsFailed() {
        for (long askEveryS : new long[] {4, 20}) {
            toldInTime(false, true, askEveryS);
        }
    }

    @Test
    void whereListsArePushedAChangeIsToldWithinSixSecondsWhateverCallsFailed() {
        toldInTime(true, false, 10);
    }
}
