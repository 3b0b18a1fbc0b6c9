package loadbalancer.sidecar;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.HaloBalancer;
import loadbalancer.balancing.PeerLoad;
import loadbalancer.balancing.RoutingConstraints;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.core.Attempt;
import loadbalancer.core.BalancerDispatcher;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.core.RequestClasses;
import loadbalancer.core.Requests;
import loadbalancer.core.Timers;
import loadbalancer.gossip.FailureGossip;
import loadbalancer.gossip.InFlightGossip;
import loadbalancer.membership.Endpoint;
import loadbalancer.membership.EndpointEvidence;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.Membership;
import loadbalancer.membership.discovery.DiscoveryClient;
import loadbalancer.membership.discovery.DiscoveryWatch;
import loadbalancer.metrics.Metrics;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.PolicyFile;
import loadbalancer.subset.Subset;
import loadbalancer.zones.ZoneAwareBalancer;

/**
 * The parts of a sidecar that use neither sockets nor files: the balancer, the requests in flight, the endpoint list
 * and the discovery watch. An engine runs on any {@link Timers}: a sidecar's event loop, or the simulation's virtual
 * time. Single thread; times are microseconds of {@link Clock}.
 */
public final class Engine {
    /** Timeout of a health check; a later response no longer describes the current load. */
    private static final long HEALTH_CHECK_TIMEOUT_MICROS = 50_000;

    /** The engine's outgoing side: upstreams, peers, control tier. */
    public interface Network {
        /** Gets each change of the endpoint list before the balancer does: the complete list, or what changed. */
        void update(boolean complete, List<Endpoint> endpoints);

        /** Checks whether an upstream listens at the address; {@code result} is called once. */
        void checkEndpoint(InetSocketAddress address, Consumer<EndpointEvidence> result);

        /** Sends a health check to an upstream; the listener gets the health check as its attempt. */
        void checkHealth(String upstream, long untilMicros, Attempt.Listener result);

        /** Sends gossip to one peer, or to all with number -1. */
        void sendToPeer(int peer, byte[] message);

        /** Sends to a replica of the control tier by its number; drops the datagram where there is no control tier. */
        default void sendToReplica(int replica, byte[] datagram) {}

        /** Closes the idle connections to the upstream. */
        void closeIdleConnections(String upstream);
    }

    /** Creates the balancer, whose constructor may already call its {@code actions}. */
    public interface BalancerFactory {
        /** {@code peerLoad} is the load that peers report; time is in microseconds. */
        Balancer create(Settings settings, PeerLoad peerLoad, long seed, long nowMicros, Balancer.Actions actions);
    }

    private final Timers timers;
    private final Clock clock;
    private Settings settings;
    private final OperatorConfiguration operator;
    /** The balancer's settings: with subsets, they count only the sidecars that share its upstreams. */
    private Settings balancerSettings;

    private final long seed;
    private final Network network;
    private final BalancerDispatcher decisions = new BalancerDispatcher();
    private final Metrics metrics = new Metrics();
    private final Requests requests;
    private final EndpointService endpoints;
    private Balancer balancer;
    /** Earliest time of the first discovery call; random, so that a fleet that starts together spreads its calls. */
    private long firstPollMicros;
    /** Null until the start, because the generation to continue from is known only then. */
    private DiscoveryWatch discovery;

    private GossipService gossip;

    /** Null without agreed configuration: then none of its classes is loaded. */
    private AgreedConfiguration agreedConfiguration;

    /**
     * @param operator the operator's options; a subsystem without options is off
     * @param seed     seed of all random numbers
     * @param network  the outgoing side: upstreams, peers and the control tier
     */
    public Engine(
            Timers timers, Clock clock, Settings settings, OperatorConfiguration operator, long seed, Network network) {
        this.timers = timers;
        this.clock = clock;
        this.seed = seed;
        this.network = network;
        this.settings = settings;
        this.operator = operator;
        balancerSettings = settings;
        endpoints = new EndpointService(
                timers,
                clock,
                decisions,
                this::onEndpointsChanged,
                new Membership(operator.staleness(), seed, clock.nowMicros()),
                network::checkEndpoint);
        gossip = GossipService.disabled(timers, clock, network, endpoints);
        requests =
                new Requests(timers, clock, decisions, settings.limits().maxAttempts(), new AttemptObserver(), metrics);
        settings.classes().forEach(requestClass -> metrics.addClass(requestClass.name()));
    }

    /** The balancer, zone-aware only where the operator's file asks for it. */
    public static BalancerFactory balancer(OperatorConfiguration operator) {
        return balancer(operator, (constraints, settings) -> constraints);
    }

