package loadbalancer.simulation.scenario;

import java.util.List;
import loadbalancer.balancing.Balancer.Limits;
import loadbalancer.balancing.Balancer.LoadReporting;
import loadbalancer.balancing.Balancer.Prices;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Rules;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Tenant;
import loadbalancer.operator.OperatorConfiguration;

/**
 * A day to be played: what there is, who asks for how much, what goes wrong, and what must hold. Times are microseconds, a part
 * is from 0 to 1.
 */
public record Scenario(
        String name,
        String about,
        long seed,
        Fleet fleet,
        List<Machine> machines,
        Nodes nodes,
        List<Kind> classes,
        List<Tenant> tenants,
        Traffic traffic,
        Registry registry,
        Net net,
        Sidecar sidecar,
        OperatorConfiguration operator,
        List<Fault> faults,
        Expect expect,
        Hunt hunt) {
    /**
     * @param told sidecars that there are by what each is told; it need not be true
     */
    public record Fleet(int nodes, int sidecars, int told, List<String> zones, long lengthUs) {}

    /** @param share of the nodes */
    public record Machine(String name, double share, int cores, double speed) {}

    /**
     * @param spread      coefficient of variation of nodes' speeds within their kind
     * @param waiting     requests that may wait on a node
     * @param connections that a node holds
     * @param idleUs      after which it closes one that is not used
     * @param handshakeUs of its work for each new connection
     * @param reportUs    age that a load report may have
     * @param dropsExpired whether they drop what has waited for longer than its sidecar does
     * @param pauseEveryUs mean time between its own short pauses, 0 for none, of {@code pauseUs} on the average
     */
    public record Nodes(
            double spread,
            int waiting,
            double coldShare,
            long rampUs,
            int connections,
            long idleUs,
            long handshakeUs,
            long reportUs,
            long pauseEveryUs,
            long pauseUs,
            long probeUs,
            boolean dropsExpired) {}

    /** A class of requests and what they cost: log-normal, of this mean on a core of speed 1 and this coefficient of variation. */
    public record Kind(RequestClass spec, double share, double workUs, double spread) {}

    /**
     * @param load       asked for, as a part of what all nodes can do; not used where {@code perSecond} is above 0
     * @param perSecond  of each sidecar that is not busy
     * @param busyOneIn  sidecars that are busy: one in so many, 0 for none
     * @param busyTimes  as much as the others
     * @param wave       swing of the load, and {@code waveUs} its period
     * @param retries    part of the clients that try once more, after {@code retryUs}, what was refused
     * @param insistent  clients that retry do so too when a keyed request has failed
     * @param impatient  part of requests whose client leaves before its time
     * @param patience   part of the deadline that clients wait at least
     */
    public record Traffic(
            double load,
            double perSecond,
            int busyOneIn,
            double busyTimes,
            double wave,
            long waveUs,
            double retries,
            long retryUs,
            boolean insistent,
            double impatient,
            double patience) {}

    /**
     * @param asked          sidecars ask; else lists are pushed
     * @param noticeUs       until it tells of a start or an end that it was told of
     * @param silentUs       until it notices that a node has died
     * @param callsPerSecond that it works through, one after the other
     * @param known          the list that sidecars are given at their start is from this time before the scenario's; below 0: none
     */
    public record Registry(boolean asked, long noticeUs, long silentUs, int callsPerSecond, long known) {}

    /** @param sameUs one way, within a zone; {@code jitter}: as a part of it; {@code loss}: part of messages that come once more, 200 ms later */
    public record Net(long sameUs, long crossUs, double jitter, double loss, long peerUs, double peerLoss) {}

    /** What the platform allows a sidecar; {@code probePrice}: points of the result for one probe to each first try. */
    public record Sidecar(
            Limits limits,
            LoadReporting reports,
            Rules rules,
            long dialUs,
            int connections,
            long bootUs,
            long spreadUs,
            double probePrice) {}

    /**
     * What must hold; a bound that is not set is below 0.
     *
     * @param rules       none of the four broken, nothing held at the end, no fault of the program
     * @param served      worth served in time over worth asked for
     * @param confirms    the same of the class of most worth
     * @param worstSecond the same of the worst second, as a mean over five
     * @param cold        most that a cold node was sent in a second, over what it could do
     * @param recoveryUs  after the last event ends until nine tenths of what is asked are served, three seconds in a row
     * @param refused     part of tries refused, at the most
     * @param failed      likewise, failed
     * @param ownLoad     work of nodes for sidecars' own sake (probes, new connections) over what they can do
     * @param connections most on any node
     * @param calls       mean calls to discovery, a sidecar and minute
     * @param evenness    most over least of the clients of a node
     */
    public record Expect(
            boolean rules,
            double served,
            double confirms,
            double worstSecond,
            double cold,
            long recoveryUs,
            double refused,
            double failed,
            double ownLoad,
            int connections,
            double calls,
            double evenness) {}

    /** What a search may draw: so many events at the most, of these kinds. */
    public record Hunt(int events, List<Fault.Kind> kinds) {}

    /** What all nodes, warm, can do: core seconds a second. */
    public double capacity() {
        return machines.stream()
                        .mapToDouble(m -> m.share() * m.cores() * m.speed())
                        .sum()
                / machines.stream().mapToDouble(Machine::share).sum()
                * fleet.nodes();
    }

    /** Core seconds that a request takes on the average. */
    public double workS() {
        double shares = classes.stream().mapToDouble(Kind::share).sum();
        return classes.stream()
                .mapToDouble(k -> k.share() / shares * k.workUs() / 1e6)
                .sum();
    }

    /** Requests a second of all clients, on the average. */
    public double perSecond() {
        return traffic.perSecond() > 0 ? traffic.perSecond() * sidecarUnits() : traffic.load() * capacity() / workS();
    }

    /** Sidecars, where a busy one counts for as many as it is. */
    public double sidecarUnits() {
        int busy = traffic.busyOneIn() == 0 ? 0 : fleet.sidecars() / traffic.busyOneIn();
        return fleet.sidecars() - busy + busy * traffic.busyTimes();
    }

    /** The same of the clients of one sidecar. */
    public double perSecond(int sidecar) {
        int oneIn = traffic.busyOneIn();
        boolean busy = oneIn > 0 && sidecar % oneIn == oneIn / 2;
        return perSecond() / sidecarUnits() * (busy ? traffic.busyTimes() : 1);
    }

    /** What sidecar number {@code me} is told. */
    public Settings settings(int me) {
        return new Settings(
                me,
                fleet.told(),
                fleet.zones().get(me % fleet.zones().size()),
                fleet.zones(),
                machines.stream().map(Machine::name).toList(),
                classes.stream().map(Kind::spec).toList(),
                tenants,
                sidecar.limits(),
                sidecar.rules(),
                sidecar.reports(),
                registry.asked(),
                false,
                0.1,
                new Prices(0.005, 0.01, sidecar.probePrice(), 0, 0),
                1_000);
    }

    public Scenario with(List<Fault> others, long otherSeed) {
        return new Scenario(
                name,
                about,
                otherSeed,
                fleet,
                machines,
                nodes,
                classes,
                tenants,
                traffic,
                registry,
                net,
                sidecar,
                operator,
                List.copyOf(others),
                expect,
                hunt);
    }

    public Scenario with(OperatorConfiguration other) {
        return new Scenario(
                name, about, seed, fleet, machines, nodes, classes, tenants, traffic, registry, net, sidecar, other,
                faults, expect, hunt);
    }
}