    /** {@code addConstraints} adds to the constraints that the balancer would otherwise have. */
    static BalancerFactory balancer(
            OperatorConfiguration operator,
            BiFunction<RoutingConstraints, Settings, RoutingConstraints> addConstraints) {
        return operator.zones() == null
                ? (s, peerLoad, seed, nowMicros, actions) -> new HaloBalancer(
                        s, addConstraints.apply(RoutingConstraints.NONE, s), peerLoad, seed, nowMicros, actions)
                : (s, peerLoad, seed, nowMicros, actions) -> new ZoneAwareBalancer(
                        operator.zones(),
                        s,
                        seed ^ 0x7a6f6e6573L,
                        nowMicros,
                        actions,
                        (constraints, balancerActions) -> new HaloBalancer(
                                s, addConstraints.apply(constraints, s), peerLoad, seed, nowMicros, balancerActions));
    }

    /**
     * Starts the engine, on the thread that owns it.
     *
     * @param lists endpoint lists known at the start
     * @param assessListAge whether the age of lists is assessed, so that discovery's first response is awaited at once
     * @param spreadMicros the first discovery call waits a random part of this, microseconds
     */
    public void start(
            List<EndpointList> lists,
            DiscoveryClient discoveryClient,
            boolean assessListAge,
            long spreadMicros,
            BalancerFactory balancerFactory) {
        firstPollMicros = spreadMicros == 0 ? 0 : clock.nowMicros() + new SplittableRandom(seed).nextLong(spreadMicros);
        if (operator.subset() != null) {
            int upstreamCount =
                    lists.stream().mapToInt(l -> l.endpoints().size()).max().orElse(0);
            int sidecarsPerUpstream =
                    Subset.sidecarsPerUpstream(operator.subset(), settings.sidecarCount(), upstreamCount);
            balancerSettings = settings.withSidecarCount(sidecarsPerUpstream);
            endpoints.useSubset(
                    new Subset(operator.subset(), settings.sidecarIndex(), settings.sidecarCount(), clock.nowMicros()));
        }
        // With subsets a sidecar doesn't know which other sidecars use its upstreams.
        gossip = balancerSettings == settings
                ? GossipService.forSettings(settings, timers, clock, network, endpoints)
                : GossipService.disabled(timers, clock, network, endpoints);
        ConfigurationSource.Factory source =
                ConfigurationSources.forOperator(operator, settings, seed ^ clock.nowMicros() * 31, clock, network);
        if (source != null) {
            agreedConfiguration = new AgreedConfiguration(timers, clock, settings.zones(), source, this::applyPolicy);
        }
        List<Balancer.Upstream> initialUpstreams = endpoints.start(lists);
        DiscoveryWatch.Options watchOptions = new DiscoveryWatch.Options(
                endpoints.generation(),
                settings.rules().discoveryPollMicros(),
                !settings.pollsDiscovery(),
                assessListAge,
                seed);
        discovery = new DiscoveryWatch(timers, clock, endpoints, discoveryClient, watchOptions);
        decisions.start(
                actions -> {
                    balancer = balancerFactory.create(
                            balancerSettings, gossip.peerLoad(), seed, clock.nowMicros(), actions);
                    balancer.onEndpointList(clock.nowMicros(), EndpointListKind.CACHED, initialUpstreams);
                    return balancer;
                },
                new EngineActions());
        endpoints.startChecks();
        if (agreedConfiguration != null) {
            agreedConfiguration.start();
        }
    }

    /** Handles a datagram from the control tier's replica with this number. */
    public void receiveFromReplica(int replica, byte[] datagram) {
        if (agreedConfiguration != null && operator.control() != null) {
            agreedConfiguration.receive(replica, datagram);
        }
    }

    /** Applies the agreed policy in place of the operator's file; null goes back to the file. */
    private void applyPolicy(PolicyFile.ZonePolicy policy) {
        decisions.call(
                b -> {
                    if (b instanceof ZoneAwareBalancer zoneAware) {
                        zoneAware.reload(
                                clock.nowMicros(),
                                policy == null ? operator.zones() : policy.applyTo(operator.zones()));
                    }
                },
                () -> {});
    }

    /** Null without agreed configuration. */
    AgreedConfiguration agreedConfiguration() {
        return agreedConfiguration;
    }

    private void onEndpointsChanged(boolean complete, List<Endpoint> changed) {
        network.update(complete, changed);
        gossip.endpointsChanged();
    }

    /**
     * Called after {@link #start}: starts a discovery watch that polls by itself. Any other watch starts with the
     * balancer's first poll.
     */
    public void startDiscovery() {
        discovery.start();
    }

    /** Handles a gossip or consensus message from the peer with this number. */
    public void receiveFromPeer(int peer, byte[] message) {
        if (InFlightGossip.isMessage(message)) {
            gossip.receiveInFlight(peer, message);
            return;
        }
        if (operator.consensus() != null && ConsensusNode.isMessage(message)) {
            agreedConfiguration.receive(peer, message);
            return;
        }
        if (FailureGossip.isMessage(message)) {
            gossip.receiveFailures(peer, message);
            return;
        }
        // With subsets the balancer knows fewer peers; the sender is mapped to one of them other than this sidecar.
        int mappedPeer = balancerSettings == settings
                ? peer
                : (balancerSettings.sidecarIndex() + 1 + peer % Math.max(1, balancerSettings.sidecarCount() - 1))
                        % balancerSettings.sidecarCount();
        decisions.call(b -> b.onGossip(clock.nowMicros(), mappedPeer, message), () -> {});
    }

    public BalancerDispatcher decisions() {
        return decisions;
    }

    public Requests requests() {
        return requests;
    }

    public EndpointService endpoints() {
        return endpoints;
    }

    /**
     * Applies reloaded classes, tenants, limits and rules. During the transition, while clients may still use the
     * former ones, a request gets no more attempts than both the former and the new limits allow.
     */
    public void reload(Settings next) {
        int formerMaxAttempts = settings.limits().maxAttempts();
        next.classes().forEach(requestClass -> metrics.addClass(requestClass.name()));
        Settings applied =
                applySettings(next, Math.min(formerMaxAttempts, next.limits().maxAttempts()));
        timers.schedule(RequestClasses.TRANSITION_MICROS, () -> {
            if (settings == applied) {
                applySettings(next, next.limits().maxAttempts());
            }
        });
    }

    private Settings applySettings(Settings next, int maxAttempts) {
        boolean usesAllUpstreams = balancerSettings == settings;
        settings = settings.reloadedFrom(next, maxAttempts);
        balancerSettings = usesAllUpstreams ? settings : balancerSettings.reloadedFrom(next, maxAttempts);
        requests.setMaxAttempts(maxAttempts);
        decisions.call(b -> b.onSettings(clock.nowMicros(), balancerSettings), () -> {});
        return settings;
    }

    /** The operators' counters and gauges. */
    public Map<String, Object> counters() {
        return metrics.snapshot(endpoints.size(), endpoints.unhealthyCount(balancer))
                .toJson();
    }

    public Metrics metrics() {
        return metrics;
    }

    /** Null before the start. */
    public DiscoveryWatch discovery() {
        return discovery;
    }

    /** Null before the start. */
    public Balancer balancer() {
        return balancer;
    }

    /** Passes attempts on to the endpoint list and to gossip. */
    private final class AttemptObserver implements Requests.AttemptListener {
        @Override
        public void attemptStarted(Balancer.Request request, Attempt attempt) {
            gossip.attemptStarted(request, attempt);
        }

        @Override
        public void attemptEnded(
                Balancer.Request request, Attempt attempt, Balancer.Outcome outcome, Balancer.LoadReport report) {
            gossip.attemptEnded(request, attempt, outcome, report);
            endpoints.attemptEnded(attempt, outcome);
        }
    }

    /** Carries out the balancer's actions. */
    private final class EngineActions implements Balancer.Actions {
        private int peerOffset;

        @Override
        public void send(String request, String upstream, long untilMicros) {
            requests.send(request, upstream, untilMicros);
        }

        @Override
        public void reject(String request, long retryAfterMicros) {
            gossip.requestRejected();
            requests.reject(request, retryAfterMicros);
        }

        @Override
        public void fail(String request) {
            requests.fail(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            requests.cancel(request, attempt);
        }

        @Override
        public void checkHealth(String upstream) {
            network.checkHealth(
                    upstream, clock.nowMicros() + HEALTH_CHECK_TIMEOUT_MICROS, (attempt, outcome, report, body) -> {
                        // A refused health check shows a restart as reliably as a refused attempt does, and is the only
                        // sign of it that most sidecars of a fleet see.
                        if (attempt.isConnectionRefused()) {
                            endpoints.connectionRefused(attempt.upstream());
                        }
                        decisions.call(
                                b -> b.onHealthCheck(
                                        clock.nowMicros(),
                                        upstream,
                                        outcome,
                                        clock.nowMicros() - attempt.sentMicros(),
                                        report),
                                () -> {});
                    });
        }

        @Override
        public void pollDiscovery() {
            long waitMicros = firstPollMicros - clock.nowMicros();
            if (waitMicros > 0) {
                timers.schedule(waitMicros, discovery::poll);
            } else {
                discovery.poll();
            }
        }

        @Override
        public void gossip(int peer, byte[] message) {
            // With subsets the balancer's peer numbers are placeholders, so messages go to all sidecars in turn.
            network.sendToPeer(
                    balancerSettings == settings || peer < 0
                            ? peer
                            : (peer + settings.sidecarIndex() + peerOffset++) % settings.sidecarCount(),
                    message);
        }

        @Override
        public void closeIdleConnections(String upstream) {
            network.closeIdleConnections(upstream);
        }

        @Override
        public void startTimer(String mark, long delayMicros) {
            timers.schedule(
                    delayMicros,
                    () -> decisions.call(
                            b -> b.onTimer(clock.nowMicros(), mark), requests::failRequestsWithoutOpenAttempt));
        }

        @Override
        public void log(String text) {
            Log.event("module", text);
        }
    }
}
